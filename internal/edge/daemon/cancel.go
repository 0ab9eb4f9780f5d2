package daemon

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/ring"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// maxPendingCancels limits the cancellations that wait to be sent; the oldest are
// dropped. Cancelling only saves work: a server that misses a cancellation completes a
// request that nobody waits for.
const maxPendingCancels = 256

// cancelTimeout is how long sending one cancellation may take.
const cancelTimeout = 500 * time.Millisecond

// cancellation is a request that is no longer needed and the server that may run it.
type cancellation struct {
	svc ident.Service
	srv ident.Server
	id  ident.Request
}

// canceler tells backend servers that nobody waits for a request any more.
type canceler struct {
	state   *state.State
	control server.Control
	ring    *ring.Ring[cancellation]
	group   group.Group
}

func newCanceler(s *state.State, control server.Control) *canceler {
	c := &canceler{state: s, control: control, ring: ring.New[cancellation](maxPendingCancels, ring.DropOld)}
	c.group.Go(c.run)
	return c
}

// Close stops sending and waits.
func (c *canceler) Close() error { return c.group.Close() }

// Cancel queues a cancellation and returns at once.
func (c *canceler) Cancel(svc ident.Service, srv ident.Server, id ident.Request) {
	c.ring.Push(context.Background(), cancellation{svc, srv, id})
}

func (c *canceler) run(ctx context.Context) error {
	for {
		req, ok := c.ring.Pop(ctx)
		if !ok {
			return nil
		}
		c.send(ctx, req)
	}
}

func (c *canceler) send(ctx context.Context, req cancellation) {
	svc, ok := c.state.Service(req.svc)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for _, s := range svc.Servers {
		if s.Name == req.srv {
			_ = c.control.Cancel(ctx, s.Control, req.id) // best effort; see maxPendingCancels
		}
	}
}
