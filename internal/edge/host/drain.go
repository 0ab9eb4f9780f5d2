package host

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// defaultDrain is how long a leaving server may get requests, if the platform sets no bound.
const defaultDrain = 2 * time.Second

// drainShare is the fraction of the drain time in which a leaving server may get requests
// for keys that it still owns. The rest covers the transit of the requests and the delay
// until this VM learned that the server leaves.
const drainShare = 0.55

// trackLeaving records when each server was first seen to leave. The caller holds mu.
func (t *serverTracker) trackLeaving(now time.Time, list []feed.Server) {
	t.left.update(now, list)
	t.statesStart = slices.ContainsFunc(list, func(s feed.Server) bool { return s.Incarnation != 0 })
	next := make(map[ident.Server]time.Time)
	for _, s := range list {
		if !t.isLeaving(s) {
			continue
		}
		next[s.Name] = now
		if since, known := t.leavingSince[s.Name]; known {
			next[s.Name] = since
		}
	}
	t.leavingSince = next
	maps.DeleteFunc(t.dropped, func(s ident.Server, _ bool) bool { _, leaving := next[s]; return !leaving })
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
