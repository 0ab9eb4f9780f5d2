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
	i := c.open.Two(c.rng, skip, c.score)
	if i < 0 {
		return nil
	}
	if n := c.near.Two(c.rng, skip, c.score); n >= 0 && n != skip && c.score(n) <= c.score(i)*farCost(t.Job.Bytes) {
		i = n
	}
	return c.servers[c.warmer(now, i, skip)]
}

// Preference for servers in the own data centre.
const (
	// nearGain is how much worse a near server may look and still be taken for a small
	// request. Half a step of queueing is some tens of milliseconds; a way between
	// data centres costs 3 ms, and its bytes are paid for.
	nearGain = 1.4
	// bulkGain is the same for a request whose body is bulk bytes or more: sending it
	// elsewhere costs as much as a fifth of what such an upload is worth to its users.
	bulkGain = 3.0
	bulk     = 16 << 10
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
