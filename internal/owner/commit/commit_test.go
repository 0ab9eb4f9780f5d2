package commit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const storeTime = 100 * time.Millisecond

// writerTest is a writer whose commands the test answers.
type writerTest struct {
	t           *testing.T
	w           Writer
	now         time.Time
	write       *WriteCmd
	read        *ReadCmd
	outcomes    map[ident.Server]kinds.Kind
	answerCount int // number of answers
	wakeAt      time.Time
	sent        []SendCmd   // to other VMs
	table       table.Table // in the store
	tableVer    object.Version
}

// newWriterTest returns a writer that has seen the store's table: servers a to
// d with two slices each, with minimum epoch 1.
func newWriterTest(t *testing.T) *writerTest {
	tab, err := table.New("lookup", 8, "a", "b", "c", "d")
	assert.NilError(t, err)
	for x := range ident.Slice(8) {
		tab, err = tab.WithAssigned(table.Move{Slice: x, To: ident.Server(rune('a' + x/2))})
		assert.NilError(t, err)
	}
	for _, s := range []ident.Server{"a", "b", "c", "d"} {
		tab, err = tab.WithMinEpoch(s, 1)
		assert.NilError(t, err)
	}
	d := &writerTest{t: t, now: time.Unix(1000, 0), outcomes: map[ident.Server]kinds.Kind{}, table: tab, tableVer: 7}
	d.w = New(Config{Self: "vm-1", Service: "lookup", StoreTimeout: storeTime})
	d.send(TableMsg{Table: tab, Version: d.tableVer})
	return d
}

func (d *writerTest) send(msg loop.Msg) {
	next, cmds := d.w.Update(d.now, msg)
	d.w = next.(Writer)
	for _, c := range cmds {
		switch c := c.(type) {
		case WriteCmd:
			d.write = &c
		case ReadCmd:
			d.read = &c
		case AnswerCmd:
			d.outcomes[c.Server] = c.Msg.Kind
			d.answerCount++
		case SendCmd:
			d.sent = append(d.sent, c)
		case loop.AfterCmd:
			d.wakeAt = d.now.Add(c.D)
		}
	}
}

func (d *writerTest) advance(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.send(tickMsg{At: d.w.timerAt})
}

// takeWrite returns the write in progress.
func (d *writerTest) takeWrite() WriteCmd {
	d.t.Helper()
	assert.Assert(d.t, d.write != nil, "no write was sent")
	c := *d.write
	d.write = nil
	return c
}

// finishWrite carries out the write in progress.
func (d *writerTest) finishWrite(k kinds.Kind) {
	d.t.Helper()
	c := d.takeWrite()
	if k == kinds.None {
		assert.Equal(d.t, c.Old, d.tableVer)
		d.table, d.tableVer = c.Table, d.tableVer+1
	}
	d.send(WriteResultMsg{Cmd: c, Version: d.tableVer, Kind: k})
}

// otherWrite makes another VM write the table first.
func (d *writerTest) otherWrite(tab table.Table, err error) {
	assert.NilError(d.t, err)
	d.table, d.tableVer = tab, d.tableVer+1
}

// finishRead answers the read after a conflict.
func (d *writerTest) finishRead() {
	d.t.Helper()
	if d.now.Before(d.w.notBefore) {
		d.advance(d.w.notBefore.Sub(d.now))
	}
	assert.Assert(d.t, d.read != nil, "the table was not read again")
	c := *d.read
	d.read = nil
	d.send(ReadResultMsg{Cmd: c, Table: d.table, Version: d.tableVer})
}

// edit requests a move of a slice, by the lessor of its server and based on the
// present table.
func (d *writerTest) edit(from ident.Server, x ident.Slice, to ident.Server) {
	d.editUntil(from, x, to, d.now.Add(time.Hour))
}

func (d *writerTest) editUntil(from ident.Server, x ident.Slice, to ident.Server, until time.Time) {
	row, _ := d.table.Row(from)
	e := table.Edit{Server: from, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: to}}}
	next, err := d.table.WithEdit(e)
	assert.NilError(d.t, err)
	d.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: until}, Table: next, Old: d.tableVer, Edit: e}})
}

func (d *writerTest) assertOutcomes(want map[ident.Server]kinds.Kind) {
	d.t.Helper()
	assert.DeepEqual(d.t, d.outcomes, want)
}

// Hundreds of lessors change the table at once when a data centre is lost. If
// each edit had a write of its own, the last would wait for all others.
func TestEditsDuringAWriteShareTheNextOne(t *testing.T) {
	d := newWriterTest(t)
	d.edit("a", 0, "d")
	first := d.write
	assert.Assert(t, first != nil, "an edit must be sent at once if no write is in progress")
	d.edit("b", 2, "d")
	d.edit("c", 4, "d")
	assert.Assert(t, d.write == first, "two writes in progress at a time")
	d.finishWrite(kinds.None)
	assert.Equal(t, d.write.Edits, 2)
	d.finishWrite(kinds.None)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None, "c": kinds.None})
	for _, x := range []ident.Slice{0, 2, 4} {
		assert.Equal(t, d.table.OwnerOf(x), ident.Server("d"))
	}
	assert.Assert(t, d.write == nil)
}

// During a write another VM takes one server over and raises its minimum epoch.
// That server's edit must not be applied to the new table, where the successor
// has already granted the slice; the other edits must not be affected.
func TestAnEditIsCheckedAgainOnANewerTable(t *testing.T) {
	d := newWriterTest(t)
	d.edit("d", 6, "c")
	d.edit("a", 0, "d")
	d.edit("b", 2, "d")
	d.otherWrite(d.table.WithMinEpoch("a", 2))
	d.finishWrite(kinds.Conflict)
	d.finishRead()
	assert.Equal(t, d.write.Edits, 2)
	d.finishWrite(kinds.None)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "b": kinds.None, "d": kinds.None})
	assert.Equal(t, d.table.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, d.table.OwnerOf(2), ident.Server("d"))
}

// While an edit waits, its slice moves to another server and comes back,
// granted anew under the same epoch. The lessor has made sure that the server
// gave up its earlier set, not the present one.
func TestAnEditOfAnEarlierSetIsRefused(t *testing.T) {
	d := newWriterTest(t)
	d.edit("d", 6, "c") // keeps the writer busy
	d.edit("a", 0, "b")
	d.otherWrite(d.table.WithMoves("a", 1, table.Move{Slice: 0, To: "b"}))
	d.otherWrite(d.table.WithMoves("b", 1, table.Move{Slice: 0, To: "a"}))
	d.finishWrite(kinds.Conflict)
	d.finishRead()
	d.finishWrite(kinds.None)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "d": kinds.None})
	assert.Equal(t, d.table.OwnerOf(0), ident.Server("a"))
}

// The answer to a write is lost. Each lessor must hear that its edit may have
// taken effect; one that heard "no" would grant the key to its server again. A
// retry here would hide the unknown outcome from the lessor.
func TestAnUnknownOutcomeIsReportedToEveryLessor(t *testing.T) {
	for _, k := range []kinds.Kind{kinds.Ambiguous, kinds.Unavailable} {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			d := newWriterTest(t)
			d.edit("a", 0, "d")
			d.edit("b", 2, "d")
			d.edit("c", 4, "d")
			d.finishWrite(kinds.None)
			d.finishWrite(k)
			d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": k, "c": k})
			d.advance(time.Second)
			assert.Assert(t, d.write == nil, "the writer retried an edit that it had returned")
			d.edit("b", 2, "d")
			assert.Equal(t, d.read != nil, k == kinds.Ambiguous, "after an unknown outcome the table must be read first")
		})
	}
}

// The store never answers. The writer must not block for good, and the lessors
// must hear that the outcome is unknown.
func TestACallWithoutAnAnswerHasAnUnknownOutcome(t *testing.T) {
	d := newWriterTest(t)
	d.edit("a", 0, "d")
	late := d.takeWrite()
	d.advance(2 * storeTime)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.send(WriteResultMsg{Cmd: late, Version: 8})
	assert.Equal(t, d.answerCount, 1, "a lessor was answered twice")
	d.edit("b", 2, "d")
	assert.Assert(t, d.read != nil)
	d.advance(2 * storeTime)
	assert.Equal(t, d.outcomes["b"], kinds.Unavailable, "nothing was sent")
}

// The VM is paused between batching edits and sending them, for longer than one
// of the authorities lasts. That edit must not be sent, and the others must not
// fail with it.
func TestAnEditWhoseAuthorityEndedIsLeftOut(t *testing.T) {
	d := newWriterTest(t)
	d.edit("c", 4, "d")
	d.editUntil("a", 0, "d", d.now.Add(50*time.Millisecond))
	d.edit("b", 2, "d")
	d.finishWrite(kinds.None)
	c := d.takeWrite()
	assert.Equal(t, c.Edits, 2)
	assert.Equal(t, c.Until, d.now.Add(50*time.Millisecond), "the guard must be the earliest of all")
	d.now = d.now.Add(60 * time.Millisecond)
	d.send(WriteResultMsg{Cmd: c, Kind: kinds.Unavailable, Expired: true})
	assert.Equal(t, d.outcomes["a"], kinds.Unavailable)
	assert.Equal(t, d.write.Edits, 1)
	d.finishWrite(kinds.None)
	assert.Equal(t, d.outcomes["b"], kinds.None)
	assert.Equal(t, d.table.OwnerOf(0), ident.Server("a"))
}

// A write takes as long as a call may take. The edits that waited behind it are
// returned, so that their lessors read the table before they go on.
func TestAnEditThatWaitedTooLongIsGivenBack(t *testing.T) {
	d := newWriterTest(t)
	d.edit("a", 0, "d")
	d.edit("b", 2, "d")
	d.now = d.now.Add(storeTime + time.Millisecond)
	d.finishWrite(kinds.Ambiguous)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous, "b": kinds.Conflict})
	assert.Assert(t, d.write == nil && d.read == nil)
}

// A lessor gives up a write and sends another one. It would take an answer to
// the first for one to the second, and treat an outcome as known that is not.
func TestAnEditReplacesTheOneBeforeIt(t *testing.T) {
	d := newWriterTest(t)
	d.edit("c", 4, "d")
	d.edit("a", 0, "d")
	d.edit("a", 1, "b")
	d.finishWrite(kinds.None)
	d.finishWrite(kinds.None)
	assert.Equal(t, d.answerCount, 2)
	assert.Equal(t, d.table.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, d.table.OwnerOf(1), ident.Server("b"))
}

// A peer sends a newer table without its version. A write based on the older
// one would only conflict.
func TestATableFromAPeerIsReadBeforeTheNextWrite(t *testing.T) {
	d := newWriterTest(t)
	d.otherWrite(d.table.WithMoves("c", 1, table.Move{Slice: 4, To: "d"}))
	d.send(TableMsg{Table: d.table})
	d.edit("a", 0, "d")
	assert.Assert(t, d.write == nil)
	d.finishRead()
	d.finishWrite(kinds.None)
	d.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None})
}

// Writers of many VMs conflict again and again unless their delays grow and
// differ from VM to VM.
func TestConflictingWritersWaitDifferentTimes(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 50 {
		d := newWriterTest(t)
		d.w.cfg.Self = ident.VM(fmt.Sprint("vm-", i))
		d.edit("a", 0, "d")
		for try := range 12 {
			d.w.conflicts = try
			at := &turn{Writer: d.w, now: d.now}
			at.delayAfterConflict()
			wait := at.notBefore.Sub(d.now)
			assert.Assert(t, wait < min(conflictDelayMin<<try, conflictDelayMax), "try %d waits %v", try, wait)
			seen[wait] = true
		}
	}
	assert.Assert(t, len(seen) > 400, "only %d different waits", len(seen))
}

// A timer can fire a little early by the writer's clock. If it were not set
// again, edits would wait for the next message, which may be minutes away.
func TestATimerThatFiresEarlyIsSetAgain(t *testing.T) {
	d := newWriterTest(t)
	d.edit("a", 0, "d")
	d.otherWrite(d.table.WithMinEpoch("b", 2))
	d.finishWrite(kinds.Conflict)
	due := d.wakeAt
	if !due.After(d.now) {
		t.Fatalf("no delay after a conflict")
	}
	d.now, d.wakeAt = due.Add(-time.Microsecond), time.Time{}
	d.send(tickMsg{At: due})
	assert.Equal(t, d.wakeAt, due)
	d.now = due
	d.send(tickMsg{At: due})
	assert.Assert(t, d.read != nil)
}
