package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// moveQueue is the requests of a slice, or of a key owned apart from its slice,
// between owners.
type moveQueue struct {
	key        ident.Key // of the first request, to look the owner up
	owner      Owner     // who refused it last
	since      time.Time
	refusedAt  time.Time // when it did
	probeAt    time.Time // when one of those who wait goes and asks
	probeDelay time.Duration
	waiting    []*Ticket // in the order in which they were asked
}

// moveQueueSet is all holds of a service, by what they are of.
type moveQueueSet struct {
	bySlice      map[ident.Slice]*moveQueue
	byKey        map[ident.Key]*moveQueue
	perCaller    map[ident.Caller]int // requests held of each
	n            int
	lossDuration time.Duration // how long moves after a loss take lately
}

// find returns the hold that a request falls under, nil if none.
func (h *moveQueueSet) find(j *Job) *moveQueue {
	switch {
	case j.Key == "":
		return nil
	case j.HotKey:
		return h.byKey[j.Key]
	default:
		return h.bySlice[j.Slice]
	}
}

// findOrCreate returns the hold that a request falls under, a new one if there is none.
func (h *moveQueueSet) findOrCreate(now time.Time, j *Job) *moveQueue {
	if found := h.find(j); found != nil {
		return found
	}
	if h.bySlice == nil {
		h.bySlice, h.byKey = map[ident.Slice]*moveQueue{}, map[ident.Key]*moveQueue{}
		h.perCaller = map[ident.Caller]int{}
	}
	made := &moveQueue{key: j.Key, since: now, probeAt: now.Add(firstProbeDelay), probeDelay: firstProbeDelay}
	if j.HotKey {
		h.byKey[j.Key] = made
	} else {
		h.bySlice[j.Slice] = made
	}
	return made
}

// retain calls do for every hold and forgets those for which it returns false.
func (h *moveQueueSet) retain(do func(*moveQueue) bool) {
	for name, held := range h.byKey {
		if !do(held) {
			delete(h.byKey, name)
		}
	}
	for name, held := range h.bySlice {
		if !do(held) {
			delete(h.bySlice, name)
		}
	}
}

// remaining is how long a hold is expected to last from now on.
func (h *moveQueueSet) remaining(now time.Time, held *moveQueue) time.Duration {
	age := now.Sub(held.since)
	if age < maxPlannedMove {
		return 0
	}
	lasts := h.lossDuration
	if lasts == 0 {
		lasts = defaultLossDuration
	}
	return max(lasts-age, 0)
}

// observeDuration takes in how long a move took.
func (h *moveQueueSet) observeDuration(now time.Time, held *moveQueue) {
	age := now.Sub(held.since)
	if age < maxPlannedMove {
		return
	}
	if h.lossDuration == 0 {
		h.lossDuration = defaultLossDuration
	}
	h.lossDuration = (h.lossDuration + age) / lossDurationDivisor
}

// hasRoom reports whether another request of the caller may wait: as many as there
// are places still free. So one hot caller takes at most half of the places, and
// the others always find some.
func (h *moveQueueSet) hasRoom(limit int, c ident.Caller) bool { return h.perCaller[c] < limit-h.n }

// insert puts a request in the place that its age gives it: one that went to ask
// and was refused is not behind those who came later.
func (h *moveQueueSet) insert(held *moveQueue, t *Ticket) {
	i, _ := slices.BinarySearchFunc(held.waiting, t, func(a, b *Ticket) int {
		if a.Job.arrivedAt.After(b.Job.arrivedAt) {
			return 1
		}
		return -1
	})
	held.waiting = slices.Insert(held.waiting, i, t)
	t.moveQueue = held
	h.perCaller[t.Job.Caller]++
	h.n++
}

func (h *moveQueueSet) remove(t *Ticket) {
	i := slices.Index(t.moveQueue.waiting, t)
	t.moveQueue.waiting = slices.Delete(t.moveQueue.waiting, i, i+1)
	h.uncount(t)
}

// uncount counts a request out that is in its hold no more.
func (h *moveQueueSet) uncount(t *Ticket) {
	t.moveQueue = nil
	h.n--
	if h.perCaller[t.Job.Caller]--; h.perCaller[t.Job.Caller] == 0 {
		delete(h.perCaller, t.Job.Caller)
	}
}

// expire hands those that are too late to drop and returns when the next one
// will be.
func (h *moveQueueSet) expire(now time.Time, drop func(*Ticket)) time.Time {
	var next time.Time
	h.retain(func(held *moveQueue) bool {
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
