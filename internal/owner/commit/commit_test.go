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

// desk is a writer whose commands wait for the test to answer them.
type desk struct {
	t     *testing.T
	w     Writer
	now   time.Time
	write *WriteCmd
	read  *ReadCmd
	told  map[ident.Server]kinds.Kind
	count int // answers
	wake  time.Time
	sent  []SendCmd   // to other VMs
	tab   table.Table // in the store
	ver   object.Version
}

// newDesk makes a writer that has seen the store's table: servers a to d with
// two slices each, barred at epoch 1.
func newDesk(t *testing.T) *desk {
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
	d := &desk{t: t, now: time.Unix(1000, 0), told: map[ident.Server]kinds.Kind{}, tab: tab, ver: 7}
	d.w = New(Config{Self: "vm-1", Service: "lookup", StoreTimeout: storeTime})
	d.send(TableMsg{Table: tab, Version: d.ver})
	return d
}

func (d *desk) send(msg loop.Msg) {
	next, cmds := d.w.Update(d.now, msg)
	d.w = next.(Writer)
	for _, c := range cmds {
		switch c := c.(type) {
		case WriteCmd:
			d.write = &c
		case ReadCmd:
			d.read = &c
		case AnswerCmd:
			d.told[c.Server] = c.Msg.Kind
			d.count++
		case SendCmd:
			d.sent = append(d.sent, c)
		case loop.AfterCmd:
			d.wake = d.now.Add(c.D)
		}
	}
}

func (d *desk) after(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.send(tickMsg{At: d.w.armed})
}

// take returns the write under way.
func (d *desk) take() WriteCmd {
	d.t.Helper()
	assert.Assert(d.t, d.write != nil, "no write was sent")
	c := *d.write
	d.write = nil
	return c
}

// answer carries the write under way out.
func (d *desk) answer(k kinds.Kind) {
	d.t.Helper()
	c := d.take()
	if k == kinds.None {
		assert.Equal(d.t, c.Old, d.ver)
		d.tab, d.ver = c.Table, d.ver+1
	}
	d.send(WriteResultMsg{Cmd: c, Version: d.ver, Kind: k})
}

// another VM writes the table first.
func (d *desk) other(tab table.Table, err error) {
	assert.NilError(d.t, err)
	d.tab, d.ver = tab, d.ver+1
}

// reread answers the look at the store after a write that came second.
func (d *desk) reread() {
	d.t.Helper()
	if d.now.Before(d.w.next) {
		d.after(d.w.next.Sub(d.now))
	}
	assert.Assert(d.t, d.read != nil, "the table was not read again")
	c := *d.read
	d.read = nil
	d.send(ReadResultMsg{Cmd: c, Table: d.tab, Version: d.ver})
}

// edit asks for a move of a slice, as the seat of its server saw the table now.
func (d *desk) edit(from ident.Server, x ident.Slice, to ident.Server) {
	d.editUntil(from, x, to, d.now.Add(time.Hour))
}

func (d *desk) editUntil(from ident.Server, x ident.Slice, to ident.Server, until time.Time) {
	row, _ := d.tab.Row(from)
	e := table.Edit{Server: from, Epoch: 1, Rev: row.Rev, Moves: []table.Move{{Slice: x, To: to}}}
	next, err := d.tab.WithEdit(e)
	assert.NilError(d.t, err)
	d.send(EditMsg{Cmd: lessor.PutTableCmd{Guard: lessor.Guard{Until: until}, Table: next, Old: d.ver, Edit: e}})
}

func (d *desk) knows(want map[ident.Server]kinds.Kind) {
	d.t.Helper()
	assert.DeepEqual(d.t, d.told, want)
}

// A data centre is lost and hundreds of seats want the table changed at once. If
// each had its own write, the last driver would wait for all of them.
func TestEditsThatComeDuringAWriteShareTheNext(t *testing.T) {
	d := newDesk(t)
	d.edit("a", 0, "d")
	first := d.write
	assert.Assert(t, first != nil, "an edit that finds nothing under way waits for nothing")
	d.edit("b", 2, "d")
	d.edit("c", 4, "d")
	assert.Assert(t, d.write == first, "two writes under way at a time")
	d.answer(kinds.None)
	assert.Equal(t, d.write.Edits, 2)
	d.answer(kinds.None)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.None, "b": kinds.None, "c": kinds.None})
	for _, x := range []ident.Slice{0, 2, 4} {
		assert.Equal(t, d.tab.OwnerOf(x), ident.Server("d"))
	}
	assert.Assert(t, d.write == nil)
}

// While a write is under way, another VM takes one seat over and raises its bar.
// That seat's edit must not be put on the new table, where its successor has
// already granted the slice; the edits beside it have nothing to do with this.
func TestAnEditIsJudgedAnewOnANewerTable(t *testing.T) {
	d := newDesk(t)
	d.edit("d", 6, "c")
	d.edit("a", 0, "d")
	d.edit("b", 2, "d")
	d.other(d.tab.WithMinEpoch("a", 2))
	d.answer(kinds.Conflict)
	d.reread()
	assert.Equal(t, d.write.Edits, 2)
	d.answer(kinds.None)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "b": kinds.None, "d": kinds.None})
	assert.Equal(t, d.tab.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, d.tab.OwnerOf(2), ident.Server("d"))
}

// An edit waits while its slice goes to another server and comes back, granted
// anew under the same epoch. Its seat made sure that the server gave up what it
// held then, not what it holds now.
func TestAnEditOfAnEarlierSetIsRefused(t *testing.T) {
	d := newDesk(t)
	d.edit("d", 6, "c") // keeps the writer busy
	d.edit("a", 0, "b")
	d.other(d.tab.WithMoves("a", 1, table.Move{Slice: 0, To: "b"}))
	d.other(d.tab.WithMoves("b", 1, table.Move{Slice: 0, To: "a"}))
	d.answer(kinds.Conflict)
	d.reread()
	d.answer(kinds.None)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Conflict, "d": kinds.None})
	assert.Equal(t, d.tab.OwnerOf(0), ident.Server("a"))
}

// An answer is lost after the write. Each seat must hear that its own edit may
// have taken effect; one that heard "no" would give its server the key again.
// Trying again here would hide from the seat that there is a doubt.
func TestADoubtIsEverySeatsDoubt(t *testing.T) {
	for _, k := range []kinds.Kind{kinds.Ambiguous, kinds.Unavailable} {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			d := newDesk(t)
			d.edit("a", 0, "d")
			d.edit("b", 2, "d")
			d.edit("c", 4, "d")
			d.answer(kinds.None)
			d.answer(k)
			d.knows(map[ident.Server]kinds.Kind{"a": kinds.None, "b": k, "c": k})
			d.after(time.Second)
			assert.Assert(t, d.write == nil, "the writer tried an edit again that it had given back")
			d.edit("b", 2, "d")
			assert.Equal(t, d.read != nil, k == kinds.Ambiguous, "after a doubt the table must be read first")
		})
	}
}

// The store answers nothing at all, not even the write's deadline. The writer
// must not be stuck for good, and the seats must hear of the doubt.
func TestACallThatNobodyAnswersIsInDoubt(t *testing.T) {
	d := newDesk(t)
	d.edit("a", 0, "d")
	late := d.take()
	d.after(2 * storeTime)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous})
	d.send(WriteResultMsg{Cmd: late, Version: 8})
	assert.Equal(t, d.count, 1, "a seat was answered twice")
	d.edit("b", 2, "d")
	assert.Assert(t, d.read != nil)
	d.after(2 * storeTime)
	assert.Equal(t, d.told["b"], kinds.Unavailable, "nothing of it was sent")
}

// The VM is paused between joining edits and sending them, for longer than one
// of the authorities lasts. That edit must not go out, and the others must not
// fail with it.
func TestAnEditWhoseAuthorityEndedIsLeftOut(t *testing.T) {
	d := newDesk(t)
	d.edit("c", 4, "d")
	d.editUntil("a", 0, "d", d.now.Add(50*time.Millisecond))
	d.edit("b", 2, "d")
	d.answer(kinds.None)
	c := d.take()
	assert.Equal(t, c.Edits, 2)
	assert.Equal(t, c.Until, d.now.Add(50*time.Millisecond), "the guard must be the earliest of all")
	d.now = d.now.Add(60 * time.Millisecond)
	d.send(WriteResultMsg{Cmd: c, Kind: kinds.Unavailable, Expired: true})
	assert.Equal(t, d.told["a"], kinds.Unavailable)
	assert.Equal(t, d.write.Edits, 1)
	d.answer(kinds.None)
	assert.Equal(t, d.told["b"], kinds.None)
	assert.Equal(t, d.tab.OwnerOf(0), ident.Server("a"))
}

// A write hangs for as long as a call may take. What waited behind it is given
// back, so that its seat looks at the table before it goes on.
func TestAnEditThatWaitedTooLongIsGivenBack(t *testing.T) {
	d := newDesk(t)
	d.edit("a", 0, "d")
	d.edit("b", 2, "d")
	d.now = d.now.Add(storeTime + time.Millisecond)
	d.answer(kinds.Ambiguous)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.Ambiguous, "b": kinds.Conflict})
	assert.Assert(t, d.write == nil && d.read == nil)
}

// A seat gives a write up and sends another one. An answer to the first would be
// taken for one to the second, and end a doubt that is still open.
func TestAnEditReplacesTheOneBeforeIt(t *testing.T) {
	d := newDesk(t)
	d.edit("c", 4, "d")
	d.edit("a", 0, "d")
	d.edit("a", 1, "b")
	d.answer(kinds.None)
	d.answer(kinds.None)
	assert.Equal(t, d.count, 2)
	assert.Equal(t, d.tab.OwnerOf(0), ident.Server("a"))
	assert.Equal(t, d.tab.OwnerOf(1), ident.Server("b"))
}

// A peer tells of a newer table, whose version it does not know. A write on the
// older one would only come second.
func TestATableFromAPeerIsReadBeforeTheNextWrite(t *testing.T) {
	d := newDesk(t)
	d.other(d.tab.WithMoves("c", 1, table.Move{Slice: 4, To: "d"}))
	d.send(TableMsg{Table: d.tab})
	d.edit("a", 0, "d")
	assert.Assert(t, d.write == nil)
	d.reread()
	d.answer(kinds.None)
	d.knows(map[ident.Server]kinds.Kind{"a": kinds.None})
}

// Writers of many VMs come second again and again. Without a wait that grows and
// differs from VM to VM they would keep doing so.
func TestWritersThatComeSecondWaitApart(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 50 {
		d := newDesk(t)
		d.w.cfg.Self = ident.VM(fmt.Sprint("vm-", i))
		d.edit("a", 0, "d")
		for try := range 12 {
			d.w.clashes = try
			at := &turn{Writer: d.w, now: d.now}
			at.clash()
			wait := at.next.Sub(d.now)
			assert.Assert(t, wait < min(clashFirst<<try, clashMost), "try %d waits %v", try, wait)
			seen[wait] = true
		}
	}
	assert.Assert(t, len(seen) > 400, "only %d different waits", len(seen))
}

// A timer can fire a little early by the writer's clock. If it were not set
// anew, edits would wait for the next message, which may be minutes away.
func TestATimerThatFiresEarlyIsSetAnew(t *testing.T) {
	d := newDesk(t)
	d.edit("a", 0, "d")
	d.other(d.tab.WithMinEpoch("b", 2))
	d.answer(kinds.Conflict)
	due := d.wake
	if !due.After(d.now) {
		t.Fatalf("no wait after a clash")
	}
	d.now, d.wake = due.Add(-time.Microsecond), time.Time{}
	d.send(tickMsg{At: due})
	assert.Equal(t, d.wake, due)
	d.now = due
	d.send(tickMsg{At: due})
	assert.Assert(t, d.read != nil)
}
