package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// The load pattern is a key between owners: its former owner refuses, its next
// one has no lease yet, or nobody knows the next one. Refusing at once would
// show callers every move; each request asking again by itself would send the
// new owner a storm in no order, most of it refused. So the requests of a key
// wait here, bounded, in the order in which they were asked, and leave together
// when the owner is known and takes them, or as "not run" when their deadline
// or patience comes first.
//
// A hold begins when a request comes back because the server said that it is
// not the owner, or could not be reached. It ends by news of the owners, or by
// the first request that the owner answers: a lease can be granted after the
// news of it. To find that out, one request at a time goes and asks.

// Settings of holds.
const (
	// firstProbeDelay and lastAsk bound the pause between two requests that go and ask:
	// a planned move takes 9 ms, and one request each 40 ms from each entry VM is
	// nothing beside what would come if all of them asked.
	firstProbeDelay = 10 * time.Millisecond
	maxProbeDelay   = 40 * time.Millisecond
	// maxPlannedMove is how long a planned move takes at most on a busy machine, ten times
	// the 9 ms that it usually takes. A hold that is older is taken for a loss.
	maxPlannedMove = 100 * time.Millisecond
	// defaultLossDuration is how long the move after a loss is taken to last before one was
	// seen: a lease and an update, see docs/design/ownership.md.
	defaultLossDuration = time.Second
	// lossDurationDivisor gives the last move half the say on how long the next one takes.
	lossDurationDivisor = 2
	// moveQueueTTL is how long a hold without requests is remembered: its age says how
	// long the move has lasted.
	moveQueueTTL = time.Second
)

// Owner is where a key is served, and under which authority.
type Owner struct {
	Server ident.Server
	Slice  ident.Slice
	Epoch  ident.Epoch
}

// SetOwnerLookup sets how the owner of a key is looked up. See [Core.OwnersChanged].
func (c *Core) SetOwnerLookup(now time.Time, owner func(ident.Key) (Owner, bool)) {
	c.ownerLookup = owner
	c.OwnersChanged(now)
}

// WaitOwner takes in a request whose key is between owners: the server of the job
// said that it is not the owner, or could not be reached, or none is known.
func (c *Core) WaitOwner(now time.Time, t *Ticket) Verdict {
	c.prepare(now, t)
	if c.closed {
		return c.refuse(t, kinds.Closing, time.Second)
	}
	if p, ok := c.lookupOwner(t.Job.Key); ok && p != t.Job.owner() {
		t.Job.setOwner(p)
		return c.route(now, t)
	}
	return c.waitForOwner(now, t)
}

// waitForOwner keeps a request whose owner did not take it.
func (c *Core) waitForOwner(now time.Time, t *Ticket) Verdict {
	h := c.moveQueues.findOrCreate(now, &t.Job)
	if h.refusedAt.IsZero() && c.cfg.ProbeInterval > 0 {
		h.probeAt = now.Add(c.cfg.ProbeInterval)
	}
	h.owner, h.refusedAt = t.Job.owner(), now
	return c.admitMoving(now, h, t)
}

// refuseFailing is for a request whose key's owner fails. One that waits for the next
// owner of a lost one already goes on waiting: it only asked whether this one is
// back, and found another one asking.
func (c *Core) refuseFailing(now time.Time, t *Ticket, fault kinds.Kind, wait time.Duration) Verdict {
	if t.Job.ownerMissingSince.IsZero() || fault != kinds.NoServer {
		return c.refuse(t, fault, c.retryAfter(wait))
	}
	return c.waitForOwner(now, t)
}

func (c *Core) lookupOwner(k ident.Key) (Owner, bool) {
	if c.ownerLookup == nil {
		return Owner{}, false
	}
	return c.ownerLookup(k)
}

// joinMove is for a request whose key is held when it arrives. With nobody waiting
// it goes and asks itself, if it is time.
func (c *Core) joinMove(now time.Time, h *moveQueue, t *Ticket) Verdict {
	if len(h.waiting) == 0 && h.owner.Server != "" && !now.Before(c.probeTime(h)) {
		c.scheduleProbe(now, h)
		return c.route(now, t)
	}
	return c.admitMoving(now, h, t)
}

// chargeResend charges a request that is sent once more, where that is bounded.
func (c *Core) chargeResend() bool { return c.cfg.RetryBudget.Burst == 0 || c.retryBudget.ChargeSafe() }

func (h *moveQueue) scheduleProbe(now time.Time, least time.Duration) {
	h.probeDelay = max(min(2*h.probeDelay, maxProbeDelay), least)
	h.probeAt = now.Add(h.probeDelay)
}

// probePacer paces the requests that go and ask one server. One that holds no lease
// refuses each of its slices: if each hold asked by itself, a server that a loss or
// a start leaves without a lease would get hundreds of requests a second for nothing.
type probePacer struct {
	next  time.Time
	delay time.Duration
}

// scheduleProbe notes that one of those who wait asks the server now.
func (a *probePacer) scheduleProbe(now time.Time) {
	a.delay = max(min(2*a.delay, maxProbeDelay), firstProbeDelay)
	a.next = now.Add(a.delay)
}

// probeTime is when a request of the hold may go and ask, as far as its server goes.
func (c *Core) probeTime(h *moveQueue) time.Time {
	if s := c.byName[h.owner.Server]; s != nil && s.probes.next.After(h.probeAt) {
		return s.probes.next
	}
	return h.probeAt
}

// scheduleProbe notes that a request of the hold goes and asks now.
func (c *Core) scheduleProbe(now time.Time, h *moveQueue) {
	h.scheduleProbe(now, c.cfg.ProbeInterval)
	if s := c.byName[h.owner.Server]; s != nil {
		s.probes.scheduleProbe(now)
	}
}

// probeOtherQueues sends the oldest request of each other hold of a server that has just taken
// one that was held: it may have a lease again for them as well.
func (c *Core) probeOtherQueues(now time.Time, s *server) {
	s.probes = probePacer{}
	var all []*Ticket
	c.moveQueues.retain(func(h *moveQueue) bool {
		if h.owner.Server == s.info.Name && len(h.waiting) > 0 {
			all = c.takeProbe(now, h, all)
		}
		return true
	})
	c.resendAll(now, all, false)
}

// takeProbe adds the oldest request of a hold, which goes and asks now, if it may.
func (c *Core) takeProbe(now time.Time, h *moveQueue, all []*Ticket) []*Ticket {
	c.scheduleProbe(now, h)
	t := h.waiting[0]
	if t.Job.extraAttempt && !c.chargeResend() {
		return all
	}
	c.moveQueues.remove(t)
	return append(all, t)
}

// admitMoving lets a request wait for the end of a move, or refuses it now when it is
// not expected to be served in time or there is no room.
func (c *Core) admitMoving(now time.Time, h *moveQueue, t *Ticket) Verdict {
	back := !t.Job.ownerMissingSince.IsZero()
	if !back {
		t.Job.ownerMissingSince = now
	}
	t.item.Deadline = t.Job.Deadline.Add(-deadlineMargin * c.typicalLatency(t.sizeKind))
	if by := t.Job.ownerMissingSince.Add(t.Job.MaxOwnerWait); t.Job.MaxOwnerWait > 0 && by.Before(t.item.Deadline) {
		t.item.Deadline = by
	}
	left := c.moveQueues.remaining(now, h)
	due := t.item.Deadline.Sub(now)
	switch {
	case due <= 0, !back && due < left+c.drainTime(h):
		return c.refuse(t, kinds.Moving, c.retryAfter(left))
	case back && c.moveQueues.n >= c.cfg.MaxHeld:
		c.evictNewer(h, t)
	}
	if c.moveQueues.n >= c.cfg.MaxHeld || !back && !c.moveQueues.hasRoom(c.cfg.MaxHeld, t.Job.Caller) {
		return c.refuse(t, kinds.Moving, c.retryAfter(left))
	}
	t.state = stateHeld
	c.moveQueues.insert(h, t)
	c.stats.Queued++
	if c.nextExpiry.IsZero() || t.item.Deadline.Before(c.nextExpiry) {
		c.nextExpiry = t.item.Deadline
	}
	c.scheduleProbeTick(h)
	return Wait
}

// drainTime is how long the new owner will take for those who wait already.
func (c *Core) drainTime(h *moveQueue) time.Duration {
	width := c.concurrency[sizes.Short] / float64(max(len(c.servers), 1))
	return time.Duration(float64(c.typicalLatency(sizes.Short)) * float64(len(h.waiting)) / max(width, 1))
}

// evictNewer makes room for an older request that comes back from asking: the
// newest of its hold is refused for it.
func (c *Core) evictNewer(h *moveQueue, t *Ticket) {
	if len(h.waiting) == 0 {
		return
	}
	last := h.waiting[len(h.waiting)-1]
	if last.Job.arrivedAt.After(t.Job.arrivedAt) {
		c.moveQueues.remove(last)
		c.expireMoving(last)
	}
}

func (c *Core) expireMoving(t *Ticket) { c.refuseWaiting(t, kinds.Moving, c.retryAfter(0)) }

// OwnersChanged is called when owners have changed. Requests whose key has another one
// go there at once, in the order in which they were asked: those who waited for
// it, and those who queue for its former owner.
func (c *Core) OwnersChanged(now time.Time) {
	if c.ownerLookup == nil {
		return
	}
	var all []*Ticket
	c.moveQueues.retain(func(h *moveQueue) bool {
		p, ok := c.ownerLookup(h.key)
		if ok && p != h.owner {
			c.moveQueues.observeDuration(now, h)
			all = append(all, c.takeAll(h)...)
			return false
		}
		return true
	})
	for _, s := range c.servers {
		all = append(all, c.takeReassigned(s)...)
	}
	c.resendAll(now, all, true)
}

// takeAll takes all requests out of a hold.
func (c *Core) takeAll(h *moveQueue) []*Ticket {
	all := h.waiting
	h.waiting = nil
	for _, t := range all {
		c.moveQueues.uncount(t)
	}
	return all
}

// takeReassigned takes out the requests that queue for a server whose key is owned by
// another one now.
func (c *Core) takeReassigned(s *server) []*Ticket {
	if s.ownLanes == nil || s.ownLanes.len() == 0 {
		return nil
	}
	var all []*Ticket
	for k := range s.ownLanes.bySize {
		s.ownLanes.bySize[k].q.Each(func(t *Ticket) {
			if p, ok := c.ownerLookup(t.Job.Key); ok && p.Server != s.info.Name {
				all = append(all, t)
			}
		})
	}
	for _, t := range all {
		c.dequeue(t)
	}
	return all
}

// resendAll sends requests to the present owners of their keys. One that was sent
// before is charged for it when its owner moved; one that goes and asks was charged
// already.
func (c *Core) resendAll(now time.Time, all []*Ticket, moved bool) {
	slices.SortStableFunc(all, func(a, b *Ticket) int { return a.Job.arrivedAt.Compare(b.Job.arrivedAt) })
	for _, t := range all {
		if p, ok := c.lookupOwner(t.Job.Key); ok {
			t.Job.setOwner(p)
		}
		if moved && t.Job.extraAttempt && !c.chargeResend() {
			c.refuseWaiting(t, kinds.Moving, c.retryAfter(0))
			continue
		}
		c.resend(now, t)
	}
}

// resend routes a request that was told to wait.
func (c *Core) resend(now time.Time, t *Ticket) {
	t.state = stateIdle
	if c.route(now, t) != Wait {
		c.decided = append(c.decided, t)
	}
}

// endMove ends a hold when the owner answered a request that was sent to it after
// it had refused the last one.
func (c *Core) endMove(now time.Time, t *Ticket, o Outcome) {
	h := c.moveQueues.find(&t.Job)
	if h == nil || o.Kind != kinds.None || h.owner.Server != t.srv.info.Name || t.startedAt.Before(h.refusedAt) {
		return
	}
	c.moveQueues.observeDuration(now, h)
	all := c.takeAll(h)
	if t.Job.HotKey {
		delete(c.moveQueues.byKey, t.Job.Key)
	} else {
		delete(c.moveQueues.bySlice, t.Job.Slice)
	}
	c.resendAll(now, all, true)
	if c.cfg.ProbeInterval == 0 {
		c.probeOtherQueues(now, t.srv)
	}
}

// scheduleProbeTick moves the next tick to when one of a hold goes and asks.
func (c *Core) scheduleProbeTick(h *moveQueue) {
	if h.owner.Server == "" || len(h.waiting) == 0 {
		return
	}
	if at := c.probeTime(h); c.probeAt.IsZero() || at.Before(c.probeAt) {
		c.probeAt = at
	}
}

// probeOwners sends the oldest request of each hold that is due to the owner, of one hold for
// each server.
func (c *Core) probeOwners(now time.Time) {
	if c.probeAt.IsZero() || now.Before(c.probeAt) {
		return
	}
	c.probeAt = time.Time{}
	var all []*Ticket
	c.moveQueues.retain(func(h *moveQueue) bool {
		if len(h.waiting) > 0 && h.owner.Server != "" && !now.Before(c.probeTime(h)) {
			all = c.takeProbe(now, h, all)
		}
		c.scheduleProbeTick(h)
		return len(h.waiting) > 0 || now.Sub(h.probeAt) < moveQueueTTL
	})
	c.resendAll(now, all, false)
}
