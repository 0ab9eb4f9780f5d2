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

// counts are what this VM saw of keys and servers since the leader was last told.
type counts struct {
	mu    sync.Mutex
	cells map[ident.Service]poll.CellCounts
	sums  map[ident.Server]assign.LatencySum
}

func newCounts() *counts {
	return &counts{cells: map[ident.Service]poll.CellCounts{}, sums: map[ident.Server]assign.LatencySum{}}
}

// asked notes a request for a key.
func (c *counts) asked(svc ident.Service, key ident.Key) {
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

// answered notes how long a server took.
func (c *counts) answered(s ident.Server, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.sums[s]
	sum.N++
	sum.Total += took
	c.sums[s] = sum
}

// take returns what was counted and begins anew.
func (c *counts) take() (map[ident.Service]poll.CellCounts, map[ident.Server]assign.LatencySum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cells, sums := c.cells, c.sums
	c.cells, c.sums = map[ident.Service]poll.CellCounts{}, map[ident.Server]assign.LatencySum{}
	return cells, sums
}

// back puts what could not be told back.
func (c *counts) back(cells map[ident.Service]poll.CellCounts, sums map[ident.Server]assign.LatencySum) {
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
