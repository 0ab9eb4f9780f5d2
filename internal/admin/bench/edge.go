package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/perf"
)

// Latency measures what one entry VM adds to a request on loopback.
func Latency(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "What one entry VM adds",
		Note: fmt.Sprintf("Requests at %d a second on loopback, direct and through one entry VM in turn, everything in one process; "+
			"arrivals do not wait for answers.", perf.DefaultRate),
	}
	opts := perf.Options{}
	if o.Quick {
		opts.Rounds, opts.Round = 1, time.Second
	}
	r, err := perf.Latency(ctx, opts)
	if err != nil {
		return s, err
	}
	t := Table{Head: []string{"way", "p50", "p99", "p99.9", "req/s", "sent", "failed", "by status"}}
	for _, side := range []struct {
		name string
		perf.PathResult
	}{{"direct", r.Direct}, {"through an entry VM", r.Routed}} {
		t.Rows = append(t.Rows, []string{
			side.name, side.P50.String(), side.P99.String(), side.P999.String(),
			fmt.Sprintf("%.0f", side.Rate), fmt.Sprint(side.Count), fmt.Sprint(side.Failed),
			codes(side.Codes),
		})
	}
	s.Tables = append(s.Tables, t)
	s.Figures = append(s.Figures,
		Figure{Name: "added latency, p50", Value: micros(r.P50), Unit: "µs", Better: Lower},
		Figure{Name: "added latency, p99", Value: micros(r.P99), Unit: "µs", Better: Lower, Target: "< 1000 µs"},
		// A direct call knows the owner of the moment in which it leaves, so one
		// whose key moves on the way meets 421; holding such requests is the
		// router's work, and only its own failures count here.
		Figure{Name: "failed requests, through the entry VM", Value: float64(r.Routed.Failed), Unit: "requests", Better: Lower, Target: "0"},
	)
	return s, s.path()
}

// codes renders failures by status, "no answer" for those without one.
func codes(by map[int]int64) string {
	parts := make([]string, 0, len(by))
	for _, code := range slices.Sorted(maps.Keys(by)) {
		name := strconv.Itoa(code)
		if code == 0 {
			name = "no answer"
		}
		parts = append(parts, fmt.Sprintf("%s: %d", name, by[code]))
	}
	return strings.Join(parts, ", ")
}

// pathRequests is how many requests the allocations are a mean of.
const pathRequests = 5000

// path adds the request path alone, without sockets.
func (s *Section) path() error {
	p, err := perf.NewPath()
	if err != nil {
		return err
	}
	defer p.Close()
	allocs, bytes, took, err := p.Allocs(pathRequests)
	if err != nil {
		return err
	}
	s.Figures = append(s.Figures,
		Figure{Name: "request path without sockets", Value: micros(took), Unit: "µs", Better: Lower},
		Figure{Name: "allocations of a request", Value: allocs, Unit: "a request", Better: Lower},
		Figure{Name: "memory allocated for a request", Value: bytes, Unit: "bytes", Better: Lower},
	)
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
