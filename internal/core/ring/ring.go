// Package ring joins two duties by a bounded queue with a chosen overflow.
//
// An unbounded queue between goroutines hides overload until memory ends; a
// plain channel hides which of the three possible answers to "full" was meant,
// and counts nothing. A Ring makes both visible.
package ring

import (
	"context"
	"sync/atomic"
)

// Overflow says what Push does when the ring is full.
type Overflow uint8

// The policies. The zero value refuses, which loses nothing silently.
const (
	Refuse  Overflow = iota // Push returns false
	Block                   // Push waits for room
	DropOld                 // Push discards the oldest item and counts it
)

// Ring is a bounded queue of T. Make one with New.
type Ring[T any] struct {
	items chan T
	mode  Overflow
	lost  atomic.Uint64
}

// New makes a ring for n items; n below one is taken as one.
func New[T any](n int, mode Overflow) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(n, 1)), mode: mode}
}

// Push adds an item and reports whether it was taken. Under Block it waits, and
// returns false only when ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
	}
	switch r.mode {
	case Block:
		return r.wait(ctx, item)
	case DropOld:
		return r.replace(item)
	default:
		r.lost.Add(1)
		return false
	}
}

func (r *Ring[T]) wait(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		r.lost.Add(1)
		return false
	}
}

func (r *Ring[T]) replace(item T) bool {
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

// Pop waits for the next item. It returns false when ctx ends first; items that
// are left can still be taken with TryPop.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop returns the next item without waiting.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items is the ring as a channel to receive from, for a duty that waits for
// something else as well.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len is the number of items waiting, for a gauge.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap is the most items that can wait.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Lost counts the items that were refused or discarded since the start.
func (r *Ring[T]) Lost() uint64 { return r.lost.Load() }
