package host

import (
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// unansweredAttempts holds attempts that ended without an answer. It has its own lock, so
// that requests that time out do not wait for the table of suspected requests.
type unansweredAttempts struct {
	nonEmpty atomic.Bool
	mu       sync.Mutex
	attempts poison.Unanswered
}

// lock locks mu until the returned function is called, which updates nonEmpty.
func (u *unansweredAttempts) lock() (unlock func()) {
	u.mu.Lock()
	return func() {
		u.nonEmpty.Store(!u.attempts.IsEmpty())
		u.mu.Unlock()
	}
}

func (u *unansweredAttempts) add(a poison.Attempt) {
	defer u.lock()()
	u.attempts.Add(a)
}

func (u *unansweredAttempts) has(h *poison.Head) bool {
	if h == nil || !u.nonEmpty.Load() {
		return u.nonEmpty.Load()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Has(*h)
}

func (u *unansweredAttempts) clear(p poison.Fingerprint) {
	defer u.lock()()
	u.attempts.Clear(clock.Now(), p)
}

func (u *unansweredAttempts) processes() []ident.Process {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Processes()
}

func (u *unansweredAttempts) settle(now time.Time, endings map[ident.Process]poison.Ending) []poison.Attempt {
	defer u.lock()()
	return u.attempts.Settle(now, endings)
}

// ReportUnanswered records that an attempt was sent to a process and ended without an
// answer. It puts the request under suspicion only once the process has ended.
func (q *quarantine) ReportUnanswered(a poison.Attempt) {
	a.At = clock.Now()
	q.unanswered.add(a)
}

// Unanswered reports whether an attempt of a request with this head ended without an answer.
// With a nil head it reports whether any did.
func (q *quarantine) Unanswered(h *poison.Head) bool { return q.unanswered.has(h) }

// accuseUnanswered records a crash for each attempt without an answer whose process has
// ended.
func (q *quarantine) accuseUnanswered() {
	processes := q.unanswered.processes()
	if len(processes) == 0 {
		return
	}
	crashed := q.unanswered.settle(clock.Now(), q.parts.Servers.observe(processes).endings())
	if len(crashed) == 0 {
		return
	}
	counts := make([]int, len(crashed))
	q.update(func(time.Time) {
		for i, a := range crashed {
			counts[i] = q.table.Record(a)
		}
	})
	for i, a := range crashed {
		q.logCrash(a, counts[i])
	}
}
