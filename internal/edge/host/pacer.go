package host

import (
	"context"
	"sync"
	"time"
)

const (
	// ordersAtOnce bounds the orders that have just been sent, to all servers together.
	// An answer takes some 4 ms, so they allow six thousand orders a second, more than
	// a processor sends.
	ordersAtOnce = 24
	// orderBrief is after how long an order counts no more: its server is silent, and
	// must not hold up the renewals of others.
	orderBrief = 20 * time.Millisecond
)

// pacer spaces the orders of one VM. Renewals of all servers fall due together: sent
// at once, a thousand of them wait in the VM's own queues for longer than their
// time-out. Servers that are well then seem silent and lose their keys, and the VM is
// too busy to answer the others, who take it for lost. The zero value is ready.
type pacer struct {
	once  sync.Once
	young chan struct{}
}

// begin waits until an order may be sent, and returns what to call when it is answered.
func (p *pacer) begin(ctx context.Context) (end func()) {
	p.once.Do(func() { p.young = make(chan struct{}, ordersAtOnce) })
	select {
	case p.young <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	var left sync.Once
	leave := func() { left.Do(func() { <-p.young }) }
	timer := time.AfterFunc(orderBrief, leave)
	return func() {
		timer.Stop()
		leave()
	}
}
