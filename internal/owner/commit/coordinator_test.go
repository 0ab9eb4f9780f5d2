package commit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// newContendedWriter returns a writer whose write conflicted, with vm-8 and
// vm-9 as coordinators.
func newContendedWriter(t *testing.T) *writerTest {
	d := newWriterTest(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	d.edit("a", 0, "d")
	assert.Assert(t, d.write != nil && len(d.sent) == 0, "without contention a VM writes by itself")
	d.otherWrite(d.table.WithMinEpoch("b", 1))
	d.finishWrite(kinds.Conflict)
	return d
}

// takeForward returns the only message that was sent.
func (d *writerTest) takeForward(to ident.VM) ForwardMsg {
	d.t.Helper()
	assert.Equal(d.t, len(d.sent), 1)
	c := d.sent[0]
	d.sent = nil
	assert.Equal(d.t, c.To, to)
	return c.Msg.(ForwardMsg)
}

func (d *writerTest) reply(m ForwardMsg, from ident.VM, done bool, rev ident.Revision) {
	d.send(ForwardedMsg{From: from, Incarnation: m.Incarnation, ID: m.ID, Done: done, Rev: rev})
}

// Hundreds of VMs have one affected lessor each when a data centre is lost. If
// they wrote one after the other, the last would wait for seconds.
func TestAConflictingWriterForwardsToTheCoordinator(t *testing.T) {
	d := newContendedWriter(t)
	m := d.takeForward("vm-8")
	d.otherWrite(d.table.WithEdit(m.Edit))
	d.reply(m, "vm-8", true, d.table.Rev)
	assert.Equal(t, d.answerCount, 0, "the lessor must see the table that has its edit")
	d.finishRead()
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None})
	d.edit("b", 2, "d")
	m = d.takeForward("vm-8")
	d.otherWrite(d.table.WithEdit(m.Edit))
	d.reply(m, "vm-8", true, d.table.Rev)
	d.send(TableMsg{Table: d.table}) // a peer was faster than the read
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None})
	d.now = d.now.Add(2 * contentionTime)
	d.edit("c", 4, "d")
	assert.Equal(t, len(d.sent), 0, "contention is over")
}

// The network delivers an edit twice. The coordinator writes the first copy and
// refuses the second, and its refusal arrives first. A lessor that believed it
// would grant the slice to its server again, while the next owner gets it too.
func TestTheCoordinatorsRefusalIsAnUnknownOutcome(t *testing.T) {
	d := newContendedWriter(t)
	m := d.takeForward("vm-8")
	d.reply(m, "vm-9", true, 1) // not the VM that it was sent to
	d.reply(ForwardMsg{Incarnation: m.Incarnation + 1, ID: m.ID}, "vm-8", true, 1)
	assert.Equal(t, d.answerCount, 0)
	d.reply(m, "vm-8", false, 0)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.reply(m, "vm-8", true, d.table.Rev)
	assert.Equal(t, d.answerCount, 1, "a lessor was answered twice")
}

// The coordinator is lost with its data centre. Edits forwarded to it may or
// may not be written; their lessors must hear so soon, and the next coordinator
// takes its place.
func TestASilentCoordinatorIsReplaced(t *testing.T) {
	d := newContendedWriter(t)
	d.takeForward("vm-8")
	d.advance(forwardTimeout)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.edit("b", 2, "d")
	d.takeForward("vm-9")
	d.advance(forwardTimeout)
	d.edit("c", 4, "d")
	assert.Equal(t, len(d.sent), 0)
	d.finishRead()
	assert.Equal(t, d.write.Edits, 1, "without a coordinator the VM writes by itself")
	d.finishWrite(kinds.None)
	assert.Equal(t, d.outcomes["c"], kinds.None)
}

// The roster suspects the coordinator long before the leases of the lost
// servers expire. No edit should wait for an answer that will not come.
func TestASuspectedCoordinatorIsSkipped(t *testing.T) {
	d := newWriterTest(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	d.send(SuspectMsg{VM: "vm-8"})
	d.edit("a", 0, "d")
	d.otherWrite(d.table.WithMinEpoch("b", 1))
	d.finishWrite(kinds.Conflict)
	d.takeForward("vm-9")
	d.now = d.now.Add(coordinatorSkipTime)
	d.w.contendedUntil = d.now.Add(time.Second)
	d.edit("b", 2, "d")
	d.takeForward("vm-8")
}

// The coordinator has written the edit, but the store fails when the sender
// wants to read the table. The lessor must not hear that the edit was not
// written.
func TestAnEditThatTheCoordinatorWroteIsNeverReportedAsFailed(t *testing.T) {
	d := newContendedWriter(t)
	m := d.takeForward("vm-8")
	d.reply(m, "vm-8", true, d.table.Rev+1)
	d.send(ReadResultMsg{Cmd: *d.read, Kind: kinds.Unavailable})
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
}

// newCoordinator returns a writer that is the coordinator, with a write of its
// own in progress.
func newCoordinator(t *testing.T) *writerTest {
	d := newWriterTest(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-1"}})
	d.edit("d", 6, "c")
	return d
}

func (d *writerTest) forwardFrom(from ident.VM, id uint64, srv ident.Server, x ident.Slice) {
	row, _ := d.table.Row(srv)
	d.send(ForwardMsg{From: from, Incarnation: 5, ID: id, Edit: table.Edit{
		Server: srv, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: "d"}},
	}})
}

// forwardReplies returns the answers that the coordinator sent, by VM.
func (d *writerTest) forwardReplies() map[ident.VM]ForwardedMsg {
	all := map[ident.VM]ForwardedMsg{}
	for _, c := range d.sent {
		all[c.To] = c.Msg.(ForwardedMsg)
	}
	return all
}

// The coordinator treats the edits of other VMs as its own: it batches them,
// checks each against its rules, and answers each sender separately.
func TestTheCoordinatorBatchesTheEditsOfAllVMs(t *testing.T) {
	d := newCoordinator(t)
	d.forwardFrom("vm-2", 1, "a", 0)
	d.forwardFrom("vm-3", 7, "b", 2)
	d.forwardFrom("vm-4", 1, "c", 4)
	d.otherWrite(d.table.WithMinEpoch("c", 2)) // another VM took over server c
	d.finishWrite(kinds.Conflict)
	assert.Assert(t, d.read != nil, "the coordinator retries at once")
	d.finishRead()
	assert.Equal(t, d.write.Edits, 3)
	d.finishWrite(kinds.None)
	assert.DeepEqual(t, d.forwardReplies(), map[ident.VM]ForwardedMsg{
		"vm-2": {Incarnation: 5, ID: 1, Done: true, Rev: d.table.Rev},
		"vm-3": {Incarnation: 5, ID: 7, Done: true, Rev: d.table.Rev},
		"vm-4": {Incarnation: 5, ID: 1},
	})
	assert.Equal(t, d.table.OwnerOf(4), ident.Server("c"))
}

// A coordinator that is asked for more than it can hold must not grow without
// bound, nor omit an answer.
func TestTheCoordinatorsQueueIsBounded(t *testing.T) {
	d := newCoordinator(t)
	for i := range maxWaiting + 10 {
		d.send(ForwardMsg{From: "vm-2", Incarnation: 5, ID: uint64(i), Edit: table.Edit{Server: ident.Server(rune(0x4e00 + i))}})
	}
	assert.Equal(t, len(d.w.waiting), maxWaiting)
	assert.Equal(t, len(d.sent), 10)
}

// An edit whose moves would not fit into a message is written by the VM itself,
// and one whose authority has ended is not sent at all.
func TestWhatIsNotForwardedToTheCoordinator(t *testing.T) {
	d := newContendedWriter(t)
	d.takeForward("vm-8")
	row, _ := d.table.Row("b")
	big := table.Edit{Server: "b", Epoch: 1, Rev: row.Rev, Moves: make([]table.Move, maxForwardMoves+1)}
	d.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: d.now.Add(time.Hour)}, Edit: big}})
	d.editUntil("c", 4, "d", d.now)
	assert.Equal(t, len(d.sent), 0)
	assert.Equal(t, d.outcomes["c"], kinds.Unavailable)
	assert.Equal(t, len(d.w.waiting)+len(d.w.writing), 1, "the large edit must wait for a write here")
}
