package leases

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// fakeControl is the control API of fake servers in this process.
type fakeControl struct {
	server.Control
	mu      sync.Mutex
	servers map[netip.AddrPort]*origin.Origin
	orders  int
}

func (c *fakeControl) at(to netip.AddrPort) *origin.Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[to]
}

func (c *fakeControl) Grant(_ context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	c.mu.Lock()
	c.orders++
	c.mu.Unlock()
	return c.at(to).Grant(o), nil
}

func (c *fakeControl) Revoke(_ context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	c.mu.Lock()
	c.orders++
	c.mu.Unlock()
	return c.at(to).Revoke(o), nil
}

func (c *fakeControl) Read(_ context.Context, to netip.AddrPort, _ ident.Service, _ ident.Server) (server.Reply, error) {
	return c.at(to).Read(), nil
}

type discardSender struct{}

func (discardSender) Send(ident.VM, []byte) {}
func (discardSender) Cast(ident.VM, []byte) {}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func newManager(store *objmem.Store) (*Manager, *fakeControl, *state.Service) {
	c := &fakeControl{servers: map[netip.AddrPort]*origin.Origin{}}
	cfg := config.Service{Name: "lookup", Divided: true, Slices: 16}
	for i, name := range []ident.Server{"a", "b", "c"} {
		c.servers[addr(i)] = origin.New(origin.Config{Service: "lookup", Server: name, Keyed: true, Slices: 16})
		cfg.Servers = append(cfg.Servers, config.Server{Name: name, Control: addr(i), Data: addr(i), Centre: "south"})
	}
	st := state.New([]config.Service{cfg})
	mgr := New(Options{
		VM: "vm-1", State: st, Store: store, Control: c, Peers: discardSender{}, Log: slog.New(slog.DiscardHandler),
	})
	svc, _ := st.Service("lookup")
	return mgr, c, svc
}

func TestOneVMBootstrapsAndServesEveryKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, c, svc := newManager(objmem.New())
		mgr.SetVMs([]vmlist.VM{{ID: "vm-1", State: vmlist.Live}})
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(mgr.Held()), 3)
		assert.Equal(t, len(mgr.Status()), 3)
		for i := range 3 {
			assert.Assert(t, c.at(addr(i)).Read().Left > 0, "server %d has no lease", i)
		}
		total := 0
		for _, s := range svc.Servers {
			total += len(svc.View().Table().SetOf(s.Name).Slices)
		}
		assert.Equal(t, total, 16)

		mgr.Drain("lookup", "a", true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, svc.View().Table().SetOf("a").Empty())
		assert.Equal(t, c.at(addr(0)).Read().Left, time.Duration(0))
		mgr.Leave(t.Context())
		assert.Equal(t, len(mgr.Held()), 0)
		assert.NilError(t, mgr.Close())
	})
}

// A VM is paused between deciding on an order and sending it, for longer than its
// authority lasts. Its successor has moved the keys meanwhile; the old order, sent
// now, would give a key a second owner.
func TestAnOrderIsNotSentAfterItsAuthorityEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		mgr, c, _ := newManager(store)
		h := mgr.lessors[lessorID{"lookup", "a"}]
		cmd := lessor.OrderCmd{Guard: lessor.Guard{Until: time.Now().Add(time.Second)}}
		time.Sleep(time.Second)
		msg := mgr.sendOrder(t.Context(), h, cmd).(lessor.ReplyMsg)
		assert.Equal(t, msg.Kind, kinds.Unavailable)
		assert.Equal(t, c.orders, 0)
		before := store.Usage().Writes
		wrote := mgr.writeTable(t.Context(), "lookup", commit.WriteCmd{Guard: cmd.Guard}).(commit.WriteResultMsg)
		assert.Equal(t, wrote.Kind, kinds.Unavailable)
		assert.Assert(t, wrote.Expired, "expired edits cannot be told from those whose authority lasts")
		assert.Equal(t, store.Usage().Writes, before)
		assert.NilError(t, mgr.Close())
	})
}

// The store's answer is lost after the write took effect. It must reach the lessor
// as ambiguous: taken for a failure, the record would be written twice; taken for a
// success, two VMs could hold the lessor.
func TestOutcomesKeepAmbiguousErrorsApart(t *testing.T) {
	for in, want := range map[kinds.Kind]kinds.Kind{
		kinds.Ambiguous: kinds.Ambiguous, kinds.Conflict: kinds.Conflict, kinds.NotFound: kinds.NotFound,
		kinds.Unavailable: kinds.Unavailable, kinds.TooLarge: kinds.Unavailable, kinds.Malformed: kinds.Unavailable,
	} {
		assert.Equal(t, storeOutcome(kinds.New(in, "x")), want)
	}
	assert.Equal(t, storeOutcome(nil), kinds.None)
	assert.Equal(t, callOutcome(kinds.New(kinds.Ambiguous, "x")), kinds.Ambiguous)
	assert.Equal(t, callOutcome(kinds.New(kinds.Malformed, "x")), kinds.Unavailable)
}

func TestAssignKeepsServerPreferredHolderAndDeputyApart(t *testing.T) {
	live := []vmlist.VM{
		{ID: "n1", Centre: "north"},
		{ID: "n2", Centre: "north"},
		{ID: "s1", Centre: "south"},
		{ID: "s2", Centre: "south"},
		{ID: "w1", Centre: "west"},
	}
	centre := map[ident.VM]ident.Centre{}
	for _, vm := range live {
		centre[vm.ID] = vm.Centre
	}
	moved := 0
	for i := range 100 {
		srv := ident.Server(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		preferred, deputy := Assign("lookup", srv, "south", live)
		assert.Assert(t, centre[preferred] != "south" && centre[deputy] != "south")
		assert.Assert(t, centre[preferred] != centre[deputy])
		again, _ := Assign("lookup", srv, "south", live[1:])
		if preferred != "n1" {
			assert.Equal(t, again, preferred, "a lessor moved although its VM stayed")
		} else {
			moved++
		}
	}
	assert.Assert(t, moved > 0)
	preferred, deputy := Assign("lookup", "x", "south", live[2:3])
	assert.Equal(t, preferred, ident.VM("s1"))
	assert.Equal(t, deputy, ident.VM(""))
}

func TestSpreadGivesEverythingAwayEvenly(t *testing.T) {
	tab, err := table.New("lookup", 12, "a", "b", "c")
	assert.NilError(t, err)
	for x := range ident.Slice(12) {
		tab, err = tab.WithAssigned(table.Move{Slice: x, To: []ident.Server{"a", "b", "c"}[x%3]})
		assert.NilError(t, err)
	}
	next, err := tab.WithMoves("a", 0, Spread(nil, tab, "a", []ident.Server{"b", "c"})...)
	assert.NilError(t, err)
	assert.Equal(t, len(next.SetOf("b").Slices), 6)
	assert.Equal(t, len(next.SetOf("c").Slices), 6)
	assert.Equal(t, len(Spread(nil, tab, "a", nil)), 0)
}

// FuzzHandle feeds arbitrary bytes to the decoder of messages: a content field is
// returned exactly if one was set, with the true sender.
func FuzzHandle(f *testing.F) {
	for _, l := range []message{
		{Svc: "lookup", Srv: "a", Heartbeat: heartbeatToWire(lessor.HeartbeatMsg{Epoch: 3})},
		{Hash: lessorID{"lookup", "a"}.hash(), Heartbeat: &heartbeatWire{Epoch: 3, Left: 1 << 62, Echo: -1 << 63}},
		{Svc: "lookup", Srv: "a", Prepare: &lessor.PrepareMsg{Below: 1 << 62}},
		{Svc: "lookup", Srv: "a", Clock: &clockWire{}, Promise: &lessor.PromiseMsg{Below: 4}},
		{Svc: "lookup", Forward: &commit.ForwardMsg{ID: 3, Edit: table.Edit{Server: "a", Epoch: 1}}},
		{Svc: "lookup", Srv: "a", Forwarded: &commit.ForwardedMsg{Done: true}, Heartbeat: &heartbeatWire{}},
		{Svc: "none", Srv: "a", Promise: &lessor.PromiseMsg{Below: 4}},
	} {
		b, err := wire.Encode(l)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var l message
		if wire.Decode(b, &l) != nil {
			return
		}
		msg, n := l.unpack("vm-9")
		assert.Equal(t, msg != nil, n > 0)
		switch m := msg.(type) {
		case lessor.HeartbeatMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
			assert.Equal(t, m.Left > 0, l.Heartbeat.Left > 0)
			assert.Equal(t, m.Echo > 0, l.Heartbeat.Echo > 0)
		case lessor.ClockMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
		case lessor.PrepareMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
		case lessor.PromiseMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
		case commit.ForwardMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
		case commit.ForwardedMsg:
			assert.Equal(t, m.From, ident.VM("vm-9"))
		}
	})
}
