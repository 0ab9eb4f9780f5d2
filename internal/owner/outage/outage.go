// Package outage measures what faults cost: for each fault of the design note
// it runs the lessors in the simulated fleet of package world under many seeds,
// and reports how long a key had no server that served it.
//
// The time is that of the fake clock, so the figures do not depend on the
// machine. They count from the moment of the fault, over the keys of the
// affected server (or over all keys, if the fault affects no server), and give
// the worst key of each run. Beside each stands a naive baseline: a lease for
// each server in the store, renewed there (naive.go).
package outage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
)

// Row is one line of the fault table.
type Row struct {
	Mode
	Fault string
	Runs  int
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
	Moves float64 // keys moved in a run, on average
	// Violations counts runs in which a safety property was broken. It must be
	// zero.
	Violations int
	// Unavailable time of the naive baseline under the same fault.
	NaiveP50, NaiveP99, NaiveMax time.Duration
}

// Mode is how a service's servers and its settings are set up.
type Mode struct {
	FenceChecks bool // its servers check fences
	Standby     bool // a standby serves for a lost server while the store is down
}

// Modes are measured for every fault.
var Modes = []Mode{{}, {FenceChecks: true}, {Standby: true}, {FenceChecks: true, Standby: true}}

func (m Mode) String() string {
	name := "careful"
	if m.FenceChecks {
		name = "checks"
	}
	if m.Standby {
		name += ", stand-by"
	}
	return name
}

// workers bounds how many simulations run at once.
const workers = 6

type outcome struct {
	unavailable time.Duration
	moves       int
	violated    bool
	naive       time.Duration
}

// Run measures every fault in every mode, except standbys in the long
// histories: no server is lost in those, and they take most of a run's time.
func Run(seed uint64, runs int) []Row {
	var rows []Row
	for _, f := range Faults {
		for _, m := range Modes {
			if !m.Standby || !f.smallFleet {
				rows = append(rows, Measure(f, seed, runs, m))
			}
		}
	}
	return rows
}

// Measure runs one fault under as many seeds as runs says, counted from seed.
func Measure(f Fault, seed uint64, runs int, m Mode) Row {
	got := make([]outcome, runs)
	var g group.Group
	for k := range workers {
		g.Go(func(context.Context) error {
			for i := k; i < runs; i += workers {
				got[i] = runOnce(f, seed+uint64(i), m)
			}
			return nil
		})
	}
	_ = g.Wait() // the functions above return no error
	return summary(f, m, got)
}

// runOnce runs one history: start, fault at a random phase, and time to
// recover.
func runOnce(f Fault, seed uint64, m Mode) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	o := world.Options{
		Seed: seed, FenceChecks: m.FenceChecks, Standby: m.Standby, Skew: 5, Term: f.term,
		VMs: 6, Servers: 6, Slices: 18, Centres: 3, NewWriter: newBatchingWriter,
	}
	if f.smallFleet {
		o.VMs, o.Servers, o.Slices = 3, 3, 3
	}
	w := world.New(o)
	at := warmup + time.Duration(rng.Int64N(int64(time.Second)))
	w.Run(at)
	before := w.Count.Moves
	hit := f.inject(w, w.Servers[rng.IntN(len(w.Servers))])
	w.Run(at + f.horizon)
	var out outcome
	for x := range o.Slices {
		if hit == nil || hit(x) {
			out.unavailable = max(out.unavailable, w.Unavailable(x, at, at+f.horizon))
		}
	}
	out.moves = w.Count.Moves - before
	out.violated = len(w.Check()) > 0
	out.naive = f.naive(rng)
	return out
}

// newBatchingWriter gives each VM one writer of the table, as the daemon does.
func newBatchingWriter(c commit.Config) loop.Model { return commit.New(c) }

// warmup is long enough for every server to have a holder and a grant.
const warmup = 5 * time.Second

func summary(f Fault, m Mode, got []outcome) Row {
	r := Row{Fault: f.Name, Mode: m, Runs: len(got)}
	ours, naive := make([]time.Duration, 0, len(got)), make([]time.Duration, 0, len(got))
	for _, o := range got {
		ours, naive = append(ours, o.unavailable), append(naive, o.naive)
		r.Moves += float64(o.moves) / float64(len(got))
		if o.violated {
			r.Violations++
		}
	}
	r.P50, r.P99, r.Max = quantiles(ours)
	r.NaiveP50, r.NaiveP99, r.NaiveMax = quantiles(naive)
	return r
}

func quantiles(d []time.Duration) (p50, p99, most time.Duration) {
	if len(d) == 0 {
		return 0, 0, 0
	}
	slices.Sort(d)
	at := func(q int) time.Duration { return d[min(len(d)*q/100, len(d)-1)] }
	return at(50), at(99), d[len(d)-1]
}

// Markdown renders rows as a table, in milliseconds.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| fault | mode | p50 | p99 | max | keys moved | naive p50 | naive p99 | naive max |\n")
	b.WriteString("|---|---|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %.1f | %d | %d | %d |\n", r.Fault, r.Mode,
			r.P50.Milliseconds(), r.P99.Milliseconds(), r.Max.Milliseconds(), r.Moves,
			r.NaiveP50.Milliseconds(), r.NaiveP99.Milliseconds(), r.NaiveMax.Milliseconds())
	}
	return b.String()
}
