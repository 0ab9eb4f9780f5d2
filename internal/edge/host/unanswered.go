package host

import (
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// unansweredAttempts holds attempts that ended without an answer. It has its own lock, so
// that requests that time out do not wait for the table of suspected requests.
type unansweredAttempts struct {
	mu       sync.Mutex
	attempts poison.Unanswered
}

func (u *unansweredAttempts) add(a poison.Attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts.Add(a)
}

func (u *unansweredAttempts) clear(p poison.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts.Clear(p)
}

func (u *unansweredAttempts) processes() []ident.Process {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Processes()
}

func (u *unansweredAttempts) settle(now time.Time, endings map[ident.Process]poison.Ending) []poison.Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Settle(now, endings)
}

// ReportUnanswered records that an attempt was sent to a process and ended without an
// answer. It puts the request under suspicion only once the process has ended.
func (q *quarantine) ReportUnanswered(p poison.Fingerprint, to ident.Process, id ident.Request) {
	q.unanswered.add(poison.Attempt{Fingerprint: p, ID: id, Process: to, At: clock.Now()})
}

// accuseUnanswered records a crash for each attempt without an answer whose process has
// ended.
func (q *quarantine) accuseUnanswered() {
	processes := q.unanswered.processes()
	if len(processes) == 0 {
		return
	}
	crashed := q.unanswered.settle(clock.Now(), q.parts.Servers.endings(processes))
	if len(crashed) == 0 {
		return
	}
	counts := make([]int, len(crashed))
	q.update(func(time.Time) {
		for i, a := range crashed {
			counts[i] = q.record(a.At, a.Fingerprint, a.Process, a.Announced)
		}
	})
	for i, a := range crashed {
		q.logCrash(a.Fingerprint, a.Process, a.ID, counts[i])
	}
}
