package poison

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var (
	t0       = time.Unix(1000, 0)
	crashing = HeadOf("GET", "a.example", "/look/1").Fingerprint("10.0.0.1", BodyOf(nil))
	other    = HeadOf("GET", "a.example", "/look/2").Fingerprint("10.0.0.1", BodyOf(nil))
)

// first returns the first process of a server.
func first(s ident.Server) ident.Process { return ident.Process{Server: s, Incarnation: 1} }

func livenessFrom(all map[ident.Server]Liveness) func(Crash) Liveness {
	return func(c Crash) Liveness { return all[c.Process.Server] }
}

// Guards against missing a crashing request because each VM knows its caller by another
// address.
func TestARequestIsKnownWhateverItsCallersAddress(t *testing.T) {
	tab := NewTable()
	from := func(caller string) Fingerprint {
		return HeadOf("GET", "a.example", "/look/1").Fingerprint(caller, BodyOf(nil))
	}
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0.Add(time.Duration(i-2)*simultaneousTime), from("10.0.0."+strconv.Itoa(i)), first(s))
	}
	assert.Equal(t, tab.QuarantineLeft(t0, from("10.0.0.9")), quarantineTimes[0])
	tab.Release(t0, from("10.0.0.8"))
	assert.Equal(t, tab.QuarantineLeft(t0, from("10.0.0.0")), time.Duration(0))
}

// Guards against clearing a crashing request because other callers' requests for the same
// path are answered.
func TestOneCallersRequestIsKnownAlthoughOthersAreAnswered(t *testing.T) {
	tab := NewTable()
	others := HeadOf("GET", "a.example", "/look/1").Fingerprint("10.0.0.2", BodyOf(nil))
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0.Add(time.Duration(2*i)*time.Second), crashing, first(s))
		tab.Clear(t0.Add(time.Duration(2*i+1)*time.Second), others)
	}
	now := t0.Add(6 * time.Second)
	assert.Assert(t, tab.QuarantineLeft(now, crashing) > 0)
	assert.Equal(t, tab.QuarantineLeft(now, others), time.Duration(0))
}

// Guards against equal fingerprints of different requests, for example when the same text
// is split differently between two fields.
func TestFingerprintsDifferBetweenRequests(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, h := range []Head{
		HeadOf("GET", "a", "/b"), HeadOf("GET", "a/", "b"), HeadOf("POST", "a", "/b"), HeadOf("GET", "a", "/b?c"),
	} {
		for _, b := range []Body{BodyOf(nil), BodyOf([]byte("x")), BodyOfLength(1), BodyOfLength(2)} {
			for _, caller := range []string{"", "a", "b"} {
				p := h.Fingerprint(caller, b)
				assert.Assert(t, !seen[p])
				seen[p] = true
				assert.Equal(t, p.Head(), h)
				assert.Equal(t, p.AnyCaller(), h.Fingerprint("a", b).AnyCaller())
			}
		}
	}
}

func TestFingerprintTextRoundTrip(t *testing.T) {
	text, err := crashing.MarshalText()
	assert.NilError(t, err)
	var got Fingerprint
	assert.NilError(t, got.UnmarshalText(text))
	assert.Equal(t, got, crashing)
	assert.ErrorContains(t, got.UnmarshalText([]byte("00")), "malformed")
	assert.ErrorContains(t, got.UnmarshalText(text[:40]), "malformed")
	assert.NilError(t, got.UnmarshalText([]byte(crashing.Print())))
	assert.Equal(t, got, crashing.Common())
}

func TestADigestOfAStreamIsThatOfTheWholeBody(t *testing.T) {
	d := NewDigest(strings.NewReader("body"))
	_, whole := d.Body()
	assert.Assert(t, !whole)
	_, err := io.Copy(io.Discard, d)
	assert.NilError(t, err)
	got, whole := d.Body()
	assert.Assert(t, whole)
	assert.Equal(t, got, BodyOf([]byte("body")))
}

// Guards against a query of death that crashes server after server.
func TestThreeCrashesQuarantineARequest(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s2", "s3"} {
		assert.Equal(t, tab.QuarantineLeft(t0, crashing), time.Duration(0), "crash %d", i)
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Second), crashing, first(s))
	}
	assert.Assert(t, tab.QuarantineLeft(t0.Add(4*time.Second), crashing) > 9*time.Minute)
	assert.Equal(t, tab.QuarantineLeft(t0, other), time.Duration(0))
	assert.Assert(t, tab.Suspected(crashing.Head()) && !tab.Suspected(other.Head()))
}

// Guards against quarantining a request whose connections broke while the servers were
// alive.
func TestCrashesOfLiveServersAreDropped(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	liveness := livenessFrom(map[ident.Server]Liveness{"s1": Gone, "s2": Alive, "s3": Unknown})
	tab.Reconcile(t0.Add(time.Second), liveness)
	assert.Equal(t, tab.Crashes(crashing), 3)
	tab.Reconcile(t0.Add(LivenessGrace), liveness)
	assert.Equal(t, tab.Crashes(crashing), 2)
	tab.Reconcile(t0.Add(LivenessGrace+time.Second), livenessFrom(map[ident.Server]Liveness{"s1": Alive, "s3": Alive}))
	assert.Equal(t, tab.Crashes(crashing), 1, "a confirmed crash is kept")
}

// Guards against quarantining a harmless request that ran on servers that another request
// crashed.
func TestAnAnswerClearsARequest(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0, crashing, first("s1"))
	tab.RecordCrash(t0, crashing, first("s2"))
	tab.Clear(t0.Add(time.Second), crashing)
	tab.RecordCrash(t0.Add(2*time.Second), crashing, first("s3"))
	assert.Equal(t, tab.Crashes(crashing), 1)
	tab.AddReports(t0.Add(3*time.Second), []Report{{Fingerprint: crashing, Server: "s4", Age: 2500 * time.Millisecond}})
	assert.Equal(t, tab.Crashes(crashing), 1, "a crash before the answer is ignored")
}

// Guards against refusing a request for good although the servers were fixed.
func TestAQuarantineEndsAndOneMoreCrashBeginsALongerOne(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	later := t0.Add(quarantineTimes[0])
	assert.Equal(t, tab.QuarantineLeft(later, crashing), trialRetryAfter)
	tab.BeginTerm(t0)
	assert.Assert(t, !askAndStart(tab, later.Add(-1), crashing), "the quarantine has not ended")
	assert.Assert(t, askAndStart(tab, later, crashing))
	assert.Assert(t, !askAndStart(tab, later, crashing), "one attempt at a time")
	tab.RecordCrash(later, crashing, first("s4"))
	assert.Equal(t, tab.QuarantineLeft(later, crashing), quarantineTimes[1])
	tab.Reconcile(later.Add(quarantineTimes[1]+retention), livenessFrom(nil))
	assert.Equal(t, tab.Len(), 0)
}

// Guards against quarantining a harmless request that ran three times on the same servers
// as a crashing one.
func TestARequestThatOnlyRanBesideACrashingOneIsFreeAgain(t *testing.T) {
	newTiedTable := func() *Table {
		tab := NewTable()
		for _, s := range []ident.Server{"s1", "s2", "s3"} {
			tab.RecordCrash(t0, crashing, first(s))
			tab.RecordCrash(t0, other, first(s))
		}
		tab.BeginTerm(t0.Add(-maxTrialTime))
		for _, fp := range []Fingerprint{crashing, other} {
			assert.Equal(t, tab.QuarantineLeft(t0, fp), tieWait)
			assert.Equal(t, tab.QuarantineLeft(t0.Add(tieWait), fp), trialRetryAfter, "neither is free without a trial")
		}
		return tab
	}
	tab := newTiedTable()
	assert.Assert(t, askAndStart(tab, t0.Add(tieWait), other))
	assert.Assert(t, !askAndStart(tab, t0.Add(tieWait), crashing), "one of the two at a time")
	tab.Clear(t0.Add(tieWait), other)
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieWait), other), time.Duration(0))
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieWait), crashing), quarantineTimes[0]-tieWait, "an answer to one request shows that the other caused the crashes")

	tab = newTiedTable()
	assert.Assert(t, askAndStart(tab, t0.Add(tieWait), crashing))
	tab.RecordCrash(t0.Add(tieWait), crashing, first("s4"))
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieWait), crashing), quarantineTimes[1])
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieWait), other), time.Duration(0))

	for _, s := range []ident.Server{"s4", "s5"} {
		tab.RecordCrash(t0.Add(time.Minute), crashing, first(s))
		tab.RecordCrash(t0.Add(time.Minute), other, first(s))
	}
	assert.Equal(t, tab.QuarantineLeft(t0.Add(time.Minute), other), quarantineTimes[2], "a request that was never answered is not tried without end")
}

// Guards against missing a query of death when each of its three crashes was seen by
// another VM.
func TestCrashesSeenByThreeVMsAreOneCase(t *testing.T) {
	leader, vms := NewTable(), []*Table{NewTable(), NewTable(), NewTable()}
	for i, vm := range vms {
		vm.RecordCrash(t0, crashing, first(ident.Server("s"+string(rune('1'+i)))))
	}
	seq := uint64(0)
	for _, vm := range vms {
		all := vm.Reports(t0, "L1")
		leader.AddReports(t0, all)
		vm.MarkReported("L1", all)
		assert.Equal(t, len(vm.Reports(t0, "L1")), 0)
		assert.Equal(t, len(vm.Reports(t0, "L2")), len(all), "a new leader receives all reports again")
	}
	for _, vm := range vms {
		vm.ApplyVerdicts(t0, "L1", leader.ChangesSince(t0, seq))
		assert.Equal(t, vm.QuarantineLeft(t0, crashing), quarantineTimes[0])
	}
	assert.Equal(t, len(leader.ChangesSince(t0, leader.Seq())), 0)
}

// Guards against losing a quarantine when all VMs restart.
func TestSavedQuarantineIsKnownToTheNextLeader(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	tab.RecordCrash(t0, other, first("s1"))
	next := NewTable()
	next.Merge(t0.Add(time.Minute), tab.Quarantine(t0.Add(time.Minute)))
	assert.Equal(t, next.QuarantineLeft(t0.Add(time.Minute), crashing), quarantineTimes[0]-time.Minute)
	assert.Equal(t, next.Len(), 2, "one case for its caller and one for any caller")
}

// Guards against unbounded memory when callers put many requests under suspicion. The cases
// with most crashes must be kept.
func TestTableIsBoundedAndKeepsCasesWithMostCrashes(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	for i := range 2 * maxCases {
		p := HeadOf("GET", "a", string(rune(i))).Fingerprint("c", BodyOf(nil))
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Millisecond), p, first("s1"))
	}
	assert.Equal(t, tab.Len(), maxCases)
	assert.Assert(t, tab.QuarantineLeft(t0.Add(time.Second), crashing) > 0)
}

// Guards against a VM whose quarantine differs from the leader's, for any order of crashes,
// reports and changes of leader.
func TestEveryVMKnowsProvenCrashes(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		leader, liveness := NewTable(), map[ident.Server]Liveness{}
		vms := []*Table{NewTable(), NewTable(), NewTable(), NewTable()}
		seqs, leaderCount := make([]uint64, len(vms)), 1
		leaderID, now := "L1", t0
		for range rapid.IntRange(3, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(r, "vm")
			s := ident.Server("s" + string(rune('a'+rapid.IntRange(0, 5).Draw(r, "server"))))
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0, 1:
				vms[i].RecordCrash(now, crashing, first(s))
				liveness[s] = Gone
			case 2:
				all := vms[i].Reports(now, leaderID)
				leader.AddReports(now, all)
				vms[i].MarkReported(leaderID, all)
				vms[i].ApplyVerdicts(now, leaderID, leader.ChangesSince(now, seqs[i]))
				seqs[i] = leader.Seq()
			case 3:
				leader.Reconcile(now, livenessFrom(liveness))
				vms[i].Reconcile(now, livenessFrom(liveness))
			case 4: // another VM becomes leader with its table, and an empty VM takes its place
				leaderCount++
				leaderID = "L" + strconv.Itoa(leaderCount)
				leader, vms[i], seqs = vms[i], NewTable(), make([]uint64, len(vms))
			}
		}
		for i, vm := range vms {
			all := vm.Reports(now, "last")
			leader.AddReports(now, all)
			vm.MarkReported("last", all)
			seqs[i] = 0
		}
		for _, vm := range vms {
			vm.ApplyVerdicts(now, "last", leader.ChangesSince(now, 0))
			assert.Equal(r, vm.QuarantineLeft(now, crashing) > 0, leader.Crashes(crashing) >= CrashThreshold && leader.QuarantineLeft(now, crashing) > 0)
		}
	})
}
