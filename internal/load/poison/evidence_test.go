package poison

import (
	"strconv"
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

// Guards against a popular request that is refused to all for ten minutes because a rack with many of its servers is lost.
func TestARequestOfManyServersThatAreLostTogetherIsTriedSoon(t *testing.T) {
	tab := NewTable()
	for i := range 2 * maxTieCrashes {
		fp := HeadOf("GET", "a.example", "/look/1").Fingerprint(strconv.Itoa(i), BodyOf(nil))
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Millisecond), fp, first(ident.Server(strconv.Itoa(i))))
	}
	assert.Assert(t, tab.QuarantineLeft(t0.Add(time.Second), crashing) <= tieWait)
}

// Guards against a leader that is told of an answer, in a full report, before the crashes that it clears.
func TestAnAnswerDoesNotOvertakeTheCrashesThatItClears(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	for i := range maxReports {
		fp := HeadOf("GET", "a.example", strconv.Itoa(i)).Fingerprint("c", BodyOf(nil))
		vm.Record(Attempt{Fingerprint: fp, Process: first("s1"), SentAt: t0, At: t0, OthersAnsweredAt: t0.Add(time.Second)})
	}
	now := t0.Add(2 * time.Second)
	for range 5 {
		reports := vm.Reports(now, "L1")
		leader.AddReports(now, throughJSON(t, reports))
		vm.MarkReported("L1", reports)
	}
	for i := range maxReports {
		fp := HeadOf("GET", "a.example", strconv.Itoa(i)).Fingerprint("c", BodyOf(nil))
		assert.Equal(t, len(leader.cases[fp.AnyCaller()].Crashes), 0, "%d", i)
	}
}

// Guards against sharing all cases of a server again and again, for each proof that withdrew another crash of it.
func TestAProofOfALaterCrashIsNoNewsOfAnEarlierOne(t *testing.T) {
	_, leader := newFollowed(t)
	leader.Reconcile(t0, livenessFrom(map[ident.Server]Liveness{"s1": Gone}))
	seq, now := leader.Seq(), t0.Add(time.Minute)
	proof := Report{Fingerprint: other, Server: "s1", Age: 10 * time.Second, Alive: time.Second, Opened: 20 * time.Second}
	leader.AddReports(now, throughJSON(t, []Report{proof}))
	proof.Opened = 0
	leader.AddReports(now, throughJSON(t, []Report{proof}))
	assert.Equal(t, leader.Seq(), seq)
	assert.Equal(t, leader.Crashes(crashing), 3)
}
