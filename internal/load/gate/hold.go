package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// A key between owners has no server to send to. Refusing at once would show
// callers every move; sending to the old or the new owner too early would break
// sole ownership. So its requests wait here, bounded, and leave in their order
// to the new owner, or as "not run" when their deadline comes first.

// holdGuess is how long a move is taken to last before one was seen: a lease
// and an update, see docs/design/ownership.md.
const holdGuess = time.Second

type hold struct {
	since   time.Time
	waiting []*Ticket
}

type holds struct {
	slices map[ident.Slice]*hold
	keys   map[ident.Key]*hold
	n      int
	lasts  time.Duration // how long moves take lately
}

// find returns the hold that a request falls under. A key that moves by itself
// goes before its slice.
func (h *holds) find(j Job) *hold {
	if len(h.keys) == 0 && len(h.slices) == 0 {
		return nil
	}
	if j.Key == "" {
		return nil
	}
	if found := h.keys[j.Key]; found != nil {
		return found
	}
	return h.slices[j.Slice]
}

func (h *holds) guess() time.Duration {
	if h.lasts == 0 {
		return holdGuess
	}
	return h.lasts
}

func (h *holds) all() []*Ticket {
	var all []*Ticket
	for _, held := range h.keys {
		all = append(all, held.waiting...)
	}
	for _, held := range h.slices {
		all = append(all, held.waiting...)
	}
	return all
}

func (h *holds) remove(t *Ticket) {
	if t.hold == nil {
		return
	}
	i := slices.Index(t.hold.waiting, t)
	if i >= 0 {
		t.hold.waiting = slices.Delete(t.hold.waiting, i, i+1)
		h.n--
	}
	t.hold = nil
}

// expire hands those that are too late to drop and returns when the next one
// will be.
func (h *holds) expire(now time.Time, drop func(*Ticket)) time.Time {
	var next time.Time
	for _, t := range h.all() {
		switch {
		case !now.Before(t.item.By):
			h.remove(t)
			drop(t)
		case next.IsZero() || t.item.By.Before(next):
			next = t.item.By
		}
	}
	return next
}

// keep lets a request wait for the end of a move, or refuses it now when the
// move is not expected to end in time.
func (c *Core) keep(now time.Time, h *hold, t *Ticket) Verdict {
	t.item.By = t.Job.Deadline.Add(-margin * c.typical(t.long))
	left := max(c.holds.guess()-now.Sub(h.since), 0)
	if c.holds.n >= c.cfg.Held || t.item.By.Sub(now) < left || !t.item.By.After(now) {
		return c.refuse(t, kinds.Moving, c.hint(left))
	}
	t.state, t.hold = held, h
	h.waiting = append(h.waiting, t)
	c.holds.n++
	if c.soonest.IsZero() || t.item.By.Before(c.soonest) {
		c.soonest = t.item.By
	}
	return Wait
}

func (c *Core) expireHeld(t *Ticket) { c.decide(t, kinds.Moving, c.hint(c.holds.guess())) }

// Hold makes the requests of a move wait.
func (c *Core) Hold(now time.Time, m Move) {
	if c.holds.keys == nil {
		c.holds.keys = map[ident.Key]*hold{}
		c.holds.slices = map[ident.Slice]*hold{}
	}
	for _, k := range m.Keys {
		if c.holds.keys[k] == nil {
			c.holds.keys[k] = &hold{since: now}
		}
	}
	for _, sl := range m.Slices {
		if c.holds.slices[sl] == nil {
			c.holds.slices[sl] = &hold{since: now}
		}
	}
}

// Settle ends a move and sends those who waited to the new owner.
func (c *Core) Settle(now time.Time, m Move) {
	for _, k := range m.Keys {
		h := c.holds.keys[k]
		delete(c.holds.keys, k)
		c.release(now, h, m.To)
	}
	for _, sl := range m.Slices {
		h := c.holds.slices[sl]
		delete(c.holds.slices, sl)
		c.release(now, h, m.To)
	}
}

// followMoves gives the last move half the say on how long the next one takes.
const followMoves = 2

func (c *Core) release(now time.Time, h *hold, to ident.Server) {
	if h == nil {
		return
	}
	c.holds.lasts = (c.holds.guess() + now.Sub(h.since)) / followMoves
	c.holds.n -= len(h.waiting)
	for _, t := range h.waiting {
		c.move(now, t, to)
	}
}

func (c *Core) move(now time.Time, t *Ticket, to ident.Server) {
	t.hold = nil
	t.Job.Server = to
	if to == "" {
		c.decide(t, kinds.NoOwner, c.hint(0))
		return
	}
	if c.route(now, t) != Wait {
		c.ready = append(c.ready, t)
	}
}
