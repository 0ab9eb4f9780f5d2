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

// writerTest runs a writer and answers its commands as the test says.
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
	wt := &writerTest{t: t, now: time.Unix(1000, 0), outcomes: map[ident.Server]kinds.Kind{}, table: tab, tableVer: 7}
	wt.w = New(Config{Self: "vm-1", Service: "lookup", StoreTimeout: storeTime})
	wt.send(TableMsg{Table: tab, Version: wt.tableVer})
	return wt
}

func (wt *writerTest) send(msg loop.Msg) {
	next, cmds := wt.w.Update(wt.now, msg)
	wt.w = next.(Writer)
	for _, c := range cmds {
		switch c := c.(type) {
		case WriteCmd:
			wt.write = &c
		case ReadCmd:
			wt.read = &c
		case AnswerCmd:
			wt.outcomes[c.Server] = c.Msg.Kind
			wt.answerCount++
		case SendCmd:
			wt.sent = append(wt.sent, c)
		case loop.AfterCmd:
			wt.wakeAt = wt.now.Add(c.D)
		}
	}
}

func (wt *writerTest) advance(wait time.Duration) {
	wt.now = wt.now.Add(wait)
	wt.send(tickMsg{At: wt.w.timerAt})
}

// takeWrite returns the write in progress.
func (wt *writerTest) takeWrite() WriteCmd {
	wt.t.Helper()
	assert.Assert(wt.t, wt.write != nil, "no write was sent")
	c := *wt.write
	wt.write = nil
	return c
}

// finishWrite carries out the write in progress.
func (wt *writerTest) finishWrite(k kinds.Kind) {
	wt.t.Helper()
	c := wt.takeWrite()
	if k == kinds.None {
		assert.Equal(wt.t, c.Old, wt.tableVer)
		wt.table, wt.tableVer = c.Table, wt.tableVer+1
	}
	wt.send(WriteResultMsg{Cmd: c, Version: wt.tableVer, Kind: k})
}

// otherWrite makes another VM write the table first.
func (wt *writerTest) otherWrite(tab table.Table, err error) {
	assert.NilError(wt.t, err)
	wt.table, wt.tableVer = tab, wt.tableVer+1
}

// finishRead answers the read after a conflict.
func (wt *writerTest) finishRead() {
	wt.t.Helper()
	if wt.now.Before(wt.w.notBefore) {
		wt.advance(wt.w.notBefore.Sub(wt.now))
	}
	assert.Assert(wt.t, wt.read != nil, "the table was not read again")
	c := *wt.read
	wt.read = nil
	wt.send(ReadResultMsg{Cmd: c, Table: wt.table, Version: wt.tableVer})
}

// edit requests a move of a slice, by the lessor of its server and based on the
// present table.
func (wt *writerTest) edit(from ident.Server, x ident.Slice, to ident.Server) {
	wt.editUntil(from, x, to, wt.now.Add(time.Hour))
}

func (wt *writerTest) editUntil(from ident.Server, x ident.Slice, to ident.Server, until time.Time) {
	row, _ := wt.table.Row(from)
	e := table.Edit{Server: from, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: to}}}
	next, err := wt.table.WithEdit(e)
	assert.NilError(wt.t, err)
	wt.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: until}, Table: next, Old: wt.tableVer, Edit: e}})
}

func (wt *writerTest) assertOutcomes(want map[ident.Server]kinds.Kind) {
	wt.t.Helper()
	assert.DeepEqual(wt.t, wt.outcomes, want)
}

// Hundreds of lessors change the table at once when a data centre is lost. If
// each edit had a write of its own, the last would wait for all others.
func TestEditsDuringAWriteShareTheNextOne(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("a", 0, "d")
	first := wt.write
	assert.Assert(t, first != nil, "an edit must be sent at once if no write is in progress")
	wt.edit("b", 2, "d")
	wt.edit("c", 4, "d")
	assert.Assert(t, wt.write == first, "two writes in progress at a time")
	wt.finishWrite(kinds.None)
	assert.Equal(t, wt.write.Edits, 2)
	wt.finishWrite(kinds.None)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None, "c": kinds.None})
	for _, x := range []ident.Slice{0, 2, 4} {
		assert.Equal(t, wt.table.OwnerOf(x), ident.Server("d"))
	}
	assert.Assert(t, wt.write == nil)
}

// During a write another VM takes one server over and raises its minimum epoch.
// That server's edit must not be applied to the new table, where the successor
// has already granted the slice; the other edits must not be affected.
func TestAnEditIsCheckedAgainOnANewerTable(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("d", 6, "c")
	wt.edit("a", 0, "d")
	wt.edit("b", 2, "d")
	wt.otherWrite(wt.table.WithMinEpoch("a", 2))
	wt.finishWrite(kinds.Conflict)
	wt.finishRead()
	assert.Equal(t, wt.write.Edits, 2)
	wt.finishWrite(kinds.None)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "b": kinds.None, "d": kinds.None})
	assert.Equal(t, wt.table.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, wt.table.OwnerOf(2), ident.Server("d"))
}

// While an edit waits, its slice moves to another server and comes back,
// granted anew under the same epoch. The lessor has made sure that the server
// gave up its earlier set, not the present one.
func TestAnEditOfAnEarlierSetIsRefused(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("d", 6, "c") // keeps the writer busy
	wt.edit("a", 0, "b")
	wt.otherWrite(wt.table.WithMoves("a", 1, table.Move{Slice: 0, To: "b"}))
	wt.otherWrite(wt.table.WithMoves("b", 1, table.Move{Slice: 0, To: "a"}))
	wt.finishWrite(kinds.Conflict)
	wt.finishRead()
	wt.finishWrite(kinds.None)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "d": kinds.None})
	assert.Equal(t, wt.table.OwnerOf(0), ident.Server("a"))
}

// The answer to a write is lost. Each lessor must learn that its edit may have
// taken effect; after a "no" it would grant the key to its server again. A
// retry here would hide the unknown outcome from the lessor.
func TestAnUnknownOutcomeIsReportedToEveryLessor(t *testing.T) {
	for _, k := range []kinds.Kind{kinds.Ambiguous, kinds.Unavailable} {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			wt := newWriterTest(t)
			wt.edit("a", 0, "d")
			wt.edit("b", 2, "d")
			wt.edit("c", 4, "d")
			wt.finishWrite(kinds.None)
			wt.finishWrite(k)
			wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None, "b": k, "c": k})
			wt.advance(time.Second)
			assert.Assert(t, wt.write == nil, "the writer retried an edit that it had returned")
			wt.edit("b", 2, "d")
			assert.Equal(t, wt.read != nil, k == kinds.Ambiguous, "after an unknown outcome the table must be read first")
		})
	}
}

// The store never answers. The writer must not block for good, and the lessors
// must learn that the outcome is unknown.
func TestACallWithoutAnAnswerHasAnUnknownOutcome(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("a", 0, "d")
	late := wt.takeWrite()
	wt.advance(2 * storeTime)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	wt.send(WriteResultMsg{Cmd: late, Version: 8})
	assert.Equal(t, wt.answerCount, 1, "a lessor was answered twice")
	wt.edit("b", 2, "d")
	assert.Assert(t, wt.read != nil)
	wt.advance(2 * storeTime)
	assert.Equal(t, wt.outcomes["b"], kinds.Unavailable, "nothing was sent")
}

// The VM is paused between batching edits and sending them, for longer than one
// of the authorities lasts. That edit must not be sent, and the others must not
// fail with it.
func TestAnEditWhoseAuthorityEndedIsLeftOut(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("c", 4, "d")
	wt.editUntil("a", 0, "d", wt.now.Add(50*time.Millisecond))
	wt.edit("b", 2, "d")
	wt.finishWrite(kinds.None)
	c := wt.takeWrite()
	assert.Equal(t, c.Edits, 2)
	assert.Equal(t, c.Until, wt.now.Add(50*time.Millisecond), "the guard must be the earliest of all")
	wt.now = wt.now.Add(60 * time.Millisecond)
	wt.send(WriteResultMsg{Cmd: c, Kind: kinds.Unavailable, Expired: true})
	assert.Equal(t, wt.outcomes["a"], kinds.Unavailable)
	assert.Equal(t, wt.write.Edits, 1)
	wt.finishWrite(kinds.None)
	assert.Equal(t, wt.outcomes["b"], kinds.None)
	assert.Equal(t, wt.table.OwnerOf(0), ident.Server("a"))
}

// A write takes as long as a call may take. The edits that waited behind it are
// returned, so that their lessors read the table before they go on.
func TestAnEditThatWaitedTooLongIsReturned(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("a", 0, "d")
	wt.edit("b", 2, "d")
	wt.now = wt.now.Add(storeTime + time.Millisecond)
	wt.finishWrite(kinds.Ambiguous)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous, "b": kinds.Conflict})
	assert.Assert(t, wt.write == nil && wt.read == nil)
}

// A lessor gives up a write and sends another one. It would take an answer to
// the first for one to the second, and treat an outcome as known that is not.
func TestAnEditReplacesTheOneBeforeIt(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("c", 4, "d")
	wt.edit("a", 0, "d")
	wt.edit("a", 1, "b")
	wt.finishWrite(kinds.None)
	wt.finishWrite(kinds.None)
	assert.Equal(t, wt.answerCount, 2)
	assert.Equal(t, wt.table.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, wt.table.OwnerOf(1), ident.Server("b"))
}

// A peer sends a newer table without its version. A write based on the older
// one would only conflict.
func TestATableFromAPeerIsReadBeforeTheNextWrite(t *testing.T) {
	wt := newWriterTest(t)
	wt.otherWrite(wt.table.WithMoves("c", 1, table.Move{Slice: 4, To: "d"}))
	wt.send(TableMsg{Table: wt.table})
	wt.edit("a", 0, "d")
	assert.Assert(t, wt.write == nil)
	wt.finishRead()
	wt.finishWrite(kinds.None)
	wt.assertOutcomes(map[ident.Server]kinds.Kind{"a": kinds.None})
}

// Writers of many VMs conflict again and again unless their delays grow and
// differ from VM to VM.
func TestConflictingWritersWaitDifferentTimes(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 50 {
		wt := newWriterTest(t)
		wt.w.cfg.Self = ident.VM(fmt.Sprint("vm-", i))
		wt.edit("a", 0, "d")
		for try := range 12 {
			wt.w.conflicts = try
			at := &turn{Writer: wt.w, now: wt.now}
			at.delayAfterConflict()
			wait := at.notBefore.Sub(wt.now)
			assert.Assert(t, wait < min(conflictDelayMin<<try, conflictDelayMax), "try %d waits %v", try, wait)
			seen[wait] = true
		}
	}
	assert.Assert(t, len(seen) > 400, "only %d different waits", len(seen))
}

// A timer can fire a little early by the writer's clock. If it were not set
// again, edits would wait for the next message, which may be minutes away.
func TestATimerThatFiresEarlyIsSetAgain(t *testing.T) {
	wt := newWriterTest(t)
	wt.edit("a", 0, "d")
	wt.otherWrite(wt.table.WithMinEpoch("b", 2))
	wt.finishWrite(kinds.Conflict)
	due := wt.wakeAt
	if !due.After(wt.now) {
		t.Fatalf("no delay after a conflict")
	}
	wt.now, wt.wakeAt = due.Add(-time.Microsecond), time.Time{}
	wt.send(tickMsg{At: due})
	assert.Equal(t, wt.wakeAt, due)
	wt.now = due
	wt.send(tickMsg{At: due})
	assert.Assert(t, wt.read != nil)
}
