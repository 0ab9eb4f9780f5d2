package gate

import "time"

// minPause is for how long nothing may happen here, though the servers' judgement
// is due, until the VM counts as paused.
const minPause = 100 * time.Millisecond

// vmPause is a time during which this VM stood still: its host gave the processor to
// others, or the process was stopped. The answers of that time lie unread, so every
// server with a request of this VM looks silent, and its answer seems to have taken
// as long as the pause. Taken for the servers' doing, a pause of 300 ms had owners
// ejected for a second, with one place left for all who ask for their keys.
type vmPause struct{ start, end time.Time }

// detectPause notes a pause that ends now. Every call that something happens comes here
// first.
func (c *Core) detectPause(now time.Time) {
	since := c.healthCheckAt
	if c.lastEvent.After(since) {
		since = c.lastEvent
	}
	if !c.healthCheckAt.IsZero() && now.Sub(since) > minPause {
		c.lastPause = vmPause{start: since, end: now}
	}
	c.lastEvent = now
}

// activeTime is how much of a latency, of a request that started at a moment, the VM was
// not paused.
func (p vmPause) activeTime(took time.Duration, start time.Time) time.Duration {
	if !start.Before(p.end) {
		return took
	}
	from := p.start
	if start.After(from) {
		from = start
	}
	return max(took-p.end.Sub(from), 1)
}
