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

func placesIn(n, centres int) []Target {
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

func mostOf(deal map[Target]Pair) int {
	held, most := map[ident.VM]int{}, 0
	for _, p := range deal {
		held[p.Leader]++
		most = max(most, held[p.Leader])
	}
	return most
}

// Hashing alone gives some VMs several times the seats of others, and with them
// the renewals, the beats and the keys that wait when such a VM is lost. Dealt
// out with a bound, a VM that comes or goes must still change few seats besides
// its own.
func TestSeatsAreDealtEvenlyAndFewChangeWithAVM(t *testing.T) {
	for _, c := range []struct{ vms, seats, most, other int }{
		{10, 17, 2, 3},
		{50, 85, 2, 3},
		{200, 340, 2, 3},
		{520, 884, 2, 3},
	} {
		places, live := placesIn(c.seats, 4), vmsIn(c.vms, 4)
		centre := map[ident.VM]ident.Centre{}
		for _, vm := range live {
			centre[vm.ID] = vm.Centre
		}
		deal := AssignAll(places, live)
		plain := map[ident.VM]int{}
		worst := 0
		for p, pair := range deal {
			lead, _ := Assign(p.Service, p.Server, p.Centre, live)
			plain[lead]++
			worst = max(worst, plain[lead])
			assert.Assert(t, centre[pair.Leader] != p.Centre && centre[pair.Deputy] != p.Centre)
			assert.Assert(t, centre[pair.Leader] != centre[pair.Deputy])
		}
		assert.Assert(t, mostOf(deal) <= c.most, "%d", mostOf(deal))
		others, trials := 0, min(c.vms, 20)
		for gone := range trials {
			rest := append(append([]vmlist.VM{}, live[:gone]...), live[gone+1:]...)
			for p, pair := range AssignAll(places, rest) {
				if was := deal[p].Leader; was != live[gone].ID && was != pair.Leader {
					others++
				}
			}
		}
		mean := float64(others) / float64(trials)
		t.Logf("%d VMs, %d seats: at most %d a VM, %d by hashing alone; %.1f seats of others change with a VM",
			c.vms, c.seats, mostOf(deal), worst, mean)
		assert.Assert(t, mean <= float64(c.other), "%v", mean)
	}
}

// All servers stand in one data centre, and one VM outside it. It carries all
// seats then: evenness is worth less than a server and its authority never being
// lost together.
func TestEvennessGivesWayToDataCentres(t *testing.T) {
	live := []vmlist.VM{{ID: "a", Centre: "c0"}, {ID: "b", Centre: "c0"}, {ID: "x", Centre: "c1"}}
	for p, pair := range AssignAll(placesIn(6, 1), live) {
		assert.Equal(t, pair.Leader, ident.VM("x"), "%v", p)
	}
	assert.Equal(t, mostOf(AssignAll(placesIn(6, 1), live[:2])), 3)
	assert.Equal(t, len(AssignAll(placesIn(6, 1), nil)), 0)
}

// hall joins keepers: what one sends, the other handles.
type hall struct {
	mu  sync.Mutex
	vms map[ident.VM]*Manager
}

type door struct {
	*hall
	from ident.VM
}

func (d door) Send(to ident.VM, body []byte) {
	d.mu.Lock()
	k := d.vms[to]
	d.mu.Unlock()
	if k != nil {
		_ = k.Handle(d.from, body)
	}
}

func (d door) Cast(to ident.VM, body []byte) { d.Send(to, body) }

// crew are keepers over one store and a few servers.
type crew struct {
	hall
	control *control
	lost    atomic.Pointer[netip.AddrPort]
	store   object.Store
	cfg     config.Service
	list    []vmlist.VM
}

func newCrew(servers int) *crew {
	f := &crew{hall: hall{vms: map[ident.VM]*Manager{}}, control: &control{}, store: objmem.New()}
	f.control.by = map[netip.AddrPort]*origin.Origin{}
	f.cfg = config.Service{Name: "lookup", Divided: true, Slices: 64}
	for i := range servers {
		name := ident.Server(fmt.Sprint("s", i))
		f.control.by[addr(i)] = origin.New(origin.Config{Service: "lookup", Server: name, Keyed: true, Slices: 64})
		f.cfg.Servers = append(f.cfg.Servers, config.Server{
			Name: name, Control: addr(i), Data: addr(i), Centre: ident.Centre(fmt.Sprint("c", i%3)),
		})
	}
	return f
}

// partly is the control side of which one server may be lost.
type partly struct {
	*control
	lost *atomic.Pointer[netip.AddrPort]
}

func (p partly) gone(to netip.AddrPort) error {
	if at := p.lost.Load(); at != nil && *at == to {
		time.Sleep(50 * time.Millisecond)
		return kinds.New(kinds.Ambiguous, "no answer")
	}
	return nil
}

func (p partly) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	if err := p.gone(to); err != nil {
		return server.Reply{}, err
	}
	return p.control.Grant(ctx, to, o)
}

func (p partly) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	if err := p.gone(to); err != nil {
		return server.Reply{}, err
	}
	return p.control.Revoke(ctx, to, o)
}

func (p partly) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, seat ident.Server) (server.Reply, error) {
	if err := p.gone(to); err != nil {
		return server.Reply{}, err
	}
	return p.control.Read(ctx, to, svc, seat)
}

// start adds a VM, and every VM hears of it.
func (f *crew) start(i int) {
	vm := vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint("c", i%3)), State: vmlist.Live}
	k := New(Options{
		VM: vm.ID, State: state.New([]config.Service{f.cfg}), Store: f.store, Control: partly{f.control, &f.lost},
		Peers: door{&f.hall, vm.ID}, Log: slog.New(slog.DiscardHandler),
	})
	f.mu.Lock()
	f.vms[vm.ID] = k
	f.mu.Unlock()
	f.list = append(f.list, vm)
	f.tell()
}

func (f *crew) tell() {
	for _, k := range f.vms {
		k.SetVMs(f.list)
	}
}

// table is the one in the store: nothing here carries it from VM to VM.
func (f *crew) table(t *testing.T) table.Table {
	o, err := f.store.Get(t.Context(), tableObject("lookup"))
	assert.NilError(t, err)
	tab, err := table.Decode(o.Value)
	assert.NilError(t, err)
	return tab
}

// holders counts the seats that each VM holds.
func (f *crew) holders() map[ident.VM]int {
	held := map[ident.VM]int{}
	for vm, k := range f.vms {
		if n := len(k.Held()); n > 0 {
			held[vm] = n
		}
	}
	return held
}

func (f *crew) epochs() (sum int) {
	for i := range f.cfg.Servers {
		sum += int(f.control.at(addr(i)).Read().Fence.Epoch)
	}
	return sum
}

// run lets time pass and returns the longest time in which a server had no lease.
func (f *crew) run(d time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	without := make([]time.Duration, len(f.cfg.Servers))
	var worst time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for i := range without {
			without[i] += step
			if f.control.at(addr(i)).Read().Left > 0 {
				without[i] = 0
			}
			worst = max(worst, without[i])
		}
	}
	return worst
}

func (f *crew) close(t *testing.T) {
	for _, k := range f.vms {
		assert.NilError(t, k.Close())
	}
}

// Entry VMs start one after the other, as after an upgrade, and the first one
// takes every seat before it hears of a second. It would carry the renewals of
// all servers for good: several times the others' traffic, and all keys wait
// when it is lost. The seats must spread by themselves, with each server's lease
// standing all the while, and then stay.
func TestSeatsOfAFleetThatStartsOneByOneSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, servers = 6, 9
		f := newCrew(servers)
		defer f.close(t)
		f.start(0)
		f.run(3 * time.Second)
		assert.Equal(t, f.holders()["vm-0"], servers)
		for i := 1; i < vms; i++ {
			f.start(i)
			assert.Equal(t, f.run(time.Second), time.Duration(0))
		}
		assert.Equal(t, f.holders()["vm-0"], servers, "seats moved while VMs still came")
		before := f.epochs()
		assert.Equal(t, f.run(15*time.Second), time.Duration(0), "a lease lapsed")
		total := 0
		for vm, n := range f.holders() {
			assert.Assert(t, n <= 2, "%s holds %d of %d", vm, n, servers)
			total += n
		}
		assert.Equal(t, total, servers)
		epochs := f.epochs()
		assert.Assert(t, epochs-before <= servers, "%d take-overs for %d seats", epochs-before, servers)
		assert.Equal(t, f.run(time.Minute), time.Duration(0))
		assert.Equal(t, f.epochs(), epochs, "seats went on moving")
	})
}

// A server is lost while the seats are being evened out. Its holder waits for
// its lease to run out; if the seat passed on in the midst of that, its keys
// would wait for up to two leases.
func TestALostServersSeatIsNotPassedOn(t *testing.T) {
	for at := 3600 * time.Millisecond; at < 5*time.Second; at += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newCrew(4)
			defer f.close(t)
			for i := range 4 {
				f.start(i)
				f.run(500 * time.Millisecond)
			}
			f.run(at)
			srv := 0 // one whose seat is to pass on
			for f.vms["vm-0"].Pair("lookup", f.cfg.Servers[srv].Name).Leader == "vm-0" {
				srv++
			}
			f.lost.Store(new(addr(srv)))
			const within = 950 * time.Millisecond
			time.Sleep(within)
			view := f.table(t)
			assert.Assert(t, view.SetOf(f.cfg.Servers[srv].Name).Empty(), "lost after %v: its keys wait longer than %v", at, within)
		})
	}
}

// Two VMs disagree for long about whether a third is live: each was dealt the
// same seat. They must not take it from one another every few seconds.
func TestVMsThatDisagreeDoNotSwapSeatsAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrew(3)
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
		t.Logf("%d take-overs in 10 min", swaps)
		assert.Assert(t, swaps <= 3*2*7, "%d take-overs in 10 min", swaps)
	})
}

// BenchmarkDeal deals the seats of the two-year size, as happens when the list
// of VMs changes.
func BenchmarkDeal(b *testing.B) {
	places, live := placesIn(884, 4), vmsIn(520, 4)
	for b.Loop() {
		AssignAll(places, live)
	}
}
