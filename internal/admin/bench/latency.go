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

// Latency measures the latency that one entry VM adds to requests over loopback.
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
	for _, path := range []struct {
		name string
		perf.PathResult
	}{{"direct", r.Direct}, {"through an entry VM", r.Routed}} {
		t.Rows = append(t.Rows, []string{
			path.name, path.P50.String(), path.P99.String(), path.P999.String(),
			fmt.Sprintf("%.0f", path.Rate), fmt.Sprint(path.Count), fmt.Sprint(path.Failed),
			formatCodes(path.Codes),
		})
	}
	s.Tables = append(s.Tables, t)
	s.Figures = append(s.Figures,
		Figure{Name: "added latency, p50", Value: micros(r.P50), Unit: "µs", Better: Lower},
		Figure{Name: "added latency, p99", Value: micros(r.P99), Unit: "µs", Better: Lower, Target: "< 1000 µs"},
		// Failures of direct requests are not counted. A direct request is sent to the
		// current owner of its key, and fails with status 421 if the key moves meanwhile.
		// The router holds such requests instead, so its own failures do count.
		Figure{Name: "failed requests, through the entry VM", Value: float64(r.Routed.Failed), Unit: "requests", Better: Lower, Target: "0"},
	)
	return s, s.addRequestPath()
}

// formatCodes formats the numbers of failures by status. Status 0 means no answer.
func formatCodes(by map[int]int64) string {
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

// allocRequests is the number of requests over which allocations are averaged.
const allocRequests = 5000

// addRequestPath adds the time and allocations of the request path without sockets.
func (s *Section) addRequestPath() error {
	p, err := perf.NewPath()
	if err != nil {
		return err
	}
	defer p.Close()
	allocs, bytes, took, err := p.Allocs(allocRequests)
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
