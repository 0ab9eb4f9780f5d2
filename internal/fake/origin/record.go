package origin

import (
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Served is one request that the server ran, by its own record. Checkers of
// "one owner" and "at most once" read these, not the router's view.
type Served struct {
	Server ident.Server
	ID     ident.Request
	Key    ident.Key
	At     time.Time
	Fence  ident.Fence // of the lease that covered the key
	Bytes  int64       // of the body, once it was read
}

// Record collects what servers ran. Several servers may share one. The zero
// value works.
type Record struct {
	mu  sync.Mutex
	all []*Served
}

// All returns a copy of the entries so far, in the order they ran.
func (r *Record) All() []Served {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Served, len(r.all))
	for i, s := range r.all {
		all[i] = *s
	}
	return all
}

// Count says how often a request id ran.
func (r *Record) Count(id ident.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.all {
		if s.ID == id {
			n++
		}
	}
	return n
}

func (r *Record) add(s Served) *Served {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, &s)
	return &s
}

func (r *Record) finish(s *Served, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Bytes = n
}
