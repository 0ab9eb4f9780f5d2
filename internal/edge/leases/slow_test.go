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

// slowControl answers every call after twice the delay half; the server acts on the
// call in between.
type slowControl struct {
	server.Control
	half time.Duration
}

// callSlowly makes a call that is given up when ctx ends.
func callSlowly(ctx context.Context, delay time.Duration, call func() (server.Reply, error)) (server.Reply, error) {
	r, err := server.Reply{}, error(nil)
	for i := range 2 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return server.Reply{}, kinds.Wrap(kinds.Ambiguous, ctx.Err(), "no answer")
		}
		if i == 0 {
			r, err = call()
		}
	}
	return r, err
}

func (c slowControl) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return callSlowly(ctx, c.half, func() (server.Reply, error) { return c.Control.Grant(ctx, to, o) })
}

func (c slowControl) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, srv ident.Server) (server.Reply, error) {
	return callSlowly(ctx, c.half, func() (server.Reply, error) { return c.Control.Read(ctx, to, svc, srv) })
}

// A server that answered later than the interval at which calls are repeated was
// never granted its keys.
func TestAServerThatAnswersLateIsGrantedItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, c, _ := newManager(objmem.New())
		mgr.Control = slowControl{c, mgr.Times.CallTimeout}
		mgr.SetVMs([]vmlist.VM{{ID: "vm-1", State: vmlist.Live}})
		time.Sleep(3 * time.Second)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i := range 3 {
				assert.Assert(t, c.at(addr(i)).Read().Left > 0, "server %d has no lease", i)
			}
		}
		mgr.Leave(t.Context())
		assert.NilError(t, mgr.Close())
	})
}
