package gate

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/retry"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Overload reports whether some queue has been too long for too long. One
// owner's hot keys count for that owner alone, see [Core.MayRetry].
func (c *Core) Overload() bool {
	over := false
	c.eachLanes(func(ls *lanes) {
		for k := range ls.by {
			over = over || ls.by[k].q.Standing()
		}
	})
	return over
}

// MayRetry reports whether a started request may be tried again after o, and
// takes the retry from the budget.
func (c *Core) MayRetry(now time.Time, t *Ticket, o Outcome) bool {
	if t.Job.Server != "" && t.srv.health.Failing() {
		return false // there is no other server for this key
	}
	if t.Job.Server != "" && o.Refused && !t.srv.hasRoom(t) {
		return false // it is full, and would refuse the next attempt as well
	}
	ok := c.budget.Allow(retry.Attempt{
		Kind:       o.Kind,
		Refused:    o.Refused,
		Idempotent: t.Job.Idempotent,
		Left:       t.Job.Deadline.Sub(now),
		Needed:     c.typical(t.long),
		Overload:   t.in.by[t.long].q.Standing(),
	})
	if ok {
		c.stats.Retries++
	}
	return ok
}

// hasRoom reports whether the server has said, since the request was sent, that it has a
// free slot.
func (s *server) hasRoom(t *Ticket) bool { return !s.toldAt.Before(t.at) && s.told < s.info.Slots }

// Hedge starts a second attempt of an idempotent request if another server has
// room now, nobody waits, and the budget allows.
func (c *Core) Hedge(now time.Time, t *Ticket) bool {
	if t.Job.Server != "" || c.any.len() > 0 || c.open.Len() == 0 {
		return false
	}
	t.long = c.mix.Kind(t.Job.Size, uint8(t.Job.Class))
	if t.long == sizes.Long {
		return false
	}
	s := c.place(now, nil, t)
	if s == nil || s.info.Name == t.Job.avoid {
		return false
	}
	if !c.budget.AllowHedge(t.Job.Idempotent, false, t.Job.Deadline.Sub(now)) {
		return false
	}
	t.in = &c.any
	c.start(now, t, s)
	c.stats.Hedges++
	return true
}

// HedgeAfter is how long to wait for an answer before hedging.
func (c *Core) HedgeAfter() time.Duration { return c.budget.HedgeAfter() }

// Stats returns counters and gauges.
func (c *Core) Stats(now time.Time) Stats {
	s := c.stats
	s.Refused = maps.Clone(c.stats.Refused)
	s.Waiting, s.Held, s.Running = c.waiting, c.holds.n, c.running
	s.Ejected = c.panel.Ejected()
	s.Overload = c.Overload()
	s.Budget = c.budget.Remaining()
	for _, srv := range c.servers {
		s.Servers = append(s.Servers, srv.stats(now))
	}
	return s
}

// Look returns what decides about requests for a server, see [Gate.Inspect].
func (c *Core) Look(now time.Time, name ident.Server) Snapshot {
	if s := c.byName[name]; s != nil {
		v := Snapshot{Running: s.running, Limit: s.most(now), Slots: s.info.Slots}
		if s.own != nil {
			v.Waiting = s.own.len()
		}
		if !s.toldAt.IsZero() {
			v.Load, v.LoadAge = s.told, now.Sub(s.toldAt)
		}
		v.Remote = c.cfg.Centre != "" && s.info.Centre != c.cfg.Centre
		return v
	}
	return Snapshot{Running: c.running, Limit: int(c.width[sizes.Short]), Waiting: c.any.len()}
}

func (s *server) stats(now time.Time) ServerStats {
	n := 0
	if s.own != nil {
		n = s.own.len()
	}
	return ServerStats{
		Name: s.info.Name, Running: s.running, Limit: s.most(now), Waiting: n,
		Latency: s.load.Latency(), State: string(s.health.State()),
	}
}
