package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// This file handles keys between owners: the former owner refuses, the next one has no
// lease yet or is not known. Refusing such requests at once would show every move to
// callers; letting each of them retry by itself would flood the new owner with retries
// in random order, most of which it refuses. So the requests of a key wait here in a
// bounded queue, ordered by arrival, and are sent together once the owner is known and
// accepts them. Those whose deadline or MaxOwnerWait comes first are refused, and their
// callers learn that they were not run.
//
// A move queue is created when a request returns because the server said that it is not
// the owner, or could not be reached. It ends when the owner lookup returns another
// owner, or when the owner answers a request: the lease can be granted after the new
// owner is announced. To find that out, one waiting request at a time is sent to the
// owner as a probe.

// Settings of move queues.
const (
	// firstProbeDelay and maxProbeDelay bound the interval between two probes: a
	// planned move takes 9 ms, and one request each 40 ms from each entry VM is little
	// compared with all of them retrying.
	firstProbeDelay = 10 * time.Millisecond
	maxProbeDelay   = 40 * time.Millisecond
	// maxPlannedMove is the longest time that a planned move takes on a busy machine,
	// ten times the usual 9 ms. A move that lasts longer is taken for the loss of the
	// owner.
	maxPlannedMove = 100 * time.Millisecond
	// defaultLossDuration is the expected duration of a move after a loss until one was
	// observed: a lease and an update, see docs/design/ownership.md.
	defaultLossDuration = time.Second
	// lossDurationDivisor weights the last duration and the earlier average equally.
	lossDurationDivisor = 2
	// moveQueueTTL is how long an empty move queue is kept after its last scheduled
	// probe: its age tells how long the move has lasted.
	moveQueueTTL = time.Second
)

// Owner is the server of a key with the slice and the epoch under which it owns it.
type Owner struct {
	Server ident.Server
	Slice  ident.Slice
	Epoch  ident.Epoch
}

// SetOwnerLookup sets the function that returns the owner of a key. See
// [Core.OwnersChanged].
func (c *Core) SetOwnerLookup(now time.Time, owner func(ident.Key) (Owner, bool)) {
	c.ownerLookup = owner
	c.OwnersChanged(now)
}

// WaitOwner handles a request whose key is between owners: the job's server said that
// it is not the owner, could not be reached, or is unknown.
func (c *Core) WaitOwner(now time.Time, t *Ticket) Verdict {
	c.prepare(now, t)
	if c.closed {
		return c.refuse(t, kinds.Closing, time.Second)
	}
	if owner, ok := c.lookupOwner(t.Job.Key); ok && owner != t.Job.owner() {
		t.Job.setOwner(owner)
		return c.route(now, t)
	}
	return c.waitForOwner(now, t)
}

// waitForOwner queues a request that its owner refused or could not serve.
func (c *Core) waitForOwner(now time.Time, t *Ticket) Verdict {
	q := c.moveQueues.findOrCreate(now, &t.Job)
	if q.refusedAt.IsZero() && c.cfg.ProbeInterval > 0 {
		q.probeAt = now.Add(c.cfg.ProbeInterval)
	}
	q.owner, q.refusedAt = t.Job.owner(), now
	return c.admitMoving(now, q, t)
}

// refuseFailing refuses a request whose key's owner is failing. If the owner could not
// be reached and the request was already waiting for the next owner, it goes on
// waiting: it was only a probe, and found another one in progress.
func (c *Core) refuseFailing(now time.Time, t *Ticket, failure kinds.Kind, wait time.Duration) Verdict {
	if t.Job.ownerMissingSince.IsZero() || failure != kinds.NoServer {
		return c.refuse(t, failure, c.retryAfter(wait))
	}
	return c.waitForOwner(now, t)
}

func (c *Core) lookupOwner(k ident.Key) (Owner, bool) {
	if c.ownerLookup == nil {
		return Owner{}, false
	}
	return c.ownerLookup(k)
}

// joinMove handles a new request for a key with a move queue. It is sent as a probe if
// nobody is waiting and a probe is due, and waits otherwise.
func (c *Core) joinMove(now time.Time, q *moveQueue, t *Ticket) Verdict {
	if len(q.waiting) == 0 && q.owner.Server != "" && !now.Before(c.probeTime(q)) {
		c.scheduleProbe(now, q)
		return c.route(now, t)
	}
	return c.admitMoving(now, q, t)
}

// chargeResend charges a further attempt to the retry budget, and reports whether it is
// allowed. Without Config.RetryBudget it always is, and is not charged.
func (c *Core) chargeResend() bool { return c.cfg.RetryBudget.Burst == 0 || c.retryBudget.ChargeSafe() }

// scheduleProbe sets the time of the queue's next probe, after one was sent now. The
// delay doubles up to maxProbeDelay, and is at least minDelay.
func (q *moveQueue) scheduleProbe(now time.Time, minDelay time.Duration) {
	q.probeDelay = max(min(2*q.probeDelay, maxProbeDelay), minDelay)
	q.probeAt = now.Add(q.probeDelay)
}

// probePacer limits the probes of one server. A server without a lease refuses all its
// slices: if each move queue sent probes independently, a server without a lease after
// a loss or a start would get hundreds of useless requests a second.
type probePacer struct {
	next  time.Time
	delay time.Duration
}

// scheduleProbe sets the time of the server's next probe, after one was sent now.
func (p *probePacer) scheduleProbe(now time.Time) {
	p.delay = max(min(2*p.delay, maxProbeDelay), firstProbeDelay)
	p.next = now.Add(p.delay)
}

// probeTime returns when the queue may send its next probe, given the probes of its
// server.
func (c *Core) probeTime(q *moveQueue) time.Time {
	if s := c.byName[q.owner.Server]; s != nil && s.probes.next.After(q.probeAt) {
		return s.probes.next
	}
	return q.probeAt
}

// scheduleProbe sets the times of the next probes of the queue and of its server, after
// one was sent now.
func (c *Core) scheduleProbe(now time.Time, q *moveQueue) {
	q.scheduleProbe(now, c.cfg.ProbeInterval)
	if s := c.byName[q.owner.Server]; s != nil {
		s.probes.scheduleProbe(now)
	}
}

// probeOtherQueues sends a probe from every other move queue of a server that has just
// answered a probe: it may hold leases for their slices again as well.
func (c *Core) probeOtherQueues(now time.Time, s *server) {
	s.probes = probePacer{}
	var tickets []*Ticket
	c.moveQueues.retain(func(q *moveQueue) bool {
		if q.owner.Server == s.info.Name && len(q.waiting) > 0 {
			tickets = c.takeProbe(now, q, tickets)
		}
		return true
	})
	c.resendAll(now, tickets, false)
}

// takeProbe appends the oldest request of the queue to tickets, to be sent as a probe,
// unless the retry budget does not allow it.
func (c *Core) takeProbe(now time.Time, q *moveQueue, tickets []*Ticket) []*Ticket {
	c.scheduleProbe(now, q)
	t := q.waiting[0]
	if t.Job.extraAttempt && !c.chargeResend() {
		return tickets
	}
	c.moveQueues.remove(t)
	return append(tickets, t)
}

// admitMoving queues a request until the end of a move, or refuses it now if it is not
// expected to be served in time or there is no room.
func (c *Core) admitMoving(now time.Time, q *moveQueue, t *Ticket) Verdict {
	returning := !t.Job.ownerMissingSince.IsZero()
	if !returning {
		t.Job.ownerMissingSince = now
	}
	t.item.Deadline = t.Job.Deadline.Add(-deadlineMargin * c.typicalLatency(t.sizeKind))
	if latest := t.Job.ownerMissingSince.Add(t.Job.MaxOwnerWait); t.Job.MaxOwnerWait > 0 && latest.Before(t.item.Deadline) {
		t.item.Deadline = latest
	}
	remaining := c.moveQueues.remaining(now, q)
	timeLeft := t.item.Deadline.Sub(now)
	switch {
	case timeLeft <= 0, !returning && timeLeft < remaining+c.drainTime(q):
		return c.refuse(t, kinds.Moving, c.retryAfter(remaining))
	case returning && c.moveQueues.n >= c.cfg.MaxHeld:
		c.evictNewer(q, t)
	}
	if c.moveQueues.n >= c.cfg.MaxHeld || !returning && !c.moveQueues.hasRoom(c.cfg.MaxHeld, t.Job.Caller) {
		return c.refuse(t, kinds.Moving, c.retryAfter(remaining))
	}
	t.state = stateAwaitingOwner
	c.moveQueues.insert(q, t)
	c.stats.Queued++
	if c.nextExpiry.IsZero() || t.item.Deadline.Before(c.nextExpiry) {
		c.nextExpiry = t.item.Deadline
	}
	c.scheduleProbeTick(q)
	return Wait
}

// drainTime returns how long the new owner will need for the requests that are already
// waiting.
func (c *Core) drainTime(q *moveQueue) time.Duration {
	slots := c.concurrency[sizes.Short] / float64(max(len(c.servers), 1))
	return time.Duration(float64(c.typicalLatency(sizes.Short)) * float64(len(q.waiting)) / max(slots, 1))
}

// evictNewer makes room for a request that returns from a probe by refusing the newest
// request of the queue, if that one arrived later.
func (c *Core) evictNewer(q *moveQueue, t *Ticket) {
	if len(q.waiting) == 0 {
		return
	}
	last := q.waiting[len(q.waiting)-1]
	if last.Job.arrivedAt.After(t.Job.arrivedAt) {
		c.moveQueues.remove(last)
		c.expireMoving(last)
	}
}

func (c *Core) expireMoving(t *Ticket) { c.refuseWaiting(t, kinds.Moving, c.retryAfter(0)) }

// OwnersChanged handles a change of owners. Requests whose key has another owner are
// sent there at once, in order of arrival: those waiting for it, and those queued for
// the former owner.
func (c *Core) OwnersChanged(now time.Time) {
	if c.ownerLookup == nil {
		return
	}
	var tickets []*Ticket
	c.moveQueues.retain(func(q *moveQueue) bool {
		owner, ok := c.ownerLookup(q.key)
		if ok && owner != q.owner {
			c.moveQueues.observeDuration(now, q)
			tickets = append(tickets, c.takeAll(q)...)
			return false
		}
		return true
	})
	for _, s := range c.servers {
		tickets = append(tickets, c.takeReassigned(s)...)
	}
	c.resendAll(now, tickets, true)
}

// takeAll removes and returns all requests of a move queue.
func (c *Core) takeAll(q *moveQueue) []*Ticket {
	tickets := q.waiting
	q.waiting = nil
	for _, t := range tickets {
		c.moveQueues.uncount(t)
	}
	return tickets
}

// takeReassigned removes and returns the requests queued for the server whose key now
// has another owner.
func (c *Core) takeReassigned(s *server) []*Ticket {
	if s.ownLanes == nil || s.ownLanes.len() == 0 {
		return nil
	}
	var tickets []*Ticket
	for k := range s.ownLanes.bySize {
		s.ownLanes.bySize[k].q.Each(func(t *Ticket) {
			if owner, ok := c.ownerLookup(t.Job.Key); ok && owner.Server != s.info.Name {
				tickets = append(tickets, t)
			}
		})
	}
	for _, t := range tickets {
		c.dequeue(t)
	}
	return tickets
}

// resendAll sends requests to the current owners of their keys. If their owner moved,
// those that were sent before are charged to the retry budget; probes were charged
// already.
func (c *Core) resendAll(now time.Time, tickets []*Ticket, moved bool) {
	slices.SortStableFunc(tickets, func(a, b *Ticket) int { return a.Job.arrivedAt.Compare(b.Job.arrivedAt) })
	for _, t := range tickets {
		if owner, ok := c.lookupOwner(t.Job.Key); ok {
			t.Job.setOwner(owner)
		}
		if moved && t.Job.extraAttempt && !c.chargeResend() {
			c.refuseWaiting(t, kinds.Moving, c.retryAfter(0))
			continue
		}
		c.resend(now, t)
	}
}

// resend routes a request that was waiting for its owner or in the owner's queue.
func (c *Core) resend(now time.Time, t *Ticket) {
	t.state = stateIdle
	if c.route(now, t) != Wait {
		c.decided = append(c.decided, t)
	}
}

// endMove ends a move when the owner answers a request that was sent after its last
// refusal.
func (c *Core) endMove(now time.Time, t *Ticket, o Outcome) {
	q := c.moveQueues.find(&t.Job)
	if q == nil || o.Kind != kinds.None || q.owner.Server != t.srv.info.Name || t.startedAt.Before(q.refusedAt) {
		return
	}
	c.moveQueues.observeDuration(now, q)
	tickets := c.takeAll(q)
	if t.Job.HotKey {
		delete(c.moveQueues.byKey, t.Job.Key)
	} else {
		delete(c.moveQueues.bySlice, t.Job.Slice)
	}
	c.resendAll(now, tickets, true)
	if c.cfg.ProbeInterval == 0 {
		c.probeOtherQueues(now, t.srv)
	}
}

// scheduleProbeTick makes the next tick early enough for the queue's next probe.
func (c *Core) scheduleProbeTick(q *moveQueue) {
	if q.owner.Server == "" || len(q.waiting) == 0 {
		return
	}
	if at := c.probeTime(q); c.probeAt.IsZero() || at.Before(c.probeAt) {
		c.probeAt = at
	}
}

// probeOwners sends the oldest request of each queue with a due probe to its owner, from
// one queue for each server.
func (c *Core) probeOwners(now time.Time) {
	if c.probeAt.IsZero() || now.Before(c.probeAt) {
		return
	}
	c.probeAt = time.Time{}
	var tickets []*Ticket
	c.moveQueues.retain(func(q *moveQueue) bool {
		if len(q.waiting) > 0 && q.owner.Server != "" && !now.Before(c.probeTime(q)) {
			tickets = c.takeProbe(now, q, tickets)
		}
		c.scheduleProbeTick(q)
		return len(q.waiting) > 0 || now.Sub(q.probeAt) < moveQueueTTL
	})
	c.resendAll(now, tickets, false)
}
