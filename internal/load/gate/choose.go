package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// chooseServer returns a server with room for the request, or nil if there is none. A
// request with an owner can only go there.
func (c *Core) chooseServer(now time.Time, owner *server, t *Ticket) *server {
	switch {
	case owner != nil && owner.hasRoomKeyed(now) && (t.sizeKind == sizes.Short || c.mayStartLongKeyed(now, owner)):
		return owner
	case owner != nil:
		return nil
	case t.sizeKind == sizes.Long:
		return c.chooseForLong(now)
	}
	c.scoreTime = now
	for c.available.Len() > 0 {
		if s := c.liveServer(now, c.chooseAvailable(now, t)); s != nil {
			return s
		}
	}
	return nil
}

// chooseAvailable returns the index of the available server that suits a request best.
func (c *Core) chooseAvailable(now time.Time, t *Ticket) int {
	skip := -1
	if s := c.byName[t.Job.avoid]; s != nil {
		skip = s.idx
	}
	t.expect = Expectation{}
	if c.silent && c.knowsFleet(now) {
		return c.chooseCompletion(now, t, skip)
	}
	i := c.available.Choose(c.rng, skip, c.score)
	if local := c.availableLocal.Choose(c.rng, skip, c.score); local >= 0 && local != skip && c.preferLocal(t, local, i) {
		i = local
	}
	return c.preferWarm(now, i, skip)
}

// preferLocal reports whether the request goes to a server in this data centre rather
// than to the best one anywhere.
//
// Crossing between data centres costs a request 3 ms, which nobody notices, and its
// bytes are paid for: where bytes are expensive, a lookup's answer of 5 KB costs its
// users a third of what it is worth to them. So the latency that a remote server saves
// is compared with LatencyTarget. Local servers that take twice as long, or are busy
// for the moment, still answer in time; overloaded ones, because callers moved to this
// data centre or most of its servers left, do not.
//
// Where bytes are expensive this raises the daily value to users by 0.049, from 0.666
// to 0.715 over 18 days, compared with localPreference alone.
func (c *Core) preferLocal(t *Ticket, local, best int) bool {
	l, b := &c.servers[local].load, &c.servers[best].load
	if t.Job.LatencyTarget > 0 && l.FailureRate() <= maxLocalFailureRate && l.AnswerLatency()-b.AnswerLatency() <= t.Job.LatencyTarget {
		return true
	}
	return c.score(local) <= c.score(best)*localPreferenceFor(t.Job.Bytes)
}

// Preference for servers in this VM's data centre.
const (
	// localPreference is the factor by which a local server's score may be worse for a
	// small request without a latency target. A short queue adds some tens of
	// milliseconds; crossing between data centres costs 3 ms, and its bytes are paid
	// for.
	localPreference = 1.4
	// localPreferenceBulk is the same for a request with a body of bulkBytes or more:
	// sending it to another data centre costs as much as a fifth of what such an upload
	// is worth to its users.
	localPreferenceBulk = 3.0
	bulkBytes           = 16 << 10
	// maxLocalFailureRate is the share of a local server's attempts that may fail: if
	// more than half of them fail, the latency of its answers does not tell what a
	// request there can expect.
	maxLocalFailureRate = 0.5
)

// localPreferenceFor returns the factor by which a local server's score may be worse
// than that of the best server, for a body of this size.
func localPreferenceFor(bytes int64) float64 {
	if bytes >= bulkBytes {
		return localPreferenceBulk
	}
	return localPreference
}

// updateAvailable records whether a server has room for a request that may go to any
// server.
func (c *Core) updateAvailable(now time.Time, s *server) {
	room := s.hasRoom(now)
	c.available.Put(s.idx, room)
	if c.cfg.Centre != "" {
		c.availableLocal.Put(s.idx, room && s.info.Centre == c.cfg.Centre)
	}
	c.updateWarm(now, s, room)
	c.scheduleTurn(now, s)
}

// chooseForLong returns the least busy server on which this VM has a free slot for a
// long request, starting from a random one.
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

// mayStartLongShared reports whether this VM may run another long request on the
// server, for requests that may go to any server.
func (c *Core) mayStartLongShared(now time.Time, s *server) bool {
	return !c.classifier.Mixed(now) || s.runningLong < c.share.LongSlots(s.idx, len(c.servers), s.info.Slots)
}
