package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func isUnlisted(Crash) Liveness { return Unlisted }

// Guards against a listing that lapsed while its server was cut off from the store, and that makes a crash final although the same process is listed again.
func TestAProcessThatIsListedAgainWithdrawsItsCrash(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	tab.Reconcile(t0.Add(5*time.Second), isUnlisted)
	now := t0.Add(time.Minute)
	tab.Reconcile(now, isAlive)
	assert.Equal(t, tab.QuarantineLeft(now, crashing), time.Duration(0))
}

// Guards against a listing that lapsed while its server was cut off from the store, and that makes later answers of that process count for nothing.
func TestAnAnswerWithdrawsACrashOfAProcessThatWasUnlisted(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0, crashing, first("s1"))
	tab.Reconcile(t0.Add(time.Second), isUnlisted)
	tab.Reconcile(t0.Add(5*time.Second), isUnknown)
	tab.ServerAnswered(Life{From: t0.Add(-time.Minute), Until: t0.Add(6 * time.Second)}, "s1")
	assert.Equal(t, tab.Crashes(crashing), 0)
}

// Guards against never stopping a request at a server that does not state when it started, since each crash is taken for the one before.
func TestCrashesOfAServerThatStatesNoStartCountOnceItWasGone(t *testing.T) {
	tab, now := NewTable(), t0
	for range CrashThreshold {
		tab.RecordCrash(now, crashing, ident.Process{Server: "s1"})
		tab.Reconcile(now.Add(5*time.Second), isUnlisted)
		now = now.Add(20 * time.Second)
		tab.Reconcile(now, isUnknown)
	}
	assert.Assert(t, tab.QuarantineLeft(now, crashing) > 0)
}

// Guards against refusing a popular request for all callers because single attempts timed out at servers that are lost together later, though others were answered after.
func TestServersLostTogetherDoNotQuarantineAPopularRequestThatTimedOutThere(t *testing.T) {
	tab, u := NewTable(), Unanswered{}
	from := func(caller string) Fingerprint {
		return HeadOf("GET", "a.example", "/look/1").Fingerprint(caller, BodyOf(nil))
	}
	endings := map[ident.Process]Ending{}
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		caller := "10.0.0." + string(rune('1'+i))
		u.Add(Attempt{Fingerprint: from(caller), ID: "r", Process: first(s), At: t0.Add(time.Duration(3*i) * time.Second)})
		endings[first(s)] = Ended
	}
	answered, now := from("10.0.0.9"), t0.Add(9*time.Second)
	u.Clear(now, answered)
	tab.Clear(now, answered)
	for _, a := range u.Settle(now.Add(time.Second), endings) {
		tab.Record(a)
	}
	assert.Assert(t, tab.QuarantineLeft(now.Add(time.Second), answered) <= tieWait)
}

// Guards against a leader that knows only an earlier break of a process than its last, because the receipt for the earlier report arrives after it: an answer between the two withdraws the crash.
func TestAReceiptOfAnEarlierBreakDoesNotCountForALaterOne(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, first("s1"))
	reports := vm.Reports(t0, "L1")
	leader.AddReports(t0, reports)
	now := t0.Add(5 * time.Second)
	vm.RecordCrash(now, crashing, first("s1"))
	vm.MarkReported("L1", reports)
	leader.AddReports(now, vm.Reports(now, "L1"))
	leader.Reconcile(now, isUnknown)
	leader.ServerAnswered(lifeUntil(later), "s1")
	assert.Equal(t, leader.Crashes(crashing), 1)
}
