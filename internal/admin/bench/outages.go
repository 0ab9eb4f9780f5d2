package bench

import (
	"context"
	"fmt"

	"hawthornfield.org/hawthornfield/internal/owner/outage"
)

// The number of simulated histories for each fault and mode.
const (
	ownerRuns      = 100
	ownerRunsQuick = 10
)

// Outages measures how long a key has no owner that serves it, for each kind of fault.
func Outages(ctx context.Context, o Options) (Section, error) {
	runs := ownerRuns
	if o.Quick {
		runs = ownerRunsQuick
	}
	s := Section{
		Title: "Unavailable time of a key, by fault",
		Note: fmt.Sprintf("The seats' own decision modules over a simulated clock, network and store, %d histories for each fault and mode, "+
			"judged by the stand-in backend servers' records; beside them a plain lease for each server in the store.", runs),
	}
	broken := 0
	rows := outage.Run(loadSeed, runs)
	for _, r := range rows {
		name := r.Fault + ", careful"
		if r.FenceChecks {
			name = r.Fault + ", servers check"
		}
		if r.Standby {
			name += ", stand-by"
		}
		s.Figures = append(s.Figures, Figure{Name: name + ": p99", Value: millis(r.P99), Unit: "ms", Better: Lower})
		broken += r.Violations
	}
	s.Figures = append(s.Figures, Figure{Name: "histories in which a promise was broken", Value: float64(broken), Unit: "histories", Better: Lower, Target: "0"})
	s.Tables = []Table{parseTable(outage.Markdown(rows))}
	return s, ctx.Err()
}
