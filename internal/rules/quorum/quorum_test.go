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

// fleet simulates several VMs, the network between them and the object of the record.
type fleet struct {
	now        time.Time
	order      []ident.VM
	models     map[ident.VM]*Model
	isolated   map[ident.VM]bool // VMs that reach neither the store nor other VMs
	record     Record
	version    object.Version
	storeDown  bool
	loseAnswer func() bool // reports whether the answer to the next write is lost
	reads      int
	writes     int
	messages   int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), models: map[ident.VM]*Model{}, isolated: map[ident.VM]bool{}, loseAnswer: func() bool { return false }}
	for i := range n {
		f.order = append(f.order, ident.VM(fmt.Sprintf("vm-%d", i+1)))
	}
	for _, vm := range f.order {
		f.models[vm] = New(vm)
		f.send(vm, PeersMsg{Order: f.order})
	}
	return f
}

// send passes a message to the model of a VM and executes the resulting commands.
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
		f.messages++
		if !f.isolated[vm] && !f.isolated[cmd.To] {
			f.send(cmd.To, ConfirmMsg{From: vm, Rev: cmd.Rev})
		}
	case AcceptedCmd:
		f.messages++
		if !f.isolated[vm] && !f.isolated[cmd.To] {
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
	case f.storeDown || f.isolated[vm]:
		return RecordMsg{Kind: kinds.Unavailable}
	case f.version == 0:
		return RecordMsg{Kind: kinds.NotFound}
	}
	return RecordMsg{Record: f.record, Version: f.version}
}

func (f *fleet) write(vm ident.VM, cmd WriteCmd) WroteMsg {
	switch {
	case f.storeDown || f.isolated[vm]:
		return WroteMsg{Record: cmd.Record, Kind: kinds.Unavailable}
	case cmd.Old != f.version:
		return WroteMsg{Record: cmd.Record, Kind: kinds.Conflict}
	}
	f.record, f.version = cmd.Record, f.version+1
	if f.loseAnswer() {
		return WroteMsg{Record: cmd.Record, Kind: kinds.Ambiguous}
	}
	return WroteMsg{Record: cmd.Record}
}

// advance moves time forward for all VMs.
func (f *fleet) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		f.now = f.now.Add(step)
		for _, vm := range f.order {
			f.send(vm, TickMsg{})
		}
	}
}

// holders returns the number of VMs that hold a revision or a newer one.
func (f *fleet) holders(rev ident.Revision) int {
	n := 0
	for _, vm := range f.order {
		if f.models[vm].rev >= rev {
			n++
		}
	}
	return n
}

// Six of ten entry VMs reach each other, but neither the store nor the other four, and keep
// the old rules. An edit must not be recorded as accepted before more than half of the VMs
// hold it, or a route that the operator was told is closed would still serve.
func TestAnEditIsNotAcceptedWithoutAMajority(t *testing.T) {
	f := newFleet(10)
	for _, vm := range f.order {
		f.send(vm, AppliedMsg{Rev: 1})
	}
	assert.Equal(t, f.record.Rev, ident.Revision(1))
	for _, vm := range f.order[4:] {
		f.isolated[vm] = true
	}
	for _, vm := range f.order[:4] {
		f.send(vm, AppliedMsg{Rev: 2})
	}
	f.send(f.order[4], AppliedMsg{Rev: 2})
	f.advance(time.Minute)
	assert.Equal(t, f.record.Rev, ident.Revision(1), "accepted by half")

	clear(f.isolated)
	for _, vm := range f.order[4:6] {
		f.send(vm, AppliedMsg{Rev: 2})
	}
	f.advance(MaxConfirmInterval)
	assert.Equal(t, f.record, Record{FormatVersion: FormatVersion, Rev: 2, Confirmed: 6, Live: 10, At: f.record.At})
}

// The counting VM is lost after all VMs confirmed to it, before it recorded the acceptance.
// The next VM in order must get the confirmations a little later and record it, or the
// operator's command would wait for an edit that is in force everywhere.
func TestTheNextVMCountsWhenTheCountingVMIsLost(t *testing.T) {
	f := newFleet(5)
	f.models[f.order[0]] = nil
	for _, vm := range f.order[1:] {
		f.send(vm, AppliedMsg{Rev: 7})
	}
	assert.Equal(t, f.record.Rev, ident.Revision(0))
	f.advance(ConfirmInterval)
	assert.Equal(t, f.record.Rev, ident.Revision(7))
	assert.Assert(t, 2*f.record.Confirmed > f.record.Live)
}

// The store is down when the last VM confirms, and is back a minute later. The acceptance
// must then be recorded, or it would never become known.
func TestAcceptanceIsRecordedAfterAnOutage(t *testing.T) {
	f := newFleet(3)
	f.storeDown = true
	for _, vm := range f.order {
		f.send(vm, AppliedMsg{Rev: 1})
	}
	f.advance(time.Minute)
	f.storeDown = false
	f.advance(2 * retryDelay)
	assert.Equal(t, f.record.Rev, ident.Revision(1))
}

// An edit must cost each VM one message and one answer, and one read and one write in
// total, for any number of VMs. With a write from each VM, one edit would use up the
// store for a second.
func TestMessagesAndStoreCallsOfAnEdit(t *testing.T) {
	for _, n := range []int{3, 10, 130, 520} {
		f := newFleet(n)
		for _, vm := range f.order {
			f.send(vm, AppliedMsg{Rev: 1})
		}
		f.advance(time.Minute)
		t.Logf("%d VMs: %d messages, %d reads, %d writes", n, f.messages, f.reads, f.writes)
		assert.Equal(t, f.writes, 1)
		assert.Equal(t, f.reads, 1)
		assert.Equal(t, f.messages, 2*(n-1))
	}
}

// Under any partitions, lost answers and outages, more than half of the listed VMs must
// hold a recorded revision, and recorded revisions must never decrease. Once the faults
// end, the revision that most VMs hold must be recorded.
func TestRecordedRevisionsAreHeldByAMajority(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "vms"))
		f.loseAnswer = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		last := Record{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := rapid.SampledFrom(f.order).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				f.send(vm, AppliedMsg{Rev: f.models[vm].rev + ident.Revision(rapid.IntRange(1, 2).Draw(t, "ahead"))})
			case 3:
				f.isolated[vm] = !f.isolated[vm]
			case 4:
				f.storeDown = !f.storeDown
			default:
				f.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "quarters")) * 250 * time.Millisecond)
			}
			if f.record.Rev > 0 {
				assert.Assert(t, 2*f.holders(f.record.Rev) > len(f.order), "recorded %d", f.record.Rev)
			}
			assert.Assert(t, f.record.Rev >= last.Rev, "the record went back")
			last = f.record
		}
		clear(f.isolated)
		f.storeDown = false
		f.loseAnswer = func() bool { return false }
		top := ident.Revision(0)
		for _, vm := range f.order {
			top = max(top, f.models[vm].rev)
		}
		for _, vm := range f.order {
			f.send(vm, AppliedMsg{Rev: top + 1})
		}
		f.advance(MaxCounters * MaxConfirmInterval)
		assert.Equal(t, f.record.Rev, top+1)
		for _, vm := range f.order {
			assert.Equal(t, f.models[vm].recorded, top+1, "%s would go on confirming", vm)
		}
	})
}

// The count must equal that of counting the holders of each revision one by one.
func TestCountAgreesWithTheNaiveCount(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := New("vm-1")
		m.rev = ident.Revision(rapid.IntRange(0, 5).Draw(t, "own"))
		held := []ident.Revision{m.rev}
		m.order = []ident.VM{"vm-1"}
		for i := range rapid.IntRange(0, 8).Draw(t, "others") {
			vm := ident.VM(fmt.Sprintf("vm-%d", i+2))
			rev := ident.Revision(rapid.IntRange(0, 5).Draw(t, "rev"))
			m.order, m.heldBy[vm], held = append(m.order, vm), rev, append(held, rev)
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

func TestInvalidRecordsAreRefused(t *testing.T) {
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
