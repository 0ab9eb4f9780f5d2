package gate

import "time"

// pauseOver is for how long nothing may happen here, though the servers' judgement
// is due, until the VM counts as paused.
const pauseOver = 100 * time.Millisecond

// pause is a time during which this VM stood still: its host gave the processor to
// others, or the process was stopped. The answers of that time lie unread, so every
// server with a request of this VM looks silent, and its answer seems to have taken
// as long as the pause. Taken for the servers' doing, a pause of 300 ms had owners
// ejected for a second, with one place left for all who ask for their keys.
type pause struct{ from, to time.Time }

// rouse notes a pause that ends now. Every call that something happens comes here
// first.
func (c *Core) rouse(now time.Time) {
	since := c.judgeAt
	if c.calledAt.After(since) {
		since = c.calledAt
	}
	if !c.judgeAt.IsZero() && now.Sub(since) > pauseOver {
		c.paused = pause{from: since, to: now}
	}
	c.calledAt = now
}

// awake is how much of a latency, of a request that started at a moment, the VM was
// not paused.
func (p pause) awake(took time.Duration, start time.Time) time.Duration {
	if !start.Before(p.to) {
		return took
	}
	from := p.from
	if start.After(from) {
		from = start
	}
	return max(took-p.to.Sub(from), 1)
}
