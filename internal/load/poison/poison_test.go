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
	t0      = time.Unix(1000, 0)
	crasher = HeadOf("GET", "a.example", "/look/1").Fingerprint("10.0.0.1", BodyOf(nil))
	other   = HeadOf("GET", "a.example", "/look/2").Fingerprint("10.0.0.1", BodyOf(nil))
)

func listed(all map[ident.Server]Liveness) func(ident.Server) Liveness {
	return func(s ident.Server) Liveness { return all[s] }
}

// Guards against a crashing request whose caller is known by another address at each VM.
func TestARequestIsKnownWhateverItsCallersAddress(t *testing.T) {
	tab := NewTable()
	from := func(caller string) Fingerprint {
		return HeadOf("GET", "a.example", "/look/1").Fingerprint(caller, BodyOf(nil))
	}
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, from("10.0.0."+strconv.Itoa(i)), s)
	}
	assert.Equal(t, tab.QuarantineLeft(t0, from("10.0.0.9")), holds[0])
	tab.Release(t0, from("10.0.0.8"))
	assert.Equal(t, tab.QuarantineLeft(t0, from("10.0.0.0")), time.Duration(0))
}

// Guards against a crashing request that goes free because others ask for the same path in peace.
func TestOneCallersRequestIsKnownAlthoughOthersAreAnswered(t *testing.T) {
	tab := NewTable()
	others := HeadOf("GET", "a.example", "/look/1").Fingerprint("10.0.0.2", BodyOf(nil))
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0.Add(time.Duration(2*i)*time.Second), crasher, s)
		tab.Clear(t0.Add(time.Duration(2*i+1)*time.Second), others)
	}
	now := t0.Add(6 * time.Second)
	assert.Assert(t, tab.QuarantineLeft(now, crasher) > 0)
	assert.Equal(t, tab.QuarantineLeft(now, others), time.Duration(0))
}

// Guards against requests that share a field's text but not the field.
func TestPrintsTellRequestsApart(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, h := range []Head{
		HeadOf("GET", "a", "/b"), HeadOf("GET", "a/", "b"), HeadOf("POST", "a", "/b"), HeadOf("GET", "a", "/b?c"),
	} {
		for _, b := range []Body{BodyOf(nil), BodyOf([]byte("x")), LengthOf(1), LengthOf(2)} {
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

func TestAPrintIsReadAsItIsWritten(t *testing.T) {
	text, err := crasher.MarshalText()
	assert.NilError(t, err)
	var got Fingerprint
	assert.NilError(t, got.UnmarshalText(text))
	assert.Equal(t, got, crasher)
	assert.ErrorContains(t, got.UnmarshalText([]byte("00")), "malformed")
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

// Guards against a query of death that reaches server after server.
func TestThreeCrashesQuarantineARequest(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s2", "s3"} {
		assert.Equal(t, tab.QuarantineLeft(t0, crasher), time.Duration(0), "crash %d", i)
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Second), crasher, s)
	}
	assert.Assert(t, tab.QuarantineLeft(t0.Add(4*time.Second), crasher) > 9*time.Minute)
	assert.Equal(t, tab.QuarantineLeft(t0, other), time.Duration(0))
	assert.Assert(t, tab.Suspected(crasher.Head()) && !tab.Suspected(other.Head()))
}

// Guards against quarantine for requests whose connections broke while their servers lived.
func TestServersThatLiveWithdrawTheirAccusations(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crasher, s)
	}
	life := listed(map[ident.Server]Liveness{"s1": Gone, "s2": Alive, "s3": Unknown})
	tab.Reconcile(t0.Add(time.Second), life)
	assert.Equal(t, tab.Crashes(crasher), 3)
	tab.Reconcile(t0.Add(settle), life)
	assert.Equal(t, tab.Crashes(crasher), 2)
	tab.Reconcile(t0.Add(settle+time.Second), listed(map[ident.Server]Liveness{"s1": Alive, "s3": Alive}))
	assert.Equal(t, tab.Crashes(crasher), 1, "a crash that was seen to be one is not withdrawn")
}

// Guards against quarantine for a harmless request that ran where others crashed servers.
func TestAnAnswerClearsARequest(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0, crasher, "s1")
	tab.RecordCrash(t0, crasher, "s2")
	tab.Clear(t0.Add(time.Second), crasher)
	tab.RecordCrash(t0.Add(2*time.Second), crasher, "s3")
	assert.Equal(t, tab.Crashes(crasher), 1)
	tab.AddReports(t0.Add(3*time.Second), []Report{{Print: crasher, Server: "s4", Age: 2500 * time.Millisecond}})
	assert.Equal(t, tab.Crashes(crasher), 1, "a crash before the answer counts no more")
}

// Guards against a request that is barred for good although its servers were mended.
func TestAQuarantineEndsAndOneMoreCrashBeginsALongerOne(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crasher, s)
	}
	later := t0.Add(holds[0])
	assert.Equal(t, tab.QuarantineLeft(later, crasher), time.Duration(0))
	tab.RecordCrash(later, crasher, "s4")
	assert.Equal(t, tab.QuarantineLeft(later, crasher), holds[1])
	tab.Reconcile(later.Add(holds[1]+memory), listed(nil))
	assert.Equal(t, tab.Len(), 0)
}

// Guards against a quarantine for harmless requests that ran where another one crashed servers three times.
func TestARequestThatOnlyRanBesideACrashingOneIsFreeAgain(t *testing.T) {
	accused := func() *Table {
		tab := NewTable()
		for _, s := range []ident.Server{"s1", "s2", "s3"} {
			tab.RecordCrash(t0, crasher, s)
			tab.RecordCrash(t0, other, s)
		}
		assert.Equal(t, tab.QuarantineLeft(t0, crasher), tieHold)
		assert.Equal(t, tab.QuarantineLeft(t0, other), tieHold)
		return tab
	}
	tab := accused()
	tab.Clear(t0.Add(tieHold), other)
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieHold), crasher), holds[0]-tieHold, "the answer of one tells on the other")

	tab = accused()
	tab.RecordCrash(t0.Add(tieHold), crasher, "s4")
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieHold), crasher), holds[1])
	assert.Equal(t, tab.QuarantineLeft(t0.Add(tieHold), other), time.Duration(0))

	for _, s := range []ident.Server{"s4", "s5"} {
		tab.RecordCrash(t0.Add(time.Minute), crasher, s)
		tab.RecordCrash(t0.Add(time.Minute), other, s)
	}
	assert.Equal(t, tab.QuarantineLeft(t0.Add(time.Minute), other), holds[2], "what never was answered is not tried for ever")
}

// Guards against three crashes seen by three VMs being three cases.
func TestCrashesSeenByThreeVMsAreOneCase(t *testing.T) {
	leader, vms := NewTable(), []*Table{NewTable(), NewTable(), NewTable()}
	for i, vm := range vms {
		vm.RecordCrash(t0, crasher, ident.Server("s"+string(rune('1'+i))))
	}
	told := uint64(0)
	for _, vm := range vms {
		all := vm.Reports(t0, "L1")
		leader.AddReports(t0, all)
		vm.MarkReported("L1", all)
		assert.Equal(t, len(vm.Reports(t0, "L1")), 0)
		assert.Equal(t, len(vm.Reports(t0, "L2")), len(all), "a new leader is told again")
	}
	for _, vm := range vms {
		vm.ApplyVerdicts(t0, "L1", leader.ChangesSince(t0, told))
		assert.Equal(t, vm.QuarantineLeft(t0, crasher), holds[0])
	}
	assert.Equal(t, len(leader.ChangesSince(t0, leader.Seq())), 0)
}

// Guards against a quarantine that all VMs forget as they restart.
func TestWhatWasKeptIsKnownToTheNextLeader(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crasher, s)
	}
	tab.RecordCrash(t0, other, "s1")
	next := NewTable()
	next.Merge(t0.Add(time.Minute), tab.Quarantine(t0.Add(time.Minute)))
	assert.Equal(t, next.QuarantineLeft(t0.Add(time.Minute), crasher), holds[0]-time.Minute)
	assert.Equal(t, next.Len(), 2, "as its caller's and as anybody's")
}

// Guards against callers that fill the table with requests of their own.
func TestTheTableIsBoundedAndKeepsTheGravestCases(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crasher, s)
	}
	for i := range 2 * mostCases {
		p := HeadOf("GET", "a", string(rune(i))).Fingerprint("c", BodyOf(nil))
		tab.RecordCrash(t0.Add(time.Duration(i)*time.Millisecond), p, "s1")
	}
	assert.Equal(t, tab.Len(), mostCases)
	assert.Assert(t, tab.QuarantineLeft(t0.Add(time.Second), crasher) > 0)
}

// Guards against a VM that does not know what the leader knows, whatever was seen in whatever order and whoever led.
func TestEveryVMKnowsProvenCrashes(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		leader, gone := NewTable(), map[ident.Server]Liveness{}
		vms := []*Table{NewTable(), NewTable(), NewTable(), NewTable()}
		seqs, lead := make([]uint64, len(vms)), 1
		life, now := "L1", t0
		for range rapid.IntRange(3, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(r, "vm")
			s := ident.Server("s" + string(rune('a'+rapid.IntRange(0, 5).Draw(r, "server"))))
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0, 1:
				vms[i].RecordCrash(now, crasher, s)
				gone[s] = Gone
			case 2:
				all := vms[i].Reports(now, life)
				leader.AddReports(now, all)
				vms[i].MarkReported(life, all)
				vms[i].ApplyVerdicts(now, life, leader.ChangesSince(now, seqs[i]))
				seqs[i] = leader.Seq()
			case 3:
				leader.Reconcile(now, listed(gone))
				vms[i].Reconcile(now, listed(gone))
			case 4: // another VM leads, with what it knows, and starts anew as a follower
				lead++
				life = "L" + strconv.Itoa(lead)
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
			assert.Equal(r, vm.QuarantineLeft(now, crasher) > 0, leader.Crashes(crasher) >= Enough && leader.QuarantineLeft(now, crasher) > 0)
		}
	})
}
