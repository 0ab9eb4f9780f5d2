package leases

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

func targetsIn(n, centres int) []Target {
	var all []Target
	for i := range n {
		all = append(all, Target{"lookup", ident.Server(fmt.Sprint("s", i)), ident.Centre(fmt.Sprint("c", i%centres))})
	}
	return all
}

func vmsIn(n, centres int) []vmlist.VM {
	var all []vmlist.VM
	for i := range n {
		all = append(all, vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint("c", i%centres))})
	}
	return all
}

func maxHeld(pairs map[Target]Pair) int {
	held, most := map[ident.VM]int{}, 0
	for _, p := range pairs {
		held[p.Preferred]++
		most = max(most, held[p.Preferred])
	}
	return most
}

// Hashing alone gives some VMs several times as many lessors as others, with more
// renewals, heartbeats and keys that wait when such a VM is lost. With a bound per VM,
// one that comes or goes must still change few lessors besides its own.
func TestAssignAllIsEvenAndStable(t *testing.T) {
	for _, c := range []struct{ vms, lessors, most, other int }{
		{10, 17, 2, 3},
		{50, 85, 2, 3},
		{200, 340, 2, 3},
		{520, 884, 2, 3},
	} {
		targets, live := targetsIn(c.lessors, 4), vmsIn(c.vms, 4)
		centre := map[ident.VM]ident.Centre{}
		for _, vm := range live {
			centre[vm.ID] = vm.Centre
		}
		pairs := AssignAll(targets, live)
		plain := map[ident.VM]int{}
		worst := 0
		for target, pair := range pairs {
			preferred, _ := Assign(target.Service, target.Server, target.Centre, live)
			plain[preferred]++
			worst = max(worst, plain[preferred])
			assert.Assert(t, centre[pair.Preferred] != target.Centre && centre[pair.Deputy] != target.Centre)
			assert.Assert(t, centre[pair.Preferred] != centre[pair.Deputy])
		}
		assert.Assert(t, maxHeld(pairs) <= c.most, "%d", maxHeld(pairs))
		others, trials := 0, min(c.vms, 20)
		for gone := range trials {
			rest := append(append([]vmlist.VM{}, live[:gone]...), live[gone+1:]...)
			for target, pair := range AssignAll(targets, rest) {
				if was := pairs[target].Preferred; was != live[gone].ID && was != pair.Preferred {
					others++
				}
			}
		}
		mean := float64(others) / float64(trials)
		t.Logf("%d VMs, %d lessors: at most %d a VM, %d by hashing alone; %.1f lessors of others change with a VM",
			c.vms, c.lessors, maxHeld(pairs), worst, mean)
		assert.Assert(t, mean <= float64(c.other), "%v", mean)
	}
}

// All servers are in one data centre, with a single VM outside it. It must hold all
// lessors: an even distribution matters less than never losing a server together
// with its authority.
func TestAssignAllPrefersOtherDataCentres(t *testing.T) {
	live := []vmlist.VM{{ID: "a", Centre: "c0"}, {ID: "b", Centre: "c0"}, {ID: "x", Centre: "c1"}}
	for p, pair := range AssignAll(targetsIn(6, 1), live) {
		assert.Equal(t, pair.Preferred, ident.VM("x"), "%v", p)
	}
	assert.Equal(t, maxHeld(AssignAll(targetsIn(6, 1), live[:2])), 3)
	assert.Equal(t, len(AssignAll(targetsIn(6, 1), nil)), 0)
}

// network connects managers: what one sends, another handles.
type network struct {
	mu  sync.Mutex
	vms map[ident.VM]*Manager
}

type networkLink struct {
	*network
	from ident.VM
}

func (l networkLink) Send(to ident.VM, body []byte) {
	l.mu.Lock()
	mgr := l.vms[to]
	l.mu.Unlock()
	if mgr != nil {
		_ = mgr.Handle(l.from, body)
	}
}

func (l networkLink) Cast(to ident.VM, body []byte) { l.Send(to, body) }

// cluster is managers around one store and a few servers.
type cluster struct {
	network
	control    *fakeControl
	lostServer atomic.Pointer[netip.AddrPort]
	store      object.Store
	cfg        config.Service
	list       []vmlist.VM
}

func newCluster(servers int) *cluster {
	c := &cluster{network: network{vms: map[ident.VM]*Manager{}}, control: &fakeControl{}, store: objmem.New()}
	c.control.servers = map[netip.AddrPort]*origin.Origin{}
	c.cfg = config.Service{Name: "lookup", Divided: true, Slices: 64}
	for i := range servers {
		name := ident.Server(fmt.Sprint("s", i))
		c.control.servers[addr(i)] = origin.New(origin.Config{Service: "lookup", Server: name, Keyed: true, Slices: 64})
		c.cfg.Servers = append(c.cfg.Servers, config.Server{
			Name: name, Control: addr(i), Data: addr(i), Centre: ident.Centre(fmt.Sprint("c", i%3)),
		})
	}
	return c
}

// lossyControl is a control API of which one server may be lost.
type lossyControl struct {
	*fakeControl
	lost *atomic.Pointer[netip.AddrPort]
}

func (c lossyControl) unreachable(to netip.AddrPort) error {
	if at := c.lost.Load(); at != nil && *at == to {
		time.Sleep(50 * time.Millisecond)
		return kinds.New(kinds.Ambiguous, "no answer")
	}
	return nil
}

func (c lossyControl) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	if err := c.unreachable(to); err != nil {
		return server.Reply{}, err
	}
	return c.fakeControl.Grant(ctx, to, o)
}

func (c lossyControl) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	if err := c.unreachable(to); err != nil {
		return server.Reply{}, err
	}
	return c.fakeControl.Revoke(ctx, to, o)
}

func (c lossyControl) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, srv ident.Server) (server.Reply, error) {
	if err := c.unreachable(to); err != nil {
		return server.Reply{}, err
	}
	return c.fakeControl.Read(ctx, to, svc, srv)
}

// start adds a VM and tells every VM.
func (c *cluster) start(i int) {
	vm := vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint("c", i%3)), State: vmlist.Live}
	mgr := New(Options{
		VM: vm.ID, State: state.New([]config.Service{c.cfg}), Store: c.store, Control: lossyControl{c.control, &c.lostServer},
		Peers: networkLink{&c.network, vm.ID}, Log: slog.New(slog.DiscardHandler),
	})
	c.mu.Lock()
	c.vms[vm.ID] = mgr
	c.mu.Unlock()
	c.list = append(c.list, vm)
	c.setVMs()
}

func (c *cluster) setVMs() {
	for _, mgr := range c.vms {
		mgr.SetVMs(c.list)
	}
}

// table reads the table from the store: nothing here carries it from VM to VM.
func (c *cluster) table(t *testing.T) table.Table {
	o, err := c.store.Get(t.Context(), tableObject("lookup"))
	assert.NilError(t, err)
	tab, err := table.Decode(o.Value)
	assert.NilError(t, err)
	return tab
}

// holders counts the lessors that each VM holds.
func (c *cluster) holders() map[ident.VM]int {
	held := map[ident.VM]int{}
	for vm, mgr := range c.vms {
		if n := len(mgr.Held()); n > 0 {
			held[vm] = n
		}
	}
	return held
}

func (c *cluster) epochs() (sum int) {
	for i := range c.cfg.Servers {
		sum += int(c.control.at(addr(i)).Read().Fence.Epoch)
	}
	return sum
}

// run lets time pass and returns the longest time in which a server had no lease.
func (c *cluster) run(d time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	without := make([]time.Duration, len(c.cfg.Servers))
	var worst time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for i := range without {
			without[i] += step
			if c.control.at(addr(i)).Read().Left > 0 {
				without[i] = 0
			}
			worst = max(worst, without[i])
		}
	}
	return worst
}

func (c *cluster) close(t *testing.T) {
	for _, mgr := range c.vms {
		assert.NilError(t, mgr.Close())
	}
}

// Entry VMs start one after the other, and the first one acquires every lessor. Without
// balancing it would do all renewals for good, and all keys would wait when it is lost.
// The lessors must spread without any lapse of a lease, and then stay where they are.
func TestLessorsBalanceWhenVMsStartOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, servers = 6, 9
		f := newCluster(servers)
		defer f.close(t)
		f.start(0)
		f.run(3 * time.Second)
		assert.Equal(t, f.holders()["vm-0"], servers)
		for i := 1; i < vms; i++ {
			f.start(i)
			assert.Equal(t, f.run(time.Second), time.Duration(0))
		}
		assert.Equal(t, f.holders()["vm-0"], servers, "lessors moved while VMs were still starting")
		before := f.epochs()
		assert.Equal(t, f.run(15*time.Second), time.Duration(0), "a lease lapsed")
		total := 0
		for vm, n := range f.holders() {
			assert.Assert(t, n <= 2, "%s holds %d of %d", vm, n, servers)
			total += n
		}
		assert.Equal(t, total, servers)
		epochs := f.epochs()
		assert.Assert(t, epochs-before <= servers, "%d takeovers for %d lessors", epochs-before, servers)
		assert.Equal(t, f.run(time.Minute), time.Duration(0))
		assert.Equal(t, f.epochs(), epochs, "lessors went on moving")
	})
}

// A server is lost while the lessors are being balanced. Its holder waits for its
// lease to expire; if the lessor were taken over during that, the server's keys would
// wait for up to two leases.
func TestLessorOfALostServerIsNotTakenOver(t *testing.T) {
	for at := 3600 * time.Millisecond; at < 5*time.Second; at += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newCluster(4)
			defer f.close(t)
			for i := range 4 {
				f.start(i)
				f.run(500 * time.Millisecond)
			}
			f.run(at)
			srv := 0 // one whose lessor is to be taken over
			for f.vms["vm-0"].Pair("lookup", f.cfg.Servers[srv].Name).Preferred == "vm-0" {
				srv++
			}
			f.lostServer.Store(new(addr(srv)))
			const within = 950 * time.Millisecond
			time.Sleep(within)
			tab := f.table(t)
			assert.Assert(t, tab.SetOf(f.cfg.Servers[srv].Name).Empty(), "lost after %v: its keys were not moved within %v", at, within)
		})
	}
}

// Two VMs disagree for long about whether a third is live, so each is assigned the
// same lessor. They must not take it from each other every few seconds.
func TestDisagreeingVMsRarelyTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		defer f.close(t)
		for i := range 4 {
			f.start(i)
		}
		f.run(20 * time.Second)
		before := f.epochs()
		f.vms["vm-0"].SetVMs(f.list[:2])
		f.vms["vm-1"].SetVMs(f.list[1:])
		assert.Equal(t, f.run(10*time.Minute), time.Duration(0))
		swaps := f.epochs() - before
		t.Logf("%d takeovers in 10 min", swaps)
		assert.Assert(t, swaps <= 3*2*7, "%d takeovers in 10 min", swaps)
	})
}

// BenchmarkAssignAll assigns the lessors of a fleet of the size expected in two
// years, as happens when the list of VMs changes.
func BenchmarkAssignAll(b *testing.B) {
	targets, live := targetsIn(884, 4), vmsIn(520, 4)
	for b.Loop() {
		AssignAll(targets, live)
	}
}
