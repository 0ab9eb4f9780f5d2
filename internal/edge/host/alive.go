package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// SendTime returns a time of the boot clock, at most reconcileInterval ago. An earlier time
// is safe, and costs no system call.
func (q *quarantine) SendTime() time.Time {
	tick := q.tick.Load()
	if tick == nil {
		return time.Time{}
	}
	return *tick
}

// ServerAnswered records that a process of a server ran during a time, because it answered.
func (q *quarantine) ServerAnswered(l poison.Life, s ident.Server) {
	if q.isAccused(s) {
		q.update(func(time.Time) { q.table.ServerAnswered(l, s) })
	}
}

func (q *quarantine) isAccused(s ident.Server) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Accused(s)
}
