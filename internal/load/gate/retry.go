package gate

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/retry"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Overload reports whether some queue is standing. A queue that is standing because of
// an owner's hot keys only blocks retries to that owner, see [Core.MayRetry].
func (c *Core) Overload() bool {
	over := false
	c.forEachLanes(func(ls *lanePair) {
		for k := range ls.bySize {
			over = over || ls.bySize[k].q.Standing()
		}
	})
	return over
}

// MayRetry reports whether a started request may be tried again after o, and charges
// the retry to the budget.
func (c *Core) MayRetry(now time.Time, t *Ticket, o Outcome) bool {
	if t.Job.Server != "" && t.srv.health.Failing() {
		return false // no other server can serve this key
	}
	if t.Job.Server != "" && o.Refused && !t.srv.reportedFreeSlot(t) {
		return false // the server is full and would refuse the next attempt as well
	}
	ok := c.retryBudget.Allow(retry.Attempt{
		Kind:       o.Kind,
		Refused:    o.Refused,
		Idempotent: t.Job.Idempotent,
		Left:       t.Job.Deadline.Sub(now),
		Needed:     c.typicalLatency(t.sizeKind),
		Overload:   t.lanes.bySize[t.sizeKind].q.Standing(),
	})
	if ok {
		c.stats.Retries++
	}
	return ok
}

// reportedFreeSlot reports whether the server has reported a free slot since the
// request was sent.
func (s *server) reportedFreeSlot(t *Ticket) bool {
	return !s.reportedAt.Before(t.startedAt) && s.reportedLoad < s.info.Slots
}

// Hedge starts a second attempt of an idempotent request if another server has room
// now, nobody is queued, and the budget allows it.
func (c *Core) Hedge(now time.Time, t *Ticket) bool {
	if t.Job.Server != "" || c.shared.len() > 0 || c.available.Len() == 0 {
		return false
	}
	t.sizeKind = c.classifier.Kind(t.Job.Size, uint8(t.Job.Class))
	if t.sizeKind == sizes.Long {
		return false
	}
	s := c.chooseServer(now, nil, t)
	if s == nil || s.info.Name == t.Job.avoid {
		return false
	}
	if !c.retryBudget.AllowHedge(t.Job.Idempotent, false, t.Job.Deadline.Sub(now)) {
		return false
	}
	t.lanes = &c.shared
	c.start(now, t, s)
	c.stats.Hedges++
	return true
}

// HedgeAfter returns how long to wait for an answer before hedging.
func (c *Core) HedgeAfter() time.Duration { return c.retryBudget.HedgeAfter() }

// Stats returns counters and gauges.
func (c *Core) Stats(now time.Time) Stats {
	s := c.stats
	s.Refused = maps.Clone(c.stats.Refused)
	s.Waiting, s.Held, s.Running = c.waiting, c.moveQueues.n, c.running
	s.Ejected = c.monitor.Ejected()
	s.Overload = c.Overload()
	s.Budget = c.retryBudget.Remaining()
	for _, srv := range c.servers {
		s.Servers = append(s.Servers, srv.stats(now))
	}
	return s
}

// Inspect returns the current state of a server, see [Gate.Inspect].
func (c *Core) Inspect(now time.Time, name ident.Server) Snapshot {
	if s := c.byName[name]; s != nil {
		v := Snapshot{Running: s.running, Limit: s.maxRunning(now), Slots: s.info.Slots}
		if s.ownLanes != nil {
			v.Waiting = s.ownLanes.len()
		}
		if !s.reportedAt.IsZero() {
			v.Load, v.LoadAge = s.reportedLoad, now.Sub(s.reportedAt)
		}
		v.Remote = c.cfg.Centre != "" && s.info.Centre != c.cfg.Centre
		return v
	}
	return Snapshot{Running: c.running, Limit: int(c.concurrency[sizes.Short]), Waiting: c.shared.len()}
}

func (s *server) stats(now time.Time) ServerStats {
	n := 0
	if s.ownLanes != nil {
		n = s.ownLanes.len()
	}
	return ServerStats{
		Name: s.info.Name, Running: s.running, Limit: s.maxRunning(now), Waiting: n,
		Latency: s.load.Latency(), State: string(s.health.State()),
	}
}
