// Package commit writes one service's ownership table for all lessors of one
// entry VM.
//
// When a data centre is lost, a hundred servers of one service are lost with
// it, and their lessors all want to change the one table object at the same
// moment. If each writes for itself, every success makes the writes of all
// others conflict: with 440 servers and 10 VMs, the last of 60 lost servers'
// keys waited 2.7 s. [Writer] is a group commit: the edits that arrive during a
// write go out together in the next one, so a VM needs two or three writes
// however many of its lessors are affected. An edit that arrives while no write
// is in progress goes out at once.
//
// Safety rests on the edit's own rules, checked again on every table that it is
// applied to: the table's minimum epoch is still its holder's epoch, and the
// server's set is still the one that the holder saw ([table.Table.WithEdit]).
// An edit that no longer applies is returned with kind Conflict, and its lessor
// reads the table again; the others proceed. Each lessor gets the outcome of
// a write as if it had written alone: if the answer was lost, the outcome is
// unknown for each edit in the write, and none of them is retried here (rule 13
// of docs/design/ownership.md).
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

// Bounds of the delay after a write that lost to another writer. The writers of
// other VMs write the same object: without a growing, scattered delay they
// would conflict again and again. The first is about one call to the store; the
// last keeps a hundred writers at the rate that the store can answer.
const (
	conflictDelayMin = 4 * time.Millisecond
	conflictDelayMax = 256 * time.Millisecond
)

// Config names the VM and the service of a writer.
type Config struct {
	Self    ident.VM
	Service ident.Service
	// StoreTimeout is how long a call to the store may take, and how long an
	// edit waits to be sent before it is returned. Lessors count a write as
	// lost after twice that.
	StoreTimeout time.Duration
	// Rebase applies an edit to a table. Nil means table.Table.WithEdit; tests
	// put a broken one here.
	Rebase func(table.Table, table.Edit) (table.Table, error)
}

// pendingEdit is an edit and when it was queued.
type pendingEdit struct {
	cmd      lessor.PutTableCmd
	queuedAt time.Time

	// Origin of an edit of another VM: coordinator.go. Zero for an edit of a
	// lessor on this VM.
	sender            ident.VM
	senderIncarnation int64
	forwardID         uint64
}

// Writer is the state of one writer. Make it with New; it is a value, and
// Update returns the next one.
type Writer struct {
	cfg Config

	table    table.Table
	tableVer object.Version // zero: table is not the newest, or its version is not known

	waiting []pendingEdit // not sent yet
	writing []pendingEdit // in the write that is in progress

	call         uint64    // number of the current or last call
	callPending  bool      // a call is in progress
	callDeadline time.Time // when that call counts as lost
	conflicts    int       // consecutive writes that lost to another writer
	notBefore    time.Time // no call before this time
	timerAt      time.Time // when the pending timer fires

	// The coordinator, which writes for all VMs: coordinator.go.
	coordinators   []ident.VM
	skipped        []skippedCoordinator
	contendedUntil time.Time // other VMs write as well until then
	incarnation    int64     // start of this process, in ns since the Unix epoch
	forwardSeq     uint64
	forwarded      []forwardedEdit
	written        []writtenEdit
}

// New returns the writer of cfg.
func New(cfg Config) Writer {
	if cfg.Rebase == nil {
		cfg.Rebase = table.Table.WithEdit
	}
	return Writer{cfg: cfg}
}

// turn is the working state of one Update call.
type turn struct {
	Writer
	now  time.Time
	cmds []loop.Cmd
}

// Update handles one message. See loop.Model.
func (w Writer) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	t := &turn{Writer: w, now: now}
	if t.incarnation == 0 {
		t.incarnation = now.UnixNano()
	}
	t.handle(msg)
	t.expireCall()
	t.expireForwarded()
	t.answerWritten()
	t.sendNext()
	t.setTimer()
	return t.Writer, t.cmds
}

func (t *turn) handle(msg loop.Msg) {
	switch m := msg.(type) {
	case EditMsg:
		t.onEdit(m)
	case TableMsg:
		t.noteTable(m.Table, m.Version)
	case ReadResultMsg:
		t.onReadResult(m)
	case WriteResultMsg:
		t.onWriteResult(m)
	case CoordinatorsMsg:
		t.coordinators = m.VMs
	case SuspectMsg:
		t.skipCoordinator(m.VM)
	case ForwardMsg:
		t.onForward(m)
	case ForwardedMsg:
		t.onForwarded(m)
	case tickMsg:
		if m.At.Equal(t.timerAt) {
			t.timerAt = time.Time{} // it may have fired early: see setTimer
		}
	}
}

// onEdit queues an edit. A lessor has one write in progress at a time, so a
// second one means that it gave up the first. The first gets no answer: the
// lessor would take it for the answer to the second.
func (t *turn) onEdit(m EditMsg) {
	e := pendingEdit{cmd: m.Cmd, queuedAt: t.now}
	t.forwarded = slices.DeleteFunc(slices.Clone(t.forwarded), func(a forwardedEdit) bool { return a.sameLessor(e) })
	t.written = slices.DeleteFunc(slices.Clone(t.written), func(d writtenEdit) bool { return d.sameLessor(e) })
	t.enqueue(e)
}

func (t *turn) enqueue(e pendingEdit) {
	t.waiting = append(slices.DeleteFunc(slices.Clone(t.waiting), e.sameLessor), e)
}

// sameLessor reports whether two edits are of one lessor on one VM.
func (e pendingEdit) sameLessor(o pendingEdit) bool {
	return e.sender == o.sender && e.cmd.Edit.Server == o.cmd.Edit.Server
}

// noteTable stores a table that was seen. A newer table without a known version
// still shows that a write based on an older one would conflict.
func (t *turn) noteTable(tab table.Table, ver object.Version) {
	if tab.Rev > t.table.Rev || tab.Rev == t.table.Rev && ver != 0 {
		t.table, t.tableVer = tab, ver
	}
}

func (t *turn) onReadResult(m ReadResultMsg) {
	if !t.callPending || m.Cmd.Call != t.call {
		return
	}
	t.callPending = false
	if m.Kind == kinds.None {
		t.noteTable(m.Table, m.Version)
		return
	}
	t.returnWaiting(kinds.Unavailable) // nothing was sent
	for _, d := range t.written {
		t.answer(d.pendingEdit, kinds.Ambiguous) // the lessor reads the table itself
	}
	t.written = nil
}

func (t *turn) onWriteResult(m WriteResultMsg) {
	if !t.callPending || m.Cmd.Call != t.call || len(t.writing) == 0 {
		return
	}
	t.callPending = false
	sent := t.writing
	t.writing = nil
	switch {
	case m.Expired:
		t.waiting = slices.Concat(sent, t.waiting)
	case m.Kind == kinds.None:
		t.conflicts = 0
		t.noteTable(m.Cmd.Table, m.Version)
		for _, e := range sent {
			t.answerDone(e, m.Cmd.Table.Rev, m.Cmd.Table, m.Version)
		}
	case m.Kind == kinds.Conflict:
		if t.tableVer == m.Cmd.Old {
			t.tableVer = 0 // the table that was written first is not known yet
		}
		t.waiting = slices.Concat(sent, t.waiting)
		t.contendedUntil = t.now.Add(contentionTime)
		t.delayAfterConflict()
	default:
		if m.Kind != kinds.Unavailable {
			t.tableVer = 0
		}
		for _, e := range sent {
			t.answer(e, m.Kind)
		}
	}
}

// expireCall handles a call that was not answered in time. Its outcome is
// unknown.
func (t *turn) expireCall() {
	if !t.callPending || t.now.Before(t.callDeadline) {
		return
	}
	if len(t.writing) > 0 {
		t.onWriteResult(WriteResultMsg{Cmd: WriteCmd{Call: t.call}, Kind: kinds.Ambiguous})
		return
	}
	t.onReadResult(ReadResultMsg{Cmd: ReadCmd{Call: t.call}, Kind: kinds.Unavailable})
}

// delayAfterConflict delays the next attempt. The scatter comes from a hash of
// the names and the attempt, since a loop.Model draws no random numbers. The
// coordinator retries at once: the VM that wrote first is about to forward its
// edits to it.
func (t *turn) delayAfterConflict() {
	if t.coordinator() == t.cfg.Self {
		t.notBefore = t.now
		return
	}
	most := min(conflictDelayMin<<min(t.conflicts, 10), conflictDelayMax)
	t.conflicts++
	h := xxhash.Sum64String(string(t.cfg.Self) + "/" + string(t.cfg.Service) + "/" + strconv.Itoa(t.conflicts) +
		"/" + strconv.FormatUint(t.call, 10))
	t.notBefore = t.now.Add(time.Duration(h % uint64(most)))
}

// sendNext sends the waiting edits, once no call is in progress.
func (t *turn) sendNext() {
	t.forwardEdits()
	if t.callPending {
		return
	}
	t.returnOverdue()
	switch {
	case len(t.written) > 0:
		t.beginCall()
		t.emit(ReadCmd{Call: t.call})
	case len(t.waiting) == 0 || t.now.Before(t.notBefore):
	case t.tableVer == 0:
		t.beginCall()
		t.emit(ReadCmd{Call: t.call})
	default:
		t.writeBatch()
	}
}

// returnOverdue returns the edits that waited too long. Their lessors then read
// the table again; nothing was sent, so the edits certainly did not happen.
func (t *turn) returnOverdue() {
	kept := t.waiting[:0:0]
	for _, e := range t.waiting {
		if t.now.Sub(e.queuedAt) > t.cfg.StoreTimeout {
			t.answer(e, kinds.Conflict)
			continue
		}
		kept = append(kept, e)
	}
	t.waiting = kept
}

// writeBatch sends all edits that still apply in one write.
func (t *turn) writeBatch() {
	next, until := t.table, time.Time{}
	for _, e := range t.waiting {
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
		t.writing = append(t.writing, e)
	}
	t.waiting = nil
	if len(t.writing) == 0 {
		return
	}
	t.beginCall()
	t.emit(WriteCmd{Guard: lessor.Guard{Until: until}, Call: t.call, Table: next, Old: t.tableVer, Edits: len(t.writing)})
}

func (t *turn) beginCall() {
	t.call++
	t.callPending, t.callDeadline = true, t.now.Add(2*t.cfg.StoreTimeout)
}

// answerDone tells the origin of the edit that it was written as revision rev,
// and that tab, which may be a later table, contains it.
func (t *turn) answerDone(e pendingEdit, rev ident.Revision, tab table.Table, ver object.Version) {
	if e.sender != "" {
		t.sendForwarded(e, true, rev)
		return
	}
	e.cmd.Table = tab
	t.emit(AnswerCmd{Server: e.cmd.Edit.Server, Msg: lessor.TablePutMsg{Cmd: e.cmd, Version: ver, Rev: rev}})
}

func (t *turn) answer(e pendingEdit, k kinds.Kind) {
	if e.sender != "" {
		t.sendForwarded(e, false, 0)
		return
	}
	t.emit(AnswerCmd{Server: e.cmd.Edit.Server, Msg: lessor.TablePutMsg{Cmd: e.cmd, Kind: k}})
}

func (t *turn) sendForwarded(e pendingEdit, done bool, rev ident.Revision) {
	m := ForwardedMsg{Incarnation: e.senderIncarnation, ID: e.forwardID, Done: done, Rev: rev}
	t.emit(SendCmd{Guard: lessor.Guard{Until: t.now.Add(t.cfg.StoreTimeout)}, To: e.sender, Msg: m})
}

func (t *turn) returnWaiting(k kinds.Kind) {
	for _, e := range t.waiting {
		t.answer(e, k)
	}
	t.waiting = nil
}

func (t *turn) emit(c loop.Cmd) { t.cmds = append(t.cmds, c) }

// setTimer requests a timer unless a pending one fires early enough.
func (t *turn) setTimer() {
	wake := t.nextWake()
	if wake.IsZero() {
		return
	}
	if t.now.Before(t.timerAt) && !wake.Before(t.timerAt) {
		return
	}
	t.timerAt = wake
	t.emit(loop.AfterCmd{D: wake.Sub(t.now), Msg: tickMsg{At: wake}})
}

// nextWake returns when the writer must run again without a message; zero is
// never.
func (t *turn) nextWake() time.Time {
	var at time.Time
	sooner := func(x time.Time) {
		if at.IsZero() || x.Before(at) {
			at = x
		}
	}
	switch {
	case t.callPending:
		sooner(t.callDeadline)
	case len(t.waiting) > 0:
		sooner(t.notBefore)
	}
	for _, a := range t.forwarded {
		sooner(a.until)
	}
	return at
}
