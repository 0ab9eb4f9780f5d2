package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// chooseServer returns a server with room for the request, nil if there is none.
func (c *Core) chooseServer(now time.Time, owner *server, t *Ticket) *server {
	switch {
	case owner != nil && owner.hasRoomKeyed(now) && (t.sizeKind == sizes.Short || c.mayStartLongKeyed(now, owner)):
		return owner
	case owner != nil:
		return nil
	case t.sizeKind == sizes.Long:
		return c.chooseForLong(now)
	}
	skip := -1
	if s := c.byName[t.Job.avoid]; s != nil {
		skip = s.idx
	}
	c.scoreTime = now
	i := c.available.Choose(c.rng, skip, c.score)
	if i < 0 {
		return nil
	}
	if n := c.availableLocal.Choose(c.rng, skip, c.score); n >= 0 && n != skip && c.preferLocal(t, n, i) {
		i = n
	}
	return c.servers[c.preferWarm(now, i, skip)]
}

// preferLocal reports whether a request goes to a server in this data centre, and not to the
// one that is the best anywhere.
//
// A way between data centres costs a request 3 ms, which nobody notices, and its bytes
// are paid for: a lookup's answer of 5 KB costs its users a third of what it is worth to
// them where bytes are dear. So what a far server saves its caller is measured by the
// time within which the answer is wanted. Near servers that take twice as long, or are
// busy for the moment, still serve in time; ones that are overrun, because callers moved
// here or most servers of this data centre left, do not.
//
// Gains 0.049 of a day's worth where bytes are dear (0.666 -> 0.715 over 18 days, nearGain
// alone before).
func (c *Core) preferLocal(t *Ticket, near, best int) bool {
	n, b := &c.servers[near].load, &c.servers[best].load
	if t.Job.LatencyTarget > 0 && n.FailureRate() <= maxLocalFailureRate && n.AnswerLatency()-b.AnswerLatency() <= t.Job.LatencyTarget {
		return true
	}
	return c.score(near) <= c.score(best)*localPreferenceFor(t.Job.Bytes)
}

// Preference for servers in the own data centre.
const (
	// localPreference is how much worse a near server may look and still be taken for a small
	// request that nobody named an aim for. Half a step of queueing is some tens of
	// milliseconds; a way between data centres costs 3 ms, and its bytes are paid for.
	localPreference = 1.4
	// localPreferenceBulk is the same for a request whose body is bulk bytes or more: sending it
	// elsewhere costs as much as a fifth of what such an upload is worth to its users.
	localPreferenceBulk = 3.0
	bulkBytes           = 16 << 10
	// maxLocalFailureRate is the share of a near server's attempts that may fail: beyond half of
	// them, an answer's time says nothing of what a request there can expect.
	maxLocalFailureRate = 0.5
)

// localPreferenceFor is how many times worse a near server may be than one elsewhere.
func localPreferenceFor(bytes int64) float64 {
	if bytes >= bulkBytes {
		return localPreferenceBulk
	}
	return localPreference
}

// updateAvailable notes whether a server has room for a request that may go anywhere.
func (c *Core) updateAvailable(now time.Time, s *server) {
	room := s.hasRoom(now)
	c.available.Put(s.idx, room)
	if c.cfg.Centre != "" {
		c.availableLocal.Put(s.idx, room && s.info.Centre == c.cfg.Centre)
	}
	c.updateWarm(now, s, room)
}

// chooseForLong looks for a server where this VM owns a free long slot, from a
// random one on.
func (c *Core) chooseForLong(now time.Time) *server {
	n := len(c.servers)
	from := c.rng.IntN(n)
	var best *server
	for k := range n {
		s := c.servers[(from+k)%n]
		if !s.hasRoom(now) || !c.mayStartLongShared(now, s) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	return best
}

// mayStartLongShared reports whether another long request may run on the server.
func (c *Core) mayStartLongShared(now time.Time, s *server) bool {
	return !c.classifier.Mixed(now) || s.runningLong < c.share.Long(s.idx, len(c.servers), s.info.Slots)
}
