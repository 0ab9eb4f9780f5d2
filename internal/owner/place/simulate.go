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
	Strategy  string  `json:"way"`       // placement strategy
	Param     float64 `json:"param"`     // width of the band, or load bound
	Imbalance float64 `json:"imbalance"` // highest load over the mean, averaged over the run
	Worst     float64 `json:"worst"`     // the same at the worst moment
	Churn     float64 `json:"churn"`     // share of the keys moved per hour
	Forced    float64 `json:"forced"`    // part of Churn that was moved because a server left
}

// Sizes of the simulation: one present-day service, for an hour with one plan a minute.
const (
	simSlices  = 4096
	simServers = 17
	simPlans   = 60
	simSkew    = 1.1 // Zipf exponent of the load over slices
	simSwaps   = 16  // pairs of slices that swap their loads at each step
	ringPoints = 64  // points of each server on the bounded-load ring
)

// Simulate runs the same hour with each placement strategy. The load drifts at each step,
// other slices become hot, and every ten minutes one server leaves and returns five minutes
// later. The same seed gives the same rows.
func Simulate(seed uint64) []Row {
	var rows []Row
	for _, high := range []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7} {
		band := Band{High: high, Low: min(maxLow, 2*high), Budget: simSlices}
		rows = append(rows, simulateHour(seed, "band", high, func(in Input) []ident.Server {
			in.Band = band
			return applyMoves(in, Plan(in))
		}))
	}
	rows = append(rows, simulateHour(seed, "naive rebalance", 0, Naive))
	rows = append(rows, simulateHour(seed, "rendezvous", 0, rendezvous))
	for _, c := range []float64{1.05, 1.15, 1.25} {
		rows = append(rows, simulateHour(seed, "bounded loads", c, func(in Input) []ident.Server { return boundedLoads(in, c) }))
	}
	return rows
}

func applyMoves(in Input, moves []Move) []ident.Server {
	owners := slices.Clone(in.Owners)
	for _, m := range moves {
		if m.Key == "" {
			owners[m.Slice] = m.To
		}
	}
	return owners
}

// simulateHour drifts the load and asks the strategy for new owners at each step.
func simulateHour(seed uint64, strategy string, param float64, next func(Input) []ident.Server) Row {
	rnd := rand.New(rand.NewPCG(seed, simSlices))
	in := Input{Owners: make([]ident.Server, simSlices), Loads: make([]float64, simSlices)}
	for i := range simServers {
		in.Servers = append(in.Servers, Server{ID: ident.Server("s" + strconv.Itoa(i)), Accepting: true})
	}
	for i, s := range rnd.Perm(simSlices) {
		in.Loads[s] = math.Pow(float64(i+20), -simSkew)
	}
	in.Owners = next(in)
	row := Row{Strategy: strategy, Param: param}
	for step := range simPlans {
		drift(rnd, in.Loads)
		in.Servers[step/10].Accepting = step%10 >= 5
		owners := next(in)
		for s := range owners {
			if owners[s] == in.Owners[s] {
				continue
			}
			row.Churn += 1.0 / simSlices
			if !accepts(in, in.Owners[s]) {
				row.Forced += 1.0 / simSlices
			}
		}
		in.Owners = owners
		imbalance := Imbalance(in)
		row.Imbalance += imbalance / simPlans
		row.Worst = max(row.Worst, imbalance)
	}
	return row
}

func drift(rnd *rand.Rand, loads []float64) {
	for range simSwaps {
		a, b := rnd.IntN(len(loads)), rnd.IntN(len(loads))
		loads[a], loads[b] = loads[b], loads[a]
	}
	for i := range loads {
		loads[i] *= 1 + 0.1*(rnd.Float64()-0.5)
	}
}

func accepts(in Input, id ident.Server) bool {
	return slices.ContainsFunc(in.Servers, func(s Server) bool { return s.ID == id && s.Accepting })
}

// Imbalance returns the highest load of an accepting server over the mean load, both by
// capacity; 1 is perfect. It is the figure that the product reports.
func Imbalance(in Input) float64 {
	p := newPlan(in)
	if p.meanRatio <= 0 {
		return 1
	}
	return p.maxRatio() / p.meanRatio
}

// Naive places all slices anew, the largest first, each on the least loaded server. It is
// the baseline for Plan: the best balance that a greedy rule reaches, at the price of moving
// nearly everything.
func Naive(in Input) []ident.Server {
	fresh := in
	fresh.Owners = make([]ident.Server, len(in.Owners))
	fresh.Hot = nil
	fresh.Band = Band{}
	return applyMoves(fresh, Plan(fresh))
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

// ringPoint is a point of a server on the bounded-load ring.
type ringPoint struct {
	hash   uint64
	server ident.Server
}

// boundedLoads walks the ring from each slice's hash to the first server whose load would
// stay within c times the mean.
func boundedLoads(in Input, c float64) []ident.Server {
	var points []ringPoint
	total, n := 0.0, 0.0
	for _, x := range in.Servers {
		if !x.Accepting {
			continue
		}
		n++
		for v := range ringPoints {
			points = append(points, ringPoint{hash: xxhash.Sum64String(string(x.ID) + "#" + strconv.Itoa(v)), server: x.ID})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	for _, l := range in.Loads {
		total += l
	}
	owners := make([]ident.Server, len(in.Owners))
	loads := map[ident.Server]float64{}
	for s, l := range in.Loads {
		h := xxhash.Sum64String("slice " + strconv.Itoa(s))
		i, _ := slices.BinarySearchFunc(points, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
		for k := range points {
			p := points[(i+k)%len(points)]
			owners[s] = p.server
			if loads[p.server]+l <= c*total/n {
				break
			}
		}
		loads[owners[s]] += l
	}
	return owners
}
