package relay

import (
	"slices"
	"sync"
)

// Refusals are the connections on which servers have refused earlier attempts of one request.
// All attempts have the request's id, so a refusal that is sent once more would pass for the
// answer to the next attempt on its connection. The zero value holds none, a nil pointer records
// none; the methods are safe for concurrent use.
type Refusals struct {
	mu    sync.Mutex
	conns []*conn
}

func (r *Refusals) add(c *conn) {
	if r == nil || c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *Refusals) contains(c *conn) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.conns, c)
}
