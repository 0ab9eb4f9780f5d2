package origin

import (
	"context"
	"sync"
	"time"
)

// Stats counts connections and requests at the server.
type Stats struct {
	MaxOpen int // largest number of connections open at once
	Refused int // connections refused because of the limit
	Shed    int // requests refused because the queue was full
	Misses  int // requests refused because the server does not own the key
}

// faults holds the faults that a test switches on, and the counts.
type faults struct {
	faultMu       sync.Mutex
	thawed        chan struct{} // closed while the server is not frozen
	extraDelay    time.Duration
	truncateNext  int
	breakNext     int
	ignoreRevokes bool
	stats         Stats
}

// Freeze blocks all data and control requests until it is called with false. The
// server's clock keeps running, as for a paused process.
func (f *faults) Freeze(on bool) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	frozen := false
	select {
	case <-f.thawed:
	default:
		frozen = true
	}
	switch {
	case on && !frozen:
		f.thawed = make(chan struct{})
	case !on && frozen:
		close(f.thawed)
	}
}

// Slow adds d to the working time of each request.
func (f *faults) Slow(d time.Duration) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.extraDelay = d
}

// Truncate breaks off the next n answers in the middle.
func (f *faults) Truncate(n int) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.truncateNext = n
}

// Break makes the next n requests run but breaks their connections without an answer.
func (f *faults) Break(n int) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.breakNext = n
}

// IgnoreRevocations makes the server confirm revocations without carrying them out, so
// that it continues to serve the revoked keys. Tests use it to prove that their checks
// notice such a server.
func (f *faults) IgnoreRevocations(on bool) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.ignoreRevokes = on
}

func (f *faults) ignoresRevocations() bool {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.ignoreRevokes
}

// Stats returns the counts so far.
func (f *faults) Stats() Stats {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.stats
}

// waitThawed blocks while the server is frozen, or until ctx ends.
func (f *faults) waitThawed(ctx context.Context) {
	f.faultMu.Lock()
	thaw := f.thawed
	f.faultMu.Unlock()
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}

func (f *faults) extraWork() time.Duration {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.extraDelay
}

// consume decrements a count of pending faults and reports whether there was one.
func (f *faults) consume(n *int) bool {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (f *faults) recordOpenConns(n int) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.stats.MaxOpen = max(f.stats.MaxOpen, n)
}

func (f *faults) countRefusedConn() {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.stats.Refused++
}

func (f *faults) count(pick func(*Stats) *int) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	*pick(&f.stats)++
}
