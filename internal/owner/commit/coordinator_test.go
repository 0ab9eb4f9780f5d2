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
	wt := newWriterTest(t)
	wt.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	wt.edit("a", 0, "d")
	assert.Assert(t, wt.write != nil && len(wt.sent) == 0, "without contention a VM writes by itself")
	wt.otherWrite(wt.table.WithMinEpoch("b", 1))
	wt.finishWrite(kinds.Conflict)
	return wt
}

// takeForward returns the only message that was sent.
func (wt *writerTest) takeForward(to ident.VM) ForwardMsg {
	wt.t.Helper()
	assert.Equal(wt.t, len(wt.sent), 1)
	c := wt.sent[0]
	wt.sent = nil
	assert.Equal(wt.t, c.To, to)
	return c.Msg.(ForwardMsg)
}

func (wt *writerTest) reply(m ForwardMsg, from ident.VM, done bool, rev ident.Revision) {
	wt.send(ForwardedMsg{From: from, Incarnation: m.Incarnation, ID: m.ID, Done: done, Rev: rev})
}

// Hundreds of VMs have one affected lessor each when a data centre is lost. If
// they wrote one after the other, the last would wait for seconds.
func TestAConflictingWriterForwardsToTheCoordinator(t *testing.T) {
	wt := newContendedWriter(t)
	m := wt.takeForward("vm-8")
	wt.otherWrite(wt.table.WithEdit(m.Edit))
	wt.reply(m, "vm-8", true, wt.table.Rev)
	assert.Equal(t, wt.answerCount, 0, "the lessor must see the table that has its edit")
	wt.finishRead()
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None})
	wt.edit("b", 2, "d")
	m = wt.takeForward("vm-8")
	wt.otherWrite(wt.table.WithEdit(m.Edit))
	wt.reply(m, "vm-8", true, wt.table.Rev)
	wt.send(TableMsg{Table: wt.table}) // a peer was faster than the read
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None})
	wt.now = wt.now.Add(2 * contentionTime)
	wt.edit("c", 4, "d")
	assert.Equal(t, len(wt.sent), 0, "contention is over")
}

// The network delivers an edit twice. The coordinator writes the first copy and
// refuses the second, and its refusal arrives first. A lessor that believed it
// would grant the slice to its server again, while the next owner gets it too.
func TestTheCoordinatorsRefusalIsAnUnknownOutcome(t *testing.T) {
	wt := newContendedWriter(t)
	m := wt.takeForward("vm-8")
	wt.reply(m, "vm-9", true, 1) // not the VM that it was sent to
	wt.reply(ForwardMsg{Incarnation: m.Incarnation + 1, ID: m.ID}, "vm-8", true, 1)
	assert.Equal(t, wt.answerCount, 0)
	wt.reply(m, "vm-8", false, 0)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	wt.reply(m, "vm-8", true, wt.table.Rev)
	assert.Equal(t, wt.answerCount, 1, "a lessor was answered twice")
}

// The coordinator is lost with its data centre. Edits forwarded to it may or
// may not be written; their lessors must soon learn that the outcome is unknown,
// and the next coordinator takes its place.
func TestASilentCoordinatorIsReplaced(t *testing.T) {
	wt := newContendedWriter(t)
	wt.takeForward("vm-8")
	wt.advance(forwardTimeout)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	wt.edit("b", 2, "d")
	wt.takeForward("vm-9")
	wt.advance(forwardTimeout)
	wt.edit("c", 4, "d")
	assert.Equal(t, len(wt.sent), 0)
	wt.finishRead()
	assert.Equal(t, wt.write.Edits, 1, "without a coordinator the VM writes by itself")
	wt.finishWrite(kinds.None)
	assert.Equal(t, wt.outcomes["c"], kinds.None)
}

// The failure detector suspects the coordinator long before the leases of the
// lost servers expire. No edit should wait for an answer that will not come.
func TestASuspectedCoordinatorIsSkipped(t *testing.T) {
	wt := newWriterTest(t)
	wt.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	wt.send(SuspectMsg{VM: "vm-8"})
	wt.edit("a", 0, "d")
	wt.otherWrite(wt.table.WithMinEpoch("b", 1))
	wt.finishWrite(kinds.Conflict)
	wt.takeForward("vm-9")
	wt.now = wt.now.Add(coordinatorSkipTime)
	wt.w.contendedUntil = wt.now.Add(time.Second)
	wt.edit("b", 2, "d")
	wt.takeForward("vm-8")
}

// The coordinator has written the edit, but the store fails when the sender
// wants to read the table. The lessor must not get the answer that the edit
// was not written.
func TestAnEditThatTheCoordinatorWroteIsNeverReportedAsFailed(t *testing.T) {
	wt := newContendedWriter(t)
	m := wt.takeForward("vm-8")
	wt.reply(m, "vm-8", true, wt.table.Rev+1)
	wt.send(ReadResultMsg{Cmd: *wt.read, Kind: kinds.Unavailable})
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
}

// newCoordinator returns a writer that is the coordinator, with a write of its
// own in progress.
func newCoordinator(t *testing.T) *writerTest {
	wt := newWriterTest(t)
	wt.send(CoordinatorsMsg{VMs: []ident.VM{"vm-1"}})
	wt.edit("d", 6, "c")
	return wt
}

func (wt *writerTest) forwardFrom(from ident.VM, id uint64, srv ident.Server, x ident.Slice) {
	row, _ := wt.table.Row(srv)
	wt.send(ForwardMsg{From: from, Incarnation: 5, ID: id, Edit: table.Edit{
		Server: srv, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: "d"}},
	}})
}

// forwardReplies returns the answers that the coordinator sent, by VM.
func (wt *writerTest) forwardReplies() map[ident.VM]ForwardedMsg {
	all := map[ident.VM]ForwardedMsg{}
	for _, c := range wt.sent {
		all[c.To] = c.Msg.(ForwardedMsg)
	}
	return all
}

// The coordinator treats the edits of other VMs as its own: it batches them,
// checks each against its rules, and answers each sender separately.
func TestTheCoordinatorBatchesTheEditsOfAllVMs(t *testing.T) {
	wt := newCoordinator(t)
	wt.forwardFrom("vm-2", 1, "a", 0)
	wt.forwardFrom("vm-3", 7, "b", 2)
	wt.forwardFrom("vm-4", 1, "c", 4)
	wt.otherWrite(wt.table.WithMinEpoch("c", 2)) // another VM took over server c
	wt.finishWrite(kinds.Conflict)
	assert.Assert(t, wt.read != nil, "the coordinator retries at once")
	wt.finishRead()
	assert.Equal(t, wt.write.Edits, 3)
	wt.finishWrite(kinds.None)
	assert.DeepEqual(t, wt.forwardReplies(), map[ident.VM]ForwardedMsg{
		"vm-2": {Incarnation: 5, ID: 1, Done: true, Rev: wt.table.Rev},
		"vm-3": {Incarnation: 5, ID: 7, Done: true, Rev: wt.table.Rev},
		"vm-4": {Incarnation: 5, ID: 1},
	})
	assert.Equal(t, wt.table.OwnerOf(4), ident.Server("c"))
}

// A coordinator that is asked for more than it can hold must not grow without
// bound, nor omit an answer.
func TestTheCoordinatorsQueueIsBounded(t *testing.T) {
	wt := newCoordinator(t)
	for i := range maxWaiting + 10 {
		wt.send(ForwardMsg{From: "vm-2", Incarnation: 5, ID: uint64(i), Edit: table.Edit{Server: ident.Server(rune(0x4e00 + i))}})
	}
	assert.Equal(t, len(wt.w.waiting), maxWaiting)
	assert.Equal(t, len(wt.sent), 10)
}

// An edit whose moves would not fit into a message is written by the VM itself,
// and one whose authority has ended is not sent at all.
func TestWhatIsNotForwardedToTheCoordinator(t *testing.T) {
	wt := newContendedWriter(t)
	wt.takeForward("vm-8")
	row, _ := wt.table.Row("b")
	big := table.Edit{Server: "b", Epoch: 1, Rev: row.Rev, Moves: make([]table.Move, maxForwardMoves+1)}
	wt.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: wt.now.Add(time.Hour)}, Edit: big}})
	wt.editUntil("c", 4, "d", wt.now)
	assert.Equal(t, len(wt.sent), 0)
	assert.Equal(t, wt.outcomes["c"], kinds.Unavailable)
	assert.Equal(t, len(wt.w.waiting)+len(wt.w.writing), 1, "the large edit must wait for a write here")
}
