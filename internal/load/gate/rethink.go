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
	// rethinkEvery is how often waits are estimated again: a refusal is then
	// never more than this behind what is known.
	rethinkEvery = 5 * time.Millisecond
	// An owner that has been silent for five times what its answers take is
	// overdue: service times vary as much as their mean, and one in 150 takes that
	// long. It is expected to stay silent for as long again.
	overdueTimes = 5
	// learned is how many answers make a usual one known, as many as the limit
	// averages for a decision. Who is let in before was let in on a guess.
	learned      = 16
	overdueLeast = 20 * time.Millisecond
)

// rethink estimates the waits for owners of keys again.
func (c *Core) rethink(now time.Time) {
	if c.thinkAt.IsZero() || now.Before(c.thinkAt) {
		return
	}
	c.thinkAt = time.Time{}
	for _, s := range c.servers {
		if s.own == nil || s.own.len() == 0 {
			continue
		}
		c.thinkAt = now.Add(rethinkEvery)
		if s.own.by[sizes.Long].q.Len() > 0 {
			c.dispatch(now, s) // the token may have come
		}
		for k := range s.own.by {
			c.shed(now, &s.own.by[k], s, sizes.Kind(k))
		}
	}
}

// overdue is for how long an owner has been silent, once that is longer than
// its answers take at most.
func overdue(now time.Time, owner *server, typical time.Duration) time.Duration {
	silent := owner.health.SilentFor(now)
	if silent < max(overdueLeast, overdueTimes*max(typical, owner.load.AnswerLatency())) {
		return 0
	}
	return silent
}

// shed refuses those of a lane who cannot be served in time any more.
func (c *Core) shed(now time.Time, l *lane, owner *server, k sizes.Kind) {
	each := max(c.each(now, owner, k), l.gap)
	stall := overdue(now, owner, c.expected(k))
	// A standing queue is kept short as it is, and a hot key would have what is
	// freed; but what was let in on a guess may have filled it far too long.
	guessed := l.q.Standing() && stall == 0
	need := margin * c.typical(k)
	l.q.Shed(func(ahead float64, it *queue.Item[*Ticket]) bool {
		t := it.Value
		if guessed && !t.guess {
			return false
		}
		by := it.Deadline
		if t.guess {
			by = t.Job.Deadline.Add(-need) // it.By goes by the guess
		}
		return now.Add(turns(each, ahead) + stall).After(by)
	}, func(t *Ticket) {
		l.q.MarkFull(now)
		l.refund(t)
		c.waiting--
		c.decide(t, kinds.DeadlineMissed, c.hint(stall+each))
	})
}
