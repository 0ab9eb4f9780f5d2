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

// Sizes and delays of a fleet on the fake clock. A manager here runs only the
// lessors whose preferred holder or deputy it is: the others do nothing when
// servers are lost, and 520 times 440 loops would not fit in memory.
const (
	fleetCentres      = 4
	fleetSlices       = 10          // slices of each server
	fleetWatchers     = 3           // VMs that get a table from the store, with its version
	fleetStartTimeout = time.Minute // at most, until every lessor is held
	fleetRunTime      = 12 * time.Second
	fleetDetectTime   = 1700 * time.Millisecond // until failure detection reports a lost server
	// fleetSecondMove is how much longer a key may wait that was moved to another
	// lost server: the rest of that server's lease, a plan and an update of the table.
	fleetSecondMove  = 400 * time.Millisecond
	fleetSuspectTime = 500 * time.Millisecond // until a lost VM is suspected
	fleetListLag     = 5 * time.Second        // until the platform lists it as gone
)

// fleet is the managers of all VMs, around one store.
type fleet struct {
	store      *countingStore
	vms        []vmlist.VM
	managers   map[ident.VM]*Manager
	servers    []config.Server
	firstTable table.Table

	mu      sync.Mutex
	rng     *rand.Rand
	byAddr  map[netip.AddrPort]*fakeServer
	byName  map[ident.Server]*fakeServer
	lostAt  time.Time
	noticed bool                      // every VM knows which servers are lost
	served  map[ident.Slice]time.Time // first grant after the loss
}

// countingStore counts the calls for tables and for records, and passes each new
// table on as watches and peers do.
type countingStore struct {
	*objmem.Store
	mu      sync.Mutex
	counts  storeCalls
	onTable func(object.Object)
}

type storeCalls struct {
	reads, writes, conflicts int // of the table
	records, lists           int // of the lessors' records
}

func (s *countingStore) calls() storeCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *countingStore) add(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *countingStore) Get(ctx context.Context, name string) (object.Object, error) {
	if strings.HasPrefix(name, tablePrefix) {
		s.add(&s.counts.reads)
	} else {
		s.add(&s.counts.records)
	}
	return s.Store.Get(ctx, name)
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	s.add(&s.counts.lists)
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Put(ctx context.Context, name string, b []byte, old object.Version) (object.Version, error) {
	v, err := s.Store.Put(ctx, name, b, old)
	if !strings.HasPrefix(name, tablePrefix) {
		return v, err
	}
	s.add(&s.counts.writes)
	if kinds.Of(err) == kinds.Conflict {
		s.add(&s.counts.conflicts)
	}
	if err == nil && s.onTable != nil {
		s.onTable(object.Object{Name: name, Version: v, Value: b})
	}
	return v, err
}

// fakeServer is a backend server's lease on its own clock.
type fakeServer struct {
	dead  bool
	start time.Time
	fence ident.Fence
	rev   ident.Revision
	end   time.Duration
}

func (s *fakeServer) reply(done bool, why string) server.Reply {
	now := time.Since(s.start)
	return server.Reply{
		Done: done, Reason: why, Fence: s.fence, Rev: s.rev, Left: max(s.end-now, 0), Mark: server.Mark{Boot: 1, At: now},
	}
}

func (s *fakeServer) apply(o server.Order, revoke bool) server.Reply {
	now, end := time.Since(s.start), o.Mark.At+o.TTL
	switch {
	case now >= end:
		return s.reply(false, server.ReasonLate)
	case o.Fence.Less(s.fence):
		return s.reply(false, server.ReasonFence)
	case !revoke && !o.Full && (now >= s.end || s.rev != o.Rev):
		return s.reply(false, server.ReasonRev)
	}
	s.fence = o.Fence
	if revoke || o.Full {
		s.rev = o.Rev
	}
	if !revoke {
		s.end = max(s.end, end)
	}
	return s.reply(true, "")
}

// fleetControl is the control API of all servers; a lost server never answers.
type fleetControl struct {
	server.Control
	f *fleet
}

func (c fleetControl) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return c.call(ctx, to, func(s *fakeServer) server.Reply {
		r := s.apply(o, false)
		if r.Done && o.Full && !c.f.lostAt.IsZero() {
			for _, x := range o.Slices {
				if _, ok := c.f.served[x]; !ok {
					c.f.served[x] = time.Now()
				}
			}
		}
		return r
	})
}

func (c fleetControl) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return c.call(ctx, to, func(s *fakeServer) server.Reply { return s.apply(o, true) })
}

func (c fleetControl) Read(ctx context.Context, to netip.AddrPort, _ ident.Service, _ ident.Server) (server.Reply, error) {
	return c.call(ctx, to, func(s *fakeServer) server.Reply { return s.reply(true, "") })
}

func (c fleetControl) call(ctx context.Context, to netip.AddrPort, do func(*fakeServer) server.Reply) (server.Reply, error) {
	time.Sleep(c.f.randDelay(time.Millisecond, 2*time.Millisecond))
	c.f.mu.Lock()
	s := c.f.byAddr[to]
	if !s.dead {
		defer c.f.mu.Unlock()
		return do(s), nil
	}
	c.f.mu.Unlock()
	<-ctx.Done()
	return server.Reply{}, kinds.New(kinds.Ambiguous, "no answer")
}

// fleetLink sends one VM's messages to the others.
type fleetLink struct {
	f    *fleet
	from ident.VM
}

func (l fleetLink) Send(to ident.VM, b []byte) {
	time.AfterFunc(l.f.randDelay(time.Millisecond, 2*time.Millisecond), func() { _ = l.f.managers[to].Handle(l.from, b) })
}
func (l fleetLink) Cast(to ident.VM, b []byte) { l.Send(to, b) }

func (f *fleet) randDelay(lo, hi time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

func newFleet(tb testing.TB, seed uint64, vms, servers int) *fleet {
	f := &fleet{
		store: &countingStore{Store: objmem.New()}, managers: map[ident.VM]*Manager{}, rng: rand.New(rand.NewPCG(seed, 11)),
		byAddr: map[netip.AddrPort]*fakeServer{}, byName: map[ident.Server]*fakeServer{}, served: map[ident.Slice]time.Time{},
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
		srv := &fakeServer{start: time.Now()}
		f.byAddr[at], f.byName[name] = srv, srv
	}
	f.store.SetFault(func(objmem.Op, string) objmem.Fault {
		return objmem.Fault{Delay: f.randDelay(3*time.Millisecond, 7*time.Millisecond)}
	})
	tab, err := FirstTable(&state.Service{Service: f.config(f.servers)})
	assert.NilError(tb, err)
	b, err := tab.Encode()
	assert.NilError(tb, err)
	_, err = f.store.Put(tb.Context(), tableObject("lookup"), b, 0)
	assert.NilError(tb, err)
	f.firstTable = tab
	f.store.onTable = f.distribute
	return f
}

func centreOf(i int) ident.Centre { return ident.Centre(strconv.Itoa(i % fleetCentres)) }

func (f *fleet) config(list []config.Server) config.Service {
	return config.Service{
		Name: "lookup", Divided: true, FenceChecks: true, Slices: uint32(fleetSlices * len(f.servers)), Servers: list,
	}
}

// distribute sends a new table to every VM.
func (f *fleet) distribute(o object.Object) {
	tab, err := table.Decode(o.Value)
	if err != nil {
		return
	}
	for i, vm := range f.vms {
		mgr, version, d := f.managers[vm.ID], object.Version(0), f.randDelay(2*time.Millisecond, 40*time.Millisecond)
		if i < fleetWatchers {
			version, d = o.Version, f.randDelay(time.Millisecond, 3*time.Millisecond)
		}
		time.AfterFunc(d, func() { mgr.ApplyTable(tab, version) })
	}
}

// plan gives the keys of a lost server to those that seem healthy: by what this VM's
// lessors know and, after fleetDetectTime, by what failure detection reports.
func (f *fleet) plan(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[ident.Server]bool{from: true}
	for _, s := range svc.Servers {
		out[s.Name] = out[s.Name] || !slices.Contains(usable, s.Name)
	}
	var healthy []ident.Server
	for _, s := range f.servers {
		if !out[s.Name] && (!f.noticed || !f.byName[s.Name].dead) {
			healthy = append(healthy, s.Name)
		}
	}
	var moves []table.Move
	for _, x := range tab.SetOf(from).Slices {
		moves = append(moves, table.Move{Slice: x, To: healthy[f.rng.IntN(len(healthy))]})
	}
	return moves
}

func (f *fleet) start() {
	assigned := map[ident.VM][]config.Server{}
	var targets []Target
	for _, s := range f.servers {
		targets = append(targets, Target{"lookup", s.Name, s.Centre})
	}
	pairs := AssignAll(targets, f.vms)
	for i, s := range f.servers {
		for _, vm := range []ident.VM{pairs[targets[i]].Preferred, pairs[targets[i]].Deputy} {
			assigned[vm] = append(assigned[vm], s)
		}
	}
	for _, vm := range f.vms {
		f.managers[vm.ID] = New(Options{
			VM: vm.ID, State: state.New([]config.Service{f.config(assigned[vm.ID])}), Store: f.store, Control: fleetControl{f: f},
			Peers: fleetLink{f, vm.ID}, Plan: f.plan, Log: slog.New(slog.DiscardHandler),
		})
	}
	for _, mgr := range f.managers {
		mgr.targets = targets // all lessors of the fleet, or each manager would assign only its own part
		mgr.SetVMs(f.vms)
	}
}
