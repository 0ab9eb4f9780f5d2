package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// hold is the requests of a slice, or of a key owned apart from its slice,
// between owners.
type hold struct {
	key     ident.Key // of the first request, to look the owner up
	at      Owner     // who refused it last
	since   time.Time
	refused time.Time // when it did
	ask     time.Time // when one of those who wait goes and asks
	pause   time.Duration
	waiting []*Ticket // in the order in which they were asked
}

// holds is all holds of a service, by what they are of.
type holds struct {
	slices  map[ident.Slice]*hold
	keys    map[ident.Key]*hold
	callers map[ident.Caller]int // requests held of each
	n       int
	lasts   time.Duration // how long moves after a loss take lately
}

// find returns the hold that a request falls under, nil if none.
func (h *holds) find(j *Job) *hold {
	switch {
	case j.Key == "":
		return nil
	case j.HotKey:
		return h.keys[j.Key]
	default:
		return h.slices[j.Slice]
	}
}

// open returns the hold that a request falls under, a new one if there is none.
func (h *holds) open(now time.Time, j *Job) *hold {
	if found := h.find(j); found != nil {
		return found
	}
	if h.slices == nil {
		h.slices, h.keys = map[ident.Slice]*hold{}, map[ident.Key]*hold{}
		h.callers = map[ident.Caller]int{}
	}
	made := &hold{key: j.Key, since: now, ask: now.Add(firstAsk), pause: firstAsk}
	if j.HotKey {
		h.keys[j.Key] = made
	} else {
		h.slices[j.Slice] = made
	}
	return made
}

// each calls do for every hold and forgets those for which it returns false.
func (h *holds) each(do func(*hold) bool) {
	for name, held := range h.keys {
		if !do(held) {
			delete(h.keys, name)
		}
	}
	for name, held := range h.slices {
		if !do(held) {
			delete(h.slices, name)
		}
	}
}

// left is how long a hold is expected to last from now on.
func (h *holds) left(now time.Time, held *hold) time.Duration {
	age := now.Sub(held.since)
	if age < brief {
		return 0
	}
	lasts := h.lasts
	if lasts == 0 {
		lasts = lossGuess
	}
	return max(lasts-age, 0)
}

// learn takes in how long a move took.
func (h *holds) learn(now time.Time, held *hold) {
	age := now.Sub(held.since)
	if age < brief {
		return
	}
	if h.lasts == 0 {
		h.lasts = lossGuess
	}
	h.lasts = (h.lasts + age) / followMoves
}

// room reports whether another request of the caller may wait: as many as there
// are places still free. So one hot caller takes at most half of the places, and
// the others always find some.
func (h *holds) room(limit int, c ident.Caller) bool { return h.callers[c] < limit-h.n }

// add puts a request in the place that its age gives it: one that went to ask
// and was refused is not behind those who came later.
func (h *holds) add(held *hold, t *Ticket) {
	i, _ := slices.BinarySearchFunc(held.waiting, t, func(a, b *Ticket) int {
		if a.Job.asked.After(b.Job.asked) {
			return 1
		}
		return -1
	})
	held.waiting = slices.Insert(held.waiting, i, t)
	t.hold = held
	h.callers[t.Job.Caller]++
	h.n++
}

func (h *holds) remove(t *Ticket) {
	i := slices.Index(t.hold.waiting, t)
	t.hold.waiting = slices.Delete(t.hold.waiting, i, i+1)
	h.uncount(t)
}

// uncount counts a request out that is in its hold no more.
func (h *holds) uncount(t *Ticket) {
	t.hold = nil
	h.n--
	if h.callers[t.Job.Caller]--; h.callers[t.Job.Caller] == 0 {
		delete(h.callers, t.Job.Caller)
	}
}

// expire hands those that are too late to drop and returns when the next one
// will be.
func (h *holds) expire(now time.Time, drop func(*Ticket)) time.Time {
	var next time.Time
	h.each(func(held *hold) bool {
		held.waiting = slices.DeleteFunc(held.waiting, func(t *Ticket) bool {
			if now.Before(t.item.Deadline) {
				if next.IsZero() || t.item.Deadline.Before(next) {
					next = t.item.Deadline
				}
				return false
			}
			h.uncount(t)
			drop(t)
			return true
		})
		return true
	})
	return next
}
