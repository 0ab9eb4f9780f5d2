package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// RunAll simulates every scenario under both policies, four runs at a time, and returns
// the rows in the order of the scenarios, Ours before Naive.
func RunAll(scenarios []Scenario, seed uint64) ([]Row, error) {
	const workers = 4
	results := make([][]Row, 2*len(scenarios))
	var g group.Group
	var mu sync.Mutex
	next := 0
	for range workers {
		g.Go(func(context.Context) error {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(results) {
					return nil
				}
				results[i] = Run(scenarios[i/2], Policy(i%2), seed)
			}
		})
	}
	err := g.Wait()
	var rows []Row
	for _, r := range results {
		rows = append(rows, r...)
	}
	return rows, err
}

// Table writes rows as a Markdown table.
func Table(w io.Writer, rows []Row) error {
	const head = "| service | scene | window | policy | group | asked | in time | refused | unknown | p50 ms | p99 ms | p999 ms | refused within (p99) ms | refused after 10 ms | goodput | imbalance | extra |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, r := range rows {
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %s | %s | %d | %.4f | %.4f | %.4f | %.1f | %.1f | %.1f | %.1f | %.4f | %.3f | %.2f | %.3f |\n",
			r.Service, r.Scenario, r.Window, r.Policy, r.Group, r.Asked,
			r.fraction(r.InTime), r.fraction(r.Refused), r.fraction(r.Unknown),
			millis(r.P50), millis(r.P99), millis(r.P999), millis(r.RefuseP99), r.fraction(r.RefusedLate),
			r.Goodput, r.Imbalance, r.Extra)
		if err != nil {
			return err
		}
	}
	return nil
}

// fraction returns n as a share of the group's requests.
func (r Row) fraction(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
