package host

import (
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
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

func (u *unansweredAttempts) servers() []ident.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Servers()
}

func (u *unansweredAttempts) settle(now time.Time, endings map[ident.Server]poison.Ending) []poison.Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts.Settle(now, endings)
}

// ReportUnanswered records that an attempt was sent to a server and ended without an
// answer. It puts the request under suspicion only once the server has ended.
func (q *quarantine) ReportUnanswered(p poison.Fingerprint, s ident.Server, id ident.Request) {
	q.unanswered.add(poison.Attempt{Fingerprint: p, ID: id, Server: s, At: clock.Now()})
}

// accuseUnanswered records a crash for each attempt without an answer whose server has
// ended without an announcement.
func (q *quarantine) accuseUnanswered() {
	servers := q.unanswered.servers()
	if len(servers) == 0 {
		return
	}
	crashed := q.unanswered.settle(clock.Now(), q.parts.Servers.endings(servers))
	if len(crashed) == 0 {
		return
	}
	counts := make([]int, len(crashed))
	q.update(func(time.Time) {
		for i, a := range crashed {
			counts[i] = q.table.RecordCrash(a.At, a.Fingerprint, a.Server)
		}
	})
	for i, a := range crashed {
		q.logCrash(a.Fingerprint, a.Server, a.ID, counts[i])
	}
}

// endings returns how each of the servers has ended.
func (t *serverTracker) endings(servers []ident.Server) map[ident.Server]poison.Ending {
	all := make(map[ident.Server]poison.Ending, len(servers))
	for _, s := range servers {
		live, leaving := t.liveness(s)
		switch {
		case leaving || t.hasLeft(s):
			all[s] = poison.Left
		case live == poison.Gone:
			all[s] = poison.Ended
		}
	}
	return all
}

// hasLeft reports whether a server that is not listed announced that it leaves.
func (t *serverTracker) hasLeft(s ident.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left.has(s)
}

// leftTime is how long a server is known to have left. Requests that it did not finish may
// end that much later.
const leftTime = 10 * time.Minute

// departures holds the servers that left after they had announced it, with the time at
// which they were first missing from the list. The zero value is empty.
type departures struct{ since map[ident.Server]time.Time }

// update adds the servers that were leaving and are not listed any more, and removes those
// that are listed again and old ones.
func (d *departures) update(now time.Time, leaving map[ident.Server]time.Time, list []feed.Server) {
	if d.since == nil {
		d.since = map[ident.Server]time.Time{}
	}
	for s := range leaving {
		d.since[s] = now
	}
	for _, s := range list {
		delete(d.since, s.Name)
	}
	for s, at := range d.since {
		if now.Sub(at) >= leftTime {
			delete(d.since, s)
		}
	}
}

func (d *departures) has(s ident.Server) bool {
	_, ok := d.since[s]
	return ok
}
