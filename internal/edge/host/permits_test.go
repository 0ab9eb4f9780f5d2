package host

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// Guards against a VM that ends as it asks itself for permits, because its term as leader is over and nobody else leads yet.
func TestALeaderWhoseTermIsOverHasNoPermits(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	hub := poll.NewHub("vm-1", "1")
	hub.SetLease(elect.Lease{Holder: "vm-1", Incarnation: "1"}, true)
	follower := elect.New(clock.Now(), "vm-1", "1", netip.AddrPort{})
	election := loop.New(follower, loop.RunnerFunc(func(context.Context, loop.Cmd, func(loop.Msg)) {}), loop.WithClock(clock.Now))
	defer election.Close()
	st := state.New(nil)
	p := &permits{
		hub: hub, coord: &coordinator{hub: hub, election: election}, state: st, log: log, client: poll.NewClient(), wanted: make(chan struct{}, 1),
		notices: newNotices(hub, log),
	}
	g := gate.New(gate.Config{Service: "lookup", OnPermitsWanted: p.wake})
	defer g.Close()
	st.Put(config.Service{Name: "lookup"}, g)
	g.SetServers([]gate.ServerInfo{{Name: "a", Slots: 4, Conns: 4, Limited: true}})
	refused := make(chan error, 1)
	var callers group.Group
	callers.Go(func(ctx context.Context) error {
		_, err := g.Enter(ctx, gate.Job{Key: "k", Server: ident.Server("a"), Deadline: time.Now().Add(time.Minute)})
		refused <- err
		return nil
	})
	<-p.wanted
	p.askAll(t.Context())
	err := <-refused
	assert.Equal(t, kinds.Of(err), kinds.Busy)
	assert.Assert(t, gate.RetryAfter(err) >= noLeaderRetry)
	assert.NilError(t, callers.Wait())
}
