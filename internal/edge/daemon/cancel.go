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

// cancelRing bounds the cancellations that wait to be sent. They save work and
// nothing depends on them: a server that misses one finishes for nobody.
const cancelRing = 256

// cancelWait is how long one cancellation may take.
const cancelWait = 500 * time.Millisecond

type abandoned struct {
	svc ident.Service
	srv ident.Server
	id  ident.Request
}

// canceler tells backend servers that nobody waits for a request any more.
type canceler struct {
	state   *state.State
	control server.Control
	ring    *ring.Ring[abandoned]
	group   group.Group
}

func newCanceler(s *state.State, control server.Control) *canceler {
	c := &canceler{state: s, control: control, ring: ring.New[abandoned](cancelRing, ring.DropOld)}
	c.group.Go(c.run)
	return c
}

// Close stops sending and waits.
func (c *canceler) Close() error { return c.group.Close() }

// Cancel queues a cancellation and returns at once.
func (c *canceler) Cancel(svc ident.Service, srv ident.Server, id ident.Request) {
	c.ring.Push(context.Background(), abandoned{svc, srv, id})
}

func (c *canceler) run(ctx context.Context) error {
	for {
		a, ok := c.ring.Pop(ctx)
		if !ok {
			return nil
		}
		c.send(ctx, a)
	}
}

func (c *canceler) send(ctx context.Context, a abandoned) {
	svc, ok := c.state.Service(a.svc)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	for _, s := range svc.Servers {
		if s.Name == a.srv {
			_ = c.control.Cancel(ctx, s.Control, a.id) // see cancelRing
		}
	}
}
