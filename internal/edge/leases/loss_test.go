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

// loseServers ends n servers, one data centre after the other, starting with the
// first coordinator's, and returns their slices.
func (f *fleet) loseServers(n int) []ident.Slice {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, err := strconv.Atoi(string(f.coordinatorCentre()))
	if err != nil {
		return nil
	}
	var lostSlices []ident.Slice
	for c := range fleetCentres {
		for i := (first + c) % fleetCentres; i < len(f.servers) && n > 0; i += fleetCentres {
			f.byName[f.servers[i].Name].dead = true
			lostSlices = append(lostSlices, f.firstTable.SetOf(f.servers[i].Name).Slices...)
			n--
		}
	}
	f.lostAt = time.Now()
	time.AfterFunc(fleetDetectTime, f.detectLoss)
	return lostSlices
}

// detectLoss tells every VM which servers do not answer, as failure detection does.
func (f *fleet) detectLoss() {
	f.mu.Lock()
	f.noticed = true
	f.mu.Unlock()
	for _, s := range f.servers {
		f.mu.Lock()
		dead := f.byName[s.Name].dead
		f.mu.Unlock()
		if dead {
			for _, mgr := range f.managers {
				mgr.SetAlive(s.Name, false)
			}
		}
	}
}

// coordinatorCentre returns the data centre of the first coordinator.
func (f *fleet) coordinatorCentre() ident.Centre {
	first := coordinators("lookup", f.vms)[0]
	i := slices.IndexFunc(f.vms, func(vm vmlist.VM) bool { return vm.ID == first })
	return f.vms[i].Centre
}

// loseVMs ends the VMs of the first coordinator's data centre without a handover. The
// others suspect them soon, and the platform lists them as gone much later.
func (f *fleet) loseVMs(t *testing.T) {
	var list []vmlist.VM
	centre, dead := f.coordinatorCentre(), map[ident.VM]bool{}
	for _, vm := range f.vms {
		if vm.Centre == centre {
			vm.State, dead[vm.ID] = vmlist.Gone, true
		}
		list = append(list, vm)
	}
	for vm := range dead {
		assert.NilError(t, f.managers[vm].Close())
	}
	forOthers := func(do func(*Manager)) func() {
		return func() {
			for vm, mgr := range f.managers {
				if !dead[vm] {
					do(mgr)
				}
			}
		}
	}
	time.AfterFunc(fleetSuspectTime, forOthers(func(mgr *Manager) {
		for vm := range dead {
			mgr.Suspect(vm)
		}
	}))
	time.AfterFunc(fleetListLag, forOthers(func(mgr *Manager) { mgr.SetVMs(list) }))
}

func (f *fleet) held() int {
	n := 0
	for _, mgr := range f.managers {
		n += len(mgr.Held())
	}
	return n
}

// waitHeld waits until every lessor is held, and returns how long that took.
func (f *fleet) waitHeld() time.Duration {
	began := time.Now()
	for f.held() < len(f.servers) && time.Since(began) < fleetStartTimeout {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	time.Sleep(2 * time.Second)
	return took
}

func (f *fleet) close(t *testing.T) {
	for _, mgr := range f.managers {
		assert.NilError(t, mgr.Close())
	}
	synctest.Wait()
	time.Sleep(time.Second) // messages in flight
}

// lossResult is what the loss of many servers at once cost.
type lossResult struct {
	vms, servers, lost       int
	start                    time.Duration // until every lessor was held
	p50, p99, longest        time.Duration
	unservedTimes            []time.Duration // each lost slice
	unserved                 int
	reads, writes, conflicts int
}

func (r lossResult) String() string {
	return fmt.Sprintf("| %d | %d of %d | %d | %d | %d | %d | %d | %d | %d |", r.vms, r.lost, r.servers,
		r.start.Milliseconds(), r.p50.Milliseconds(), r.p99.Milliseconds(), r.longest.Milliseconds(), r.writes, r.conflicts, r.reads)
}

func (r *lossResult) sort() {
	slices.Sort(r.unservedTimes)
	r.p50, r.p99, r.longest = r.unservedTimes[len(r.unservedTimes)/2], r.unservedTimes[len(r.unservedTimes)*99/100], r.unservedTimes[len(r.unservedTimes)-1]
}

// add merges another run: the slices of both, and the larger of the other figures.
func (r *lossResult) add(o lossResult) {
	r.unservedTimes = append(r.unservedTimes, o.unservedTimes...)
	r.sort()
	r.start, r.unserved = max(r.start, o.start), r.unserved+o.unserved
	r.writes, r.conflicts, r.reads = max(r.writes, o.writes), max(r.conflicts, o.conflicts), max(r.reads, o.reads)
}

// runLoss runs one fleet, loses servers at one moment and reports how long their
// slices were not served.
//
// With centre set, the entry VMs of the first coordinator's data centre are lost as
// well.
func runLoss(t *testing.T, seed uint64, vms, servers, lost int, centre bool) lossResult {
	res := lossResult{vms: vms, servers: servers, lost: lost}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, vms, servers)
		f.start()
		defer f.close(t)
		res.start = f.waitHeld()
		time.Sleep(f.randDelay(0, time.Second))
		before := f.store.calls()
		lostSlices := f.loseServers(lost)
		if centre {
			f.loseVMs(t)
		}
		time.Sleep(fleetRunTime)
		after := f.store.calls()
		res.reads, res.writes = after.reads-before.reads, after.writes-before.writes
		res.conflicts = after.conflicts - before.conflicts
		f.mu.Lock()
		for _, x := range lostSlices {
			at, ok := f.served[x]
			if !ok {
				res.unserved++
				at = f.lostAt.Add(fleetRunTime)
			}
			res.unservedTimes = append(res.unservedTimes, at.Sub(f.lostAt))
		}
		f.mu.Unlock()
		res.sort()
	})
	return res
}

// TestFleet prints what the loss of many servers of one service costs:
//
//	HAWTHORN_FLEET=10,520 HAWTHORN_LOST=6,20,60,220 go test -v -run TestFleet ./internal/edge/leases
//
// HAWTHORN_FLEET lists numbers of VMs; HAWTHORN_SERVERS is 440 if not set,
// HAWTHORN_RUNS, how many seeds each row takes, 1. With HAWTHORN_CENTRE the entry
// VMs of one data centre are lost too, the first coordinator's.
func TestFleet(t *testing.T) {
	if os.Getenv("HAWTHORN_FLEET") == "" {
		t.Skip("a measurement: set HAWTHORN_FLEET to numbers of VMs")
	}
	servers := 440
	if n := parseInts(t, os.Getenv("HAWTHORN_SERVERS")); len(n) > 0 {
		servers = n[0]
	}
	runs := 1
	if n := parseInts(t, os.Getenv("HAWTHORN_RUNS")); len(n) > 0 {
		runs = n[0]
	}
	t.Log("| VMs | lost | all lessors held, ms | p50 ms | p99 ms | max ms | table writes | conflicts | table reads |")
	for _, vms := range parseInts(t, os.Getenv("HAWTHORN_FLEET")) {
		for _, lost := range parseInts(t, os.Getenv("HAWTHORN_LOST")) {
			res := runLoss(t, 1, vms, servers, lost, os.Getenv("HAWTHORN_CENTRE") != "")
			for seed := 2; seed <= runs; seed++ {
				res.add(runLoss(t, uint64(seed), vms, servers, lost, os.Getenv("HAWTHORN_CENTRE") != ""))
			}
			t.Log(res.String())
			assert.Equal(t, res.unserved, 0)
		}
	}
}

func parseInts(t *testing.T, list string) []int {
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

// A quarter of a service's servers is lost, and lessors on nearly every VM change its
// table at once. When each VM wrote the table itself, the last keys were not served for
// seconds. Nor may the fleet's start wait long for the writes that end earlier epochs.
func TestLostDataCentreOfServersIsReplacedWithinASecond(t *testing.T) {
	row := runLoss(t, 3, 40, 120, 30, false)
	t.Log(row)
	assert.Equal(t, row.unserved, 0)
	assert.Assert(t, row.p99 <= time.Second, "99 of 100 keys served again after %v", row.p99)
	assert.Assert(t, row.longest <= time.Second+fleetSecondMove, "served again after %v", row.longest)
	assert.Assert(t, row.p50 > 500*time.Millisecond, "too good to be true: %v", row.p50)
	assert.Assert(t, row.start <= time.Second, "lessors held after %v", row.start)
	assert.Assert(t, row.writes < 4*row.lost, "%d writes of the table", row.writes)
}

// The same, with the entry VMs of that data centre lost too, among them the first
// coordinator. VMs that send it their edits must neither wait for an answer that
// never comes nor all write for themselves again.
func TestLostDataCentreIsReplacedWithoutTheCoordinator(t *testing.T) {
	row := runLoss(t, 3, 40, 120, 30, true)
	t.Log(row)
	assert.Equal(t, row.unserved, 0)
	assert.Assert(t, row.p99 <= time.Second, "99 of 100 keys served again after %v", row.p99)
	assert.Assert(t, row.longest <= time.Second+fleetSecondMove, "served again after %v", row.longest)
	assert.Assert(t, row.p50 > 500*time.Millisecond, "too good to be true: %v", row.p50)
}
