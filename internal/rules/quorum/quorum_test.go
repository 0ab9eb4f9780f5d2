package quorum

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// fleet is a number of VMs, the links between them and one object.
type fleet struct {
	now     time.Time
	order   []ident.VM
	models  map[ident.VM]*Model
	cut     map[ident.VM]bool // reaches neither the store nor the others
	record  Record
	version object.Version
	down    bool
	lose    func() bool // whether the answer to the next write is lost
	reads   int
	writes  int
	told    int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), models: map[ident.VM]*Model{}, cut: map[ident.VM]bool{}, lose: func() bool { return false }}
	for i := range n {
		f.order = append(f.order, ident.VM(fmt.Sprintf("vm-%d", i+1)))
	}
	for _, vm := range f.order {
		f.models[vm] = New(vm)
		f.send(vm, PeersMsg{Order: f.order})
	}
	return f
}

// send gives a VM a message and carries out what follows from it.
func (f *fleet) send(vm ident.VM, msg loop.Msg) {
	m := f.models[vm]
	if m == nil {
		return
	}
	_, cmds := m.Update(f.now, msg)
	for _, cmd := range cmds {
		f.run(vm, cmd)
	}
}

func (f *fleet) run(vm ident.VM, cmd loop.Cmd) {
	switch cmd := cmd.(type) {
	case ConfirmCmd:
		f.told++
		if !f.cut[vm] && !f.cut[cmd.To] {
			f.send(cmd.To, ConfirmMsg{From: vm, Rev: cmd.Rev})
		}
	case AcceptedCmd:
		f.told++
		if !f.cut[vm] && !f.cut[cmd.To] {
			f.send(cmd.To, AcceptedMsg{Rev: cmd.Rev})
		}
	case ReadCmd:
		f.reads++
		f.send(vm, f.read(vm))
	case WriteCmd:
		f.writes++
		f.send(vm, f.write(vm, cmd))
	}
}

func (f *fleet) read(vm ident.VM) RecordMsg {
	switch {
	case f.down || f.cut[vm]:
		return RecordMsg{Kind: kinds.Unavailable}
	case f.version == 0:
		return RecordMsg{Kind: kinds.NotFound}
	}
	return RecordMsg{Record: f.record, Version: f.version}
}

func (f *fleet) write(vm ident.VM, cmd WriteCmd) WroteMsg {
	switch {
	case f.down || f.cut[vm]:
		return WroteMsg{Record: cmd.Record, Kind: kinds.Unavailable}
	case cmd.Old != f.version:
		return WroteMsg{Record: cmd.Record, Kind: kinds.Conflict}
	}
	f.record, f.version = cmd.Record, f.version+1
	if f.lose() {
		return WroteMsg{Record: cmd.Record, Kind: kinds.Ambiguous}
	}
	return WroteMsg{Record: cmd.Record}
}

// pass lets time go on for all.
func (f *fleet) pass(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		f.now = f.now.Add(step)
		for _, vm := range f.order {
			f.send(vm, TickMsg{})
		}
	}
}

// holders counts the live VMs that hold a revision or a newer one.
func (f *fleet) holders(rev ident.Revision) int {
	n := 0
	for _, vm := range f.order {
		if f.models[vm].rev >= rev {
			n++
		}
	}
	return n
}

// An operator edits the rules while six of ten entry VMs reach neither the store
// nor the other four; the six hear each other and go on under the old rules. Told
// "accepted", the operator would take a route for closed that still serves. So
// the edit is not recorded as accepted before one of the six holds it.
func TestAnEditThatMostVMsMissIsNotAccepted(t *testing.T) {
	f := newFleet(10)
	for _, vm := range f.order {
		f.send(vm, AppliedMsg{Rev: 1})
	}
	assert.Equal(t, f.record.Rev, ident.Revision(1))
	for _, vm := range f.order[4:] {
		f.cut[vm] = true
	}
	for _, vm := range f.order[:4] {
		f.send(vm, AppliedMsg{Rev: 2})
	}
	f.send(f.order[4], AppliedMsg{Rev: 2})
	f.pass(time.Minute)
	assert.Equal(t, f.record.Rev, ident.Revision(1), "accepted by half")

	clear(f.cut)
	for _, vm := range f.order[4:6] {
		f.send(vm, AppliedMsg{Rev: 2})
	}
	f.pass(Slow)
	assert.Equal(t, f.record, Record{FormatVersion: FormatVersion, Rev: 2, Confirmed: 6, Live: 10, At: f.record.At})
}

// The VM that counts is lost after all have told it, before it wrote anything.
// The operator's command would wait in vain for an edit that is in force
// everywhere; the next VM in order is told a little later and records it.
func TestTheNextCountsWhenTheCountingVMIsLost(t *testing.T) {
	f := newFleet(5)
	f.models[f.order[0]] = nil
	for _, vm := range f.order[1:] {
		f.send(vm, AppliedMsg{Rev: 7})
	}
	assert.Equal(t, f.record.Rev, ident.Revision(0))
	f.pass(Again)
	assert.Equal(t, f.record.Rev, ident.Revision(7))
	assert.Assert(t, 2*f.record.Confirmed > f.record.Live)
}

// The store is down as the last VM confirms, and comes back a minute later. The
// edit is in force but nobody would ever learn that it is accepted, if the count
// were not tried again.
func TestACountIsRecordedAfterAnOutage(t *testing.T) {
	f := newFleet(3)
	f.down = true
	for _, vm := range f.order {
		f.send(vm, AppliedMsg{Rev: 1})
	}
	f.pass(time.Minute)
	f.down = false
	f.pass(2 * pause)
	assert.Equal(t, f.record.Rev, ident.Revision(1))
}

// An edit costs each VM one message and an answer, and the fleet one read and one
// write, however many VMs there are. With a write from each VM, one edit would
// use up the store for a second.
func TestWhatAnEditCosts(t *testing.T) {
	for _, n := range []int{3, 10, 130, 520} {
		f := newFleet(n)
		for _, vm := range f.order {
			f.send(vm, AppliedMsg{Rev: 1})
		}
		f.pass(time.Minute)
		t.Logf("%d VMs: %d messages, %d reads, %d writes", n, f.told, f.reads, f.writes)
		assert.Equal(t, f.writes, 1)
		assert.Equal(t, f.reads, 1)
		assert.Equal(t, f.told, 2*(n-1))
	}
}

// Whatever is cut, lost, down or answered too late, a recorded revision was held
// by more than half of the VMs of the list by which it was counted, records only
// rise, and once the faults end what most hold is recorded.
func TestWhatIsRecordedIsHeldByMost(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "vms"))
		f.lose = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		last := Record{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := rapid.SampledFrom(f.order).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				f.send(vm, AppliedMsg{Rev: f.models[vm].rev + ident.Revision(rapid.IntRange(1, 2).Draw(t, "ahead"))})
			case 3:
				f.cut[vm] = !f.cut[vm]
			case 4:
				f.down = !f.down
			default:
				f.pass(time.Duration(rapid.IntRange(1, 12).Draw(t, "quarters")) * 250 * time.Millisecond)
			}
			if f.record.Rev > 0 {
				assert.Assert(t, 2*f.holders(f.record.Rev) > len(f.order), "recorded %d", f.record.Rev)
			}
			assert.Assert(t, f.record.Rev >= last.Rev, "the record went back")
			last = f.record
		}
		clear(f.cut)
		f.down = false
		f.lose = func() bool { return false }
		top := ident.Revision(0)
		for _, vm := range f.order {
			top = max(top, f.models[vm].rev)
		}
		for _, vm := range f.order {
			f.send(vm, AppliedMsg{Rev: top + 1})
		}
		f.pass(Counters * Slow)
		assert.Equal(t, f.record.Rev, top+1)
		for _, vm := range f.order {
			assert.Equal(t, f.models[vm].recorded, top+1, "%s would go on telling", vm)
		}
	})
}

// The count agrees with counting the holders of each revision one by one.
func TestCountAgreesWithTheNaiveCount(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := New("vm-1")
		m.rev = ident.Revision(rapid.IntRange(0, 5).Draw(t, "own"))
		held := []ident.Revision{m.rev}
		m.order = []ident.VM{"vm-1"}
		for i := range rapid.IntRange(0, 8).Draw(t, "others") {
			vm := ident.VM(fmt.Sprintf("vm-%d", i+2))
			rev := ident.Revision(rapid.IntRange(0, 5).Draw(t, "rev"))
			m.order, m.by[vm], held = append(m.order, vm), rev, append(held, rev)
		}
		want := ident.Revision(0)
		for rev := ident.Revision(1); rev <= 5; rev++ {
			n := 0
			for _, h := range held {
				if h >= rev {
					n++
				}
			}
			if 2*n > len(held) {
				want = rev
			}
		}
		assert.Equal(t, m.count().Rev, want)
	})
}

func TestRecordsThatMakeNoSenseAreRefused(t *testing.T) {
	for _, bad := range []Record{
		{}, {FormatVersion: FormatVersion, Rev: 1, Confirmed: 2, Live: 4}, {FormatVersion: FormatVersion, Confirmed: 3, Live: 4}, {Rev: 1, Confirmed: 3, Live: 4},
	} {
		raw, err := bad.Encode()
		assert.NilError(t, err)
		_, err = Decode(raw)
		assert.Equal(t, kinds.Of(err), kinds.Malformed, "%+v", bad)
	}
	raw, err := Record{FormatVersion: FormatVersion + 1, Rev: 1, Confirmed: 3, Live: 4}.Encode()
	assert.NilError(t, err)
	_, err = Decode(raw)
	assert.Equal(t, kinds.Of(err), kinds.NewerVersion)
}

func FuzzRecord(f *testing.F) {
	raw, err := Record{FormatVersion: FormatVersion, Rev: 3, Confirmed: 6, Live: 10, At: time.Unix(1000, 0)}.Encode()
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0xa1, 0x63, 'r', 'e', 'v', 0x20})
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b); err == nil {
			assert.Assert(t, 2*r.Confirmed > r.Live && r.Rev > 0)
		}
	})
}
