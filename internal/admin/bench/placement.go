package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/place"
)

// Placement measures how many keys must move to keep the load even, for several placement
// strategies, and how long the planning of the largest service takes.
func Placement(ctx context.Context, _ Options) (Section, error) {
	s := Section{
		Title: "Placement: imbalance against churn",
		Note: "One simulated hour of 4,096 slices over 17 servers with drifting load and servers that leave and return, " +
			"the same for every way of placing keys.",
	}
	t := Table{Head: []string{"way", "width or bound", "imbalance, mean", "imbalance, worst", "keys moved an hour", "of it, forced"}}
	lines := map[string]*Line{}
	var order []string
	for _, r := range place.Simulate(loadSeed) {
		t.Rows = append(t.Rows, []string{
			r.Strategy, fmt.Sprint(r.Param), fmt.Sprintf("%.3f", r.Imbalance), fmt.Sprintf("%.3f", r.Worst),
			fmt.Sprintf("%.1f %%", 100*r.Churn), fmt.Sprintf("%.1f %%", 100*r.Forced),
		})
		if lines[r.Strategy] == nil {
			lines[r.Strategy] = &Line{Name: r.Strategy}
			order = append(order, r.Strategy)
		}
		lines[r.Strategy].Points = append(lines[r.Strategy].Points, Point{r.Churn, r.Imbalance})
		if r.Strategy == "band" {
			name := fmt.Sprintf("band of %v: ", r.Param)
			s.Figures = append(s.Figures,
				Figure{Name: name + "imbalance", Value: r.Imbalance, Unit: "most over mean", Better: Lower},
				Figure{Name: name + "churn", Value: r.Churn, Unit: "of the keys an hour", Better: Lower},
			)
		}
	}
	p := Plot{Name: "place", Title: "Imbalance against churn", X: "share of the keys moved in an hour", Y: "imbalance (most over mean)", LogX: true}
	for _, way := range order {
		p.Lines = append(p.Lines, *lines[way])
	}
	s.Tables, s.Plots = []Table{t}, []Plot{p}
	s.addPlanTime()
	return s, ctx.Err()
}

// addPlanTime adds the time of a plan of 64k slices over 500 servers, one of which was
// lost.
func (s *Section) addPlanTime() {
	in := place.Input{Owners: make([]ident.Server, costSlices), Loads: make([]float64, costSlices), Band: place.BandFor(place.Weights{}, costSlices)}
	for i := range costServers {
		in.Servers = append(in.Servers, place.Server{ID: ident.Server(fmt.Sprintf("lookup-%03d", i)), Accepting: i != 7})
	}
	rng := rand.New(rand.NewPCG(loadSeed, 1))
	for i := range in.Owners {
		in.Owners[i], in.Loads[i] = in.Servers[i%costServers].ID, rng.ExpFloat64()
	}
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if len(place.Plan(in)) == 0 {
				b.Fatal("nothing to move")
			}
		}
	})
	s.Figures = append(s.Figures, Figure{
		Name: "plan of 64k slices over 500 servers, one of them lost", Value: float64(r.T.Microseconds()) / 1000 / float64(max(r.N, 1)),
		Unit: "ms", Better: Lower, Target: "< 50 ms",
	})
}
