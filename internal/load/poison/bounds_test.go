package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against sending a quarantined request to all VMs again for each answer of the later processes of a server that crashed under it.
func TestAProofAboutALaterProcessIsNoChangeOfACase(t *testing.T) {
	leader := NewTable()
	for i := range int64(CrashThreshold) {
		leader.RecordCrash(t0, crashing, ident.Process{Server: "s1", Incarnation: 1 + i})
	}
	leader.Reconcile(t0, func(Crash) Liveness { return Gone })
	now := t0.Add(time.Hour)
	seq := leader.Seq()
	// Another VM lost the connection to process 9 a minute ago and was answered on an older one.
	leader.AddReports(now, throughJSON(t, []Report{{
		Fingerprint: other, Server: "s1", Incarnation: 9, Age: time.Minute, Alive: time.Second, Opened: 10 * time.Minute,
	}}))
	assert.Equal(t, leader.Crashes(crashing), CrashThreshold)
	assert.Equal(t, leader.Seq(), seq)
}

// Guards against an endless exchange of a case between a leader and a VM of the version before, which withdraws the crash of a server by any later answer.
func TestProofsOfTheVersionBeforeDoNotShareACaseForEver(t *testing.T) {
	leader := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		leader.AddReports(t0, []Report{{Fingerprint: crashing, Server: s}})
	}
	changes := 0
	for i := range 100 { // polls
		now := t0.Add(10*time.Second + time.Duration(i)*300*time.Millisecond)
		seq := leader.Seq()
		leader.AddReports(now, throughJSON(t, []Report{{Fingerprint: crashing, Server: "s1", Age: now.Sub(t0), Alive: time.Second}}))
		if leader.Seq() != seq {
			changes++
		}
	}
	assert.Equal(t, leader.Crashes(crashing), 3)
	assert.Assert(t, changes < 50, "the case was shared %d times in 100 polls", changes)
}

// Guards against losing, at the leader, that a request was answered after its attempt got none, because the answer is reported before the crash.
func TestAnAnswerIsNotReportedBeforeTheCrashesThatItClears(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	for i := range maxReports {
		a := Attempt{Process: first("s1"), SentAt: t0, At: t0.Add(time.Duration(i) * time.Millisecond)}
		a.Fingerprint = HeadOf("GET", "budget.example", fmt.Sprintf("/%d", i)).Fingerprint("caller", BodyOf(nil))
		a.OthersAnsweredAt = t0.Add(time.Second)
		vm.Record(a)
	}
	for range 10 {
		now := t0.Add(2 * time.Second)
		reports := vm.Reports(now, "L1")
		leader.AddReports(now, throughJSON(t, reports))
		vm.MarkReported("L1", reports)
	}
	for fp, c := range vm.cases {
		if fp == fp.AnyCaller() {
			assert.Equal(t, len(c.Crashes), 0)
			known := leader.cases[fp]
			assert.Assert(t, known == nil || len(known.Crashes) == 0, "the leader keeps a crash that was cleared")
		}
	}
}

// Guards against keeping the crash of a live server because an earlier one of its name cannot be disproved by the same answer.
func TestAnAnswerWithdrawsACrashAfterAnEarlierProcess(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0, crashing, ident.Process{Server: "s1", Incarnation: 1})
	at := t0.Add(time.Minute)
	tab.RecordCrash(at, other, ident.Process{Server: "s1", Incarnation: 2})
	tab.Reconcile(at, isUnknown)
	tab.ServerAnswered(Life{From: at.Add(-10 * time.Second), Until: at.Add(10 * time.Second)}, "s1")
	assert.Equal(t, tab.Crashes(crashing), 1)
	assert.Equal(t, tab.Crashes(other), 0)
}

// fullTable returns a table with as many cases and crashes as it holds.
func fullTable() *Table {
	tab := NewTable()
	for i := 0; i < maxCases; i++ {
		c := tab.getOrCreate(HeadOf("GET", "budget.example", fmt.Sprintf("/%d", i)).Fingerprint("", BodyOf(nil)))
		for j := range maxCrashes {
			p := ident.Process{Server: ident.Server(fmt.Sprintf("i-26742739%02d", (i+j*17)%100)), Incarnation: 1_700_000_000_000 + int64((i+j)%3)}
			c.add(Crash{Process: p, SentAt: t0, At: t0.Add(time.Duration(j) * time.Second)})
		}
	}
	return tab
}

// BenchmarkReconcile measures one comparison of a full table with the list of servers.
func BenchmarkReconcile(b *testing.B) {
	tab := fullTable()
	live := map[ident.Process]Liveness{}
	announced := map[ident.Process]bool{}
	for _, p := range tab.Processes() {
		live[p], announced[p] = Unknown, false
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = tab.Processes()
		tab.NoteAnnounced(func(p ident.Process) bool { return announced[p] })
		tab.Reconcile(t0.Add(10*time.Second), func(c Crash) Liveness { return live[c.Process] })
	}
}

// BenchmarkUnansweredClear measures the answer to a request that has one attempt without an
// answer among as many as are kept.
func BenchmarkUnansweredClear(b *testing.B) {
	var u Unanswered
	for i := range maxSilentServers {
		p := ident.Process{Server: ident.Server(fmt.Sprintf("i-26742739%03d", i)), Incarnation: 1}
		for j := range maxUnanswered {
			u.Add(Attempt{Process: p, At: t0, Fingerprint: HeadOf("GET", "budget.example", fmt.Sprintf("/%d/%d", i, j)).Fingerprint("c", BodyOf(nil))})
		}
	}
	a := Attempt{Process: ident.Process{Server: "i-26742739000", Incarnation: 1}, At: t0, Fingerprint: crashing}
	b.ReportAllocs()
	for b.Loop() {
		u.Add(a)
		u.Clear(t0, crashing)
	}
}

// BenchmarkProcesses and BenchmarkNoteAnnounced measure the parts of BenchmarkReconcile.
func BenchmarkProcesses(b *testing.B) {
	tab := fullTable()
	b.ReportAllocs()
	for b.Loop() {
		_ = tab.Processes()
	}
}

func BenchmarkNoteAnnounced(b *testing.B) {
	tab := fullTable()
	announced := map[ident.Process]bool{}
	for _, p := range tab.Processes() {
		announced[p] = false
	}
	for b.Loop() {
		tab.NoteAnnounced(func(p ident.Process) bool { return announced[p] })
	}
}

// Guards against a VM that goes on without a crash that the leader keeps, because the same answer also withdrew a later one.
func TestTheLeaderRestoresEachCrashThatAnAnswerWithdrewElsewhere(t *testing.T) {
	for range 20 { // the order of cases is random
		vm, leader := newFollowed(t)
		at := t0.Add(time.Minute)
		vm.RecordCrash(at, other, first("s1"))
		vm.RecordCrash(at, other, first("s4"))
		pollOnce(at, vm, leader, "L1")
		leader.Reconcile(at, livenessFrom(map[ident.Server]Liveness{"s1": Gone}))
		vm.Reconcile(at, isUnknown)
		now := at.Add(10 * time.Second)
		assert.Assert(t, vm.ServerAnswered(lifeUntil(now), "s1"))
		seq, reports := leader.Seq(), vm.Reports(now, "L1")
		leader.AddReports(now, throughJSON(t, reports))
		vm.ApplyVerdicts(now, "L1", leader.ChangesSince(now, seq))
		assert.Equal(t, leader.Crashes(crashing), 3)
		assert.Equal(t, vm.Crashes(crashing), 3)
	}
}

// BenchmarkServerAnswered measures an answer on a connection that is younger than all crashes
// of its server.
func BenchmarkServerAnswered(b *testing.B) {
	tab := fullTable()
	tab.Reconcile(t0, isUnknown)
	s := ident.Server("i-2674273900")
	first := tab.accused[s]
	b.ReportAllocs()
	for b.Loop() {
		tab.accused[s] = first
		if tab.ServerAnswered(Life{From: t0.Add(time.Minute), Until: t0.Add(2 * time.Minute)}, s) {
			b.Fatal("withdrawn")
		}
	}
}

// Guards against refusing an answered request for as long as a VM has more to report to a new leader than one poll holds.
func TestAnAnswerReachesANewLeaderBeforeAllUnrelatedCrashes(t *testing.T) {
	vm, leader := newFollowed(t)
	vm.Clear(t0.Add(time.Second), crashing)
	for i := range 10 * maxReports {
		fp := HeadOf("GET", "budget.example", fmt.Sprintf("/%d", i)).Fingerprint("caller", BodyOf(nil))
		vm.RecordCrash(t0.Add(2*time.Second), fp, first("s9"))
	}
	now := t0.Add(3 * time.Second)
	for range 10 {
		pollOnce(now, vm, leader, "L1")
	}
	assert.Equal(t, leader.Crashes(crashing), 0)
}
