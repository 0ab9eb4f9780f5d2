// Package queue holds the requests that wait for a place: bounded, in fair
// order, by class, and aware of deadlines.
//
// The load pattern is more work than the slots can do, first for a moment (a
// burst), then for minutes (overload). An unbounded queue in order of arrival
// turns both into the same failure: the wait grows past every deadline, and
// from then on the service only works for callers who have gone.
//
// Three rules prevent that. A request that would wait past its deadline is not
// taken in at all. While the queue is short-lived, waiting as long as the
// deadline allows is right, because the burst will drain. When requests have
// waited longer than Target for a whole Interval, the queue is standing: it
// smooths nothing and only adds delay, so newcomers are taken only for waits up
// to a small multiple of Target, until no request has been turned away for
// Settle.
//
// Grounds: Interval of 100 ms is the usual one for controlled delay and about
// ten times the service time of a lookup; Settle of 500 ms spans some tens of
// arrivals on one server's queue, so that one lucky gap does not switch back.
// Classes share by weight 8:4:1; the lowest still gets a thirteenth.
package queue

import (
	"slices"
	"sort"
	"time"
)

// Defaults of Queue.
const (
	DefaultCap    = 256
	DefaultTarget = 5 * time.Millisecond
	Interval      = 100 * time.Millisecond
	Settle        = 500 * time.Millisecond
	Classes       = 3
)

// weights are the shares of the classes normal, high and low.
var weights = [Classes]float64{4, 8, 1}

// Item is one waiting request; embed it. An Item is in at most one queue.
type Item[T any] struct {
	Value    T
	Class    uint8
	Rank     time.Time // order within the class, earliest first
	Deadline time.Time // when it is too late to start

	seq uint64
	at  time.Time
	in  bool
}

// EnqueuedAt is when the item began to wait.
func (i *Item[T]) EnqueuedAt() time.Time { return i.at }

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.in }

type entry[T any] struct {
	rank time.Time
	seq  uint64
	item *Item[T]
}

// line is one class: entries sorted by rank, then by arrival.
type line[T any] struct {
	entries []entry[T]
	pass    float64 // virtual time of the class, for sharing by weight
}

// Queue is a bounded queue of T. The zero value is ready to use.
type Queue[T any] struct {
	Cap    int           // most items; zero is DefaultCap
	Target time.Duration // a wait that is too long when it lasts; zero is DefaultTarget

	lines    [Classes]line[T]
	n        int
	seq      uint64
	pass     float64
	soonest  time.Time
	short    time.Time // when a wait was last within Target
	served   time.Time // when an item was last served, or came to an empty queue
	full     time.Time // when something was last turned away
	standing bool
}

// Len is the number of items waiting.
func (q *Queue[T]) Len() int { return q.n }

// Room reports whether another item fits.
func (q *Queue[T]) Room() bool { return q.n < q.cap() }

// Standing reports whether the queue has lasted too long to be a burst.
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

// Push adds an item. The caller has checked Room.
func (q *Queue[T]) Push(now time.Time, it *Item[T]) {
	if q.n == 0 {
		q.served = now
	}
	if q.n == 0 && !q.standing {
		q.short = now
	}
	q.seq++
	it.seq, it.at, it.in = q.seq, now, true
	l := &q.lines[it.Class]
	if len(l.entries) == 0 {
		l.pass = max(l.pass, q.pass)
	}
	i := l.find(it.Rank, it.seq)
	l.entries = slices.Insert(l.entries, i, entry[T]{it.Rank, it.seq, it})
	q.n++
	if q.soonest.IsZero() || it.Deadline.Before(q.soonest) {
		q.soonest = it.Deadline
	}
}

// find returns the place of an entry in the line. Most go to its end.
func (l *line[T]) find(rank time.Time, seq uint64) int {
	n := len(l.entries)
	if n == 0 || l.entries[n-1].rank.Before(rank) {
		return n
	}
	return sort.Search(len(l.entries), func(i int) bool {
		e := &l.entries[i]
		c := e.rank.Compare(rank)
		return c > 0 || (c == 0 && e.seq >= seq)
	})
}

// Pop removes and returns the item to serve next, nil when none waits.
func (q *Queue[T]) Pop(now time.Time) *Item[T] {
	l := q.turn()
	if l == nil {
		return nil
	}
	it := l.entries[0].item
	q.removeAt(l, 0)
	q.pass = l.pass
	l.pass += 1 / weights[it.Class]
	q.judge(now, now.Sub(it.at))
	return it
}

// Peek returns the item that Pop would return.
func (q *Queue[T]) Peek() *Item[T] {
	l := q.turn()
	if l == nil {
		return nil
	}
	return l.entries[0].item
}

// turn picks the class that is furthest behind its share.
func (q *Queue[T]) turn() *line[T] {
	var best *line[T]
	for i := range q.lines {
		l := &q.lines[i]
		if len(l.entries) > 0 && (best == nil || l.pass < best.pass) {
			best = l
		}
	}
	return best
}

// Remove takes out an item that is abandoned or refused.
func (q *Queue[T]) Remove(it *Item[T]) {
	if !it.in {
		return
	}
	l := &q.lines[it.Class]
	q.removeAt(l, l.find(it.Rank, it.seq))
}

func (q *Queue[T]) removeAt(l *line[T], i int) {
	l.entries[i].item.in = false
	l.entries = slices.Delete(l.entries, i, i+1)
	q.n--
	if q.n == 0 {
		q.soonest = time.Time{}
	}
}

// Ahead estimates how many items are served before a newcomer of this class and
// rank: those before it in its own class, and the share the other classes take
// meanwhile.
func (q *Queue[T]) Ahead(class uint8, rank time.Time) float64 {
	return q.ahead(int(class), float64(q.lines[class].find(rank, q.seq+1)))
}

func (q *Queue[T]) ahead(class int, own float64) float64 {
	ahead := own
	for i := range q.lines {
		if i == class {
			continue
		}
		share := (own + 1) * weights[i] / weights[class]
		ahead += min(float64(len(q.lines[i].entries)), share)
	}
	return ahead
}

// Last returns the item that is served last in its class: the one whose flow
// has taken most, in the lowest class that has any.
func (q *Queue[T]) Last() *Item[T] {
	for _, class := range [Classes]int{2, 0, 1} {
		if e := q.lines[class].entries; len(e) > 0 {
			return e[len(e)-1].item
		}
	}
	return nil
}

// NextExpiry is when the first item may become too late; zero when none waits. It
// can be early, never late.
func (q *Queue[T]) NextExpiry() time.Time { return q.soonest }

// Expire removes the items that are too late to start and hands each to drop.
func (q *Queue[T]) Expire(now time.Time, drop func(T)) {
	if q.n == 0 || now.Before(q.soonest) {
		return
	}
	q.soonest = time.Time{}
	for i := range q.lines {
		q.expire(&q.lines[i], now, drop)
	}
}

func (q *Queue[T]) expire(l *line[T], now time.Time, drop func(T)) {
	l.entries = slices.DeleteFunc(l.entries, func(e entry[T]) bool {
		if now.Before(e.item.Deadline) {
			if q.soonest.IsZero() || e.item.Deadline.Before(q.soonest) {
				q.soonest = e.item.Deadline
			}
			return false
		}
		e.item.in = false
		q.n--
		drop(e.item.Value)
		return true
	})
}

// Shed removes the items for which late is true and hands each to drop. Late is
// told how many are served before the item, as by Ahead, those that stay
// counted only.
func (q *Queue[T]) Shed(late func(ahead float64, it *Item[T]) bool, drop func(T)) {
	for class := range q.lines {
		l := &q.lines[class]
		own := 0.0
		l.entries = slices.DeleteFunc(l.entries, func(e entry[T]) bool {
			if !late(q.ahead(class, own), e.item) {
				own++
				return false
			}
			e.item.in = false
			q.n--
			drop(e.item.Value)
			return true
		})
	}
	if q.n == 0 {
		q.soonest = time.Time{}
	}
}

// Each calls do for every waiting item, in no particular order.
func (q *Queue[T]) Each(do func(T)) {
	for i := range q.lines {
		for _, e := range q.lines[i].entries {
			do(e.item.Value)
		}
	}
}

// MarkFull notes that something was turned away for want of room.
func (q *Queue[T]) MarkFull(now time.Time) { q.full = now }

// pauseTurns is for how many usual turns nothing is served in a pause.
const pauseTurns = 4

// judge decides from the wait of a served item whether the queue is standing.
//
// While nothing is served at all, nothing is learned: this VM was paused, or the
// server was, and its one wait is as long as the pause. The requests that were held
// up meanwhile come all at once after it, to a server that is idle, and a queue that
// took the pause for an overload would refuse most of them.
func (q *Queue[T]) judge(now time.Time, wait time.Duration) {
	paused := now.Sub(q.served) > max(Interval, pauseTurns*q.target())
	q.served = now
	if wait <= q.target() {
		q.short = now
		q.ClearStanding(now)
		return
	}
	if paused {
		q.short = now
	}
	if now.Sub(q.short) > Interval {
		q.standing = true
		q.full = now
	}
}

// ClearStanding ends the standing state once nothing has been turned away for Settle.
// Call it also while nothing is served.
func (q *Queue[T]) ClearStanding(now time.Time) {
	if q.standing && now.Sub(q.full) > Settle {
		q.standing = false
		q.short = now
	}
}
