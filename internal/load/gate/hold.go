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
	// firstAsk and lastAsk bound the pause between two requests that go and ask:
	// a planned move takes 9 ms, and one request each 40 ms from each entry VM is
	// nothing beside what would come if all of them asked.
	firstAsk = 10 * time.Millisecond
	lastAsk  = 40 * time.Millisecond
	// brief is how long a planned move takes at most on a busy machine, ten times
	// the 9 ms that it usually takes. A hold that is older is taken for a loss.
	brief = 100 * time.Millisecond
	// lossGuess is how long the move after a loss is taken to last before one was
	// seen: a lease and an update, see docs/design/ownership.md.
	lossGuess = time.Second
	// followMoves gives the last move half the say on how long the next one takes.
	followMoves = 2
	// forget is how long a hold without requests is remembered: its age says how
	// long the move has lasted.
	forget = time.Second
)

// Owner is where a key is served, and under which authority.
type Owner struct {
	Server ident.Server
	Slice  ident.Slice
	Epoch  ident.Epoch
}

// Follow sets how the owner of a key is looked up. See [Core.OwnersChanged].
func (c *Core) Follow(now time.Time, owner func(ident.Key) (Owner, bool)) {
	c.owner = owner
	c.Moved(now)
}

// Await takes in a request whose key is between owners: the server of the job
// said that it is not the owner, or could not be reached, or none is known.
func (c *Core) Await(now time.Time, t *Ticket) Verdict {
	c.accept(now, t)
	if c.closed {
		return c.refuse(t, kinds.Closing, time.Second)
	}
	if p, ok := c.lookup(t.Job.Key); ok && p != t.Job.place() {
		t.Job.settle(p)
		return c.route(now, t)
	}
	return c.hold(now, t)
}

// hold keeps a request whose owner did not take it.
func (c *Core) hold(now time.Time, t *Ticket) Verdict {
	h := c.holds.open(now, &t.Job)
	if h.refused.IsZero() && c.cfg.ProbeInterval > 0 {
		h.ask = now.Add(c.cfg.ProbeInterval)
	}
	h.at, h.refused = t.Job.place(), now
	return c.keep(now, h, t)
}

// unserved is for a request whose key's owner fails. One that waits for the next
// owner of a lost one already goes on waiting: it only asked whether this one is
// back, and found another one asking.
func (c *Core) unserved(now time.Time, t *Ticket, fault kinds.Kind, wait time.Duration) Verdict {
	if t.Job.met.IsZero() || fault != kinds.NoServer {
		return c.refuse(t, fault, c.hint(wait))
	}
	return c.hold(now, t)
}

func (c *Core) lookup(k ident.Key) (Owner, bool) {
	if c.owner == nil {
		return Owner{}, false
	}
	return c.owner(k)
}

// meet is for a request whose key is held when it arrives. With nobody waiting
// it goes and asks itself, if it is time.
func (c *Core) meet(now time.Time, h *hold, t *Ticket) Verdict {
	if len(h.waiting) == 0 && h.at.Server != "" && !now.Before(c.askFrom(h)) {
		c.asking(now, h)
		return c.route(now, t)
	}
	return c.keep(now, h, t)
}

// mayAgain charges a request that is sent once more, where that is bounded.
func (c *Core) mayAgain() bool { return c.cfg.RetryBudget.Burst == 0 || c.budget.ChargeSafe() }

func (h *hold) asking(now time.Time, least time.Duration) {
	h.pause = max(min(2*h.pause, lastAsk), least)
	h.ask = now.Add(h.pause)
}

// asks paces the requests that go and ask one server. One that holds no lease
// refuses each of its slices: if each hold asked by itself, a server that a loss or
// a start leaves without a lease would get hundreds of requests a second for nothing.
type asks struct {
	next  time.Time
	pause time.Duration
}

// asking notes that one of those who wait asks the server now.
func (a *asks) asking(now time.Time) {
	a.pause = max(min(2*a.pause, lastAsk), firstAsk)
	a.next = now.Add(a.pause)
}

// askFrom is when a request of the hold may go and ask, as far as its server goes.
func (c *Core) askFrom(h *hold) time.Time {
	if s := c.byName[h.at.Server]; s != nil && s.asks.next.After(h.ask) {
		return s.asks.next
	}
	return h.ask
}

// asking notes that a request of the hold goes and asks now.
func (c *Core) asking(now time.Time, h *hold) {
	h.asking(now, c.cfg.ProbeInterval)
	if s := c.byName[h.at.Server]; s != nil {
		s.asks.asking(now)
	}
}

// obeyed sends the oldest request of each other hold of a server that has just taken
// one that was held: it may have a lease again for them as well.
func (c *Core) obeyed(now time.Time, s *server) {
	s.asks = asks{}
	var all []*Ticket
	c.holds.each(func(h *hold) bool {
		if h.at.Server == s.info.Name && len(h.waiting) > 0 {
			all = c.asker(now, h, all)
		}
		return true
	})
	c.release(now, all, false)
}

// asker adds the oldest request of a hold, which goes and asks now, if it may.
func (c *Core) asker(now time.Time, h *hold, all []*Ticket) []*Ticket {
	c.asking(now, h)
	t := h.waiting[0]
	if t.Job.again && !c.mayAgain() {
		return all
	}
	c.holds.remove(t)
	return append(all, t)
}

// keep lets a request wait for the end of a move, or refuses it now when it is
// not expected to be served in time or there is no room.
func (c *Core) keep(now time.Time, h *hold, t *Ticket) Verdict {
	back := !t.Job.met.IsZero()
	if !back {
		t.Job.met = now
	}
	t.item.Deadline = t.Job.Deadline.Add(-margin * c.typical(t.long))
	if by := t.Job.met.Add(t.Job.MaxOwnerWait); t.Job.MaxOwnerWait > 0 && by.Before(t.item.Deadline) {
		t.item.Deadline = by
	}
	left := c.holds.left(now, h)
	due := t.item.Deadline.Sub(now)
	switch {
	case due <= 0, !back && due < left+c.drained(h):
		return c.refuse(t, kinds.Moving, c.hint(left))
	case back && c.holds.n >= c.cfg.MaxHeld:
		c.giveWay(h, t)
	}
	if c.holds.n >= c.cfg.MaxHeld || !back && !c.holds.room(c.cfg.MaxHeld, t.Job.Caller) {
		return c.refuse(t, kinds.Moving, c.hint(left))
	}
	t.state = held
	c.holds.add(h, t)
	c.stats.Queued++
	if c.soonest.IsZero() || t.item.Deadline.Before(c.soonest) {
		c.soonest = t.item.Deadline
	}
	c.askSoon(h)
	return Wait
}

// drained is how long the new owner will take for those who wait already.
func (c *Core) drained(h *hold) time.Duration {
	width := c.width[sizes.Short] / float64(max(len(c.servers), 1))
	return time.Duration(float64(c.typical(sizes.Short)) * float64(len(h.waiting)) / max(width, 1))
}

// giveWay makes room for an older request that comes back from asking: the
// newest of its hold is refused for it.
func (c *Core) giveWay(h *hold, t *Ticket) {
	if len(h.waiting) == 0 {
		return
	}
	last := h.waiting[len(h.waiting)-1]
	if last.Job.asked.After(t.Job.asked) {
		c.holds.remove(last)
		c.expireHeld(last)
	}
}

func (c *Core) expireHeld(t *Ticket) { c.decide(t, kinds.Moving, c.hint(0)) }

// Moved is called when owners have changed. Requests whose key has another one
// go there at once, in the order in which they were asked: those who waited for
// it, and those who queue for its former owner.
func (c *Core) Moved(now time.Time) {
	if c.owner == nil {
		return
	}
	var all []*Ticket
	c.holds.each(func(h *hold) bool {
		p, ok := c.owner(h.key)
		if ok && p != h.at {
			c.holds.learn(now, h)
			all = append(all, c.empty(h)...)
			return false
		}
		return true
	})
	for _, s := range c.servers {
		all = append(all, c.astray(s)...)
	}
	c.release(now, all, true)
}

// empty takes all requests out of a hold.
func (c *Core) empty(h *hold) []*Ticket {
	all := h.waiting
	h.waiting = nil
	for _, t := range all {
		c.holds.uncount(t)
	}
	return all
}

// astray takes out the requests that queue for a server whose key is owned by
// another one now.
func (c *Core) astray(s *server) []*Ticket {
	if s.own == nil || s.own.len() == 0 {
		return nil
	}
	var all []*Ticket
	for k := range s.own.by {
		s.own.by[k].q.Each(func(t *Ticket) {
			if p, ok := c.owner(t.Job.Key); ok && p.Server != s.info.Name {
				all = append(all, t)
			}
		})
	}
	for _, t := range all {
		c.unqueue(t)
	}
	return all
}

// release sends requests to the present owners of their keys. One that was sent
// before is charged for it when its owner moved; one that goes and asks was charged
// already.
func (c *Core) release(now time.Time, all []*Ticket, moved bool) {
	slices.SortStableFunc(all, func(a, b *Ticket) int { return a.Job.asked.Compare(b.Job.asked) })
	for _, t := range all {
		if p, ok := c.lookup(t.Job.Key); ok {
			t.Job.settle(p)
		}
		if moved && t.Job.again && !c.mayAgain() {
			c.decide(t, kinds.Moving, c.hint(0))
			continue
		}
		c.send(now, t)
	}
}

// send routes a request that was told to wait.
func (c *Core) send(now time.Time, t *Ticket) {
	t.state = idle
	if c.route(now, t) != Wait {
		c.ready = append(c.ready, t)
	}
}

// taken ends a hold when the owner answered a request that was sent to it after
// it had refused the last one.
func (c *Core) taken(now time.Time, t *Ticket, o Outcome) {
	h := c.holds.find(&t.Job)
	if h == nil || o.Kind != kinds.None || h.at.Server != t.srv.info.Name || t.at.Before(h.refused) {
		return
	}
	c.holds.learn(now, h)
	all := c.empty(h)
	if t.Job.HotKey {
		delete(c.holds.keys, t.Job.Key)
	} else {
		delete(c.holds.slices, t.Job.Slice)
	}
	c.release(now, all, true)
	if c.cfg.ProbeInterval == 0 {
		c.obeyed(now, t.srv)
	}
}

// askSoon moves the next tick to when one of a hold goes and asks.
func (c *Core) askSoon(h *hold) {
	if h.at.Server == "" || len(h.waiting) == 0 {
		return
	}
	if at := c.askFrom(h); c.askAt.IsZero() || at.Before(c.askAt) {
		c.askAt = at
	}
}

// ask sends the oldest request of each hold that is due to the owner, of one hold for
// each server.
func (c *Core) ask(now time.Time) {
	if c.askAt.IsZero() || now.Before(c.askAt) {
		return
	}
	c.askAt = time.Time{}
	var all []*Ticket
	c.holds.each(func(h *hold) bool {
		if len(h.waiting) > 0 && h.at.Server != "" && !now.Before(c.askFrom(h)) {
			all = c.asker(now, h, all)
		}
		c.askSoon(h)
		return len(h.waiting) > 0 || now.Sub(h.ask) < forget
	})
	c.release(now, all, false)
}
