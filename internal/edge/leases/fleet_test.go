package leases

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Sizes and delays of a fleet on the fake clock. A keeper here has only the
// seats that it leads or stands by for: the others do nothing when servers are
// lost, and 520 times 440 loops would fill the memory.
const (
	fleetCentres = 4
	fleetShare   = 10          // slices of each server
	fleetWatch   = 3           // VMs that hear of a table from the store, with its version
	fleetWarm    = time.Minute // at most, until every seat is held
	fleetSpan    = 12 * time.Second
	fleetNotice  = 1700 * time.Millisecond // until the roster knows a lost server as silent
	// fleetTurn is what a key that came to another lost server may wait longer: the
	// rest of that server's lease, a plan and an update of the table.
	fleetTurn    = 400 * time.Millisecond
	fleetSuspect = 500 * time.Millisecond // until a lost VM is suspected
	fleetLag     = 5 * time.Second        // until the platform lists it as gone
)

// fleet is the keepers of all VMs around one store.
type fleet struct {
	store   *tally
	vms     []vmlist.VM
	keepers map[ident.VM]*Manager
	servers []config.Server
	tab     table.Table

	mu      sync.Mutex
	rng     *rand.Rand
	origin  map[netip.AddrPort]*holder
	names   map[ident.Server]*holder
	lost    time.Time
	noticed bool                      // every VM knows which servers are lost
	served  map[ident.Slice]time.Time // first grant after the loss
}

// tally is a store that counts what is done with the tables and with records,
// and passes each new table on as watches and peers do.
type tally struct {
	*objmem.Store
	mu    sync.Mutex
	sum   calls
	wrote func(object.Object)
}

type calls struct {
	reads, writes, clashes int // of the table
	records, lists         int // of the seats' records
}

func (s *tally) calls() calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

func (s *tally) add(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *tally) Get(ctx context.Context, name string) (object.Object, error) {
	if strings.HasPrefix(name, tablePrefix) {
		s.add(&s.sum.reads)
	} else {
		s.add(&s.sum.records)
	}
	return s.Store.Get(ctx, name)
}

func (s *tally) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	s.add(&s.sum.lists)
	return s.Store.List(ctx, prefix)
}

func (s *tally) Put(ctx context.Context, name string, b []byte, old object.Version) (object.Version, error) {
	v, err := s.Store.Put(ctx, name, b, old)
	if !strings.HasPrefix(name, tablePrefix) {
		return v, err
	}
	s.add(&s.sum.writes)
	if kinds.Of(err) == kinds.Conflict {
		s.add(&s.sum.clashes)
	}
	if err == nil && s.wrote != nil {
		s.wrote(object.Object{Name: name, Version: v, Value: b})
	}
	return v, err
}

// holder is a backend server's lease on its own clock.
type holder struct {
	dead  bool
	start time.Time
	fence ident.Fence
	rev   ident.Revision
	end   time.Duration
}

func (h *holder) reply(done bool, why string) server.Reply {
	now := time.Since(h.start)
	return server.Reply{
		Done: done, Reason: why, Fence: h.fence, Rev: h.rev, Left: max(h.end-now, 0), Mark: server.Mark{Boot: 1, At: now},
	}
}

func (h *holder) obey(o server.Order, revoke bool) server.Reply {
	now, end := time.Since(h.start), o.Mark.At+o.TTL
	switch {
	case now >= end:
		return h.reply(false, server.ReasonLate)
	case o.Fence.Less(h.fence):
		return h.reply(false, server.ReasonFence)
	case !revoke && !o.Full && (now >= h.end || h.rev != o.Rev):
		return h.reply(false, server.ReasonRev)
	}
	h.fence = o.Fence
	if revoke || o.Full {
		h.rev = o.Rev
	}
	if !revoke {
		h.end = max(h.end, end)
	}
	return h.reply(true, "")
}

// handset is the control side of all servers; a lost one never answers.
type handset struct {
	server.Control
	f *fleet
}

func (c handset) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return c.call(ctx, to, func(h *holder) server.Reply {
		r := h.obey(o, false)
		if r.Done && o.Full && !c.f.lost.IsZero() {
			for _, x := range o.Slices {
				if _, ok := c.f.served[x]; !ok {
					c.f.served[x] = time.Now()
				}
			}
		}
		return r
	})
}

func (c handset) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return c.call(ctx, to, func(h *holder) server.Reply { return h.obey(o, true) })
}

func (c handset) Read(ctx context.Context, to netip.AddrPort, _ ident.Service, _ ident.Server) (server.Reply, error) {
	return c.call(ctx, to, func(h *holder) server.Reply { return h.reply(true, "") })
}

func (c handset) call(ctx context.Context, to netip.AddrPort, do func(*holder) server.Reply) (server.Reply, error) {
	time.Sleep(c.f.between(time.Millisecond, 2*time.Millisecond))
	c.f.mu.Lock()
	h := c.f.origin[to]
	if !h.dead {
		defer c.f.mu.Unlock()
		return do(h), nil
	}
	c.f.mu.Unlock()
	<-ctx.Done()
	return server.Reply{}, kinds.New(kinds.Ambiguous, "no answer")
}

// post is the links between the VMs.
type post struct {
	f    *fleet
	from ident.VM
}

func (p post) Send(to ident.VM, b []byte) {
	time.AfterFunc(p.f.between(time.Millisecond, 2*time.Millisecond), func() { _ = p.f.keepers[to].Handle(p.from, b) })
}
func (p post) Cast(to ident.VM, b []byte) { p.Send(to, b) }

func (f *fleet) between(lo, hi time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

func newFleet(tb testing.TB, seed uint64, vms, servers int) *fleet {
	f := &fleet{
		store: &tally{Store: objmem.New()}, keepers: map[ident.VM]*Manager{}, rng: rand.New(rand.NewPCG(seed, 11)),
		origin: map[netip.AddrPort]*holder{}, names: map[ident.Server]*holder{}, served: map[ident.Slice]time.Time{},
	}
	for i := range vms {
		f.vms = append(f.vms, vmlist.VM{
			ID: ident.VM(fmt.Sprintf("vm-%d", i)), Centre: centreOf(i), State: vmlist.Live,
		})
	}
	for i := range servers {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		name := ident.Server(fmt.Sprintf("s-%d", i))
		f.servers = append(f.servers, config.Server{Name: name, Control: at, Data: at, Centre: centreOf(i)})
		h := &holder{start: time.Now()}
		f.origin[at], f.names[name] = h, h
	}
	f.store.SetFault(func(objmem.Op, string) objmem.Fault {
		return objmem.Fault{Delay: f.between(3*time.Millisecond, 7*time.Millisecond)}
	})
	tab, err := FirstTable(&state.Service{Service: f.config(f.servers)})
	assert.NilError(tb, err)
	b, err := tab.Encode()
	assert.NilError(tb, err)
	_, err = f.store.Put(tb.Context(), tableObject("lookup"), b, 0)
	assert.NilError(tb, err)
	f.tab = tab
	f.store.wrote = f.spread
	return f
}

func centreOf(i int) ident.Centre { return ident.Centre(strconv.Itoa(i % fleetCentres)) }

func (f *fleet) config(list []config.Server) config.Service {
	return config.Service{
		Name: "lookup", Divided: true, FenceChecks: true, Slices: uint32(fleetShare * len(f.servers)), Servers: list,
	}
}

// spread tells every VM of a new table.
func (f *fleet) spread(o object.Object) {
	tab, err := table.Decode(o.Value)
	if err != nil {
		return
	}
	for i, vm := range f.vms {
		k, ver, d := f.keepers[vm.ID], object.Version(0), f.between(2*time.Millisecond, 40*time.Millisecond)
		if i < fleetWatch {
			ver, d = o.Version, f.between(time.Millisecond, 3*time.Millisecond)
		}
		time.AfterFunc(d, func() { k.Table(tab, ver) })
	}
}

// plan gives the keys of a lost server to those that seem well: what this VM's own
// seats know, and after a while what the roster knows.
func (f *fleet) plan(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[ident.Server]bool{from: true}
	for _, s := range svc.Servers {
		out[s.Name] = out[s.Name] || !slices.Contains(usable, s.Name)
	}
	var well []ident.Server
	for _, s := range f.servers {
		if !out[s.Name] && (!f.noticed || !f.names[s.Name].dead) {
			well = append(well, s.Name)
		}
	}
	var moves []table.Move
	for _, x := range tab.SetOf(from).Slices {
		moves = append(moves, table.Move{Slice: x, To: well[f.rng.IntN(len(well))]})
	}
	return moves
}

func (f *fleet) start() {
	part := map[ident.VM][]config.Server{}
	var places []Target
	for _, s := range f.servers {
		places = append(places, Target{"lookup", s.Name, s.Centre})
	}
	pairs := AssignAll(places, f.vms)
	for i, s := range f.servers {
		for _, vm := range []ident.VM{pairs[places[i]].Leader, pairs[places[i]].Deputy} {
			part[vm] = append(part[vm], s)
		}
	}
	for _, vm := range f.vms {
		f.keepers[vm.ID] = New(Options{
			VM: vm.ID, State: state.New([]config.Service{f.config(part[vm.ID])}), Store: f.store, Control: handset{f: f},
			Peers: post{f, vm.ID}, Plan: f.plan, Log: slog.New(slog.DiscardHandler),
		})
	}
	for _, k := range f.keepers {
		k.places = places // those of others too, or each keeper would deal its own part alone
		k.SetVMs(f.vms)
	}
}
