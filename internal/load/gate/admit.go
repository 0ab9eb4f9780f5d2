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
	// Early bounds how long a request may have waited and still be displaced
	// by one whose flow has had less: a refusal within 10 ms costs its caller
	// nothing, a later one has wasted its time.
	Early = 8 * time.Millisecond
	// margin is how many typical answers must fit before the deadline when a
	// request is started: service times vary as much as their mean.
	margin = 2
	// patience is the part of the time to spare that a request may wait: the
	// estimate of the wait can be wrong by as much again when a burst begins,
	// because the servers' own queues have not filled yet.
	patience = 0.5
	// gapFollow averages about ten starts.
	gapFollow = 0.1
	// pressFollow spans about fifty requests, half a second of one VM's part.
	pressFollow = 0.02
	// fewModest is the share of requests without debt below which there is nobody
	// to protect from hot flows: with one caller at twice the capacity, refusing it
	// while a place was free left an eighth of the capacity unused. With a hot key
	// that gets seven times what its owner can do, those for the other keys are 13
	// in 100; with 12 as the bound 18 in 100 of them were refused, with 3 it is 6 to
	// 7, as without it. modestFollow spans fifty of those who come.
	fewModest    = 0.03
	modestFollow = 0.02
	minHint      = 100 * time.Millisecond
	maxHint      = 10 * time.Second
	typicalPace  = 5e-3 // seconds, before any answer was seen
	// cost is what one request adds to its caller's and key's tags.
	cost = 1
)

// lane is one queue, and who has had how much of it.
type lane struct {
	q       queue.Queue[*Ticket]
	callers fair.Debts
	keys    fair.Debts
	modest  float64       // share of those who come while it stands and owe next to nothing
	gap     time.Duration // average time between two starts while others wait
	last    time.Time     // the last start, while others wait
}

// see notes who comes while the queue is standing.
func (l *lane) see(debt float64) {
	l.modest -= l.modest * modestFollow
	if debt <= fair.FreeDebt/2 {
		l.modest += modestFollow
	}
}

// popped notes a start from the queue.
func (l *lane) popped(now time.Time) {
	if !l.last.IsZero() {
		l.gap += time.Duration(float64(now.Sub(l.last)-l.gap) * gapFollow)
	}
	l.last = now
	if l.q.Len() == 0 {
		l.last = time.Time{}
	}
}

// pace is the time between two starts as observed, the present wait for one
// included; zero when nothing waits.
func (l *lane) pace(now time.Time) time.Duration {
	if l.q.Len() == 0 || l.last.IsZero() {
		return 0
	}
	return max(l.gap, now.Sub(l.last))
}

// debt is how much the caller or the key owes, whichever is more.
func (l *lane) debt(now time.Time, t *Ticket) float64 {
	return max(l.callers.Debt(now, t.caller), l.keys.Debt(now, t.key))
}

func (l *lane) charge(now time.Time, t *Ticket) {
	l.callers.Charge(now, t.caller, cost)
	l.keys.Charge(now, t.key, cost)
	l.callers.RaiseRate()
	l.keys.RaiseRate()
}

func (l *lane) refund(t *Ticket) {
	l.callers.Refund(t.caller, cost)
	l.keys.Refund(t.key, cost)
}

// squeeze lowers the fair shares, because the lane, which starts a request in
// each such time, had to refuse one that was within them.
func (l *lane) squeeze(now time.Time, each time.Duration) {
	most := 1 / max(each.Seconds(), 1e-6)
	l.callers.LowerRate(most)
	l.keys.LowerRate(most)
	l.q.MarkFull(now)
}

// heldOff notes that a request was refused because its flow is over its share.
// The queue stays standing, or the hot flow would flood it each time the others
// had their room; the shares ease, or those that became small in an overload
// would be held to them for long after it.
func (l *lane) heldOff(now time.Time) {
	l.q.MarkFull(now)
	l.callers.RaiseRate()
	l.keys.RaiseRate()
}

// lanes is a pair of queues, short and long, that share servers.
type lanes struct {
	by    [sizes.KindCount]lane
	spent [sizes.KindCount]float64 // slot time given to each, in seconds
}

func (ls *lanes) init(limit int) {
	for k := range ls.by {
		ls.by[k].q.Cap = limit
	}
}

func (ls *lanes) len() int { return ls.by[sizes.Short].q.Len() + ls.by[sizes.Long].q.Len() }

// turn picks the kind that has had less slot time, among those that wait and
// may start. Without it, whichever kind is always waiting would starve the
// other.
func (ls *lanes) turn(long bool) (sizes.Kind, bool) {
	short := ls.by[sizes.Short].q.Len() > 0
	long = long && ls.by[sizes.Long].q.Len() > 0
	switch {
	case short && long && ls.spent[sizes.Long] < ls.spent[sizes.Short]:
		return sizes.Long, true
	case short:
		return sizes.Short, true
	default:
		return sizes.Long, long
	}
}

// spend charges slot time to a kind. A kind with nothing waiting earns no
// credit meanwhile.
func (ls *lanes) spend(k sizes.Kind, seconds float64) {
	ls.spent[k] += seconds
	other := sizes.Long - k
	if ls.by[other].q.Len() == 0 {
		ls.spent[other] = max(ls.spent[other], ls.spent[k])
	}
}

// typical is how long an answer of this kind takes, the server's own queue
// included.
func (c *Core) typical(k sizes.Kind) time.Duration {
	if c.pace[k] == 0 {
		return time.Duration(typicalPace * float64(time.Second))
	}
	return time.Duration(c.pace[k] * float64(time.Second))
}

// unseen is what an answer is expected to take before any was seen: a server
// then counts as frozen after a second, ten times as long. By typicalPace it
// would after 100 ms, and a VM that starts would eject every server whose work
// takes longer before it had answered once.
const unseen = 100 * time.Millisecond

// expected is how long an answer of this kind may be thought to take when the
// server's silence is judged.
func (c *Core) expected(k sizes.Kind) time.Duration {
	if c.pace[k] == 0 {
		return unseen
	}
	return c.typical(k)
}

// admit queues the request if it can be served in time, and refuses it now if
// not.
func (c *Core) admit(now time.Time, l *lane, owner *server, t *Ticket, debt float64) Verdict {
	each := max(c.each(now, owner, t.long), l.pace(now))
	l.q.Target = max(queue.DefaultTarget, each)
	t.item.Deadline = t.Job.Deadline.Add(-margin * c.typical(t.long))
	over := l.callers.Delay(debt)
	back := min(over, max(Early, turns(each, float64(l.q.Len()))))
	t.item.Rank = now.Add(back)
	wait := turns(each, l.q.Ahead(uint8(t.Job.Class), t.item.Rank)) + stalled(now, owner) + back
	slack := t.item.Deadline.Sub(now)
	switch {
	case owner != nil && owner.health.Failing():
		return c.unserved(now, t, owner.fault, wait)
	case l.q.Standing() && over > 0:
		l.heldOff(now)
		return c.refuse(t, kinds.Busy, c.hint(over))
	case float64(wait) > float64(slack)*patience:
		l.squeeze(now, each)
		return c.refuse(t, kinds.DeadlineMissed, c.hint(wait-max(slack, 0)))
	case l.q.Standing() && wait > standing(each):
		l.squeeze(now, each)
		return c.refuse(t, kinds.Busy, c.hint(wait))
	case !l.q.Room() && !c.displace(now, l, t):
		l.squeeze(now, each)
		return c.refuse(t, kinds.Busy, c.hint(wait))
	}
	c.enqueue(now, l, owner, t)
	c.trim(now, l, each, t)
	return Wait
}

// each estimates the time between two starts on a lane's servers while they are
// full, by Little's law: how long a place is held over the number of places.
func (c *Core) each(now time.Time, owner *server, k sizes.Kind) time.Duration {
	held := c.typical(k)
	width := c.width[k]
	if owner != nil {
		width = float64(owner.most(now))
	}
	if owner != nil && k == sizes.Short {
		held = max(held, owner.load.Latency())
	}
	each := time.Duration(float64(held) / max(width, 1))
	if owner != nil && k == sizes.Long && c.mix.Mixed(now) {
		each = max(each, c.token(owner).Period())
	}
	return each
}

// turns is the wait of a request with so many ahead of it.
func turns(each time.Duration, ahead float64) time.Duration {
	return time.Duration((ahead + 1) * float64(each))
}

// standing is the longest wait that a standing queue takes in: at least one
// turn, or a lane with a single place would never have a request ready for it.
func standing(each time.Duration) time.Duration {
	return max(queue.DefaultTarget, each)
}

// stalled is for how long an owner has been silent when it should not be.
func stalled(now time.Time, owner *server) time.Duration {
	if owner == nil {
		return 0
	}
	return owner.health.StalledFor(now)
}

func (c *Core) enqueue(now time.Time, l *lane, owner *server, t *Ticket) {
	t.guess = c.seen[t.long] < learned
	t.item.Value = t
	t.item.Class = uint8(t.Job.Class)
	l.charge(now, t)
	l.q.Push(now, &t.item)
	t.state = waiting
	c.waiting++
	c.stats.Queued++
	if owner != nil && c.thinkAt.IsZero() {
		c.thinkAt = now.Add(rethinkEvery)
	}
	if c.soonest.IsZero() || t.item.Deadline.Before(c.soonest) {
		c.soonest = t.item.Deadline
	}
}

// displace makes room in a full queue for a request that goes before the worst
// one there, if that one has not waited long.
func (c *Core) displace(now time.Time, l *lane, t *Ticket) bool {
	l.q.MarkFull(now)
	worst := l.q.Last()
	if worst == nil || !t.item.Rank.Before(worst.Rank) || now.Sub(worst.EnqueuedAt()) > Early {
		return false
	}
	c.drop(l, worst.Value, kinds.Busy, c.hint(0))
	return true
}

// trim keeps a standing queue short after a request went in ahead of others:
// those who would now wait too long are told so while it is still early.
func (c *Core) trim(now time.Time, l *lane, each time.Duration, t *Ticket) {
	for l.q.Standing() {
		wait := turns(each, float64(l.q.Len()-1))
		worst := l.q.Last()
		if wait <= standing(each) || worst == &t.item || now.Sub(worst.EnqueuedAt()) > Early {
			return
		}
		l.q.MarkFull(now)
		c.drop(l, worst.Value, kinds.Busy, c.hint(wait))
	}
}

// drop refuses a request that waits.
func (c *Core) drop(l *lane, t *Ticket, k kinds.Kind, after time.Duration) {
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
	c.decide(t, k, after)
}

// unqueue takes a waiting request out without an answer.
func (c *Core) unqueue(t *Ticket) {
	l := &t.in.by[t.long]
	l.q.Remove(&t.item)
	l.refund(t)
	c.waiting--
}

// decide refuses a request that was told to wait.
func (c *Core) decide(t *Ticket, k kinds.Kind, after time.Duration) {
	c.refuse(t, k, after)
	c.ready = append(c.ready, t)
}

func (c *Core) refuse(t *Ticket, k kinds.Kind, after time.Duration) Verdict {
	t.state, t.kind, t.after = refused, k, after
	c.stats.Refused[k]++
	c.press += (1 - c.press) * pressFollow
	return Refuse
}

// hint computes when a refused caller should come back: after the wait that was
// too long, and the longer the more requests are refused now, so that those who
// come back do not add to the overload. It varies by a quarter either way,
// because callers refused together would otherwise return together.
func (c *Core) hint(wait time.Duration) time.Duration {
	spread := time.Duration(float64(time.Second) * c.press / (1.1 - c.press))
	jitter := 0.75 + c.rng.Float64()/2
	after := time.Duration(float64(wait+spread) * jitter)
	return min(max(after, minHint), maxHint)
}

// flow hashes a name, under a seed that callers cannot know: they could
// otherwise choose names that collide with someone else's.
func (c *Core) flow(name string) fair.Flow {
	if name == "" {
		return 0
	}
	return fair.Flow(maphash.String(c.seed, name) | 1)
}
