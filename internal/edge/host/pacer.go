package host

import (
	"context"
	"sync"
	"time"
)

const (
	// maxOrderSlots bounds the orders in flight to all servers together. An answer takes
	// about 4 ms, so the limit allows six thousand orders per second, more than one
	// processor can send.
	maxOrderSlots = 24
	// orderSlotTime is when an unanswered order stops counting against the limit. Its
	// server does not answer and must not delay the renewals of others.
	orderSlotTime = 20 * time.Millisecond
)

// pacer limits how many orders a VM has in flight. The renewals for all servers fall due
// together: if a thousand were sent at once, they would wait in the VM's own queues for
// longer than their timeout. Healthy servers would then appear silent and lose their
// keys, and the VM would be too busy to answer other VMs, which would consider it lost.
// The zero value is ready to use.
type pacer struct {
	once  sync.Once
	slots chan struct{}
}

// acquire waits until an order may be sent and returns a function to call when it is
// answered.
func (p *pacer) acquire(ctx context.Context) (end func()) {
	p.once.Do(func() { p.slots = make(chan struct{}, maxOrderSlots) })
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	var once sync.Once
	free := func() { once.Do(func() { <-p.slots }) }
	timer := time.AfterFunc(orderSlotTime, free)
	return func() {
		timer.Stop()
		free()
	}
}
