package host

import (
	"maps"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// loadCounts counts requests by key cell and response times by server since the last
// report to the leader.
type loadCounts struct {
	mu    sync.Mutex
	cells map[ident.Service]poll.CellCounts
	sums  map[ident.Server]assign.LatencySum
}

func newLoadCounts() *loadCounts {
	return &loadCounts{cells: map[ident.Service]poll.CellCounts{}, sums: map[ident.Server]assign.LatencySum{}}
}

// countRequest counts a request for a key.
func (c *loadCounts) countRequest(svc ident.Service, key ident.Key) {
	cell, ok := ranges.CellOf(key)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cells[svc] == nil {
		c.cells[svc] = poll.CellCounts{}
	}
	c.cells[svc][cell]++
}

// countAnswer records how long a server took to answer.
func (c *loadCounts) countAnswer(s ident.Server, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.sums[s]
	sum.N++
	sum.Total += took
	c.sums[s] = sum
}

// drain returns the counts and resets them.
func (c *loadCounts) drain() (map[ident.Service]poll.CellCounts, map[ident.Server]assign.LatencySum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cells, sums := c.cells, c.sums
	c.cells, c.sums = map[ident.Service]poll.CellCounts{}, map[ident.Server]assign.LatencySum{}
	return cells, sums
}

// restore adds counts that could not be reported back to the current ones.
func (c *loadCounts) restore(cells map[ident.Service]poll.CellCounts, sums map[ident.Server]assign.LatencySum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for svc, all := range cells {
		for cell, n := range c.cells[svc] {
			all[cell] += n
		}
		c.cells[svc] = all
	}
	for s, sum := range sums {
		have := c.sums[s]
		c.sums[s] = assign.LatencySum{N: have.N + sum.N, Total: have.Total + sum.Total}
	}
	maps.DeleteFunc(c.cells, func(_ ident.Service, all poll.CellCounts) bool { return len(all) == 0 })
}
