package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func isGone(Crash) Liveness { return Gone }

// Guards against counting a crash that was followed by an answer, because the VM forgets the answer before its next poll.
func TestAnAnswerIsKeptUntilTheLeaderHasIt(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, first("s1"))
	pollOnce(t0, vm, leader, "leader")
	now := t0.Add(time.Second)
	vm.Clear(now, crashing)
	vm.Reconcile(now, isGone)
	pollOnce(now, vm, leader, "leader")
	assert.Equal(t, leader.Crashes(crashing), 0)
	vm.Reconcile(now, isGone)
	assert.Equal(t, vm.Len(), 0, "it is forgotten once it is reported")
}

// Guards against losing an answer because a verdict that was sent before it names an earlier one.
func TestAnEarlierVerdictDoesNotCountAsReceiptOfAnAnswer(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, first("s1"))
	vm.RecordCrash(t0, crashing, first("s2"))
	pollOnce(t0, vm, leader, "leader")
	vm.Clear(t0.Add(time.Second), crashing)
	pollOnce(t0.Add(time.Second), vm, leader, "leader")
	now := t0.Add(2 * time.Second)
	vm.RecordCrash(now, crashing, first("s3"))
	reports := vm.Reports(now, "leader")
	leader.AddReports(now, reports)
	late := leader.ChangesSince(now, 0)
	vm.Clear(now.Add(time.Millisecond), crashing) // while the response is on its way
	vm.ApplyVerdicts(now.Add(2*time.Millisecond), "leader", late)
	vm.MarkReported("leader", reports)
	pollOnce(now.Add(time.Second), vm, leader, "leader")
	assert.Equal(t, leader.Crashes(crashing), 0)
}

// Guards against losing an answer that is recorded while the report of an earlier one is on its way.
func TestAReceiptOfAnEarlierAnswerDoesNotCountForALaterOne(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, first("s1"))
	vm.RecordCrash(t0, crashing, first("s2"))
	pollOnce(t0, vm, leader, "leader")
	vm.Clear(t0.Add(time.Second), crashing)
	reports := vm.Reports(t0.Add(time.Second), "leader")
	leader.AddReports(t0.Add(time.Second), reports)
	leader.RecordCrash(t0.Add(2*time.Second), crashing, first("s3"))
	vm.RecordCrash(t0.Add(2*time.Second), crashing, first("s3"))
	vm.Clear(t0.Add(3*time.Second), crashing)
	vm.MarkReported("leader", reports)
	pollOnce(t0.Add(4*time.Second), vm, leader, "leader")
	assert.Equal(t, leader.Crashes(crashing), 0)
}
