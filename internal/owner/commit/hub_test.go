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

// crowded makes a writer whose write came second, with vm-8 and vm-9 as hubs.
func crowded(t *testing.T) *desk {
	d := newDesk(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	d.edit("a", 0, "d")
	assert.Assert(t, d.write != nil && len(d.sent) == 0, "alone, a VM writes for itself")
	d.other(d.tab.WithMinEpoch("b", 1))
	d.answer(kinds.Conflict)
	return d
}

// forwarded takes the only message that was sent.
func (d *desk) forwarded(to ident.VM) ForwardMsg {
	d.t.Helper()
	assert.Equal(d.t, len(d.sent), 1)
	c := d.sent[0]
	d.sent = nil
	assert.Equal(d.t, c.To, to)
	return c.Msg.(ForwardMsg)
}

func (d *desk) reply(m ForwardMsg, from ident.VM, done bool, rev ident.Revision) {
	d.send(ForwardedMsg{From: from, Born: m.Born, ID: m.ID, Done: done, Rev: rev})
}

// A data centre is lost, and each of hundreds of VMs has one seat that is hit.
// Writing one after the other, the last would wait for seconds.
func TestAWriterThatComesSecondAsksTheHub(t *testing.T) {
	d := crowded(t)
	m := d.forwarded("vm-8")
	d.other(d.tab.WithEdit(m.Edit))
	d.reply(m, "vm-8", true, d.tab.Rev)
	assert.Equal(t, d.count, 0, "the seat must see the table that has its edit")
	d.reread()
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.None})
	d.edit("b", 2, "d")
	m = d.forwarded("vm-8")
	d.other(d.tab.WithEdit(m.Edit))
	d.reply(m, "vm-8", true, d.tab.Rev)
	d.send(TableMsg{Table: d.tab}) // a peer was faster than the read
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None})
	d.now = d.now.Add(2 * crowdTime)
	d.edit("c", 4, "d")
	assert.Equal(t, len(d.sent), 0, "the crowd is over")
}

// The network delivers an edit twice. The hub writes the first copy and refuses
// the second, and its refusal arrives first. A seat that believed it would grant
// the slice to its server again, while the next owner gets it too.
func TestTheHubsRefusalIsADoubt(t *testing.T) {
	d := crowded(t)
	m := d.forwarded("vm-8")
	d.reply(m, "vm-9", true, 1) // not whom it was sent to
	d.reply(ForwardMsg{Born: m.Born + 1, ID: m.ID}, "vm-8", true, 1)
	assert.Equal(t, d.count, 0)
	d.reply(m, "vm-8", false, 0)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.reply(m, "vm-8", true, d.tab.Rev)
	assert.Equal(t, d.count, 1, "a seat was answered twice")
}

// The hub was in the data centre that is lost. Edits sent to it may be anywhere;
// their seats must hear so soon, and the next hub takes its place.
func TestASilentHubIsReplaced(t *testing.T) {
	d := crowded(t)
	d.forwarded("vm-8")
	d.after(hubWait)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.edit("b", 2, "d")
	d.forwarded("vm-9")
	d.after(hubWait)
	d.edit("c", 4, "d")
	assert.Equal(t, len(d.sent), 0)
	d.reread()
	assert.Equal(t, d.write.Edits, 1, "without a hub the VM writes for itself")
	d.answer(kinds.None)
	assert.Equal(t, d.told["c"], kinds.None)
}

// The roster suspects the hub long before the leases of the lost servers run out.
// Nobody should wait for an answer that will not come.
func TestASuspectedHubIsNotAsked(t *testing.T) {
	d := newDesk(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-8", "vm-9"}})
	d.send(SuspectMsg{VM: "vm-8"})
	d.edit("a", 0, "d")
	d.other(d.tab.WithMinEpoch("b", 1))
	d.answer(kinds.Conflict)
	d.forwarded("vm-9")
	d.now = d.now.Add(hubSkip)
	d.w.crowd = d.now.Add(time.Second)
	d.edit("b", 2, "d")
	d.forwarded("vm-8")
}

// The hub knows the table, but the store fails when the sender wants to read it.
// The edit is written; its seat must not hear that it is not.
func TestAnEditThatTheHubWroteIsNeverDenied(t *testing.T) {
	d := crowded(t)
	m := d.forwarded("vm-8")
	d.reply(m, "vm-8", true, d.tab.Rev+1)
	d.send(ReadResultMsg{Cmd: *d.read, Kind: kinds.Unavailable})
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
}

// theHub makes a writer that is the hub, with a write of its own under way.
func theHub(t *testing.T) *desk {
	d := newDesk(t)
	d.send(CoordinatorsMsg{VMs: []ident.VM{"vm-1"}})
	d.edit("d", 6, "c")
	return d
}

func (d *desk) ask(from ident.VM, id uint64, srv ident.Server, x ident.Slice) {
	row, _ := d.tab.Row(srv)
	d.send(ForwardMsg{From: from, Born: 5, ID: id, Edit: table.Edit{
		Server: srv, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: "d"}},
	}})
}

// answers are those that the hub sent.
func (d *desk) answers() map[ident.VM]ForwardedMsg {
	all := map[ident.VM]ForwardedMsg{}
	for _, c := range d.sent {
		all[c.To] = c.Msg.(ForwardedMsg)
	}
	return all
}

// The hub takes the edits of other VMs as its own: it joins them, holds each to
// its rules, and answers each sender for itself.
func TestTheHubJoinsTheEditsOfAll(t *testing.T) {
	d := theHub(t)
	d.ask("vm-2", 1, "a", 0)
	d.ask("vm-3", 7, "b", 2)
	d.ask("vm-4", 1, "c", 4)
	d.other(d.tab.WithMinEpoch("c", 2)) // another VM took c's seat over
	d.answer(kinds.Conflict)
	assert.Assert(t, d.read != nil, "the hub tries again at once")
	d.reread()
	assert.Equal(t, d.write.Edits, 3)
	d.answer(kinds.None)
	assert.DeepEqual(t, d.answers(), map[ident.VM]ForwardedMsg{
		"vm-2": {Born: 5, ID: 1, Done: true, Rev: d.tab.Rev},
		"vm-3": {Born: 5, ID: 7, Done: true, Rev: d.tab.Rev},
		"vm-4": {Born: 5, ID: 1},
	})
	assert.Equal(t, d.tab.OwnerOf(4), ident.Server("c"))
}

// A hub that is asked by more than it can hold must not grow without bound, nor
// forget to answer.
func TestTheHubsQueueIsBounded(t *testing.T) {
	d := theHub(t)
	for i := range maxWait + 10 {
		d.send(ForwardMsg{From: "vm-2", Born: 5, ID: uint64(i), Edit: table.Edit{Server: ident.Server(rune(0x4e00 + i))}})
	}
	assert.Equal(t, len(d.w.wait), maxWait)
	assert.Equal(t, len(d.sent), 10)
}

// An edit whose moves would not fit into a message is written by the VM itself,
// and one whose authority has ended is not sent at all.
func TestWhatIsNotSentToTheHub(t *testing.T) {
	d := crowded(t)
	d.forwarded("vm-8")
	row, _ := d.tab.Row("b")
	big := table.Edit{Server: "b", Epoch: 1, Rev: row.Rev, Moves: make([]table.Move, maxForward+1)}
	d.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: d.now.Add(time.Hour)}, Edit: big}})
	d.editUntil("c", 4, "d", d.now)
	assert.Equal(t, len(d.sent), 0)
	assert.Equal(t, d.told["c"], kinds.Unavailable)
	assert.Equal(t, len(d.w.wait)+len(d.w.sent), 1, "the large edit must wait for a write here")
}
