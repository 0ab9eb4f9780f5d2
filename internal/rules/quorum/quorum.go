// Package quorum decides when an edit of the rules is accepted: when more than
// half of the live entry VMs hold its revision.
//
// The fault it answers: an operator reaches the store while most entry VMs
// reach neither the store nor a VM that does. The conditional update succeeds,
// and those VMs, which hear each other and take the store's silence for an
// outage, go on under the old rules until the cut ends. An operator who was told
// "accepted" would believe a route closed that still serves. Counting closes
// this: any group of VMs that goes on without the store is more than half of
// them (see package force), so it shares a VM with those that hold the accepted
// revision, and hears of it from that one. An edit that is written and not yet
// accepted is in force wherever it is heard of, and is never taken back.
//
// The load it puts on the fleet, for each edit: one confirmation from each VM to
// one counting VM, one answer back once the edit is recorded, and one write of a
// small object. A counting VM that is lost with what it counted is made up for by
// the next in order, which is told [Again] later; without the answer every VM
// would have to tell all of them. While nothing can be recorded, as in an outage
// of the store, the pauses grow to [Slow], so that a fleet that waits costs next
// to nothing.
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
	// Counters is how many VMs are told, one after the other. As with the
	// watchers of the store, one may be lost and one slow.
	Counters = 3
	// Again is the first pause between telling one counting VM and the next: twice
	// the time in which an edit is usually counted and recorded. It doubles each
	// time all were told, up to [Slow].
	Again = 2 * time.Second
	// Slow is the longest pause.
	Slow = 30 * time.Second
	// pause lies between attempts at a store that did not answer.
	pause = 500 * time.Millisecond
	// rest follows a record that this program cannot read: asking again soon
	// would bring the same.
	rest = 30 * time.Second
)

// PeersMsg replaces the list of live VMs, this one included, in the order in
// which they count. Every VM must be given the same order.
type PeersMsg struct{ Order []ident.VM }

// AppliedMsg tells that this VM put a revision in force.
type AppliedMsg struct{ Rev ident.Revision }

// ConfirmMsg tells that another VM holds a revision, or a newer one.
type ConfirmMsg struct {
	From ident.VM
	Rev  ident.Revision
}

// AcceptedMsg tells that a revision is recorded as accepted.
type AcceptedMsg struct{ Rev ident.Revision }

// RecordMsg answers a ReadCmd. Kind Absent is an answer: nothing was recorded.
type RecordMsg struct {
	Record  Record
	Version object.Version
	Kind    kinds.Kind
}

// WroteMsg answers a WriteCmd.
type WroteMsg struct {
	Record Record
	Kind   kinds.Kind
}

// TickMsg lets time pass; send it a few times a second.
type TickMsg struct{}

// ConfirmCmd tells a counting VM that this one holds a revision.
type ConfirmCmd struct {
	To  ident.VM
	Rev ident.Revision
}

// AcceptedCmd answers a VM that confirmed: the revision is recorded, and it need
// not tell anybody else.
type AcceptedCmd struct {
	To  ident.VM
	Rev ident.Revision
}

// ReadCmd asks for the recorded acceptance.
type ReadCmd struct{}

// WriteCmd records an acceptance, if the object is still at the version.
type WriteCmd struct {
	Record Record
	Old    object.Version
}

// Model is the decision module of one VM; it implements [loop.Model]. Make one
// with New. It changes in place, so its state belongs to the loop.
type Model struct {
	self  ident.VM
	order []ident.VM
	rev   ident.Revision // that this VM holds
	told  int            // times that a counting VM was told of rev
	next  time.Time      // when the next one is told

	by       map[ident.VM]ident.Revision // what the others hold
	unsure   map[ident.VM]bool           // who confirmed and was not answered
	recorded ident.Revision              // known to be accepted
	busy     bool                        // a call of the store is under way
	due      time.Time                   // not before this is the store called again
}

// New makes the model of one VM.
func New(self ident.VM) *Model {
	return &Model{self: self, by: map[ident.VM]ident.Revision{}, unsure: map[ident.VM]bool{}}
}

// Update implements [loop.Model].
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case PeersMsg:
		m.setPeers(now, msg.Order)
	case AppliedMsg:
		m.hold(now, msg.Rev)
	case ConfirmMsg:
		m.by[msg.From] = max(m.by[msg.From], msg.Rev)
		m.unsure[msg.From] = true
	case AcceptedMsg:
		m.recorded = max(m.recorded, msg.Rev)
	case RecordMsg:
		return m, append(m.read(now, msg), m.answer()...)
	case WroteMsg:
		m.wrote(now, msg)
	}
	cmds := append(m.tell(now), m.answer()...)
	return m, append(cmds, m.record(now)...)
}

// setPeers counts anew among the VMs of the list, and confirms once more: the
// VM that counted may be among those that left.
func (m *Model) setPeers(now time.Time, order []ident.VM) {
	if slices.Equal(m.order, order) {
		return
	}
	m.order = slices.Clone(order)
	for vm := range m.by {
		if !slices.Contains(order, vm) {
			delete(m.by, vm)
			delete(m.unsure, vm)
		}
	}
	m.told, m.next = 0, now
}

func (m *Model) hold(now time.Time, rev ident.Revision) {
	if rev <= m.rev {
		return
	}
	m.rev = rev
	m.told, m.next = 0, now
}

// tell confirms to one counting VM after the other, until the revision that this
// VM holds is known to be accepted.
func (m *Model) tell(now time.Time) []loop.Cmd {
	counters := min(Counters, len(m.order))
	if m.rev <= m.recorded || counters == 0 || now.Before(m.next) {
		return nil
	}
	to := m.order[m.told%counters]
	m.next = now.Add(min(Again<<min(m.told/counters, doublings), Slow))
	m.told++
	if to == m.self {
		return nil // what this VM holds is counted without a message
	}
	return []loop.Cmd{ConfirmCmd{To: to, Rev: m.rev}}
}

// doublings bounds the shift; Slow is reached before.
const doublings = 8

// answer tells those that confirmed what is accepted by now.
func (m *Model) answer() []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.unsure)) {
		if m.by[vm] <= m.recorded {
			delete(m.unsure, vm)
			cmds = append(cmds, AcceptedCmd{To: vm, Rev: m.recorded})
		}
	}
	return cmds
}

// record asks what is recorded when more than half hold a revision that, as far
// as is known here, is not.
func (m *Model) record(now time.Time) []loop.Cmd {
	if m.busy || now.Before(m.due) || m.count().Rev <= m.recorded {
		return nil
	}
	m.busy = true
	return []loop.Cmd{ReadCmd{}}
}

// count finds the highest revision that more than half of the live VMs hold.
// Whoever holds a newer one holds it too: nobody goes back.
func (m *Model) count() Record {
	revs := make([]ident.Revision, 0, len(m.order))
	for _, vm := range m.order {
		rev := m.by[vm]
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

// read writes what was counted, unless another VM has.
func (m *Model) read(now time.Time, msg RecordMsg) []loop.Cmd {
	m.busy = false
	switch msg.Kind {
	case kinds.None, kinds.NotFound:
	case kinds.Malformed, kinds.NewerVersion:
		m.due = now.Add(rest)
		return nil
	default:
		m.due = now.Add(pause)
		return nil
	}
	m.recorded = max(m.recorded, msg.Record.Rev)
	r := m.count()
	if r.Rev <= m.recorded {
		return nil
	}
	r.At = now
	m.busy = true
	return []loop.Cmd{WriteCmd{Record: r, Old: msg.Version}}
}

// wrote takes the outcome of a write. After any failure, a lost answer too, the
// object is read again before anything else is decided.
func (m *Model) wrote(now time.Time, msg WroteMsg) {
	m.busy = false
	if msg.Kind == kinds.None {
		m.recorded = max(m.recorded, msg.Record.Rev)
		return
	}
	m.due = now.Add(pause)
}
