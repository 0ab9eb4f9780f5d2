// Package commit writes one service's table for all seats of one entry VM.
//
// The load pattern: a data centre is lost, and with it a hundred servers of one
// service. Their seats want to change the one table object in the same moment.
// When each writes for itself, each success makes the writes of all others come
// second; measured with 440 servers and 10 VMs, the last of 60 lost servers' keys
// waited 2.7 s. [Writer] is a group commit: the edits that arrive while a write
// is under way go out together in the next one, so a VM needs two or three
// writes however many of its seats are hit. An edit that finds no write under
// way goes out at once.
//
// Safety rests on the edit's own rules, checked anew on every table that it is
// put on: the bar is still the epoch of its holder, and the server's set is
// still the one that the holder saw ([table.Table.Edited]). One that no longer
// applies is given back with kind Conflict, and its seat looks again; the others
// go on. What a write's outcome means for an edit is told to its seat as if the
// seat had written alone: a write whose answer was lost is in doubt for each
// edit in it, and none of them is tried again here (rule 13 of
// docs/design/ownership.md).
//
// Writer is a pure loop.Model.
package commit

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Bounds of the wait after a write that came second. The writers of other VMs
// write the same object: without a growing and scattered wait they would come
// second again and again. The first is about one call to the store; the last
// keeps a hundred writers at the rate that the store can answer.
const (
	clashFirst = 4 * time.Millisecond
	clashMost  = 256 * time.Millisecond
)

// Config says whose writer it is.
type Config struct {
	Self    ident.VM
	Service ident.Service
	// StoreTimeout is how long a call to the store may take, and how long an edit waits
	// to be sent before it is given back. Seats count a write as lost after
	// twice that.
	StoreTimeout time.Duration
	// Rebase puts an edit on a table. Nil means table.Table.Edited; tests put a
	// broken one here.
	Rebase func(table.Table, table.Edit) (table.Table, error)
}

// item is an edit and when it came.
type item struct {
	cmd lessor.PutTableCmd
	at  time.Time

	// Where it came from, if not from a seat here: hub.go.
	from ident.VM
	born int64
	id   uint64
}

// Writer is the state of one writer. Make it with New; it is a value, and Update
// returns the next one.
type Writer struct {
	cfg Config

	tab table.Table
	ver object.Version // zero: tab is not the newest, or its version is not known

	wait []item // not sent yet
	sent []item // in the write under way

	call    uint64    // number of the call under way, or of the last one
	busy    bool      // a call is under way
	lost    time.Time // when that call counts as lost
	clashes int       // writes in a row that came second
	next    time.Time // no call before
	armed   time.Time // when the timer that is set will fire

	// The hub: hub.go.
	hubs  []ident.VM
	skip  []skipped
	crowd time.Time // others write as well until then
	born  int64     // when this process started
	seq   uint64
	away  []away
	done  []written
}

// New makes the writer of cfg.
func New(cfg Config) Writer {
	if cfg.Rebase == nil {
		cfg.Rebase = table.Table.WithEdit
	}
	return Writer{cfg: cfg}
}

// turn is one Update at work.
type turn struct {
	Writer
	now  time.Time
	cmds []loop.Cmd
}

// Update takes one message. See loop.Model.
func (w Writer) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	t := &turn{Writer: w, now: now}
	if t.born == 0 {
		t.born = now.UnixNano()
	}
	t.handle(msg)
	t.lose()
	t.giveUp()
	t.settle()
	t.advance()
	t.arm()
	return t.Writer, t.cmds
}

func (t *turn) handle(msg loop.Msg) {
	switch m := msg.(type) {
	case EditMsg:
		t.onEdit(m)
	case TableMsg:
		t.learn(m.Table, m.Version)
	case ReadResultMsg:
		t.onRead(m)
	case WriteResultMsg:
		t.onWrote(m)
	case CoordinatorsMsg:
		t.hubs = m.VMs
	case SuspectMsg:
		t.leaveAlone(m.VM)
	case ForwardMsg:
		t.onForward(m)
	case ForwardedMsg:
		t.onForwarded(m)
	case tickMsg:
		if m.At.Equal(t.armed) {
			t.armed = time.Time{} // it may have come early: see arm
		}
	}
}

// onEdit queues an edit. A seat has one write under way at a time, so a second
// one means that it gave the first up. That one gets no answer: the seat would
// take it for the answer to the second.
func (t *turn) onEdit(m EditMsg) {
	e := item{cmd: m.Cmd, at: t.now}
	t.away = slices.DeleteFunc(slices.Clone(t.away), func(a away) bool { return a.same(e) })
	t.done = slices.DeleteFunc(slices.Clone(t.done), func(d written) bool { return d.same(e) })
	t.queue(e)
}

func (t *turn) queue(e item) {
	t.wait = append(slices.DeleteFunc(slices.Clone(t.wait), e.same), e)
}

// same reports whether two edits are of one seat on one VM.
func (e item) same(o item) bool { return e.from == o.from && e.cmd.Edit.Server == o.cmd.Edit.Server }

// learn takes a table that was seen. One whose version is not known still shows
// that a write on an older one would come second.
func (t *turn) learn(tab table.Table, ver object.Version) {
	if tab.Rev > t.tab.Rev || tab.Rev == t.tab.Rev && ver != 0 {
		t.tab, t.ver = tab, ver
	}
}

func (t *turn) onRead(m ReadResultMsg) {
	if !t.busy || m.Cmd.Call != t.call {
		return
	}
	t.busy = false
	if m.Kind == kinds.None {
		t.learn(m.Table, m.Version)
		return
	}
	t.giveBack(kinds.Unavailable) // nothing was sent
	for _, d := range t.done {
		t.answer(d.item, kinds.Ambiguous) // the seat reads the table for itself
	}
	t.done = nil
}

func (t *turn) onWrote(m WriteResultMsg) {
	if !t.busy || m.Cmd.Call != t.call || len(t.sent) == 0 {
		return
	}
	t.busy = false
	sent := t.sent
	t.sent = nil
	switch {
	case m.Expired:
		t.wait = slices.Concat(sent, t.wait)
	case m.Kind == kinds.None:
		t.clashes = 0
		t.learn(m.Cmd.Table, m.Version)
		for _, e := range sent {
			t.succeed(e, m.Cmd.Table.Rev, m.Cmd.Table, m.Version)
		}
	case m.Kind == kinds.Conflict:
		if t.ver == m.Cmd.Old {
			t.ver = 0 // the table that came first is not known yet
		}
		t.wait = slices.Concat(sent, t.wait)
		t.crowd = t.now.Add(crowdTime)
		t.clash()
	default:
		if m.Kind != kinds.Unavailable {
			t.ver = 0
		}
		for _, e := range sent {
			t.answer(e, m.Kind)
		}
	}
}

// lose notices a call that nobody answered. Its fate is not known.
func (t *turn) lose() {
	if !t.busy || t.now.Before(t.lost) {
		return
	}
	if len(t.sent) > 0 {
		t.onWrote(WriteResultMsg{Cmd: WriteCmd{Call: t.call}, Kind: kinds.Ambiguous})
		return
	}
	t.onRead(ReadResultMsg{Cmd: ReadCmd{Call: t.call}, Kind: kinds.Unavailable})
}

// clash waits before the next try. The scatter comes from a hash of the name
// and the try, since a decision module draws no random numbers. The hub tries
// again at once: whoever came first is about to leave it the field.
func (t *turn) clash() {
	if t.hub() == t.cfg.Self {
		t.next = t.now
		return
	}
	most := min(clashFirst<<min(t.clashes, 10), clashMost)
	t.clashes++
	h := xxhash.Sum64String(string(t.cfg.Self) + "/" + string(t.cfg.Service) + "/" + strconv.Itoa(t.clashes) +
		"/" + strconv.FormatUint(t.call, 10))
	t.next = t.now.Add(time.Duration(h % uint64(most)))
}

// advance sends what waits, once no call is under way.
func (t *turn) advance() {
	t.forward()
	if t.busy {
		return
	}
	t.overdue()
	switch {
	case len(t.done) > 0:
		t.begin()
		t.do(ReadCmd{Call: t.call})
	case len(t.wait) == 0 || t.now.Before(t.next):
	case t.ver == 0:
		t.begin()
		t.do(ReadCmd{Call: t.call})
	default:
		t.write()
	}
}

// overdue gives back what waited too long. Its seat then looks at the table
// anew; nothing was sent, so it certainly did not happen.
func (t *turn) overdue() {
	kept := t.wait[:0:0]
	for _, e := range t.wait {
		if t.now.Sub(e.at) > t.cfg.StoreTimeout {
			t.answer(e, kinds.Conflict)
			continue
		}
		kept = append(kept, e)
	}
	t.wait = kept
}

// write joins the edits that still apply and sends them in one update.
func (t *turn) write() {
	next, until := t.tab, time.Time{}
	for _, e := range t.wait {
		if !e.cmd.Valid(t.now) {
			t.answer(e, kinds.Unavailable) // its authority has ended: rule 9
			continue
		}
		tab, err := t.cfg.Rebase(next, e.cmd.Edit)
		if err != nil {
			t.answer(e, kinds.Conflict)
			continue
		}
		next = tab
		if until.IsZero() || e.cmd.Until.Before(until) {
			until = e.cmd.Until
		}
		t.sent = append(t.sent, e)
	}
	t.wait = nil
	if len(t.sent) == 0 {
		return
	}
	t.begin()
	t.do(WriteCmd{Guard: lessor.Guard{Until: until}, Call: t.call, Table: next, Old: t.ver, Edits: len(t.sent)})
}

func (t *turn) begin() {
	t.call++
	t.busy, t.lost = true, t.now.Add(2*t.cfg.StoreTimeout)
}

// succeed tells whoever made the edit that it was written as revision rev, and that
// tab, which may be a later one, contains it.
func (t *turn) succeed(e item, rev ident.Revision, tab table.Table, ver object.Version) {
	if e.from != "" {
		t.tellBack(e, true, rev)
		return
	}
	e.cmd.Table = tab
	t.do(AnswerCmd{Server: e.cmd.Edit.Server, Msg: lessor.TablePutMsg{Cmd: e.cmd, Version: ver, Rev: rev}})
}

func (t *turn) answer(e item, k kinds.Kind) {
	if e.from != "" {
		t.tellBack(e, false, 0)
		return
	}
	t.do(AnswerCmd{Server: e.cmd.Edit.Server, Msg: lessor.TablePutMsg{Cmd: e.cmd, Kind: k}})
}

func (t *turn) tellBack(e item, done bool, rev ident.Revision) {
	m := ForwardedMsg{Born: e.born, ID: e.id, Done: done, Rev: rev}
	t.do(SendCmd{Guard: lessor.Guard{Until: t.now.Add(t.cfg.StoreTimeout)}, To: e.from, Msg: m})
}

func (t *turn) giveBack(k kinds.Kind) {
	for _, e := range t.wait {
		t.answer(e, k)
	}
	t.wait = nil
}

func (t *turn) do(c loop.Cmd) { t.cmds = append(t.cmds, c) }

// arm asks for a timer unless one that fires early enough is set.
func (t *turn) arm() {
	wake := t.due()
	if wake.IsZero() {
		return
	}
	if t.now.Before(t.armed) && !wake.Before(t.armed) {
		return
	}
	t.armed = wake
	t.do(loop.AfterCmd{D: wake.Sub(t.now), Msg: tickMsg{At: wake}})
}

// due returns when the writer must look again by itself; zero is never.
func (t *turn) due() time.Time {
	var at time.Time
	sooner := func(x time.Time) {
		if at.IsZero() || x.Before(at) {
			at = x
		}
	}
	switch {
	case t.busy:
		sooner(t.lost)
	case len(t.wait) > 0:
		sooner(t.next)
	}
	for _, a := range t.away {
		sooner(a.until)
	}
	return at
}
