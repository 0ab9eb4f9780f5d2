package objapi

import (
	"sync"
	"time"
)

// Calls counts what callers asked of the platform since the start. A watch
// counts once for each wait.
type Calls struct {
	Gets, Puts, Deletes, Lists, Watches, VMs uint64
}

// Total adds all calls up.
func (c Calls) Total() uint64 { return c.Gets + c.Puts + c.Deletes + c.Lists + c.Watches + c.VMs }

// knobs are the faults that a test switches on. They may be turned at any time.
type knobs struct {
	mu     sync.Mutex
	down   bool
	noList bool
	delay  time.Duration
	lose   int
	calls  Calls
	change chan struct{} // closed when the outage begins, so that waits end
}

// Outage begins or ends an outage of the object API. While it lasts every call
// but that of the VM list is cut off without an answer and without effect, and
// waiting watches break.
func (k *knobs) Outage(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if down && !k.down {
		close(k.change)
		k.change = make(chan struct{})
	}
	k.down = down
}

// ListOutage begins or ends an outage of the VM list.
func (k *knobs) ListOutage(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noList = down
}

func (k *knobs) listDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.noList
}

// Delay makes every call take at least d.
func (k *knobs) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// LoseAnswers lets the next n writes take effect and then breaks the
// connection instead of answering.
func (k *knobs) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lose = n
}

// Calls returns the counts so far. Calls during an outage are counted too.
func (k *knobs) Calls() Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

func (k *knobs) count(pick func(*Calls) *uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*pick(&k.calls)++
}

func (k *knobs) state() (down bool, delay time.Duration, change <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down, k.delay, k.change
}

func (k *knobs) losing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lose == 0 {
		return false
	}
	k.lose--
	return true
}
