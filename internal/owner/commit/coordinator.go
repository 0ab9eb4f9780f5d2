package commit

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// In a fleet of 520 VMs each VM has one or two lessors of a service, so there
// is little to batch on one VM: with 130 VMs and 220 of 440 servers lost, the
// last keys waited 8.2 s although every VM batched its edits. A writer whose
// write conflicted therefore forwards its edits to one VM, the coordinator,
// which batches those of all VMs. A fleet without conflicts never uses it. A
// coordinator that does not answer costs forwardTimeout: then the next one is
// asked, and without any the writer writes by itself.
//
// The coordinator has no authority. A forwarded edit is like a write whose
// answer is late: it can still take effect, and the edit's own rules (the
// table's minimum epoch is its holder's epoch, the server's set is the one that
// the holder saw) keep it harmless however late it comes. So only "done" is
// believed of the coordinator's answers: a copy that the network delivered
// twice is refused although the first one took effect. Every
// other answer is reported to the lessor as an unknown outcome.
const (
	// forwardTimeout is how long an edit waits for the coordinator. It is
	// several calls to a healthy store, and leaves the lessor time within its
	// own timeout.
	forwardTimeout = 50 * time.Millisecond
	// coordinatorSkipTime is how long a coordinator that did not answer is not
	// asked.
	coordinatorSkipTime = 5 * time.Second
	// contentionTime is how long edits go to the coordinator after a conflict,
	// or after an edit that the coordinator wrote. The expiry times of leases
	// are spread over a quarter of it when many servers are lost at one moment.
	contentionTime = time.Second
	// maxForwardMoves is the largest number of moves in a forwarded edit; they
	// fit into a fifth of the largest message. A larger edit is written by the
	// VM itself.
	maxForwardMoves = 4096
	// maxWaiting bounds the edits that wait at a coordinator: twice the lessors
	// of the largest service.
	maxWaiting = 1024
)

// forwardedEdit is an edit that was forwarded to the coordinator.
type forwardedEdit struct {
	pendingEdit
	to        ident.VM
	forwardID uint64
	until     time.Time
}

// writtenEdit is an edit that the coordinator wrote, in a table that is not
// known here yet.
type writtenEdit struct {
	pendingEdit
	rev        ident.Revision
	answeredAt time.Time
}

// skippedCoordinator is a coordinator that did not answer.
type skippedCoordinator struct {
	vm    ident.VM
	until time.Time
}

// coordinator returns the VM that batches the edits of all VMs, which may be
// this one, or "" when there is none.
func (t *turn) coordinator() ident.VM {
	for _, vm := range t.coordinators {
		if !slices.ContainsFunc(t.skipped, func(s skippedCoordinator) bool { return s.vm == vm && t.now.Before(s.until) }) {
			return vm
		}
	}
	return ""
}

// forwardEdits forwards this VM's own edits to the coordinator while other VMs
// write as well.
func (t *turn) forwardEdits() {
	coordinator := t.coordinator()
	if coordinator == "" || coordinator == t.cfg.Self || !t.now.Before(t.contendedUntil) {
		return
	}
	kept := t.waiting[:0:0]
	for _, e := range t.waiting {
		switch {
		case e.sender != "" || len(e.cmd.Edit.Moves) > maxForwardMoves:
			kept = append(kept, e)
		case !e.cmd.Valid(t.now):
			t.answer(e, kinds.Unavailable)
		default:
			t.forwardSeq++
			t.forwarded = append(t.forwarded, forwardedEdit{e, coordinator, t.forwardSeq, t.now.Add(forwardTimeout)})
			t.emit(SendCmd{Guard: e.cmd.Guard, To: coordinator, Msg: ForwardMsg{Incarnation: t.incarnation, ID: t.forwardSeq, Edit: e.cmd.Edit}})
		}
	}
	t.waiting = kept
}

// onForward queues an edit of another VM. It is returned as overdue after the
// same time as one of our own, by this VM's clock.
func (t *turn) onForward(m ForwardMsg) {
	e := pendingEdit{queuedAt: t.now, sender: m.From, senderIncarnation: m.Incarnation, forwardID: m.ID}
	e.cmd = lessor.PutTableCmd{Guard: lessor.Guard{Until: t.now.Add(2 * t.cfg.StoreTimeout)}, Edit: m.Edit}
	if len(t.waiting) >= maxWaiting {
		t.answer(e, kinds.Conflict)
		return
	}
	t.enqueue(e)
}

// onForwarded handles the coordinator's answer.
func (t *turn) onForwarded(m ForwardedMsg) {
	i := slices.IndexFunc(t.forwarded, func(a forwardedEdit) bool { return a.forwardID == m.ID && a.to == m.From })
	if i < 0 || m.Incarnation != t.incarnation {
		return
	}
	a := t.forwarded[i]
	t.forwarded = slices.Delete(slices.Clone(t.forwarded), i, i+1)
	if !m.Done {
		t.answer(a.pendingEdit, kinds.Ambiguous)
		return
	}
	t.contendedUntil = t.now.Add(contentionTime)
	t.written = append(t.written, writtenEdit{a.pendingEdit, m.Rev, t.now})
}

// expireForwarded ends the wait for a coordinator that does not answer.
func (t *turn) expireForwarded() {
	kept := t.forwarded[:0:0]
	for _, a := range t.forwarded {
		if t.now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		t.skipCoordinator(a.to)
		t.answer(a.pendingEdit, kinds.Ambiguous)
	}
	t.forwarded = kept
}

// skipCoordinator makes this writer ask other coordinators for a while.
func (t *turn) skipCoordinator(vm ident.VM) {
	kept := t.skipped[:0:0]
	for _, s := range t.skipped {
		if s.vm != vm && t.now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	t.skipped = append(kept, skippedCoordinator{vm, t.now.Add(coordinatorSkipTime)})
}

// answerWritten answers the lessors whose edit the coordinator wrote, once a
// table is known that contains it.
func (t *turn) answerWritten() {
	kept := t.written[:0:0]
	for _, d := range t.written {
		switch {
		case t.table.Rev >= d.rev:
			t.answerDone(d.pendingEdit, d.rev, t.table, t.tableVer)
		case t.now.Sub(d.answeredAt) > t.cfg.StoreTimeout:
			t.answer(d.pendingEdit, kinds.Ambiguous) // the lessor reads the table itself
		default:
			kept = append(kept, d)
		}
	}
	t.written = kept
}
