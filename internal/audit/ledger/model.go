// Package ledger keeps decisions where they outlive every VM: in the platform's
// object API, as numbered objects that are written once.
//
// The load pattern it answers is thousands of decisions a second on each entry
// VM against a store that takes several hundred writes a second from everybody,
// that loses answers after a write took effect, and that is away for minutes.
// Entries are batched into segments of bounded size and rate. Without the rate
// bound the journal alone would use up the store as the fleet grows: with it,
// the interval between a VM's writes grows with the number of VMs.
//
// The form is that of LogDrive (Balakrishnan, Vickers, Bradstreet and others,
// "The LogDrive: Composable Durability for Cloud-Based Shared Logs"): a flat
// space of write-once registers at addresses that the writer chooses, with at
// most K writes in flight, so that the tail is found again by looking at a
// window of K addresses. A write whose answer was lost is simply repeated: it
// either takes effect now or meets the writer's own token. The alternative, one
// object that is read, extended and written back, rewrites every earlier entry
// with each append; docs/design/audit.md has both measured. Quorums, striping
// and sealing of that paper are not taken: the store replicates by itself, and
// no two writers share a VM's journal.
//
// What a crash loses is bounded and said: see [Status] and docs/design/audit.md.
package ledger

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// Times and counts of the retry discipline.
const (
	retryMin  = 50 * time.Millisecond
	retryMax  = 2 * time.Second // an outage costs the store one call in two seconds and VM
	downAfter = 3               // failures in a row after which the store counts as down
	burst     = 2               // writes that may go out at once after a quiet time
)

// The messages of the model.
type (
	// AddMsg adds one encoded entry. With a Ticket other than zero the answer
	// is an AckCmd; Durable entries are refused while the store is down.
	AddMsg struct {
		Data   []byte
		At     time.Time
		Ticket uint64
	}
	// TailMsg is the answer to a TailCmd.
	TailMsg struct {
		Kind kinds.Kind
		Next uint64
	}
	// PutMsg is the answer to a PutCmd.
	PutMsg struct {
		N    uint64
		Kind kinds.Kind
	}
	// ReadMsg is the answer to a ReadCmd.
	ReadMsg struct {
		N    uint64
		Kind kinds.Kind
		Tok  string
	}
	// FleetMsg tells how many VMs share the store's budget.
	FleetMsg struct{ VMs int }
	// TickMsg is the model's own timer.
	TickMsg struct{}
	// CloseMsg asks to write what is left without regard to the rate.
	CloseMsg struct{}
)

// The effects that the model asks for.
type (
	// TailCmd asks for the first free address from From on.
	TailCmd struct{ From uint64 }
	// PutCmd asks to create the object at address N.
	PutCmd struct {
		N     uint64
		Value []byte
	}
	// ReadCmd asks who wrote the object at address N.
	ReadCmd struct{ N uint64 }
	// AckCmd answers a ticket: None when its entry is durable, else Undurable.
	AckCmd struct {
		Ticket uint64
		Kind   kinds.Kind
	}
	// DoneCmd says, after CloseMsg, that nothing is left.
	DoneCmd struct{}
)

// Status is what an operator sees of a journal.
type Status struct {
	Waiting int       `json:"waiting"`         // entries not yet confirmed: what a crash now would lose
	Bytes   int       `json:"bytes"`           // their size
	Written uint64    `json:"written"`         // segments confirmed
	Kept    uint64    `json:"kept"`            // entries confirmed
	Lost    uint64    `json:"lost"`            // entries dropped because the buffer was full
	Refused uint64    `json:"refused"`         // durable entries refused
	Down    bool      `json:"down"`            // the store counts as down
	Oldest  time.Time `json:"oldest,omitzero"` // of the oldest entry not yet confirmed
}

type phase uint8

const (
	writing phase = iota // a PutCmd is out
	reading              // a ReadCmd is out
	waiting              // to be written again at the next try
	moving               // its address belongs to another writer: needs a new one
)

type item struct {
	data   []byte
	at     time.Time
	ticket uint64
}

type batch struct {
	n     uint64
	phase phase
	items []item
	bytes int
	lost  uint64
	value []byte
}

// Model decides what is written when. It is a [loop.Model]; only its loop may
// call Update. Status is a copy for readers.
type Model struct {
	Status Status
	*state
}

type state struct {
	lim   Limits
	path  string
	tok   string
	found bool // the tail is known
	ask   bool // a TailCmd is out
	next  uint64

	items  []item
	bytes  int // of items
	flight []*batch
	lost   uint64 // to be told in the next segment
	vms    int
	slot   time.Time // theoretical time of the next write
	fails  int
	again  time.Time // no retry before
	tick   time.Time // when the outstanding timer fires
	closed bool
	done   bool
}

var _ loop.Model = Model{}

// NewModel makes the model of the journal at path, written by the process tok.
func NewModel(path, tok string, lim Limits) Model {
	return Model{state: &state{path: path, tok: tok, lim: lim.fill()}}
}

// Update applies one message.
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var cmds []loop.Cmd
	switch msg := msg.(type) {
	case AddMsg:
		cmds = m.add(msg)
	case TailMsg:
		cmds = m.tail(now, msg)
	case PutMsg:
		cmds = m.put(now, msg)
	case ReadMsg:
		cmds = m.read(now, msg)
	case FleetMsg:
		m.vms = msg.VMs
	case TickMsg:
		m.tick = time.Time{}
	case CloseMsg:
		m.closed = true
	}
	cmds = append(cmds, m.act(now)...)
	m.fill()
	return m, cmds
}

// add takes an entry, or refuses it for want of room. The newest is refused:
// what was taken before may have been promised to somebody.
func (m *Model) add(msg AddMsg) []loop.Cmd {
	full := m.bytes+len(msg.Data) > m.lim.Buffer || len(msg.Data) > m.lim.Batch
	if msg.Ticket != 0 && (full || m.down() || m.closed) {
		m.Status.Refused++
		return []loop.Cmd{AckCmd{msg.Ticket, kinds.NotDurable}}
	}
	if full {
		m.lost++
		m.Status.Lost++
		return nil
	}
	m.items = append(m.items, item{msg.Data, msg.At, msg.Ticket})
	m.bytes += len(msg.Data)
	return nil
}

func (m *Model) tail(now time.Time, msg TailMsg) []loop.Cmd {
	m.ask = false
	if msg.Kind != kinds.None {
		return m.failed(now)
	}
	m.works()
	m.found = true
	m.next = max(m.next, msg.Next)
	for _, b := range m.flight {
		if b.phase == moving {
			m.number(b)
			b.phase = waiting
		}
	}
	return nil
}

// put handles the answer to a write. A conflict may be our own earlier write
// whose answer was lost, so it is looked at before anything is concluded. After
// a lost answer a look at the address is cheaper than the same write again, and
// needs no pause; during an outage it would only double the calls.
func (m *Model) put(now time.Time, msg PutMsg) []loop.Cmd {
	b := m.at(msg.N, writing)
	if b == nil {
		return nil
	}
	switch msg.Kind {
	case kinds.None:
		return m.confirmed(b)
	case kinds.Conflict:
	case kinds.Ambiguous:
		if m.down() {
			b.phase = waiting
			return m.failed(now)
		}
	default:
		b.phase = waiting
		return m.failed(now)
	}
	b.phase = reading
	return []loop.Cmd{ReadCmd{b.n}}
}

// read handles the look at a taken address.
func (m *Model) read(now time.Time, msg ReadMsg) []loop.Cmd {
	b := m.at(msg.N, reading)
	if b == nil {
		return nil
	}
	switch msg.Kind {
	case kinds.None, kinds.NewerVersion, kinds.Malformed:
		if msg.Kind == kinds.None && msg.Tok == m.tok {
			return m.confirmed(b)
		}
		b.phase = moving
		m.found = false
		m.works()
		return nil
	default:
		b.phase = waiting
		return m.failed(now)
	}
}

func (m *Model) confirmed(b *batch) []loop.Cmd {
	m.works()
	m.flight = slices.DeleteFunc(m.flight, func(o *batch) bool { return o == b })
	m.Status.Written++
	m.Status.Kept += uint64(len(b.items))
	var cmds []loop.Cmd
	for _, it := range b.items {
		if it.ticket != 0 {
			cmds = append(cmds, AckCmd{it.ticket, kinds.None})
		}
	}
	return cmds
}

// failed counts a failure. Once the store counts as down, whoever waits for a
// durable entry gets a final answer at once: the outage may last for minutes,
// and the caller can be told when to come back. The entries themselves stay and
// are written later; they then tell of a request that was not run.
func (m *Model) failed(now time.Time) []loop.Cmd {
	m.fails++
	m.again = now.Add(min(retryMin<<min(m.fails-1, 10), retryMax))
	if !m.down() {
		return nil
	}
	var cmds []loop.Cmd
	refuse := func(items []item) {
		for i := range items {
			if items[i].ticket != 0 {
				cmds = append(cmds, AckCmd{items[i].ticket, kinds.NotDurable})
				items[i].ticket = 0
				m.Status.Refused++
			}
		}
	}
	for _, b := range m.flight {
		refuse(b.items)
	}
	refuse(m.items)
	return cmds
}

// works notes that the store answered.
func (m *Model) works() { m.fails, m.again = 0, time.Time{} }

func (m *Model) down() bool { return m.fails >= downAfter }

func (m *Model) at(n uint64, p phase) *batch {
	for _, b := range m.flight {
		if b.n == n && b.phase == p {
			return b
		}
	}
	return nil
}
