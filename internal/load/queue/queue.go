// Package queue holds the requests that wait for a slot of a backend server. The queue is
// bounded, fair within each class of priority, and aware of deadlines.
//
// The load pattern is more work than the slots can do, first for a moment (a burst), then
// for minutes (overload). An unbounded queue in order of arrival fails in both cases: the
// wait grows past every deadline, and from then on the service only works for callers that
// have given up.
//
// Three rules prevent that. A request that would wait past its deadline is not queued.
// During a burst a request may wait as long as its deadline allows, because the queue will
// drain. When requests have waited longer than Target for a whole [StandingInterval], the
// queue is standing: it no longer absorbs a burst and only adds delay. New requests are
// then queued only for waits up to a small multiple of Target, until none has been refused
// for [RecoveryTime].
package queue

import (
	"slices"
	"sort"
	"time"
)

// Defaults of Queue.
const (
	// DefaultCap is the number of requests that a queue holds.
	DefaultCap = 256
	// DefaultTarget is the wait that is acceptable under lasting load.
	DefaultTarget = 5 * time.Millisecond
	// StandingInterval is how long waits must exceed the target until the queue is
	// standing. 100 ms is usual for controlled delay (CoDel) and about ten times the
	// service time of a lookup.
	StandingInterval = 100 * time.Millisecond
	// RecoveryTime is how long no request must have been refused until the queue is no
	// longer standing. 500 ms spans some tens of arrivals on the queue of one server, so
	// that a single gap between arrivals does not end the state.
	RecoveryTime = 500 * time.Millisecond
	// Classes is the number of classes of priority: normal, high and low.
	Classes = 3
)

// weights are the shares of the classes normal, high and low. Under full load the lowest
// class still gets a thirteenth.
var weights = [Classes]float64{4, 8, 1}

// Item is one waiting request; embed it. An Item is in at most one queue.
type Item[T any] struct {
	Value    T
	Class    uint8
	Rank     time.Time // order within the class, earliest first
	Deadline time.Time // latest time at which serving it can start

	seq        uint64
	enqueuedAt time.Time
	queued     bool
}

// EnqueuedAt returns when the item was added to its queue.
func (i *Item[T]) EnqueuedAt() time.Time { return i.enqueuedAt }

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.queued }

// entry holds the sort keys of an item beside the pointer to it.
type entry[T any] struct {
	rank time.Time
	seq  uint64
	item *Item[T]
}

// classQueue holds the items of one class, sorted by rank and then by arrival.
type classQueue[T any] struct {
	entries     []entry[T]
	virtualTime float64 // service taken so far, divided by the weight of the class
}

// Queue is a bounded queue of T. The zero value is ready to use.
type Queue[T any] struct {
	Cap    int           // maximum number of items; zero means DefaultCap
	Target time.Duration // acceptable wait under lasting load; zero means DefaultTarget

	classes          [Classes]classQueue[T]
	length           int
	seq              uint64
	virtualTime      float64   // that of the class served last
	earliestDeadline time.Time // lower bound of all deadlines; zero when empty
	lastShortWait    time.Time // when an item was last served within Target
	lastServed       time.Time // when an item was last served, or added to an empty queue
	lastRefused      time.Time // when a request was last refused
	standing         bool
}

// Len returns the number of items waiting.
func (q *Queue[T]) Len() int { return q.length }

// Room reports whether another item fits.
func (q *Queue[T]) Room() bool { return q.length < q.cap() }

// Standing reports whether the queue has lasted too long to be a burst, see the package
// comment.
func (q *Queue[T]) Standing() bool { return q.standing }

func (q *Queue[T]) cap() int {
	if q.Cap <= 0 {
		return DefaultCap
	}
	return q.Cap
}

func (q *Queue[T]) target() time.Duration {
	if q.Target <= 0 {
		return DefaultTarget
	}
	return q.Target
}

// Push adds an item. The caller must have checked Room.
func (q *Queue[T]) Push(now time.Time, it *Item[T]) {
	if q.length == 0 {
		q.lastServed = now
	}
	if q.length == 0 && !q.standing {
		q.lastShortWait = now
	}
	q.seq++
	it.seq, it.enqueuedAt, it.queued = q.seq, now, true
	cq := &q.classes[it.Class]
	if len(cq.entries) == 0 {
		cq.virtualTime = max(cq.virtualTime, q.virtualTime)
	}
	i := cq.position(it.Rank, it.seq)
	cq.entries = slices.Insert(cq.entries, i, entry[T]{it.Rank, it.seq, it})
	q.length++
	if q.earliestDeadline.IsZero() || it.Deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = it.Deadline
	}
}

// position returns the index at which an entry is or belongs. Most belong at the end.
func (cq *classQueue[T]) position(rank time.Time, seq uint64) int {
	n := len(cq.entries)
	if n == 0 || cq.entries[n-1].rank.Before(rank) {
		return n
	}
	return sort.Search(len(cq.entries), func(i int) bool {
		e := &cq.entries[i]
		c := e.rank.Compare(rank)
		return c > 0 || (c == 0 && e.seq >= seq)
	})
}

// Pop removes and returns the item to serve next, nil if the queue is empty.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	cq := q.nextClass()
	if cq == nil {
		return nil
	}
	it := cq.entries[0].item
	q.removeAt(cq, 0)
	q.virtualTime = cq.virtualTime
	cq.virtualTime += 1 / weights[it.Class]
	q.updateStanding(now, now.Sub(it.enqueuedAt))
	return it
}

// Peek returns the item that Pop would return, without removing it.
func (q *Queue[T]) Peek() *Item[T] {
	cq := q.nextClass()
	if cq == nil {
		return nil
	}
	return cq.entries[0].item
}

// nextClass returns the nonempty class that is furthest behind its share, nil if all are
// empty.
func (q *Queue[T]) nextClass() *classQueue[T] {
	var best *classQueue[T]
	for i := range q.classes {
		cq := &q.classes[i]
		if len(cq.entries) > 0 && (best == nil || cq.virtualTime < best.virtualTime) {
			best = cq
		}
	}
	return best
}

// Remove removes an item whose request was abandoned or refused.
func (q *Queue[T]) Remove(it *Item[T]) {
	if !it.queued {
		return
	}
	cq := &q.classes[it.Class]
	q.removeAt(cq, cq.position(it.Rank, it.seq))
}

func (q *Queue[T]) removeAt(cq *classQueue[T], i int) {
	cq.entries[i].item.queued = false
	cq.entries = slices.Delete(cq.entries, i, i+1)
	q.length--
	if q.length == 0 {
		q.earliestDeadline = time.Time{}
	}
}

// Ahead estimates how many items would be served before a new one of this class and rank:
// those before it in its own class, and the share of the other classes meanwhile.
func (q *Queue[T]) Ahead(class uint8, rank time.Time) float64 {
	return q.ahead(int(class), float64(q.classes[class].position(rank, q.seq+1)))
}

// ahead is Ahead for an item with own items before it in its class.
func (q *Queue[T]) ahead(class int, own float64) float64 {
	ahead := own
	for i := range q.classes {
		if i == class {
			continue
		}
		share := (own + 1) * weights[i] / weights[class]
		ahead += min(float64(len(q.classes[i].entries)), share)
	}
	return ahead
}

// Last returns the last item of the lowest nonempty class, nil if the queue is empty. Its
// rank is latest because its flow has used most.
func (q *Queue[T]) Last() *Item[T] {
	for _, class := range [Classes]int{2, 0, 1} {
		if e := q.classes[class].entries; len(e) > 0 {
			return e[len(e)-1].item
		}
	}
	return nil
}

// NextExpiry returns when the first deadline may pass; zero if the queue is empty. The time
// can be too early, never too late.
func (q *Queue[T]) NextExpiry() time.Time { return q.earliestDeadline }

// Expire removes the items whose deadlines have passed and calls drop for each.
func (q *Queue[T]) Expire(now time.Time, drop func(T)) {
	if q.length == 0 || now.Before(q.earliestDeadline) {
		return
	}
	q.earliestDeadline = time.Time{}
	for i := range q.classes {
		q.expire(&q.classes[i], now, drop)
	}
}

func (q *Queue[T]) expire(cq *classQueue[T], now time.Time, drop func(T)) {
	cq.entries = slices.DeleteFunc(cq.entries, func(e entry[T]) bool {
		if now.Before(e.item.Deadline) {
			if q.earliestDeadline.IsZero() || e.item.Deadline.Before(q.earliestDeadline) {
				q.earliestDeadline = e.item.Deadline
			}
			return false
		}
		e.item.queued = false
		q.length--
		drop(e.item.Value)
		return true
	})
}

// Shed removes the items for which tooLate returns true and calls drop for each. The
// argument ahead is the number of items served before the item, as in Ahead, without those
// that Shed removes from its own class.
func (q *Queue[T]) Shed(tooLate func(ahead float64, it *Item[T]) bool, drop func(T)) {
	for class := range q.classes {
		cq := &q.classes[class]
		own := 0.0
		cq.entries = slices.DeleteFunc(cq.entries, func(e entry[T]) bool {
			if !tooLate(q.ahead(class, own), e.item) {
				own++
				return false
			}
			e.item.queued = false
			q.length--
			drop(e.item.Value)
			return true
		})
	}
	if q.length == 0 {
		q.earliestDeadline = time.Time{}
	}
}

// Each calls visit for every waiting item, in no particular order.
func (q *Queue[T]) Each(visit func(T)) {
	for i := range q.classes {
		for _, e := range q.classes[i].entries {
			visit(e.item.Value)
		}
	}
}

// MarkFull records that a request was refused for lack of room.
func (q *Queue[T]) MarkFull(now time.Time) { q.lastRefused = now }

// pauseFactor is the number of target waits without any service that count as a pause, if
// that is longer than StandingInterval.
const pauseFactor = 4

// updateStanding decides from the wait of a served item whether the queue is standing.
//
// A wait during which nothing was served is ignored: this VM or the server was paused, and
// the wait is as long as the pause. The requests that were held up arrive all at once after
// it, at a server that is idle, and a queue that took the pause for overload would refuse
// most of them.
func (q *Queue[T]) updateStanding(now time.Time, wait time.Duration) {
	paused := now.Sub(q.lastServed) > max(StandingInterval, pauseFactor*q.target())
	q.lastServed = now
	if wait <= q.target() {
		q.lastShortWait = now
		q.ClearStanding(now)
		return
	}
	if paused {
		q.lastShortWait = now
	}
	if now.Sub(q.lastShortWait) > StandingInterval {
		q.standing = true
		q.lastRefused = now
	}
}

// ClearStanding ends the standing state once no request has been refused for RecoveryTime.
// Call it also while nothing is served.
func (q *Queue[T]) ClearStanding(now time.Time) {
	if q.standing && now.Sub(q.lastRefused) > RecoveryTime {
		q.standing = false
		q.lastShortWait = now
	}
}
