package objapi

import (
	"sync"
	"time"
)

// Calls counts the calls of the platform since the start. Each call of a watch counts,
// also one that ends without a change.
type Calls struct {
	Gets, Puts, Deletes, Lists, Watches, VMs uint64
}

// Total returns the sum of all calls.
func (c Calls) Total() uint64 { return c.Gets + c.Puts + c.Deletes + c.Lists + c.Watches + c.VMs }

// faults holds the faults that a test switches on, at any time, and the counts.
type faults struct {
	mu          sync.Mutex
	down        bool
	vmListDown  bool
	delay       time.Duration
	loseAnswers int
	calls       Calls
	outageBegan chan struct{} // closed and replaced when an outage begins, which ends waiting watches
}

// Outage begins or ends an outage of the object API. During it the connection of every
// call, except for the VM list, is closed without an answer and without effect, also
// that of watches that wait already.
func (f *faults) Outage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.outageBegan)
		f.outageBegan = make(chan struct{})
	}
	f.down = down
}

// ListOutage begins or ends an outage of the VM list.
func (f *faults) ListOutage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vmListDown = down
}

func (f *faults) isVMListDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmListDown
}

// Delay makes every call take at least d.
func (f *faults) Delay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAnswers makes the next n writes take effect and then closes the connection
// instead of answering.
func (f *faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// Calls returns the counts so far, calls during an outage included.
func (f *faults) Calls() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *faults) count(pick func(*Calls) *uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*pick(&f.calls)++
}

func (f *faults) state() (down bool, delay time.Duration, outageBegan <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.delay, f.outageBegan
}

// loseAnswer reports whether to lose the answer of this write, and counts it.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}
