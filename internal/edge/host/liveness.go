package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// liveness returns what the list of servers shows about a process. Where servers do not
// state when they started, each process has a name of its own. After an outage the store may
// go on listing servers that ended during it.
func (t *serverTracker) liveness(p ident.Process) poison.Liveness {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.members.Uncertain(now) || t.members.Missing(p.Server) {
		return poison.Unknown
	}
	e, listed := t.members.Has(p.Server)
	current := e.Value.Process()
	switch {
	case !listed, current.Replaces(p):
		return poison.Gone
	case current == p && t.members.Settled(now, poison.LivenessGrace):
		return poison.Alive
	}
	return poison.Unknown
}

// livenessSince returns what the list shows about the process of a crash since then. The
// list is as old as the last answer of the store: a VM that was suspended goes on with the
// list of before.
func (t *serverTracker) livenessSince(c poison.Crash) poison.Liveness {
	live := t.liveness(c.Process)
	t.mu.Lock()
	defer t.mu.Unlock()
	if live == poison.Alive && t.answeredAt.Sub(c.At) < poison.LivenessGrace {
		return poison.Unknown
	}
	return live
}

// endings returns how each of the processes has ended.
func (t *serverTracker) endings(processes []ident.Process) map[ident.Process]poison.Ending {
	all := make(map[ident.Process]poison.Ending, len(processes))
	for _, p := range processes {
		if t.liveness(p) != poison.Gone {
			continue
		}
		all[p] = poison.Ended
		if t.announced(p) {
			all[p] = poison.Left
		}
	}
	return all
}

// announced reports whether a process announced that it leaves, also if it is not listed
// any more.
func (t *serverTracker) announced(p ident.Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left.has(p)
}

// leftTime is how long a process that is not listed any more is known to have announced
// that it leaves. Requests that it did not finish may end that much later.
const leftTime = 10 * time.Minute

// departures holds the processes that have announced that they leave, with the time at
// which they were last listed. The zero value is empty.
type departures struct{ lastListed map[ident.Process]time.Time }

// update adds the processes that are leaving by a list, and removes old ones.
func (d *departures) update(now time.Time, list []feed.Server) {
	if d.lastListed == nil {
		d.lastListed = map[ident.Process]time.Time{}
	}
	for _, s := range list {
		if s.Leaving {
			d.lastListed[s.Process()] = now
		} else {
			delete(d.lastListed, s.Process())
		}
	}
	for p, at := range d.lastListed {
		if now.Sub(at) >= leftTime {
			delete(d.lastListed, p)
		}
	}
}

func (d *departures) has(p ident.Process) bool {
	_, ok := d.lastListed[p]
	return ok
}
