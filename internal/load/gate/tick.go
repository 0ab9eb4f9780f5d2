package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/health"
)

// Tick refuses requests whose deadline can no longer be met, sends due probes,
// estimates waits again and, about every [health.CheckInterval], checks the servers'
// health.
func (c *Core) Tick(now time.Time) {
	c.detectPause(now)
	c.expire(now)
	c.endShedding(now)
	c.probeOwners(now)
	c.reestimateWaits(now)
	c.takeTurns(now)
	if c.healthCheckAt.IsZero() || now.Before(c.healthCheckAt) {
		return
	}
	if again := c.lastPause.end.Add(health.CheckInterval); now.Before(again) {
		c.healthCheckAt = again // by then the answers that arrived during the pause have been read
		return
	}
	c.checkHealth(now)
	c.refresh(now)
	c.wantAllQueued(now)
	c.forEachLanes(func(ls *lanePair) {
		for k := range ls.bySize {
			ls.bySize[k].q.ClearStanding(now)
		}
	})
	c.healthCheckAt = time.Time{}
	if c.running > 0 || c.waiting > 0 || c.needsHealthChecks() {
		c.healthCheckAt = now.Add(health.CheckInterval)
	}
}

func (c *Core) checkHealth(now time.Time) {
	c.healthScratch = c.healthScratch[:0]
	for _, s := range c.servers {
		c.healthScratch = append(c.healthScratch, &s.health)
	}
	c.monitor.Evaluate(now, c.healthScratch)
}

// needsHealthChecks reports whether some server's state will change with time alone, or
// a queue is still standing. A server in its probe state waits for requests, not for
// time.
func (c *Core) needsHealthChecks() bool {
	for _, s := range c.servers {
		if st := s.health.State(); st == health.Ejected || st == health.Ramping {
			return true
		}
	}
	return c.Overload()
}

func (c *Core) expire(now time.Time) {
	if c.nextExpiry.IsZero() || now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = c.moveQueues.expire(now, c.expireMoving)
	c.forEachLanes(func(ls *lanePair) {
		for k := range ls.bySize {
			c.expireLane(now, &ls.bySize[k])
		}
	})
}

func (c *Core) expireLane(now time.Time, l *lane) {
	l.q.Expire(now, func(t *Ticket) {
		l.q.MarkFull(now)
		l.refund(t)
		c.waiting--
		c.refuseWaiting(t, kinds.DeadlineMissed, c.retryAfter(0))
	})
	if at := l.q.NextExpiry(); !at.IsZero() && (c.nextExpiry.IsZero() || at.Before(c.nextExpiry)) {
		c.nextExpiry = at
	}
}
