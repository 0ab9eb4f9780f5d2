package leases

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// lose ends servers, one data centre after the other from the hub's on, and
// returns their slices.
func (f *fleet) lose(n int) []ident.Slice {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, err := strconv.Atoi(string(f.hubCentre()))
	if err != nil {
		return nil
	}
	var hit []ident.Slice
	for c := range fleetCentres {
		for i := (first + c) % fleetCentres; i < len(f.servers) && n > 0; i += fleetCentres {
			f.names[f.servers[i].Name].dead = true
			hit = append(hit, f.tab.SetOf(f.servers[i].Name).Slices...)
			n--
		}
	}
	f.lost = time.Now()
	time.AfterFunc(fleetNotice, f.notice)
	return hit
}

// notice tells every VM which servers do not answer, as its probers do.
func (f *fleet) notice() {
	f.mu.Lock()
	f.noticed = true
	f.mu.Unlock()
	for _, s := range f.servers {
		f.mu.Lock()
		dead := f.names[s.Name].dead
		f.mu.Unlock()
		if dead {
			for _, k := range f.keepers {
				k.SetAlive(s.Name, false)
			}
		}
	}
}

func (f *fleet) hubCentre() ident.Centre {
	first := hubs("lookup", f.vms)[0]
	i := slices.IndexFunc(f.vms, func(vm vmlist.VM) bool { return vm.ID == first })
	return f.vms[i].Centre
}

// loseVMs ends the VMs of the hub's data centre without a word. The others
// suspect them soon, and the platform lists them as gone much later.
func (f *fleet) loseVMs(t *testing.T) {
	var list []vmlist.VM
	centre, dead := f.hubCentre(), map[ident.VM]bool{}
	for _, vm := range f.vms {
		if vm.Centre == centre {
			vm.State, dead[vm.ID] = vmlist.Gone, true
		}
		list = append(list, vm)
	}
	for vm := range dead {
		assert.NilError(t, f.keepers[vm].Close())
	}
	tell := func(do func(*Manager)) func() {
		return func() {
			for vm, k := range f.keepers {
				if !dead[vm] {
					do(k)
				}
			}
		}
	}
	time.AfterFunc(fleetSuspect, tell(func(k *Manager) {
		for vm := range dead {
			k.Suspect(vm)
		}
	}))
	time.AfterFunc(fleetLag, tell(func(k *Manager) { k.SetVMs(list) }))
}

func (f *fleet) held() int {
	n := 0
	for _, k := range f.keepers {
		n += len(k.Held())
	}
	return n
}

// settle waits until every seat is held, and returns how long that took.
func (f *fleet) settle() time.Duration {
	began := time.Now()
	for f.held() < len(f.servers) && time.Since(began) < fleetWarm {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	time.Sleep(2 * time.Second)
	return took
}

func (f *fleet) close(t *testing.T) {
	for _, k := range f.keepers {
		assert.NilError(t, k.Close())
	}
	synctest.Wait()
	time.Sleep(time.Second) // letters on their way
}

// fleetRow is what a loss of many servers at once cost.
type fleetRow struct {
	vms, servers, lost     int
	start                  time.Duration // until every seat was held
	p50, p99, most         time.Duration
	gone                   []time.Duration // each lost slice
	unserved               int
	reads, writes, clashes int
}

func (r fleetRow) String() string {
	return fmt.Sprintf("| %d | %d of %d | %d | %d | %d | %d | %d | %d | %d |", r.vms, r.lost, r.servers,
		r.start.Milliseconds(), r.p50.Milliseconds(), r.p99.Milliseconds(), r.most.Milliseconds(), r.writes, r.clashes, r.reads)
}

func (r *fleetRow) sort() {
	slices.Sort(r.gone)
	r.p50, r.p99, r.most = r.gone[len(r.gone)/2], r.gone[len(r.gone)*99/100], r.gone[len(r.gone)-1]
}

// add takes another run in: the slices of both, and the larger of the others.
func (r *fleetRow) add(o fleetRow) {
	r.gone = append(r.gone, o.gone...)
	r.sort()
	r.start, r.unserved = max(r.start, o.start), r.unserved+o.unserved
	r.writes, r.clashes, r.reads = max(r.writes, o.writes), max(r.clashes, o.clashes), max(r.reads, o.reads)
}

// loseMany runs one fleet, loses servers in one moment and says how long their
// slices were served by nobody.
//
// With centre set, the entry VMs of the hub's data centre are lost as well.
func loseMany(t *testing.T, seed uint64, vms, servers, lost int, centre bool) fleetRow {
	row := fleetRow{vms: vms, servers: servers, lost: lost}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, vms, servers)
		f.start()
		defer f.close(t)
		row.start = f.settle()
		time.Sleep(f.between(0, time.Second))
		before := f.store.calls()
		hit := f.lose(lost)
		if centre {
			f.loseVMs(t)
		}
		time.Sleep(fleetSpan)
		after := f.store.calls()
		row.reads, row.writes = after.reads-before.reads, after.writes-before.writes
		row.clashes = after.clashes - before.clashes
		f.mu.Lock()
		for _, x := range hit {
			at, ok := f.served[x]
			if !ok {
				row.unserved++
				at = f.lost.Add(fleetSpan)
			}
			row.gone = append(row.gone, at.Sub(f.lost))
		}
		f.mu.Unlock()
		row.sort()
	})
	return row
}

// TestFleet prints what the loss of many servers of one service costs:
//
//	HAWTHORN_FLEET=10,520 HAWTHORN_LOST=6,20,60,220 go test -v -run TestFleet ./internal/edge/keeper
//
// HAWTHORN_FLEET lists numbers of VMs; HAWTHORN_SERVERS is 440 if not set,
// HAWTHORN_RUNS, how many seeds each row takes, 1. With HAWTHORN_CENTRE the entry
// VMs of one data centre are lost too, the hub's.
func TestFleet(t *testing.T) {
	if os.Getenv("HAWTHORN_FLEET") == "" {
		t.Skip("a measurement: set HAWTHORN_FLEET to numbers of VMs")
	}
	servers := 440
	if n := numbers(t, os.Getenv("HAWTHORN_SERVERS")); len(n) > 0 {
		servers = n[0]
	}
	runs := 1
	if n := numbers(t, os.Getenv("HAWTHORN_RUNS")); len(n) > 0 {
		runs = n[0]
	}
	t.Log("| VMs | lost | all seats held, ms | p50 ms | p99 ms | max ms | table writes | conflicts | table reads |")
	for _, vms := range numbers(t, os.Getenv("HAWTHORN_FLEET")) {
		for _, lost := range numbers(t, os.Getenv("HAWTHORN_LOST")) {
			row := loseMany(t, 1, vms, servers, lost, os.Getenv("HAWTHORN_CENTRE") != "")
			for seed := 2; seed <= runs; seed++ {
				row.add(loseMany(t, uint64(seed), vms, servers, lost, os.Getenv("HAWTHORN_CENTRE") != ""))
			}
			t.Log(row.String())
			assert.Equal(t, row.unserved, 0)
		}
	}
}

func numbers(t *testing.T, list string) []int {
	var all []int
	for f := range strings.SplitSeq(list, ",") {
		if f == "" {
			continue
		}
		n, err := strconv.Atoi(f)
		assert.NilError(t, err)
		all = append(all, n)
	}
	return all
}

// A data centre with a quarter of a service's servers is lost, and a seat on
// nearly every VM wants the one table changed in the same moment. When each wrote
// for itself, nobody served the last keys for seconds: a queue of trucks at every
// scale of that data centre. Nor may a fleet that starts wait for its bars.
func TestADataCentreOfServersIsReplacedWithinASecond(t *testing.T) {
	row := loseMany(t, 3, 40, 120, 30, false)
	t.Log(row)
	assert.Equal(t, row.unserved, 0)
	assert.Assert(t, row.p99 <= time.Second, "99 of 100 keys served again after %v", row.p99)
	assert.Assert(t, row.most <= time.Second+fleetTurn, "served again after %v", row.most)
	assert.Assert(t, row.p50 > 500*time.Millisecond, "too good to be true: %v", row.p50)
	assert.Assert(t, row.start <= time.Second, "seats held after %v", row.start)
	assert.Assert(t, row.writes < 4*row.lost, "%d writes of the table", row.writes)
}

// The same, and the entry VMs of that data centre are lost with it, among them the
// one that would join the edits of all. Those that turn to it must not wait for an
// answer that never comes, nor all write for themselves again.
func TestADataCentreIsReplacedWithoutTheHub(t *testing.T) {
	row := loseMany(t, 3, 40, 120, 30, true)
	t.Log(row)
	assert.Equal(t, row.unserved, 0)
	assert.Assert(t, row.p99 <= time.Second, "99 of 100 keys served again after %v", row.p99)
	assert.Assert(t, row.most <= time.Second+fleetTurn, "served again after %v", row.most)
	assert.Assert(t, row.p50 > 500*time.Millisecond, "too good to be true: %v", row.p50)
}
