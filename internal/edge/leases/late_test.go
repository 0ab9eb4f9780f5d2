package leases

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// tardy answers every call after a while, half of it before the server obeys.
type tardy struct {
	server.Control
	half time.Duration
}

// late makes a call that is given up when ctx ends.
func late(ctx context.Context, half time.Duration, call func() (server.Reply, error)) (server.Reply, error) {
	r, err := server.Reply{}, error(nil)
	for i := range 2 {
		select {
		case <-time.After(half):
		case <-ctx.Done():
			return server.Reply{}, kinds.Wrap(kinds.Ambiguous, ctx.Err(), "no answer")
		}
		if i == 0 {
			r, err = call()
		}
	}
	return r, err
}

func (c tardy) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return late(ctx, c.half, func() (server.Reply, error) { return c.Control.Grant(ctx, to, o) })
}

func (c tardy) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, s ident.Server) (server.Reply, error) {
	return late(ctx, c.half, func() (server.Reply, error) { return c.Control.Read(ctx, to, svc, s) })
}

// A server that answers later than a call is repeated was never granted its keys.
func TestAServerThatAnswersLateIsGrantedItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, c, _ := launch(objmem.New())
		k.Control = tardy{c, k.Times.CallTimeout}
		k.SetVMs([]vmlist.VM{{ID: "vm-1", State: vmlist.Live}})
		time.Sleep(3 * time.Second)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i := range 3 {
				assert.Assert(t, c.at(addr(i)).Read().Left > 0, "server %d has no lease", i)
			}
		}
		k.Leave(t.Context())
		assert.NilError(t, k.Close())
	})
}
