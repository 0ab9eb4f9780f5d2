package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// observation is what the list of servers shows about some processes.
type observation struct {
	asOf      time.Time // the list is at least as new, on the boot clock
	live      map[ident.Process]poison.Liveness
	ended     map[ident.Process]bool // those that are not listed, or whose server is listed as another process
	announced map[ident.Process]bool // those that announced that they leave
}

// since returns what the list shows about the process of a crash since then. A VM that was
// suspended goes on with the list of before.
func (o *observation) since(c poison.Crash) poison.Liveness {
	live := o.live[c.Process]
	if live == poison.Alive && o.asOf.Sub(c.At) < poison.LivenessGrace {
		return poison.Unknown
	}
	return live
}

// endings returns how each of the processes has ended. They must be of this VM's list, since
// another VM may have a newer one, with processes that are not listed here yet.
func (o *observation) endings() map[ident.Process]poison.Ending {
	all := map[ident.Process]poison.Ending{}
	for p, ended := range o.ended {
		switch {
		case !ended:
		case o.announced[p]:
			all[p] = poison.Left
		default:
			all[p] = poison.Ended
		}
	}
	return all
}

// observe returns what the list of servers shows about processes. The caller must not hold
// the lock of the table of suspected requests: publish locks the hub, which locks the table.
func (t *serverTracker) observe(processes []ident.Process) *observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &observation{asOf: t.asOf, live: map[ident.Process]poison.Liveness{}, ended: map[ident.Process]bool{}, announced: map[ident.Process]bool{}}
	now := time.Now()
	for _, p := range processes {
		if t.left.has(p) {
			o.announced[p] = true
		}
		if !t.isUncertain(now, p.Server) {
			o.live[p], o.ended[p] = t.liveness(now, p)
		}
	}
	return o
}

// isUncertain reports whether the list shows nothing about a server because of an outage of
// the store. While the leader says that the store answers it, the list here is the leader's.
// The caller holds mu.
func (t *serverTracker) isUncertain(now time.Time, s ident.Server) bool {
	vouched := now.Sub(t.vouchedAt) < poll.PeerTimeout
	return t.members.Uncertain(now) && !vouched || t.members.Missing(s)
}

// liveness returns what the list of servers shows about a process, and whether it has ended.
// Where some servers state when they started, one that does not is never known to be alive,
// since another process may have its name; where none does, each process has a name of its
// own. After an outage the store may go on listing servers that ended during it. The caller
// holds mu.
func (t *serverTracker) liveness(now time.Time, p ident.Process) (live poison.Liveness, ended bool) {
	e, listed := t.members.Has(p.Server)
	current := e.Value.Process()
	switch {
	case !listed:
		return poison.Unlisted, true
	case current.Replaces(p):
		return poison.Gone, true
	case current == p && (p.Incarnation != 0 || !t.statesStart) && t.members.Settled(now, poison.LivenessGrace):
		return poison.Alive, false
	}
	return poison.Unknown, !current.Is(p)
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

// has reports whether a process may be one that announced that it leaves.
func (d *departures) has(p ident.Process) bool {
	_, exact := d.lastListed[p]
	_, unstated := d.lastListed[ident.Process{Server: p.Server}]
	return exact || unstated || p.Incarnation == 0 && d.hasServer(p.Server)
}

func (d *departures) hasServer(s ident.Server) bool {
	for p := range d.lastListed {
		if p.Server == s {
			return true
		}
	}
	return false
}
