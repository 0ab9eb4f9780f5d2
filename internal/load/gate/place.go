package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// place returns a server with room for the request, nil if there is none.
func (c *Core) place(now time.Time, owner *server, t *Ticket) *server {
	switch {
	case owner != nil && owner.roomKeyed(now) && (t.long == sizes.Short || c.longRoom(now, owner)):
		return owner
	case owner != nil:
		return nil
	case t.long == sizes.Long:
		return c.placeLong(now)
	}
	skip := -1
	if s := c.byName[t.Job.avoid]; s != nil {
		skip = s.idx
	}
	c.scoreAt = now
	i := c.open.Choose(c.rng, skip, c.score)
	if i < 0 {
		return nil
	}
	if n := c.near.Choose(c.rng, skip, c.score); n >= 0 && n != skip && c.stays(t, n, i) {
		i = n
	}
	return c.servers[c.warmer(now, i, skip)]
}

// stays reports whether a request goes to a server in this data centre, and not to the
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
func (c *Core) stays(t *Ticket, near, best int) bool {
	n, b := &c.servers[near].load, &c.servers[best].load
	if t.Job.LatencyTarget > 0 && n.FailureRate() <= mostFails && n.AnswerLatency()-b.AnswerLatency() <= t.Job.LatencyTarget {
		return true
	}
	return c.score(near) <= c.score(best)*farCost(t.Job.Bytes)
}

// Preference for servers in the own data centre.
const (
	// nearGain is how much worse a near server may look and still be taken for a small
	// request that nobody named an aim for. Half a step of queueing is some tens of
	// milliseconds; a way between data centres costs 3 ms, and its bytes are paid for.
	nearGain = 1.4
	// bulkGain is the same for a request whose body is bulk bytes or more: sending it
	// elsewhere costs as much as a fifth of what such an upload is worth to its users.
	bulkGain = 3.0
	bulk     = 16 << 10
	// mostFails is the share of a near server's attempts that may fail: beyond half of
	// them, an answer's time says nothing of what a request there can expect.
	mostFails = 0.5
)

// farCost is how many times worse a near server may be than one elsewhere.
func farCost(bytes int64) float64 {
	if bytes >= bulk {
		return bulkGain
	}
	return nearGain
}

// setOpen notes whether a server has room for a request that may go anywhere.
func (c *Core) setOpen(now time.Time, s *server) {
	room := s.room(now)
	c.open.Put(s.idx, room)
	if c.cfg.Centre != "" {
		c.near.Put(s.idx, room && s.info.Centre == c.cfg.Centre)
	}
	c.setWarm(now, s, room)
}

// placeLong looks for a server where this VM owns a free long slot, from a
// random one on.
func (c *Core) placeLong(now time.Time) *server {
	n := len(c.servers)
	from := c.rng.IntN(n)
	var best *server
	for k := range n {
		s := c.servers[(from+k)%n]
		if !s.room(now) || !c.ownsLong(now, s) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	return best
}

// ownsLong reports whether another long request may run on the server.
func (c *Core) ownsLong(now time.Time, s *server) bool {
	return !c.mix.Mixed(now) || s.long < c.share.Long(s.idx, len(c.servers), s.info.Slots)
}
