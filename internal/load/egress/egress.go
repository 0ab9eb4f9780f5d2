// Package egress bounds the response bytes that one VM holds and has in flight.
//
// Large responses share the VM's memory and its link with all others. A few slow readers of
// large responses could otherwise fill the memory, and a burst of large responses would make
// every small one wait behind them on the link.
//
// A request of a rule with large responses reserves the bytes that its response is expected
// to have before it asks for a server. If they do not fit, it waits in order of arrival, or
// is refused at once if its turn would come too late. A response that has begun is always
// delivered: bytes beyond the expectation are counted, and later requests wait for them.
// Requests of other rules never wait, but their bytes are counted too.
package egress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the budget.
const (
	// memoryPart is the part of the VM's memory that responses may occupy: one in four.
	memoryPart = 4
	// linkWindow is the time in which the link must be able to carry all bytes in flight. It
	// bounds how long a small response waits behind large ones on the link.
	linkWindow = 500 * time.Millisecond
	// smallPart is the part of each bound that only small responses may use: one in four.
	smallPart = 4
	// SmallBytes is the size of the longest response that counts as small.
	SmallBytes = 16 << 10
	// firstExpected is the expected size of a rule's responses before the first one.
	firstExpected = 64 << 10
	// responseMemory is the most that the bytes of one response occupy on this VM: 329 KB were
	// measured in the sockets towards its server and its reader, if the reader takes nothing,
	// and one copy buffer of 32 KB is between them.
	responseMemory = 360_000
	// ReaderTimeout is how long a reader may accept nothing before it is disconnected.
	ReaderTimeout = 10 * time.Second
)

// Budget is the budget of one VM. The zero value and nil have no bound. All methods are safe
// for concurrent use.
type Budget struct {
	link   int64  // bytes a second
	memory limits // of the bytes held
	flight limits // of the bytes in flight
	on     atomic.Bool

	mu           sync.Mutex
	all          usage // of all open holds
	large        usage // of those of rules with large responses
	wire         wire
	moving       holdList // holds with bytes that count as in flight, the longest unchanged first
	queue        []*waiter
	wakeUp       *time.Timer
	sizes        sizeBook
	leaving      rate
	refused      uint64
	disconnected uint64
}

// limits are the bounds of one resource in bytes.
type limits struct {
	total int64
	large int64 // for responses that are not small
}

func newLimits(total int64) limits { return limits{total, total - total/smallPart} }

// New returns a budget for a link, in bytes a second, and a memory size, in bytes. There is
// no bound unless both are stated. The budget is on until SetOn says otherwise.
func New(link, memory int64) *Budget {
	b := &Budget{}
	if link <= 0 || memory <= 0 {
		return b
	}
	b.link = link
	b.memory = newLimits(memory / memoryPart)
	b.flight = newLimits(int64(float64(link) * linkWindow.Seconds()))
	b.leaving.reset(link)
	b.on.Store(true)
	return b
}

// Bounded reports whether the budget has bounds.
func (b *Budget) Bounded() bool { return b != nil && b.link > 0 }

// On reports whether requests are counted and may have to wait.
func (b *Budget) On() bool { return b.Bounded() && b.on.Load() }

// SetOn says whether any rule in force has large responses. When there is none, waiting
// requests are admitted, and further ones are not counted.
func (b *Budget) SetOn(on bool) {
	if !b.Bounded() || b.on.Load() == on {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.on.Store(on)
	if !on {
		b.admitAll()
	}
}

// Acquire reserves the bytes of a response of a rule with large responses. It waits at most
// half of the time to spare, and fails with a *Refusal if the bytes do not fit by then. The
// hold is nil, which counts nothing, if the budget is off.
func (b *Budget) Acquire(ctx context.Context, rule string, spare time.Duration) (*Hold, error) {
	if !b.On() {
		return nil, nil
	}
	h := &Hold{b: b, rule: rule, large: true}
	w, err := b.enter(h, spare/2)
	if w == nil {
		return h, err
	}
	return h, b.await(ctx, w, spare/2)
}

// Track returns a hold for a response of another rule, which reserves nothing. It is nil if
// the budget is off.
func (b *Budget) Track() *Hold {
	if !b.On() {
		return nil
	}
	return &Hold{b: b}
}

// CountDisconnect counts a reader that was disconnected because it accepted nothing.
func (b *Budget) CountDisconnect() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnected++
}

// Stats are the figures of a budget at one moment.
type Stats struct {
	On           bool
	Held         int64 // bytes read from servers and not accepted by callers
	Flight       int64 // bytes expected on the link within half a second, and those on it
	Waiting      int   // requests
	Refused      uint64
	Disconnected uint64 // readers that accepted nothing
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	b.admit(now)
	return Stats{
		On: b.On(), Held: b.all.held, Flight: b.all.flight + b.wire.bytes(), Waiting: len(b.queue),
		Refused: b.refused, Disconnected: b.disconnected,
	}
}
