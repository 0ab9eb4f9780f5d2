package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func isAlive(Crash) Liveness { return Alive }

// pollOnce exchanges reports and all verdicts between a VM and a leader.
func pollOnce(now time.Time, vm, leader *Table, name string) {
	reports := vm.Reports(now, name)
	leader.AddReports(now, reports)
	vm.ApplyVerdicts(now, name, leader.ChangesSince(now, 0))
	vm.MarkReported(name, reports)
}

func newFollowed(t *testing.T) (vm, leader *Table) {
	vm, leader = NewTable(), NewTable()
	leader.Lead()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		vm.RecordCrash(t0, crashing, first(s))
	}
	pollOnce(t0, vm, leader, "L1")
	assert.Equal(t, leader.Crashes(crashing), 3)
	return vm, leader
}

// Guards against a VM with an old list of servers that drops the crashes of a quarantined
// request, which the leader never tells it again.
func TestAnOldListDropsNoCrashesThatALeaderDecidesOn(t *testing.T) {
	vm, leader := newFollowed(t)
	now := t0.Add(2 * LivenessGrace)
	leader.Reconcile(now, func(Crash) Liveness { return Gone })
	vm.Reconcile(now, isAlive)
	assert.Equal(t, vm.Crashes(crashing), 3)
	restarted := NewTable()
	restarted.Merge(now, leader.Quarantine(now))
	restarted.Reconcile(now, isAlive)
	assert.Equal(t, restarted.Crashes(crashing), 3, "read from the store, without a leader")
}

// Guards against a harmless request that stays in quarantine because the leader forgets it
// before the other VMs are told that its servers are alive.
func TestEveryVMIsToldThatTheServersOfACaseAreAlive(t *testing.T) {
	vm, leader := newFollowed(t)
	now := t0.Add(LivenessGrace)
	leader.Reconcile(now, isAlive)
	vm.Reconcile(now, isAlive)
	pollOnce(now, vm, leader, "L1")
	assert.Equal(t, vm.Crashes(crashing), 0)
	vm.Reconcile(now, isAlive)
	assert.Equal(t, vm.Len(), 0)
	leader.Reconcile(now.Add(retention), isAlive)
	assert.Equal(t, leader.Len(), 0)
}

// Guards against a harmless request that stays under suspicion because nobody decides on its
// crashes after a change of leader.
func TestACaseOfAFormerLeaderIsDecidedByTheNextOneOrHere(t *testing.T) {
	now := t0.Add(LivenessGrace)
	vm, _ := newFollowed(t)
	vm.Lead()
	vm.Reconcile(now, isAlive)
	assert.Equal(t, vm.Crashes(crashing), 0, "this VM leads now")

	vm, next := newFollowed(t)
	pollOnce(now, vm, next, "L2")
	vm.Reconcile(now, isAlive)
	assert.Equal(t, vm.Crashes(crashing), 3)
	next.Reconcile(now, isAlive)
	pollOnce(now, vm, next, "L2")
	assert.Equal(t, vm.Crashes(crashing), 0, "the next leader knows that they are alive")

	vm, _ = newFollowed(t)
	vm.MarkReported("L2", nil)
	vm.Reconcile(now, isAlive)
	assert.Equal(t, vm.Crashes(crashing), 0, "the next leader does not know the case")
}

// Guards against a single crash, which no leader sends verdicts on, that is kept although its
// server is alive.
func TestACrashThatNoLeaderDecidesOnIsDroppedHere(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, first("s1"))
	pollOnce(t0, vm, leader, "L1")
	vm.Reconcile(t0.Add(LivenessGrace), isAlive)
	assert.Equal(t, vm.Len(), 0)
}
