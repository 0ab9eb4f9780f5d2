package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// testEvacuation is the bound on requests after an evacuation in tests.
const testEvacuation = 3 * time.Second

// startEvacuationCluster starts two of three VMs with servers in two data centres, and
// returns the servers of the data centre that is going to be evacuated.
func startEvacuationCluster(t *testing.T) (*testCluster, []*backend) {
	tc := newTestCluster(t, 3)
	for i := range tc.cfgs {
		tc.cfgs[i].Bounds.Evacuation = testEvacuation
	}
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.addServer("ledger", "r1")
	there := []*backend{tc.addServerIn("lookup", "l2", "there"), tc.addServerIn("ledger", "r2", "there")}
	for i := range 2 {
		tc.startVM(i)
		tc.waitFor(waitLimit, "served", func() bool { return tc.served(i, 7) })
	}
	return tc, there
}

func ranCounts(all []*backend) (n int) {
	for _, b := range all {
		b.mu.Lock()
		n += b.ran
		b.mu.Unlock()
	}
	return n
}

// Guards against requests to servers of a data centre that the operator has evacuated, from VMs that were cut off from the store or that started later.
func TestAnEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	tc, there := startEvacuationCluster(t)
	follower := 1 - tc.leaderIndex()
	tc.gateways[follower].setBlocked(true)
	tc.store.write("evacuations/there", struct{}{})
	for end := time.Now().Add(testEvacuation); time.Now().Before(end); {
		tc.served(0, 3)
		tc.served(1, 5)
	}
	tc.startVM(2)
	tc.waitFor(waitLimit, "a VM that starts is ready", tc.ready(2))
	before := ranCounts(there)
	tc.waitFor(waitLimit, "the other data centre has the keys", func() bool { return tc.served(0, 1) && tc.served(1, 2) && tc.served(2, 3) })
	failed := 0
	for n := range 60 {
		if !tc.served(n%3, n) {
			failed++
		}
	}
	assert.Equal(t, ranCounts(there), before, "requests reached the evacuated data centre")
	assert.Equal(t, failed, 0)
	tc.store.remove("evacuations/there")
	next := 0
	tc.waitFor(waitLimit, "the data centre is used again", func() bool {
		next++
		tc.served(0, next%60) // which keys move first is the planner's choice
		return ranCounts(there) > before
	})
	for _, h := range tc.vms {
		assert.NilError(t, h.Close())
	}
}

// Guards against an evacuation that nobody can read, or of an unknown data centre, that takes servers out of service.
func TestAFaultyEvacuationTakesNothingOutOfService(t *testing.T) {
	tr := newTestTracker()
	tr.plat.Decode, tr.plat.Evacuations = jsonDecoder{}, "evacuations/"
	tr.evacuation = testEvacuation
	tr.evacuationWatcher().onList([]object.Object{
		{Name: "evacuations/north", Version: 2, Value: []byte(`"x"`)}, {Name: "evacuations/nowhere", Version: 3, Value: []byte(`{}`)},
	}, 4)
	assert.DeepEqual(t, tr.evacuated.List(), evac.List{Rev: 4, Centres: []ident.Centre{"nowhere"}})
	change := func(v object.Version, value string) {
		o := object.Object{Name: "evacuations/south", Version: v, Value: []byte(value)}
		tr.evacuationWatcher().onChange([]object.Change{{Object: o}}, object.Cursor(v))
	}
	change(5, `{}`)
	assert.DeepEqual(t, tr.evacuated.List(), evac.List{Rev: 5, Centres: []ident.Centre{"nowhere", "south"}})
	change(6, `7`)
	assert.DeepEqual(t, tr.evacuated.List(), evac.List{Rev: 6, Centres: []ident.Centre{"nowhere"}})
}

// Guards against an evacuation that begins anew each time a VM hears of it.
func TestAnEvacuationCountsFromWhenItIsFirstHeardOf(t *testing.T) {
	tr := newTestTracker()
	tr.evacuation = time.Second
	tr.applyEvacuations(evac.List{Rev: 4, Centres: []ident.Centre{"north"}}, "peer", 0)
	since, _ := tr.evacuated.Evacuated("north")
	tr.applyEvacuations(evac.List{Rev: 6, Centres: []ident.Centre{"north"}}, "store", 0)
	again, ok := tr.evacuated.Evacuated("north")
	assert.Assert(t, ok && again.Equal(since))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	assert.Assert(t, !tr.evacuationDue(since.Add(499*time.Millisecond), "north"))
	assert.Assert(t, tr.evacuationDue(since.Add(500*time.Millisecond), "north"))
	assert.Assert(t, tr.markEvacuated(since.Add(500*time.Millisecond)))
	assert.Assert(t, !tr.markEvacuated(since.Add(600*time.Millisecond)), "reported once")
}

// Guards against store calls for evacuations from each VM, all day long.
func TestAVMInTouchWithTheLeaderDoesNotWatchEvacuations(t *testing.T) {
	tc, _ := startEvacuationCluster(t)
	follower := 1 - tc.leaderIndex()
	hub := tc.vms[follower].listeners.parts.Hub
	tc.waitFor(waitLimit, "it has heard of the evacuations", func() bool { return hub.Synced(time.Now()) && hub.EvacuatedRev() > 0 })
	time.Sleep(2 * coveredPoll) // a call that was under way ends
	before := tc.gateways[follower].callCount("evacuations/")
	time.Sleep(time.Second)
	assert.Equal(t, tc.gateways[follower].callCount("evacuations/"), before)
	assert.Assert(t, tc.gateways[1-follower].callCount("evacuations/") > 0)
	for _, h := range tc.vms {
		assert.NilError(t, h.Close())
	}
}
