// Package quorum decides when an edit of the rules is accepted: when more than half of
// the live entry VMs hold its revision.
//
// It guards against this failure: an operator can reach the store, while most entry VMs
// reach neither the store nor a VM that does. The conditional update succeeds, but those
// VMs reach each other, take the partition for an outage of the store, and keep the old
// rules until it ends. An operator who was told "accepted" would believe that a route is
// closed while it still serves. Counting prevents this: VMs go on without the store only
// as a group of more than half of them (see package revs), so the group shares a VM with
// those that hold the accepted revision, and gets the revision from it. An edit that is
// written but not yet accepted is in force on every VM that gets it, and is never
// withdrawn.
//
// Each edit costs one confirmation from each VM to one counting VM, one answer back once
// the edit is recorded, and one write of a small object. When a counting VM is lost with
// its count, the next one in order takes over: it gets the confirmations
// [ConfirmInterval] later. Without the answer every VM would have to confirm to all
// counting VMs. While nothing can be recorded, as in an outage of the store, the
// intervals grow to [MaxConfirmInterval], so that the cost of waiting is small.
package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const (
	// MaxCounters is the number of counting VMs, to which the VMs confirm one after
	// another. With three, as with the watchers of the store, one may be lost and
	// another one slow.
	MaxCounters = 3
	// ConfirmInterval is the first interval between confirming to one counting VM and
	// to the next: twice the usual time to count and record an edit. It doubles after
	// each round of all counting VMs, up to [MaxConfirmInterval].
	ConfirmInterval = 2 * time.Second
	// MaxConfirmInterval is the longest interval between confirmations.
	MaxConfirmInterval = 30 * time.Second
	// retryDelay is the pause after a store call that failed.
	retryDelay = 500 * time.Millisecond
	// unreadableDelay is the pause after reading a record that this program cannot
	// decode; reading it again soon would give the same result.
	unreadableDelay = 30 * time.Second
)

// PeersMsg replaces the list of live VMs, including this one. The first ones in order are
// the counting VMs, so every VM must be given the same order.
type PeersMsg struct{ Order []ident.VM }

// AppliedMsg reports that this VM put a revision in force.
type AppliedMsg struct{ Rev ident.Revision }

// ConfirmMsg reports that another VM holds a revision, or a newer one.
type ConfirmMsg struct {
	From ident.VM
	Rev  ident.Revision
}

// AcceptedMsg reports that a revision is recorded as accepted.
type AcceptedMsg struct{ Rev ident.Revision }

// RecordMsg is the answer to a ReadCmd. Kind NotFound means that nothing is recorded yet.
type RecordMsg struct {
	Record  Record
	Version object.Version
	Kind    kinds.Kind
}

// WroteMsg is the answer to a WriteCmd.
type WroteMsg struct {
	Record Record
	Kind   kinds.Kind
}

// TickMsg reports that time has passed; send it a few times a second.
type TickMsg struct{}

// ConfirmCmd reports to a counting VM that this VM holds a revision.
type ConfirmCmd struct {
	To  ident.VM
	Rev ident.Revision
}

// AcceptedCmd answers a VM that confirmed: the revision is recorded, and the VM need not
// confirm to other counting VMs.
type AcceptedCmd struct {
	To  ident.VM
	Rev ident.Revision
}

// ReadCmd asks for the recorded acceptance.
type ReadCmd struct{}

// WriteCmd asks to record an acceptance if the object still has version Old.
type WriteCmd struct {
	Record Record
	Old    object.Version
}

// Model holds the decisions of one VM; it implements [loop.Model]. Create one with New.
// Update changes it in place, so only its loop may use it.
type Model struct {
	self          ident.VM
	order         []ident.VM
	rev           ident.Revision // held by this VM
	confirmsSent  int            // confirmations of rev sent
	nextConfirmAt time.Time      // time of the next confirmation

	heldBy       map[ident.VM]ident.Revision // revisions held by the other VMs
	unanswered   map[ident.VM]bool           // VMs whose confirmation was not answered yet
	recorded     ident.Revision              // highest revision known to be accepted
	callInFlight bool                        // a store call is in flight
	nextCallAt   time.Time                   // earliest time of the next store call
}

// New returns the model of one VM.
func New(self ident.VM) *Model {
	return &Model{self: self, heldBy: map[ident.VM]ident.Revision{}, unanswered: map[ident.VM]bool{}}
}

// Update implements [loop.Model].
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case PeersMsg:
		m.setPeers(now, msg.Order)
	case AppliedMsg:
		m.onApplied(now, msg.Rev)
	case ConfirmMsg:
		m.heldBy[msg.From] = max(m.heldBy[msg.From], msg.Rev)
		m.unanswered[msg.From] = true
	case AcceptedMsg:
		m.recorded = max(m.recorded, msg.Rev)
	case RecordMsg:
		return m, append(m.onRecord(now, msg), m.answerConfirms()...)
	case WroteMsg:
		m.onWrote(now, msg)
	}
	cmds := append(m.confirm(now), m.answerConfirms()...)
	return m, append(cmds, m.startRecord(now)...)
}

// setPeers replaces the list of live VMs and drops the confirmations of VMs that left. It
// restarts the confirmations, because the counting VM may have left.
func (m *Model) setPeers(now time.Time, order []ident.VM) {
	if slices.Equal(m.order, order) {
		return
	}
	m.order = slices.Clone(order)
	for vm := range m.heldBy {
		if !slices.Contains(order, vm) {
			delete(m.heldBy, vm)
			delete(m.unanswered, vm)
		}
	}
	m.confirmsSent, m.nextConfirmAt = 0, now
}

// onApplied notes that this VM holds a newer revision, and starts to confirm it.
func (m *Model) onApplied(now time.Time, rev ident.Revision) {
	if rev <= m.rev {
		return
	}
	m.rev = rev
	m.confirmsSent, m.nextConfirmAt = 0, now
}

// confirm confirms to one counting VM after another, until the revision that this VM
// holds is known to be accepted.
func (m *Model) confirm(now time.Time) []loop.Cmd {
	counters := min(MaxCounters, len(m.order))
	if m.rev <= m.recorded || counters == 0 || now.Before(m.nextConfirmAt) {
		return nil
	}
	to := m.order[m.confirmsSent%counters]
	m.nextConfirmAt = now.Add(min(ConfirmInterval<<min(m.confirmsSent/counters, maxDoublings), MaxConfirmInterval))
	m.confirmsSent++
	if to == m.self {
		return nil // the revision of this VM is counted without a message
	}
	return []loop.Cmd{ConfirmCmd{To: to, Rev: m.rev}}
}

// maxDoublings limits the shift of ConfirmInterval; MaxConfirmInterval is reached earlier.
const maxDoublings = 8

// answerConfirms answers the VMs whose confirmed revision is accepted.
func (m *Model) answerConfirms() []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.unanswered)) {
		if m.heldBy[vm] <= m.recorded {
			delete(m.unanswered, vm)
			cmds = append(cmds, AcceptedCmd{To: vm, Rev: m.recorded})
		}
	}
	return cmds
}

// startRecord reads the recorded acceptance when more than half of the VMs hold a revision
// that is not known to be recorded.
func (m *Model) startRecord(now time.Time) []loop.Cmd {
	if m.callInFlight || now.Before(m.nextCallAt) || m.count().Rev <= m.recorded {
		return nil
	}
	m.callInFlight = true
	return []loop.Cmd{ReadCmd{}}
}

// count returns the highest revision that more than half of the live VMs hold. A VM that
// holds a newer revision counts too, because VMs never go back to an older one.
func (m *Model) count() Record {
	revs := make([]ident.Revision, 0, len(m.order))
	for _, vm := range m.order {
		rev := m.heldBy[vm]
		if vm == m.self {
			rev = m.rev
		}
		revs = append(revs, rev)
	}
	if len(revs) == 0 {
		return Record{}
	}
	slices.SortFunc(revs, func(a, b ident.Revision) int { return cmp.Compare(b, a) })
	r := Record{FormatVersion: FormatVersion, Rev: revs[len(revs)/2], Live: len(revs)}
	for _, rev := range revs {
		if rev >= r.Rev {
			r.Confirmed++
		}
	}
	return r
}

// onRecord writes the counted revision unless another VM has recorded it.
func (m *Model) onRecord(now time.Time, msg RecordMsg) []loop.Cmd {
	m.callInFlight = false
	switch msg.Kind {
	case kinds.None, kinds.NotFound:
	case kinds.Malformed, kinds.NewerVersion:
		m.nextCallAt = now.Add(unreadableDelay)
		return nil
	default:
		m.nextCallAt = now.Add(retryDelay)
		return nil
	}
	m.recorded = max(m.recorded, msg.Record.Rev)
	r := m.count()
	if r.Rev <= m.recorded {
		return nil
	}
	r.At = now
	m.callInFlight = true
	return []loop.Cmd{WriteCmd{Record: r, Old: msg.Version}}
}

// onWrote handles the outcome of a write. After any failure, including a lost answer, the
// object is read again before the next write.
func (m *Model) onWrote(now time.Time, msg WroteMsg) {
	m.callInFlight = false
	if msg.Kind == kinds.None {
		m.recorded = max(m.recorded, msg.Record.Rev)
		return
	}
	m.nextCallAt = now.Add(retryDelay)
}
