package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// This file handles a server that turned a request away and wants no further ones from this
// VM for a time. Requests that may go anywhere use other servers; those for its keys are
// refused at once, because a queue of them would all be sent at the end of the rest.

// returnSpread is the part of the time until a server takes requests again over which the
// refused callers are told to return.
const returnSpread = 0.25

// shedding returns how long the server wants no requests from this VM; zero if it takes them.
func (s *server) shedding(now time.Time) time.Duration { return max(s.shedUntil.Sub(now), 0) }

// Shed records that a server wants no requests for a time. Of several such times the longest
// holds.
func (c *Core) Shed(now time.Time, name ident.Server, d time.Duration) {
	s := c.byName[name]
	if s == nil || d <= s.shedding(now) {
		return
	}
	s.shedUntil = now.Add(d)
	c.refresh(now)
	c.stats.RefusedShedding += uint64(s.queued())
	c.refuseUntil(now, s.ownLanes, d)
	if left := c.allShedding(now); left > 0 {
		c.refuseUntil(now, &c.shared, left)
	}
	c.scheduleShedEnd(now)
}

// endShedding lets servers that take requests again have some.
func (c *Core) endShedding(now time.Time) {
	if c.shedEnd.IsZero() || now.Before(c.shedEnd) {
		return
	}
	c.refresh(now)
	c.scheduleShedEnd(now)
}

// scheduleShedEnd sets when the next server takes requests again.
func (c *Core) scheduleShedEnd(now time.Time) {
	c.shedEnd = time.Time{}
	for _, s := range c.servers {
		if s.shedding(now) > 0 && (c.shedEnd.IsZero() || s.shedUntil.Before(c.shedEnd)) {
			c.shedEnd = s.shedUntil
		}
	}
}

// allShedding returns how long all servers that may get requests want none, or zero.
func (c *Core) allShedding(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, s := range c.servers {
		if s.info.Drain || s.cap.closed(now) {
			continue
		}
		left := s.shedding(now)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// refuseShedding refuses a request whose server, or all servers, shed requests for a time.
func (c *Core) refuseShedding(t *Ticket, left time.Duration) Verdict {
	c.stats.RefusedShedding++
	return c.refuse(t, kinds.Busy, c.retryNotBefore(left))
}

// refuseUntil refuses the requests that wait in a pair of queues, which may be nil, because
// none can be started for a time.
func (c *Core) refuseUntil(now time.Time, ls *lanePair, left time.Duration) {
	if ls != nil {
		c.refuseLanes(now, ls, kinds.Busy, func() time.Duration { return c.retryNotBefore(left) })
	}
}

// retryNotBefore computes when a caller should retry that cannot be served before a known
// time. Unlike [Core.retryAfter] it is never earlier.
func (c *Core) retryNotBefore(left time.Duration) time.Duration {
	after := left + time.Duration(c.rng.Float64()*returnSpread*float64(left))
	return min(max(after, minRetryAfter), maxRetryAfter)
}
