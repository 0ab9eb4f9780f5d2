// Package ring provides a bounded queue between goroutines with an explicit
// overflow policy.
//
// An unbounded queue hides overload until memory runs out. A plain channel does not
// show which of the three possible reactions to a full queue is intended, and does
// not count lost items. A Ring does both.
package ring

import (
	"context"
	"sync/atomic"
)

// Overflow says what Push does when the ring is full.
type Overflow uint8

// The overflow policies. The zero value is Refuse, which loses nothing silently.
const (
	Refuse  Overflow = iota // Push returns false
	Block                   // Push waits until there is room
	DropOld                 // Push discards the oldest item and counts it
)

// Ring is a bounded queue of items of type T. Create one with New.
type Ring[T any] struct {
	items    chan T
	overflow Overflow
	lost     atomic.Uint64
}

// New returns a ring for n items, or for one item if n is less than 1.
func New[T any](n int, overflow Overflow) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(n, 1)), overflow: overflow}
}

// Push adds an item and reports whether it was added. With policy Block it waits for
// room and returns false only if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
	}
	switch r.overflow {
	case Block:
		return r.pushBlocking(ctx, item)
	case DropOld:
		return r.pushDropOld(item)
	default:
		r.lost.Add(1)
		return false
	}
}

// pushBlocking waits for room until ctx ends.
func (r *Ring[T]) pushBlocking(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		r.lost.Add(1)
		return false
	}
}

// pushDropOld discards the oldest items until there is room.
func (r *Ring[T]) pushDropOld(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		select {
		case <-r.items:
			r.lost.Add(1)
		default:
		}
	}
}

// Pop waits for the next item and removes it. It returns false if ctx ends first;
// the remaining items can still be removed with TryPop.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop removes and returns the next item without waiting. It returns false if
// the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel of items, for a select statement that also waits for
// other events.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the maximum number of queued items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Lost returns the number of items that were refused or discarded since New.
func (r *Ring[T]) Lost() uint64 { return r.lost.Load() }
