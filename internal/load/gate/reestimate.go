package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// This file handles an owner of keys that slows down, freezes or gets uploads while
// requests are queued for it. They were admitted by an estimate that no longer holds.
// Kept until their deadlines, they would take up places in the queue for nothing, and
// their callers would be refused later than necessary. So while requests are queued
// for an owner their wait is estimated again, and those that cannot be served in time
// any more are refused at once.

const (
	// reestimateInterval is how often waits are estimated again, which bounds how late
	// such a refusal can be.
	reestimateInterval = 5 * time.Millisecond
	// overdueFactor is how many typical latencies an owner may be silent before it is
	// overdue: service times vary by as much as their mean, and one in 150 takes five
	// times as long. An overdue owner is expected to stay silent for as long again.
	overdueFactor = 5
	// minLatencySamples is how many answers make the typical latency known, as many as
	// the limit averages for a decision. Requests admitted before that were admitted on
	// defaultLatencySeconds or on few answers.
	minLatencySamples = 16
	// minOverdue is the shortest silence after which an owner is overdue.
	minOverdue = 20 * time.Millisecond
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
			c.dispatch(now, s) // this VM may hold the token now
		}
		for k := range s.ownLanes.bySize {
			c.shedLate(now, &s.ownLanes.bySize[k], s, sizes.Kind(k))
		}
	}
}

// overdueFor returns how long the owner has been silent, or zero while that is within
// what its answers can take.
func overdueFor(now time.Time, owner *server, typical time.Duration) time.Duration {
	silent := owner.health.SilentFor(now)
	if silent < max(minOverdue, overdueFactor*max(typical, owner.load.AnswerLatency())) {
		return 0
	}
	return silent
}

// shedLate refuses the requests of a lane that cannot be served in time any more.
func (c *Core) shedLate(now time.Time, l *lane, owner *server, k sizes.Kind) {
	interval := max(c.startInterval(now, owner, k), l.startInterval)
	stall := overdueFor(now, owner, c.expectedLatency(k))
	// Admission already keeps a standing queue short, and a hot key would take the
	// places that are freed. But requests admitted on an unknown latency may have made
	// the queue far too long.
	onlyUnknown := l.q.Standing() && stall == 0
	need := deadlineMargin * c.typicalLatency(k)
	l.q.Shed(func(ahead float64, it *queue.Item[*Ticket]) bool {
		t := it.Value
		if onlyUnknown && !t.latencyUnknown {
			return false
		}
		latest := it.Deadline
		if t.latencyUnknown {
			latest = t.Job.Deadline.Add(-need) // it.Deadline was computed from the unknown latency
		}
		return now.Add(queueWait(interval, ahead) + stall).After(latest)
	}, func(t *Ticket) {
		l.q.MarkFull(now)
		l.refund(t)
		c.waiting--
		c.refuseWaiting(t, kinds.DeadlineMissed, c.retryAfter(stall+interval))
	})
}
