package gate

import (
	"hash/maphash"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fair"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Settings of admission.
const (
	// DisplaceWindow bounds how long a request may have waited and still be displaced
	// bySize one whose flow has had less: a refusal within 10 ms costs its caller
	// nothing, a later one has wasted its time.
	DisplaceWindow = 8 * time.Millisecond
	// deadlineMargin is how many typical answers must fit before the deadline when a
	// request is started: service times vary as much as their mean.
	deadlineMargin = 2
	// maxWaitFraction is the part of the time to spare that a request may wait: the
	// estimate of the wait can be wrong by as much again when a burst begins,
	// because the servers' own queues have not filled yet.
	maxWaitFraction = 0.5
	// startIntervalSmoothing averages about ten starts.
	startIntervalSmoothing = 0.1
	// refusalRateSmoothing spans about fifty requests, half a second of one VM's part.
	refusalRateSmoothing = 0.02
	// minDebtFreeShare is the share of requests without debt below which there is nobody
	// to protect from hot flows: with one caller at twice the capacity, refusing it
	// while a place was free left an eighth of the capacity unused. With a hot key
	// that gets seven times what its owner can do, those for the other keys are 13
	// in 100; with 12 as the bound 18 in 100 of them were refused, with 3 it is 6 to
	// 7, as without it. modestFollow spans fifty of those who come.
	minDebtFreeShare      = 0.03
	debtFreeSmoothing     = 0.02
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter         = 10 * time.Second
	defaultLatencySeconds = 5e-3 // seconds, before any answer was seen
	// requestCost is what one request adds to its caller's and key's tags.
	requestCost = 1
)

// lane is one queue, and who has had how much of it.
type lane struct {
	q             queue.Queue[*Ticket]
	callerDebts   fair.Debts
	keyDebts      fair.Debts
	debtFreeShare float64       // share of those who come while it stands and owe next to nothing
	startInterval time.Duration // average time between two starts while others wait
	lastStart     time.Time     // the last start, while others wait
}

// observeArrival notes who comes while the queue is standing.
func (l *lane) observeArrival(debt float64) {
	l.debtFreeShare -= l.debtFreeShare * debtFreeSmoothing
	if debt <= fair.FreeDebt/2 {
		l.debtFreeShare += debtFreeSmoothing
	}
}

// observeStart notes a start from the queue.
func (l *lane) observeStart(now time.Time) {
	if !l.lastStart.IsZero() {
		l.startInterval += time.Duration(float64(now.Sub(l.lastStart)-l.startInterval) * startIntervalSmoothing)
	}
	l.lastStart = now
	if l.q.Len() == 0 {
		l.lastStart = time.Time{}
	}
}

// observedInterval is the time between two starts as observed, the present wait for one
// included; zero when nothing waits.
func (l *lane) observedInterval(now time.Time) time.Duration {
	if l.q.Len() == 0 || l.lastStart.IsZero() {
		return 0
	}
	return max(l.startInterval, now.Sub(l.lastStart))
}

// debt is how much the caller or the key owes, whichever is more.
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

// lowerShares lowers the fair shares, because the lane, which starts a request in
// startInterval such time, had to refuse one that was within them.
func (l *lane) lowerShares(now time.Time, each time.Duration) {
	most := 1 / max(each.Seconds(), 1e-6)
	l.callerDebts.LowerRate(most)
	l.keyDebts.LowerRate(most)
	l.q.MarkFull(now)
}

// noteOverShare notes that a request was refused because its flow is over its share.
// The queue stays standing, or the hot flow would flood it each time the others
// had their room; the shares ease, or those that became small in an overload
// would be held to them for long after it.
func (l *lane) noteOverShare(now time.Time) {
	l.q.MarkFull(now)
	l.callerDebts.RaiseRate()
	l.keyDebts.RaiseRate()
}

// lanePair is a pair of queues, short and long, that share servers.
type lanePair struct {
	bySize   [sizes.Kinds]lane
	slotTime [sizes.Kinds]float64 // slot time given to each, in seconds
}

func (ls *lanePair) init(limit int) {
	for k := range ls.bySize {
		ls.bySize[k].q.Cap = limit
	}
}

func (ls *lanePair) len() int { return ls.bySize[sizes.Short].q.Len() + ls.bySize[sizes.Long].q.Len() }

// nextKind picks the kind that has had less slot time, among those that wait and
// may start. Without it, whichever kind is always waiting would starve the
// other.
func (ls *lanePair) nextKind(long bool) (sizes.Kind, bool) {
	short := ls.bySize[sizes.Short].q.Len() > 0
	long = long && ls.bySize[sizes.Long].q.Len() > 0
	switch {
	case short && long && ls.slotTime[sizes.Long] < ls.slotTime[sizes.Short]:
		return sizes.Long, true
	case short:
		return sizes.Short, true
	default:
		return sizes.Long, long
	}
}

// chargeSlotTime charges slot time to a kind. A kind with nothing waiting earns no
// credit meanwhile.
func (ls *lanePair) chargeSlotTime(k sizes.Kind, seconds float64) {
	ls.slotTime[k] += seconds
	other := sizes.Long - k
	if ls.bySize[other].q.Len() == 0 {
		ls.slotTime[other] = max(ls.slotTime[other], ls.slotTime[k])
	}
}

// typicalLatency is how long an answer of this kind takes, the server's own queue
// included.
func (c *Core) typicalLatency(k sizes.Kind) time.Duration {
	if c.avgLatency[k] == 0 {
		return time.Duration(defaultLatencySeconds * float64(time.Second))
	}
	return time.Duration(c.avgLatency[k] * float64(time.Second))
}

// unknownLatency is what an answer is expected to take before any was seen: a server
// then counts as frozen after a second, ten times as long. By typicalPace it
// would after 100 ms, and a VM that starts would eject every server whose work
// takes longer before it had answered once.
const unknownLatency = 100 * time.Millisecond

// expectedLatency is how long an answer of this kind may be thought to take when the
// server's silence is judged.
func (c *Core) expectedLatency(k sizes.Kind) time.Duration {
	if c.avgLatency[k] == 0 {
		return unknownLatency
	}
	return c.typicalLatency(k)
}

// admit queues the request if it can be served in time, and refuses it now if
// not.
func (c *Core) admit(now time.Time, l *lane, owner *server, t *Ticket, debt float64) Verdict {
	each := max(c.startInterval(now, owner, t.sizeKind), l.observedInterval(now))
	l.q.Target = max(queue.DefaultTarget, each)
	t.item.Deadline = t.Job.Deadline.Add(-deadlineMargin * c.typicalLatency(t.sizeKind))
	over := l.callerDebts.Delay(debt)
	back := min(over, max(DisplaceWindow, queueWait(each, float64(l.q.Len()))))
	t.item.Rank = now.Add(back)
	wait := queueWait(each, l.q.Ahead(uint8(t.Job.Class), t.item.Rank)) + stalledFor(now, owner) + back
	slack := t.item.Deadline.Sub(now)
	switch {
	case owner != nil && owner.health.Failing():
		return c.refuseFailing(now, t, owner.lastFailure, wait)
	case l.q.Standing() && over > 0:
		l.noteOverShare(now)
		return c.refuse(t, kinds.Busy, c.retryAfter(over))
	case float64(wait) > float64(slack)*maxWaitFraction:
		l.lowerShares(now, each)
		return c.refuse(t, kinds.DeadlineMissed, c.retryAfter(wait-max(slack, 0)))
	case l.q.Standing() && wait > maxStandingWait(each):
		l.lowerShares(now, each)
		return c.refuse(t, kinds.Busy, c.retryAfter(wait))
	case !l.q.Room() && !c.displace(now, l, t):
		l.lowerShares(now, each)
		return c.refuse(t, kinds.Busy, c.retryAfter(wait))
	}
	c.enqueue(now, l, owner, t)
	c.trimStanding(now, l, each, t)
	return Wait
}

// startInterval estimates the time between two starts on a lane's servers while they are
// full, by Little's law: how long a place is held over the number of places.
func (c *Core) startInterval(now time.Time, owner *server, k sizes.Kind) time.Duration {
	held := c.typicalLatency(k)
	width := c.concurrency[k]
	if owner != nil {
		width = float64(owner.maxRunning(now))
	}
	if owner != nil && k == sizes.Short {
		held = max(held, owner.load.Latency())
	}
	each := time.Duration(float64(held) / max(width, 1))
	if owner != nil && k == sizes.Long && c.classifier.Mixed(now) {
		each = max(each, c.longToken(owner).Period())
	}
	return each
}

// queueWait is the wait of a request with so many ahead of it.
func queueWait(each time.Duration, ahead float64) time.Duration {
	return time.Duration((ahead + 1) * float64(each))
}

// maxStandingWait is the longest wait that a standing queue takes in: at least one
// nextKind, or a lane with a single place would never have a request ready for it.
func maxStandingWait(each time.Duration) time.Duration {
	return max(queue.DefaultTarget, each)
}

// stalledFor is for how long an owner has been silent when it should not be.
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

// displace makes room in a full queue for a request that goes before the worst
// one there, if that one has not waited long.
func (c *Core) displace(now time.Time, l *lane, t *Ticket) bool {
	l.q.MarkFull(now)
	worst := l.q.Last()
	if worst == nil || !t.item.Rank.Before(worst.Rank) || now.Sub(worst.EnqueuedAt()) > DisplaceWindow {
		return false
	}
	c.dropQueued(l, worst.Value, kinds.Busy, c.retryAfter(0))
	return true
}

// trimStanding keeps a standing queue short after a request went in ahead of others:
// those who would now wait too long are told so while it is still early.
func (c *Core) trimStanding(now time.Time, l *lane, each time.Duration, t *Ticket) {
	for l.q.Standing() {
		wait := queueWait(each, float64(l.q.Len()-1))
		worst := l.q.Last()
		if wait <= maxStandingWait(each) || worst == &t.item || now.Sub(worst.EnqueuedAt()) > DisplaceWindow {
			return
		}
		l.q.MarkFull(now)
		c.dropQueued(l, worst.Value, kinds.Busy, c.retryAfter(wait))
	}
}

// dropQueued refuses a request that waits.
func (c *Core) dropQueued(l *lane, t *Ticket, k kinds.Kind, after time.Duration) {
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
	c.refuseWaiting(t, k, after)
}

// dequeue takes a waiting request out without an answer.
func (c *Core) dequeue(t *Ticket) {
	l := &t.lanes.bySize[t.sizeKind]
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
}

// refuseWaiting refuses a request that was told to wait.
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

// retryAfter computes when a refused caller should come back: after the wait that was
// too long, and the longer the more requests are refused now, so that those who
// come back do not add to the overload. It varies by a quarter either way,
// because callers refused together would otherwise return together.
func (c *Core) retryAfter(wait time.Duration) time.Duration {
	spread := time.Duration(float64(time.Second) * c.refusalRate / (1.1 - c.refusalRate))
	jitter := 0.75 + c.rng.Float64()/2
	after := time.Duration(float64(wait+spread) * jitter)
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// flowOf hashes a name, under a seed that callers cannot know: they could
// otherwise choose names that collide with someone else's.
func (c *Core) flowOf(name string) fair.Flow {
	if name == "" {
		return 0
	}
	return fair.Flow(maphash.String(c.seed, name) | 1)
}
