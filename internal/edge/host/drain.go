package host

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
)

// defaultDrain is how long a leaving server may get requests, if the platform sets no bound.
const defaultDrain = 2 * time.Second

// drainShare is the fraction of the drain time, from the announcement, in which a leaving server
// may get requests for keys that it still owns. The rest covers the transit of the requests, and
// the time that an announcement takes to the first VM.
const drainShare = 0.55

// news says how long ago what a VM has just heard can have happened. The time in which a leaving
// server may get requests runs from its announcement, however late a VM hears of it.
type news struct {
	age        time.Duration                  // of all that is not told
	leaving    map[ident.Server]time.Duration // for how long another VM has known that servers leave
	leavingAge time.Duration                  // how long ago it said so
}

// ageOf returns how long ago a server has announced that it leaves.
func (n news) ageOf(s ident.Server) time.Duration {
	if told, ok := n.leaving[s]; ok {
		return told + n.leavingAge
	}
	return n.age
}

// unknownNews returns the news that may have happened at any time since this VM knew the whole
// list. The caller holds mu.
func (t *serverTracker) unknownNews() news {
	age := t.hub.Age(poll.Servers)
	if age == 0 || age > t.drain {
		age = t.drain
	}
	return news{age: age}
}

// trackLeaving records since when each server leaves. The caller holds mu.
func (t *serverTracker) trackLeaving(now time.Time, list []feed.Server) {
	t.left.update(now, list)
	t.statesStart = slices.ContainsFunc(list, func(s feed.Server) bool { return s.Incarnation != 0 })
	next := make(map[ident.Server]time.Time)
	for _, s := range list {
		if !t.isLeaving(s) {
			continue
		}
		since, known := t.leavingSince[s.Name]
		if !known {
			since = now.Add(-t.leavingAge(s))
		}
		next[s.Name] = since
	}
	t.leavingSince = next
	maps.DeleteFunc(t.dropped, func(s ident.Server, _ bool) bool { _, leaving := next[s]; return !leaving })
}

// leavingAge returns how long ago a server said that it leaves, of which this VM has just heard.
// The caller holds mu.
func (t *serverTracker) leavingAge(s feed.Server) time.Duration {
	if !s.Leaving {
		r, _ := t.notices.reportOf(s.Process())
		return r.Age
	}
	return t.news.ageOf(s.Name)
}

// advanceLeaving applies what another VM tells of servers that are known to leave here, if they
// have done so for longer. The caller holds mu.
func (t *serverTracker) advanceLeaving(now time.Time) {
	next := maps.Clone(t.leavingSince)
	for name := range t.news.leaving {
		told := now.Add(-t.news.ageOf(name))
		if since, known := next[name]; known && told.Before(since) {
			next[name] = told
		}
	}
	t.leavingSince = next
}

// isLeaving reports whether a server leaves, by its entry or its own answers.
func (t *serverTracker) isLeaving(s feed.Server) bool {
	return s.Leaving || t.notices.of(s.Process()).Leaving
}

// drained reports whether a server announced so long ago that it leaves that it must get
// no more requests. By then its keys have other owners or their requests wait for one.
// The platform counts a later request as sent to a server that is gone.
func (t *serverTracker) drained(now time.Time, s feed.Server) bool {
	since, leaving := t.leavingSince[s.Name]
	return leaving && now.Sub(since) >= t.drainGrace()
}

// sendUntil returns when a server must get no more requests because it leaves or its data centre
// is evacuated, zero if neither holds. The caller holds mu.
func (t *serverTracker) sendUntil(s feed.Server) time.Time {
	var until time.Time
	if since, leaving := t.leavingSince[s.Name]; leaving {
		until = since.Add(t.drainGrace())
	}
	if since, evacuated := t.evacuated.Evacuated(s.Centre); evacuated {
		if due := since.Add(t.evacuationGrace()); until.IsZero() || due.Before(until) {
			until = due
		}
	}
	return until
}

// drainGrace returns how long after its announcement a leaving server may get requests for keys
// that it still owns.
func (t *serverTracker) drainGrace() time.Duration {
	return time.Duration(drainShare * float64(t.drain))
}

// markDrained marks the servers that have become drained since the last call and reports
// whether there are any.
func (t *serverTracker) markDrained(now time.Time) bool {
	found := false
	for name, since := range t.leavingSince {
		if !t.dropped[name] && now.Sub(since) >= t.drainGrace() {
			t.dropped[name], found = true, true
		}
	}
	return found
}
