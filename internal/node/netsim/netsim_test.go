package netsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

const maxByteRate = 5_000 // bytes per second that a VM may spend on control traffic

func checkRow(t *testing.T, r Row) {
	t.Helper()
	t.Logf("%+v", r)
	assert.Equal(t, r.Missing, 0)
	assert.Assert(t, r.Worst < revs.MaxApplyDelay-revs.DefaultLimits.Behind, "a change took %v", r.Worst)
	assert.Assert(t, r.Mean <= maxByteRate, "%v bytes a second", r.Mean)
	assert.Assert(t, r.Max <= maxByteRate, "%v bytes a second at the busiest VM", r.Max)
	assert.Assert(t, r.Watchers >= 3 && r.Watchers <= 5, "%d watchers", r.Watchers)
}

// A revision is accepted in normal operation. It must be known to all of 520 VMs
// long before the bound of 7 s, at no more than 5 KB/s for the busiest of them.
func TestAChangeReachesAllVMsInTime(t *testing.T) {
	n := 520
	if testing.Short() {
		n = 200 // for the run with the race detector
	}
	checkRow(t, Run(Config{VMs: n}))
}

// Packets are lost and VMs are replaced, watchers among them, while revisions
// follow each other; the list of VMs shows it only 5 s later. Each VM must get
// each change, and new VMs must get the newest rules from their peers.
func TestLossAndRestartsDoNotHoldAChangeBack(t *testing.T) {
	for _, n := range []int{10, 50, 200} {
		checkRow(t, Run(Config{VMs: n, Loss: 0.05, Restarts: 3, Length: 20 * time.Second}))
	}
	if !testing.Short() {
		checkRow(t, Run(Config{VMs: 520, Loss: 0.02, Restarts: 10, Length: 20 * time.Second}))
	}
}

// The store fails for all VMs. Each must learn that it still hears most of the
// others before the time at which it stops for lack of news, or it would stop
// without need.
func TestAStoreOutageLeavesEveryVMSeeingTheOthers(t *testing.T) {
	for n, restarts := range map[int]int{1: 0, 2: 0, 10: 0, 50: 3, 200: 0} {
		r := Run(Config{VMs: n, Loss: 0.05, Outage: true, Restarts: restarts, Length: 30 * time.Second, Changes: 1})
		t.Logf("%+v", r)
		assert.Equal(t, r.Blind, 0)
		assert.Assert(t, r.Gap < revs.DefaultLimits.Isolated, "a VM saw nothing for %v", r.Gap)
		assert.Assert(t, r.Max <= maxByteRate, "%v bytes a second", r.Max)
	}
}

func TestTheSameRunGivesTheSameRow(t *testing.T) {
	c := Config{VMs: 40, Loss: 0.3, Restarts: 5, Outage: true, Length: 15 * time.Second}
	want := Run(c)
	for range 5 {
		assert.DeepEqual(t, Run(c), want)
	}
}
