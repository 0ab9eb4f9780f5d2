package egress

import (
	"context"
	"errors"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Refusal is the error of a request whose bytes do not fit in time. Its kind is Busy.
type Refusal struct {
	Delay Delay
	After time.Duration // until the bytes are expected to fit
}

var errBusy = kinds.New(kinds.Busy, "the response does not fit into the budget of response bytes")

// Error includes the time after which to retry.
func (r *Refusal) Error() string { return errBusy.Error() + ", retry after " + r.After.String() }

// Unwrap returns an error of kind Busy.
func (r *Refusal) Unwrap() error { return errBusy }

// Limits of Retry-After.
const (
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the time by which readers that accept nothing are disconnected.
	maxRetryAfter = ReaderTimeout
)

// shortestCheck keeps the timer from firing several times for rounding errors of the wire.
const shortestCheck = time.Millisecond

// waiter is a request that waits for bytes.
type waiter struct {
	h     *Hold
	need  int64 // bytes that must be free
	at    time.Time
	ready chan struct{} // closed when admitted
}

// enter admits the hold, refuses it, or returns the waiter that it became.
func (b *Budget) enter(h *Hold, longest time.Duration) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	b.admit(now)
	s := b.sizes.estimate(h.rule)
	h.expected = int64(s.mean)
	need := int64(max(s.high, s.mean))
	first := len(b.queue) == 0 || need <= SmallBytes
	if !b.on.Load() || first && b.fits(need) {
		b.start(h)
		return nil, nil
	}
	h.delay = b.fullness()
	if wait := b.expectedWait(now, need); wait > longest {
		return nil, b.refuse(h, wait)
	}
	if len(b.queue) == 0 {
		b.leaving.start(now)
	}
	w := &waiter{h: h, need: need, at: now, ready: make(chan struct{})}
	b.queue = append(b.queue, w)
	b.arm(now)
	return w, nil
}

// start counts the expected bytes of an admitted hold.
func (b *Budget) start(h *Hold) { b.recount(h) }

func (b *Budget) refuse(h *Hold, wait time.Duration) error {
	b.refused++
	h.closed = true
	return &Refusal{Delay: h.delay, After: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// await waits until the waiter is admitted, the longest wait has passed, or ctx is done.
func (b *Budget) await(ctx context.Context, w *waiter, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	var err error
	select {
	case <-w.ready:
	case <-timer.C:
		err = b.expire(w)
	case <-ctx.Done():
		err = b.abandon(ctx, w)
	}
	w.h.delay.Wait = time.Since(w.at)
	return err
}

// expire refuses a waiter whose turn did not come in time.
func (b *Budget) expire(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leave(w) {
		return nil // admitted at the same moment
	}
	now := time.Now()
	w.h.delay.Wait = now.Sub(w.at)
	return b.refuse(w.h, b.expectedWait(now, w.need))
}

// abandon removes a waiter whose caller went away or whose deadline passed.
func (b *Budget) abandon(ctx context.Context, w *waiter) error {
	b.remove(w)
	w.h.Close() // if it was admitted at the same moment
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kinds.Wrap(kinds.DeadlineMissed, ctx.Err(), "wait for response bytes")
	}
	return kinds.Wrap(kinds.Canceled, ctx.Err(), "wait for response bytes")
}

// remove removes a waiter for good.
func (b *Budget) remove(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.h.closed = b.leave(w)
}

// leave takes a waiter out of the queue, and returns false if it has been admitted. Those
// behind it may fit where it did not. The caller holds mu, here and below.
func (b *Budget) leave(w *waiter) bool {
	i := slices.Index(b.queue, w)
	if i < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	now := time.Now()
	b.settle(now)
	b.admit(now)
	return true
}

// admit admits waiters in order while their bytes fit.
func (b *Budget) admit(now time.Time) {
	if len(b.queue) == 0 {
		return
	}
	for len(b.queue) > 0 && b.fits(b.queue[0].need) {
		b.admitFirst()
	}
	b.arm(now)
}

func (b *Budget) admitAll() {
	for len(b.queue) > 0 {
		b.admitFirst()
	}
}

func (b *Budget) admitFirst() {
	w := b.queue[0]
	b.queue = slices.Delete(b.queue, 0, 1)
	b.start(w.h)
	close(w.ready)
}

// fits reports whether a request that needs so many bytes may be admitted now. A request
// that needs more than there is fits when no other large one is there.
func (b *Budget) fits(need int64) bool {
	alone := b.large.flight == 0 && b.wire.bytes() <= b.flight.large/2
	if !alone && b.linkExcess(need) > 0 {
		return false
	}
	return b.large.memory == 0 || b.memoryExcess(need) <= 0
}

// linkExcess returns by how many bytes a request exceeds the bound of the link.
func (b *Budget) linkExcess(need int64) int64 {
	return b.flight.excess(b.all.flight+b.wire.bytes(), b.large.flight+b.wire.bytes(), need)
}

// memoryExcess returns by how many bytes a request exceeds the bound of the memory.
func (b *Budget) memoryExcess(need int64) int64 {
	return b.memory.excess(b.all.memory, b.large.memory, min(need, responseMemory))
}

// excess returns by how many bytes a request exceeds the limits when so many are in use.
// Requests with small responses may use the part that the others must leave.
func (l limits) excess(all, large, need int64) int64 {
	over := all + min(need, l.large) - l.total
	if need <= SmallBytes {
		return over
	}
	return max(over, large+min(need, l.large)-l.large)
}

// fullness returns the use of the resource that is nearer to its bound.
func (b *Budget) fullness() Delay {
	flight := b.large.flight + b.wire.bytes()
	if float64(b.large.memory)*float64(b.flight.large) > float64(flight)*float64(b.memory.large) {
		return Delay{Held: b.large.memory, Bound: b.memory.large}
	}
	return Delay{Held: flight, Bound: b.flight.large}
}

// expectedWait estimates when a request's turn comes: when those that wait already and its
// own bytes fit, at the rate at which bytes leave.
func (b *Budget) expectedWait(now time.Time, need int64) time.Duration {
	var ahead, memoryAhead int64
	for _, w := range b.queue {
		ahead += w.h.expected
		memoryAhead += min(w.h.expected, responseMemory)
	}
	excess := max(b.linkExcess(need)+ahead, b.memoryExcess(need)+memoryAhead, 1)
	s := float64(excess) / b.leaving.perSecond(now, len(b.queue) > 0)
	return time.Duration(s * float64(time.Second))
}

// arm sets the timer for the next moment at which the first waiter may fit although no hold
// changes: when the link has carried enough, or a hold counts as stalled.
func (b *Budget) arm(now time.Time) {
	next, found := time.Duration(0), false
	consider := func(d time.Duration) {
		if d = max(d, shortestCheck); !found || d < next {
			next, found = d, true
		}
	}
	if len(b.queue) > 0 {
		if wire := b.wire.bytes(); wire > 0 {
			need := min(max(b.linkExcess(b.queue[0].need), 1), wire)
			if b.large.flight == 0 {
				need = min(need, max(wire-b.flight.large/2, 1))
			}
			consider(time.Duration(float64(need) / float64(b.link) * float64(time.Second)))
		}
		if h := b.moving.first; h != nil {
			consider(linkWindow - now.Sub(h.progressAt))
		}
	}
	switch {
	case !found && b.wakeUp != nil:
		b.wakeUp.Stop()
	case found && b.wakeUp == nil:
		b.wakeUp = time.AfterFunc(next, b.check)
	case found:
		b.wakeUp.Reset(next)
	}
}

// check admits waiters after time has passed.
func (b *Budget) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	b.admit(now)
}
