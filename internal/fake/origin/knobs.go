package origin

import (
	"context"
	"sync"
	"time"
)

// Stats counts what happened at the server's door.
type Stats struct {
	Most    int // most connections open at once
	Refused int // connections over the limit
	Shed    int // requests over the queue
	Misses  int // requests for keys that it does not own
}

// knobs are the faults that a test switches on.
type knobs struct {
	km    sync.Mutex
	thaw  chan struct{} // closed while the server is not frozen
	slow  time.Duration
	cut   int
	snap  int
	deaf  bool
	stats Stats
}

// Freeze stops all handling, data and control, until it is called with false.
// The server's clock runs on, as it does for a paused process.
func (k *knobs) Freeze(on bool) {
	k.km.Lock()
	defer k.km.Unlock()
	frozen := false
	select {
	case <-k.thaw:
	default:
		frozen = true
	}
	switch {
	case on && !frozen:
		k.thaw = make(chan struct{})
	case !on && frozen:
		close(k.thaw)
	}
}

// Slow adds d to the work of each request.
func (k *knobs) Slow(d time.Duration) {
	k.km.Lock()
	defer k.km.Unlock()
	k.slow = d
}

// Truncate breaks the next n answers off in the middle.
func (k *knobs) Truncate(n int) {
	k.km.Lock()
	defer k.km.Unlock()
	k.cut = n
}

// Break runs the next n requests and breaks the connection without an answer.
func (k *knobs) Break(n int) {
	k.km.Lock()
	defer k.km.Unlock()
	k.snap = n
}

// IgnoreRevocations makes the server say that it obeys revocations, and serve on what they take
// from it. A checker that does not notice such a server proves nothing.
func (k *knobs) IgnoreRevocations(on bool) {
	k.km.Lock()
	defer k.km.Unlock()
	k.deaf = on
}

func (k *knobs) ignores() bool {
	k.km.Lock()
	defer k.km.Unlock()
	return k.deaf
}

// Stats returns the counts so far.
func (k *knobs) Stats() Stats {
	k.km.Lock()
	defer k.km.Unlock()
	return k.stats
}

// pass waits while the server is frozen.
func (k *knobs) pass(ctx context.Context) {
	k.km.Lock()
	thaw := k.thaw
	k.km.Unlock()
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}

func (k *knobs) extra() time.Duration {
	k.km.Lock()
	defer k.km.Unlock()
	return k.slow
}

func (k *knobs) take(n *int) bool {
	k.km.Lock()
	defer k.km.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (k *knobs) noteOpen(n int) {
	k.km.Lock()
	defer k.km.Unlock()
	k.stats.Most = max(k.stats.Most, n)
}

func (k *knobs) refusedConn() {
	k.km.Lock()
	defer k.km.Unlock()
	k.stats.Refused++
}

func (k *knobs) bump(pick func(*Stats) *int) {
	k.km.Lock()
	defer k.km.Unlock()
	*pick(&k.stats)++
}
