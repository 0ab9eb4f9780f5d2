package gate

import (
	"hash/maphash"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fair"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Admission settings.
const (
	// DisplaceWindow is how long a request may have waited and still be displaced by
	// one whose flow has had less service: a refusal within 10 ms costs the caller
	// nothing, a later one has wasted its time.
	DisplaceWindow = 8 * time.Millisecond
	// deadlineMargin is how many typical latencies must fit before the deadline when a
	// request is started: service times vary by as much as their mean.
	deadlineMargin = 2
	// maxWaitFraction is the part of the time to spare that a request may be expected
	// to wait. At the start of a burst the actual wait can be twice the estimate, because
	// the servers' own queues have not filled yet.
	maxWaitFraction = 0.5
	// startIntervalSmoothing averages about ten starts.
	startIntervalSmoothing = 0.1
	// refusalRateSmoothing averages about fifty requests, which one VM gets in half a
	// second.
	refusalRateSmoothing = 0.02
	// minDebtFreeShare is the share of arrivals without debt below which there is
	// nobody to protect from hot flows. Without it, one caller at twice the capacity
	// was refused while slots were free, and an eighth of the capacity stayed unused.
	// With a hot key at seven times its owner's capacity, 13 in 100 arrivals are for
	// other keys; a threshold of 0.12 refused 18 in 100 of them, 0.03 refuses 6 to 7,
	// no more than without the rule. debtFreeSmoothing averages fifty arrivals.
	minDebtFreeShare      = 0.03
	debtFreeSmoothing     = 0.02
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter         = 10 * time.Second
	defaultLatencySeconds = 5e-3 // until an answer was seen
	// requestCost is what one request adds to the debts of its caller and key.
	requestCost = 1
)

// lane is one queue with the debts of its callers and keys. Each owner of keys has one
// lane for short and one for long requests, and so have the requests without an owner.
type lane struct {
	q             queue.Queue[*Ticket]
	callerDebts   fair.Debts
	keyDebts      fair.Debts
	debtFreeShare float64       // share of arrivals with little or no debt while the queue is standing
	startInterval time.Duration // average time between two starts while others wait
	lastStart     time.Time     // the last start while others wait
}

// observeArrival updates the share of arrivals without debt; it is called while the
// queue is standing.
func (l *lane) observeArrival(debt float64) {
	l.debtFreeShare -= l.debtFreeShare * debtFreeSmoothing
	if debt <= fair.FreeDebt/2 {
		l.debtFreeShare += debtFreeSmoothing
	}
}

// observeStart updates the start interval after a start from the queue.
func (l *lane) observeStart(now time.Time) {
	if !l.lastStart.IsZero() {
		l.startInterval += time.Duration(float64(now.Sub(l.lastStart)-l.startInterval) * startIntervalSmoothing)
	}
	l.lastStart = now
	if l.q.Len() == 0 {
		l.lastStart = time.Time{}
	}
}

// observedInterval returns the observed time between two starts, including the current
// wait for one; zero if the queue is empty.
func (l *lane) observedInterval(now time.Time) time.Duration {
	if l.q.Len() == 0 || l.lastStart.IsZero() {
		return 0
	}
	return max(l.startInterval, now.Sub(l.lastStart))
}

// debt returns the debt of the caller or of the key, whichever is larger.
func (l *lane) debt(now time.Time, t *Ticket) float64 {
	return max(l.callerDebts.Debt(now, t.callerFlow), l.keyDebts.Debt(now, t.keyFlow))
}

func (l *lane) charge(now time.Time, t *Ticket) {
	l.callerDebts.Charge(now, t.callerFlow, requestCost)
	l.keyDebts.Charge(now, t.keyFlow, requestCost)
	l.callerDebts.RaiseRate()
	l.keyDebts.RaiseRate()
}

func (l *lane) refund(t *Ticket) {
	l.callerDebts.Refund(t.callerFlow, requestCost)
	l.keyDebts.Refund(t.keyFlow, requestCost)
}

// lowerShares lowers the fair shares because the lane, which starts one request per
// interval, had to refuse a request that was within them.
func (l *lane) lowerShares(now time.Time, interval time.Duration) {
	maxRate := 1 / max(interval.Seconds(), 1e-6)
	l.callerDebts.LowerRate(maxRate)
	l.keyDebts.LowerRate(maxRate)
	l.q.MarkFull(now)
}

// noteOverShare records that a request was refused because its flow is over its share.
// The queue stays standing, or the hot flow would flood it each time the others had
// found room. The shares rise again, or flows whose share became small in an overload
// would be held to it long afterwards.
func (l *lane) noteOverShare(now time.Time) {
	l.q.MarkFull(now)
	l.callerDebts.RaiseRate()
	l.keyDebts.RaiseRate()
}

// lanePair holds the queues for short and long requests that share servers.
type lanePair struct {
	bySize   [sizes.KindCount]lane
	slotTime [sizes.KindCount]float64 // slot time given to each kind, in seconds
}

func (ls *lanePair) init(limit int) {
	for k := range ls.bySize {
		ls.bySize[k].q.Cap = limit
	}
}

func (ls *lanePair) len() int { return ls.bySize[sizes.Short].q.Len() + ls.bySize[sizes.Long].q.Len() }

// nextKind picks the kind that has had less slot time, among those that are queued and
// may start. Otherwise a kind that is always queued would starve the other.
func (ls *lanePair) nextKind(longAllowed bool) (sizes.Kind, bool) {
	short := ls.bySize[sizes.Short].q.Len() > 0
	longAllowed = longAllowed && ls.bySize[sizes.Long].q.Len() > 0
	switch {
	case short && longAllowed && ls.slotTime[sizes.Long] < ls.slotTime[sizes.Short]:
		return sizes.Long, true
	case short:
		return sizes.Short, true
	default:
		return sizes.Long, longAllowed
	}
}

// chargeSlotTime charges slot time to a kind. A kind with an empty queue earns no
// credit meanwhile.
func (ls *lanePair) chargeSlotTime(k sizes.Kind, seconds float64) {
	ls.slotTime[k] += seconds
	other := sizes.Long - k
	if ls.bySize[other].q.Len() == 0 {
		ls.slotTime[other] = max(ls.slotTime[other], ls.slotTime[k])
	}
}

// typicalLatency returns the average latency of answers of this kind, including the
// time in the server's own queue.
func (c *Core) typicalLatency(k sizes.Kind) time.Duration {
	if c.avgLatency[k] == 0 {
		return time.Duration(defaultLatencySeconds * float64(time.Second))
	}
	return time.Duration(c.avgLatency[k] * float64(time.Second))
}

// unknownLatency is the expected latency before any answer was seen. A server then
// counts as frozen after ten times that, one second. With defaultLatencySeconds that
// would be 100 ms, and a VM that starts would eject every slower server before its
// first answer.
const unknownLatency = 100 * time.Millisecond

// expectedLatency returns the latency against which a server's silence is judged.
func (c *Core) expectedLatency(k sizes.Kind) time.Duration {
	if c.avgLatency[k] == 0 {
		return unknownLatency
	}
	return c.typicalLatency(k)
}

// admit queues the request if it can be served in time, and refuses it otherwise.
func (c *Core) admit(now time.Time, l *lane, owner *server, t *Ticket, debt float64) Verdict {
	interval := max(c.startInterval(now, owner, t.sizeKind), l.observedInterval(now))
	l.q.Target = max(queue.DefaultTarget, interval)
	t.item.Deadline = t.Job.Deadline.Add(-deadlineMargin * c.typicalLatency(t.sizeKind))
	debtDelay := l.callerDebts.Delay(debt)
	rankDelay := min(debtDelay, max(DisplaceWindow, queueWait(interval, float64(l.q.Len()))))
	t.item.Rank = now.Add(rankDelay)
	wait := queueWait(interval, l.q.Ahead(uint8(t.Job.Class), t.item.Rank)) + stalledFor(now, owner) + rankDelay
	slack := t.item.Deadline.Sub(now)
	switch {
	case owner != nil && owner.health.Failing():
		return c.refuseFailing(now, t, owner.lastFailure, wait)
	case l.q.Standing() && debtDelay > 0:
		l.noteOverShare(now)
		return c.refuse(t, kinds.Busy, c.retryAfter(debtDelay))
	case float64(wait) > float64(slack)*maxWaitFraction:
		l.lowerShares(now, interval)
		return c.refuse(t, kinds.DeadlineMissed, c.retryAfter(wait-max(slack, 0)))
	case l.q.Standing() && wait > maxStandingWait(interval):
		l.lowerShares(now, interval)
		return c.refuse(t, kinds.Busy, c.retryAfter(wait))
	case !l.q.Room() && !c.displace(now, l, t):
		l.lowerShares(now, interval)
		return c.refuse(t, kinds.Busy, c.retryAfter(wait))
	}
	c.enqueue(now, l, owner, t)
	c.trimStanding(now, l, interval, t)
	return Wait
}

// startInterval estimates the time between two starts on a lane's servers while they
// are full, by Little's law: the time that a request holds a slot over the number of
// slots.
func (c *Core) startInterval(now time.Time, owner *server, k sizes.Kind) time.Duration {
	holdTime := c.typicalLatency(k)
	slots := c.concurrency[k]
	if owner != nil {
		slots = float64(owner.maxRunning(now))
	}
	if owner != nil && k == sizes.Short {
		holdTime = max(holdTime, owner.load.Latency())
	}
	interval := time.Duration(float64(holdTime) / max(slots, 1))
	if owner == nil {
		interval = max(interval, c.turnInterval())
	}
	if owner != nil && k == sizes.Long && c.classifier.Mixed(now) {
		interval = max(interval, c.longToken(owner).Period())
	}
	return interval
}

// queueWait returns the expected wait of a request with that many ahead of it.
func queueWait(interval time.Duration, ahead float64) time.Duration {
	return time.Duration((ahead + 1) * float64(interval))
}

// maxStandingWait is the longest expected wait with which a standing queue admits a
// request. It is at least one start interval, or a lane with a single slot would never
// have a request ready for it.
func maxStandingWait(interval time.Duration) time.Duration {
	return max(queue.DefaultTarget, interval)
}

// stalledFor returns how long the owner has been silent beyond what is expected.
func stalledFor(now time.Time, owner *server) time.Duration {
	if owner == nil {
		return 0
	}
	return owner.health.StalledFor(now)
}

func (c *Core) enqueue(now time.Time, l *lane, owner *server, t *Ticket) {
	t.latencyUnknown = c.answers[t.sizeKind] < minLatencySamples
	t.item.Value = t
	t.item.Class = uint8(t.Job.Class)
	l.charge(now, t)
	l.q.Push(now, &t.item)
	t.state = stateQueued
	c.waiting++
	c.stats.Queued++
	if owner != nil && c.reestimateAt.IsZero() {
		c.reestimateAt = now.Add(reestimateInterval)
	}
	if c.nextExpiry.IsZero() || t.item.Deadline.Before(c.nextExpiry) {
		c.nextExpiry = t.item.Deadline
	}
}

// displace makes room in a full queue by refusing its last request, if the new one
// ranks before it and it has waited no longer than DisplaceWindow.
func (c *Core) displace(now time.Time, l *lane, t *Ticket) bool {
	l.q.MarkFull(now)
	worst := l.q.Last()
	if worst == nil || !t.item.Rank.Before(worst.Rank) || now.Sub(worst.EnqueuedAt()) > DisplaceWindow {
		return false
	}
	c.dropQueued(l, worst.Value, kinds.Busy, c.retryAfter(0))
	return true
}

// trimStanding shortens a standing queue after a request was inserted ahead of others:
// those that would now wait too long are refused while they have waited no longer than
// DisplaceWindow.
func (c *Core) trimStanding(now time.Time, l *lane, interval time.Duration, t *Ticket) {
	for l.q.Standing() {
		wait := queueWait(interval, float64(l.q.Len()-1))
		worst := l.q.Last()
		if wait <= maxStandingWait(interval) || worst == &t.item || now.Sub(worst.EnqueuedAt()) > DisplaceWindow {
			return
		}
		l.q.MarkFull(now)
		c.dropQueued(l, worst.Value, kinds.Busy, c.retryAfter(wait))
	}
}

// dropQueued removes a queued request and refuses it.
func (c *Core) dropQueued(l *lane, t *Ticket, k kinds.Kind, after time.Duration) {
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
	c.refuseWaiting(t, k, after)
}

// dequeue removes a queued request without deciding it.
func (c *Core) dequeue(t *Ticket) {
	l := &t.lanes.bySize[t.sizeKind]
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
}

// refuseWaiting refuses a request that got the verdict Wait before.
func (c *Core) refuseWaiting(t *Ticket, k kinds.Kind, after time.Duration) {
	c.refuse(t, k, after)
	c.decided = append(c.decided, t)
}

func (c *Core) refuse(t *Ticket, k kinds.Kind, after time.Duration) Verdict {
	t.state, t.refusalKind, t.retryAfter = stateRefused, k, after
	c.stats.Refused[k]++
	c.refusalRate += (1 - c.refusalRate) * refusalRateSmoothing
	return Refuse
}

// retryAfter computes when a refused caller should retry. The time grows with the wait
// that was too long and with the recent share of refusals, so that retries do not add
// to the overload. It is randomized by a quarter either way, or callers refused
// together would return together.
func (c *Core) retryAfter(wait time.Duration) time.Duration {
	spread := time.Duration(float64(time.Second) * c.refusalRate / (1.1 - c.refusalRate))
	jitter := 0.75 + c.rng.Float64()/2
	after := time.Duration(float64(wait+spread) * jitter)
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// flowOf hashes a name with a seed that callers cannot know; otherwise they could
// choose names that collide with someone else's.
func (c *Core) flowOf(name string) fair.Flow {
	if name == "" {
		return 0
	}
	return fair.Flow(maphash.String(c.seed, name) | 1)
}
