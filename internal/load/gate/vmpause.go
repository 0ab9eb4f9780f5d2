package gate

import "time"

// minPause is the time without any call, while a health check is due, from which the VM
// counts as paused.
const minPause = 100 * time.Millisecond

// vmPause is a time during which this VM did not run: its host gave the processor to
// others, or the process was stopped. Answers that arrive meanwhile are not read, so
// every server with a request of this VM looks silent, and its answers seem to have
// taken as long as the pause. If the servers are blamed for it, a pause of 300 ms gets
// owners ejected for a second, with one slot left for all requests for their keys.
type vmPause struct{ start, end time.Time }

// detectPause records a pause if one ends now. Offer, WaitOwner, Done, Report and Tick
// call it first.
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

// activeTime returns the part of a latency during which the VM was not paused, for a
// request that started at the given time.
func (p vmPause) activeTime(took time.Duration, startedAt time.Time) time.Duration {
	if !startedAt.Before(p.end) {
		return took
	}
	from := p.start
	if startedAt.After(from) {
		from = startedAt
	}
	return max(took-p.end.Sub(from), 1)
}
