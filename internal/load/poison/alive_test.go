package poison

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func isUnknown(Crash) Liveness { return Unknown }

// later is when a request is sent whose answer proves that a server was alive at t0.
var later = t0.Add(aliveMargin)

// lifeUntil returns the life of a process that ran long before the crashes at t0.
func lifeUntil(at time.Time) Life { return Life{From: t0.Add(-time.Minute), Until: at} }

// throughJSON sends reports as a VM does.
func throughJSON(t *testing.T, all []Report) (received []Report) {
	text, err := json.Marshal(all)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &received))
	return received
}

// Guards against quarantining a harmless request for connections that live servers reset.
func TestAnAnswerWithdrawsTheEarlierCrashesOfItsServer(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2"} {
		tab.RecordCrash(t0, crashing, first(s))
		tab.RecordCrash(t0, other, first(s))
	}
	tab.Reconcile(t0, isUnknown)
	assert.Assert(t, !tab.ServerAnswered(lifeUntil(later.Add(-1)), "s1"), "it may have been sent before the crash")
	assert.Assert(t, !tab.ServerAnswered(lifeUntil(later), "s3"))
	assert.Assert(t, tab.ServerAnswered(lifeUntil(later), "s1"))
	assert.Equal(t, tab.Crashes(crashing), 1)
	assert.Equal(t, tab.Crashes(other), 1)
	assert.Assert(t, !tab.ServerAnswered(lifeUntil(later), "s1"))
}

// Guards against withdrawing the crash of a server that has started again under its name, by an answer of its next process.
func TestAnAnswerOfTheNextProcessWithdrawsNothing(t *testing.T) {
	vm, leader := newFollowed(t)
	vm.Reconcile(t0, isUnknown)
	answer := Life{From: t0.Add(1 - aliveMargin), Until: later.Add(time.Minute)}
	assert.Assert(t, !vm.ServerAnswered(answer, "s1"), "the connection may be younger than the crash")
	reports := vm.Reports(answer.Until, "L1")
	assert.Equal(t, len(reports), 0)
	fromVMOfTheVersionBefore := Report{Fingerprint: crashing, Server: "s1", Age: time.Minute, Alive: time.Second}
	leader.AddReports(answer.Until, throughJSON(t, []Report{fromVMOfTheVersionBefore}))
	assert.Equal(t, leader.Crashes(crashing), 3)
}

// Guards against withdrawing the crash of a server that has ended by an answer that it gave
// before.
func TestAnAnswerWithdrawsNoConfirmedOrLaterCrash(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0, crashing, first("s1"))
	tab.RecordCrash(t0, crashing, first("s2"))
	tab.Reconcile(t0, livenessFrom(map[ident.Server]Liveness{"s1": Gone}))
	tab.RecordCrash(later.Add(1), crashing, first("s2"))
	assert.Assert(t, !tab.ServerAnswered(lifeUntil(later), "s1"))
	assert.Assert(t, !tab.ServerAnswered(lifeUntil(later), "s2"), "it reset a connection first and crashed later")
	assert.Equal(t, tab.Crashes(crashing), 2)
}

// Guards against a harmless request that the other VMs still suspect after one of them has
// got an answer of its server.
func TestTheLeaderTellsAllVMsThatACrashIsWithdrawn(t *testing.T) {
	leader, vms := NewTable(), []*Table{NewTable(), NewTable()}
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		vms[i%2].RecordCrash(t0, crashing, first(s))
	}
	for range 2 {
		for _, vm := range vms {
			pollOnce(t0, vm, leader, "L1")
		}
	}
	vms[0].Reconcile(t0, isUnknown)
	assert.Assert(t, vms[0].ServerAnswered(lifeUntil(later), "s1"))
	reports := vms[0].Reports(later, "L1")
	assert.Equal(t, len(reports), 1)
	leader.AddReports(later.Add(time.Second), throughJSON(t, reports))
	assert.Equal(t, leader.Crashes(crashing), 2)
	vms[0].MarkReported("L1", reports)
	assert.Equal(t, len(vms[0].Reports(later, "L1")), 0)
	for _, vm := range vms {
		pollOnce(later, vm, leader, "L1")
		assert.Equal(t, vm.Crashes(crashing), 2)
	}
}

// Guards against a VM that misses a crash that only the leader knows to be a later one, or to
// be confirmed.
func TestAVMGetsBackACrashThatTheLeaderKeeps(t *testing.T) {
	for name, keep := range map[string]func(leader *Table){
		"confirmed": func(leader *Table) { leader.Reconcile(t0, livenessFrom(map[ident.Server]Liveness{"s1": Gone})) },
		"later":     func(leader *Table) { leader.RecordCrash(later.Add(1), crashing, first("s1")) },
	} {
		t.Run(name, func(t *testing.T) {
			vm, leader := newFollowed(t)
			vm.Reconcile(t0, isUnknown)
			keep(leader)
			seq := leader.Seq()
			assert.Assert(t, vm.ServerAnswered(lifeUntil(later), "s1"))
			assert.Equal(t, vm.Crashes(crashing), 2)
			now := later.Add(time.Second)
			reports := vm.Reports(now, "L1")
			leader.AddReports(now, throughJSON(t, reports))
			assert.Equal(t, leader.Crashes(crashing), 3)
			vm.ApplyVerdicts(now, "L1", leader.ChangesSince(now, seq))
			assert.Equal(t, vm.Crashes(crashing), 3)
		})
	}
}

// Guards against a report that is lost because a leader received an earlier one in its place.
func TestALaterProofIsReportedAgain(t *testing.T) {
	vm, leader := newFollowed(t)
	vm.Reconcile(t0, isUnknown)
	assert.Assert(t, vm.ServerAnswered(lifeUntil(later), "s1"))
	sent := vm.Reports(later, "L1")
	vm.RecordCrash(later, crashing, first("s1"))
	vm.Reconcile(later, isUnknown)
	assert.Assert(t, vm.ServerAnswered(lifeUntil(later.Add(aliveMargin)), "s1"))
	vm.MarkReported("L1", sent)
	all := vm.Reports(later.Add(aliveMargin), "L1")
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].Alive, time.Duration(1))
	leader.AddReports(later.Add(aliveMargin), all)
	assert.Equal(t, leader.Crashes(crashing), 2)
	vm.Reconcile(later.Add(aliveMargin+retention), isUnknown)
	assert.Equal(t, len(vm.Reports(later, "L2")), 0, "old proofs are forgotten")
}
