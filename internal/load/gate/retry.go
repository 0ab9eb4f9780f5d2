package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/retry"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// MayRetry reports whether a started request may be tried again after o, and charges
// the retry to the budget.
func (c *Core) MayRetry(now time.Time, t *Ticket, o Outcome) bool {
	if o.Withdrawn {
		return true // the next attempt is the first that is sent
	}
	if t.retryReserved {
		return c.useReservedRetry(t, o)
	}
	if t.Job.Server != "" && (t.srv.health.Failing() || t.srv.shedding(now) > 0) {
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
