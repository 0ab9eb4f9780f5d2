package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against counting the crashes of a server once that starts again under its name after each.
func TestEachProcessOfAServerCounts(t *testing.T) {
	tab := NewTable()
	for i := range int64(CrashThreshold) {
		p := ident.Process{Server: "s1", Incarnation: 1 + i}
		assert.Equal(t, tab.QuarantineLeft(t0, crashing), time.Duration(0))
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Second), crashing, p)
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Second), crashing, p)
	}
	assert.Assert(t, tab.QuarantineLeft(t0.Add(CrashThreshold*time.Second), crashing) > 9*time.Minute)
}

// Guards against counting one crash twice that VMs of two versions report, of which the earlier one does not name the process.
func TestACrashWithoutAProcessIsOneOfItsServer(t *testing.T) {
	tab := NewTable()
	tab.AddReports(t0, []Report{{Fingerprint: crashing, Server: "s1"}})
	tab.RecordCrash(t0, crashing, first("s1"))
	tab.AddReports(t0, []Report{{Fingerprint: crashing, Server: "s1"}})
	assert.Equal(t, tab.Crashes(crashing), 1)
	tab.RecordCrash(t0, crashing, ident.Process{Server: "s1", Incarnation: 2})
	assert.Equal(t, tab.Crashes(crashing), 2)
}

// cutOff returns an attempt that a process cut off after it had announced that it leaves.
func cutOff(at time.Time, p ident.Process) Attempt {
	return Attempt{Fingerprint: crashing, Process: p, SentAt: at, At: at, Announced: true}
}

// Guards against a leader, or a store, that forgets which process crashed and whether it had announced that it leaves.
func TestVerdictsNameTheProcess(t *testing.T) {
	leader, vm := NewTable(), NewTable()
	for i := range int64(CrashThreshold) {
		leader.Record(cutOff(t0, ident.Process{Server: "s1", Incarnation: 1 + i}))
	}
	vm.ApplyVerdicts(t0, "L1", leader.ChangesSince(t0, 0))
	saved := NewTable()
	saved.Merge(t0, leader.Quarantine(t0))
	for _, tab := range []*Table{leader, vm, saved} {
		assert.Equal(t, tab.Crashes(crashing), CrashThreshold)
		assert.Equal(t, tab.QuarantineLeft(t0, crashing), tieWait)
	}
}

// Guards against sending a request on to each server that announces its end as it goes down, and against refusing one for long that servers cut off as they leave.
func TestARequestThatServersCutOffAsTheyLeaveIsTriedSoon(t *testing.T) {
	tab, now := NewTable(), t0
	tab.BeginTerm(t0.Add(-maxTrialTime))
	crash := func(i int64) { tab.Record(cutOff(now, ident.Process{Server: "s1", Incarnation: 1 + i})) }
	for i := range int64(CrashThreshold) {
		assert.Equal(t, tab.QuarantineLeft(now, crashing), time.Duration(0))
		crash(i)
	}
	for i := int64(CrashThreshold); i < maxTieCrashes; i++ {
		assert.Equal(t, tab.QuarantineLeft(now, crashing), tieWait)
		now = now.Add(max(tieWait, trialStartTime))
		assert.Assert(t, askAndStart(tab, now, crashing))
		assert.Assert(t, !askAndStart(tab, now, crashing), "one attempt at a time")
		crash(i)
	}
	assert.Assert(t, tab.QuarantineLeft(now, crashing) > 9*time.Minute)
	tab.Clear(now.Add(1), crashing)
	assert.Equal(t, tab.QuarantineLeft(now, crashing), time.Duration(0))
}
