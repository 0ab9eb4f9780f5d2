package origin

import (
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Served is one request that a server ran, as recorded by the server. Checks of "one
// owner" and "at most once" read these records, not the router's view.
type Served struct {
	Server ident.Server
	ID     ident.Request
	Key    ident.Key
	At     time.Time
	Fence  ident.Fence // of the lease that covered the key
	Bytes  int64       // length of the request's body, set after it was read
}

// Record collects the requests that servers ran. Several servers may share one. The
// zero value is ready to use.
type Record struct {
	mu  sync.Mutex
	all []*Served
}

// All returns a copy of the entries so far, in the order in which they started.
func (r *Record) All() []Served {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Served, len(r.all))
	for i, s := range r.all {
		all[i] = *s
	}
	return all
}

// Count returns how many times a request id ran.
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
