package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// The load pattern is an owner of keys that slows down, freezes or gets uploads
// while requests wait for it. They were let in by an estimate that holds no
// more. Kept until their deadlines, they would take places in the queue for
// nothing, and their callers would learn only then what could be known long
// before. So the wait is estimated again while the owner is behind, and who
// cannot be served in time any more is refused at once.

const (
	// reestimateInterval is how often waits are estimated again: a refusal is then
	// never more than this behind what is known.
	reestimateInterval = 5 * time.Millisecond
	// An owner that has been silent for five times what its answers take is
	// overdueFor: service times vary as much as their mean, and one in 150 takes that
	// long. It is expected to stay silent for as long again.
	overdueFactor = 5
	// minLatencySamples is how many answers make a usual one known, as many as the limit
	// averages for a decision. Who is let in before was let in on a guess.
	minLatencySamples = 16
	minOverdue        = 20 * time.Millisecond
)

// reestimateWaits estimates the waits for owners of keys again.
func (c *Core) reestimateWaits(now time.Time) {
	if c.reestimateAt.IsZero() || now.Before(c.reestimateAt) {
		return
	}
	c.reestimateAt = time.Time{}
	for _, s := range c.servers {
		if s.ownLanes == nil || s.ownLanes.len() == 0 {
			continue
		}
		c.reestimateAt = now.Add(reestimateInterval)
		if s.ownLanes.bySize[sizes.Long].q.Len() > 0 {
			c.dispatch(now, s) // the token may have come
		}
		for k := range s.ownLanes.bySize {
			c.shedLate(now, &s.ownLanes.bySize[k], s, sizes.Kind(k))
		}
	}
}

// overdueFor is for how long an owner has been silent, once that is longer than
// its answers take at most.
func overdueFor(now time.Time, owner *server, typical time.Duration) time.Duration {
	silent := owner.health.SilentFor(now)
	if silent < max(minOverdue, overdueFactor*max(typical, owner.load.AnswerLatency())) {
		return 0
	}
	return silent
}

// shedLate refuses those of a lane who cannot be served in time any more.
func (c *Core) shedLate(now time.Time, l *lane, owner *server, k sizes.Kind) {
	each := max(c.startInterval(now, owner, k), l.startInterval)
	stall := overdueFor(now, owner, c.expectedLatency(k))
	// A standing queue is kept short as it is, and a hot key would have what is
	// freed; but what was let in on a guess may have filled it far too long.
	guessed := l.q.Standing() && stall == 0
	need := deadlineMargin * c.typicalLatency(k)
	l.q.Shed(func(ahead float64, it *queue.Item[*Ticket]) bool {
		t := it.Value
		if guessed && !t.latencyUnknown {
			return false
		}
		by := it.Deadline
		if t.latencyUnknown {
			by = t.Job.Deadline.Add(-need) // it.By goes by the guess
		}
		return now.Add(queueWait(each, ahead) + stall).After(by)
	}, func(t *Ticket) {
		l.q.MarkFull(now)
		l.refund(t)
		c.waiting--
		c.refuseWaiting(t, kinds.DeadlineMissed, c.retryAfter(stall+each))
	})
}
