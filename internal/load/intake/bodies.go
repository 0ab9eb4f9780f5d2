package intake

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Progress of a body that is being read.
const (
	// FreeBody is the length in bytes up to which a body is not counted.
	FreeBody = 16 << 10
	// staleAfter is how long nothing may have come of a body before it gives way to one for
	// which there is no room.
	staleAfter = 500 * time.Millisecond
)

// Bodies are the bodies that a VM reads whole. The zero value has no bound. When there is no
// room for more bytes, the body that has made no progress for longest gives way, if it is
// stale; otherwise the one that needs the room is refused.
type Bodies struct {
	Pool

	mu      sync.Mutex
	reading list.List // of *Body, the one that progressed longest ago first
	evicted atomic.Int64
	refused atomic.Int64
}

// Body is one body that is read whole. It must be closed.
type Body struct {
	from     *Bodies
	counted  int64
	progress time.Time
	place    *list.Element // nil once the body is complete
	giveWay  func()        // ends the read in progress
	gaveWay  atomic.Bool
}

// Evicted returns how many bodies gave way to others.
func (b *Bodies) Evicted() int64 { return b.evicted.Load() }

// Refused returns how many bodies were refused for lack of room.
func (b *Bodies) Refused() int64 { return b.refused.Load() }

// Open begins to read a body. The function ends the read that is in progress; it must not block.
func (b *Bodies) Open(now time.Time, giveWay func()) *Body {
	body := &Body{from: b, progress: now, giveWay: giveWay}
	b.mu.Lock()
	defer b.mu.Unlock()
	body.place = b.reading.PushBack(body)
	return body
}

// Grow counts n more bytes, for which the body made progress, and reports whether there is room.
func (b *Body) Grow(now time.Time, n int64) bool {
	from := b.from
	from.mu.Lock()
	defer from.mu.Unlock()
	b.touch(now)
	for !b.gaveWay.Load() {
		if from.Acquire(n) {
			b.counted += n
			return true
		}
		if !from.evictStalest(now) {
			from.refused.Add(1)
			return false
		}
	}
	return false
}

// GaveWay reports whether the body has to give way to others.
func (b *Body) GaveWay() bool { return b.gaveWay.Load() }

// Progress says that more of the body came, for which it has room.
func (b *Body) Progress(now time.Time) {
	b.from.mu.Lock()
	defer b.from.mu.Unlock()
	b.touch(now)
}

// touch records progress. The caller holds the mutex of the bodies.
func (b *Body) touch(now time.Time) {
	b.progress = now
	if b.place != nil {
		b.from.reading.MoveToBack(b.place)
	}
}

// Complete says that the body was read: it does not give way any more. It returns false if the
// body had to give way just before.
func (b *Body) Complete() bool {
	b.from.mu.Lock()
	defer b.from.mu.Unlock()
	b.from.remove(b)
	return !b.gaveWay.Load()
}

// Close gives the bytes back.
func (b *Body) Close() {
	b.from.mu.Lock()
	defer b.from.mu.Unlock()
	b.from.remove(b)
	b.from.free(b)
}

// remove takes a body out of those that are being read. The caller holds mu, here and below.
func (b *Bodies) remove(body *Body) {
	if body.place != nil {
		b.reading.Remove(body.place)
		body.place = nil
	}
}

func (b *Bodies) free(body *Body) {
	b.Release(body.counted)
	body.counted = 0
}

// evictStalest makes the stalest body that holds bytes give way, and reports whether there was
// one. Its bytes count as free from now on: it ends within a moment.
func (b *Bodies) evictStalest(now time.Time) bool {
	for e := b.reading.Front(); e != nil; e = e.Next() {
		body := e.Value.(*Body)
		if now.Sub(body.progress) < staleAfter {
			return false
		}
		if body.counted == 0 {
			continue
		}
		b.remove(body)
		b.free(body)
		body.gaveWay.Store(true)
		b.evicted.Add(1)
		body.giveWay()
		return true
	}
	return false
}
