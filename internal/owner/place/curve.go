package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Row is one point of the curve of imbalance against churn.
type Row struct {
	Strategy  string  `json:"way"`       // how keys are placed
	Param     float64 `json:"param"`     // its width or bound
	Imbalance float64 `json:"imbalance"` // highest load over mean, average over the run
	Worst     float64 `json:"worst"`     // the same at the worst moment
	Churn     float64 `json:"churn"`     // share of the keys moved per hour
	Forced    float64 `json:"forced"`    // of it, moved because a server left
}

// Simulate sizes: one service as of today, an hour of one plan a minute.
const (
	curveSlices  = 4096
	curveServers = 17
	curvePlans   = 60
	curveSkew    = 1.1 // of the load over slices (Zipf)
	curveHot     = 16  // slices that become hot or cool at each step
	ringVotes    = 64  // points of a server on the bounded-load ring
)

// Simulate runs the same hour under each way of placing keys: load drifts at each
// step, hot slices change, every ten minutes one server leaves and returns five
// minutes later. The same seed gives the same rows.
func Simulate(seed uint64) []Row {
	var rows []Row
	for _, high := range []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7} {
		band := Band{High: high, Low: min(lowest, 2*high), Budget: curveSlices}
		rows = append(rows, hour(seed, "band", high, func(in Input) []ident.Server {
			in.Band = band
			return applied(in, Plan(in))
		}))
	}
	rows = append(rows, hour(seed, "naive rebalance", 0, Naive))
	rows = append(rows, hour(seed, "rendezvous", 0, rendezvous))
	for _, c := range []float64{1.05, 1.15, 1.25} {
		rows = append(rows, hour(seed, "bounded loads", c, func(in Input) []ident.Server { return bounded(in, c) }))
	}
	return rows
}

func applied(in Input, moves []Move) []ident.Server {
	owners := slices.Clone(in.Owners)
	for _, m := range moves {
		if m.Key == "" {
			owners[m.Slice] = m.To
		}
	}
	return owners
}

// hour plays the drift and asks the way for new owners at each step.
func hour(seed uint64, way string, param float64, next func(Input) []ident.Server) Row {
	rnd := rand.New(rand.NewPCG(seed, curveSlices))
	in := Input{Owners: make([]ident.Server, curveSlices), Loads: make([]float64, curveSlices)}
	for i := range curveServers {
		in.Servers = append(in.Servers, Server{ID: ident.Server("s" + strconv.Itoa(i)), Accepting: true})
	}
	for i, s := range rnd.Perm(curveSlices) {
		in.Loads[s] = math.Pow(float64(i+20), -curveSkew)
	}
	in.Owners = next(in)
	row := Row{Strategy: way, Param: param}
	for step := range curvePlans {
		drift(rnd, in.Loads)
		in.Servers[step/10].Accepting = step%10 >= 5
		owners := next(in)
		for s := range owners {
			if owners[s] == in.Owners[s] {
				continue
			}
			row.Churn += 1.0 / curveSlices
			if !takes(in, in.Owners[s]) {
				row.Forced += 1.0 / curveSlices
			}
		}
		in.Owners = owners
		imbalance := Imbalance(in)
		row.Imbalance += imbalance / curvePlans
		row.Worst = max(row.Worst, imbalance)
	}
	return row
}

func drift(rnd *rand.Rand, loads []float64) {
	for range curveHot {
		a, b := rnd.IntN(len(loads)), rnd.IntN(len(loads))
		loads[a], loads[b] = loads[b], loads[a]
	}
	for i := range loads {
		loads[i] *= 1 + 0.1*(rnd.Float64()-0.5)
	}
}

func takes(in Input, id ident.Server) bool {
	return slices.ContainsFunc(in.Servers, func(s Server) bool { return s.ID == id && s.Accepting })
}

// Imbalance returns the highest load of a server that takes keys over the mean
// of those, by capacity; 1 is perfect. It is the figure that the product
// reports.
func Imbalance(in Input) float64 {
	p := newPlan(in)
	if p.mean <= 0 {
		return 1
	}
	return p.worst() / p.mean
}

// Naive places all slices anew, the largest first, each on the least loaded
// server. It is what the plan is compared with: the best balance that a greedy
// rule reaches, at the price of moving nearly everything.
func Naive(in Input) []ident.Server {
	fresh := in
	fresh.Owners = make([]ident.Server, len(in.Owners))
	fresh.Hot = nil
	fresh.Band = Band{}
	return applied(fresh, Plan(fresh))
}

// rendezvous gives each slice to the server with the highest hash for it.
func rendezvous(in Input) []ident.Server {
	owners := make([]ident.Server, len(in.Owners))
	for s := range owners {
		best := uint64(0)
		for _, x := range in.Servers {
			if h := xxhash.Sum64String(string(x.ID) + "/" + strconv.Itoa(s)); x.Accepting && h >= best {
				best, owners[s] = h, x.ID
			}
		}
	}
	return owners
}

// point is a place on the bounded-load ring.
type point struct {
	at uint64
	id ident.Server
}

// bounded walks a ring from each slice's hash to the first server whose load
// would stay within c times the mean.
func bounded(in Input, c float64) []ident.Server {
	var points []point
	total, n := 0.0, 0.0
	for _, x := range in.Servers {
		if !x.Accepting {
			continue
		}
		n++
		for v := range ringVotes {
			points = append(points, point{at: xxhash.Sum64String(string(x.ID) + "#" + strconv.Itoa(v)), id: x.ID})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	for _, l := range in.Loads {
		total += l
	}
	owners := make([]ident.Server, len(in.Owners))
	loads := map[ident.Server]float64{}
	for s, l := range in.Loads {
		h := xxhash.Sum64String("slice " + strconv.Itoa(s))
		i, _ := slices.BinarySearchFunc(points, h, func(p point, h uint64) int { return cmp.Compare(p.at, h) })
		for k := range points {
			p := points[(i+k)%len(points)]
			owners[s] = p.id
			if loads[p.id]+l <= c*total/n {
				break
			}
		}
		loads[owners[s]] += l
	}
	return owners
}
