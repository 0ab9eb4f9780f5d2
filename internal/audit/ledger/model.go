// Package ledger stores decisions durably, so that they survive the loss of any VM: in
// the platform's object API, as numbered objects that are written once.
//
// Each entry VM makes thousands of decisions a second, while the store takes several
// hundred writes a second from all VMs together, may lose the answer to a write that
// took effect, and may be unavailable for minutes. Entries are therefore batched into
// segments of bounded size and rate. Without the rate limit the journals alone would
// use up the store's capacity as VMs are added. With it, the interval between a VM's
// writes grows with the number of VMs.
//
// The design follows LogDrive (Balakrishnan, Vickers, Bradstreet and others,
// "The LogDrive: Composable Durability for Cloud-Based Shared Logs"): a flat
// space of write-once registers at addresses that the writer chooses, with at
// most K writes in flight, so that the tail can be found by looking at a window of K
// addresses. A write whose answer was lost is repeated: it either takes effect now,
// or finds an object with the writer's own token. The alternative, one object that
// is read, extended and written back, rewrites every earlier entry with each append;
// docs/design/audit.md compares the measured costs. The quorums, striping and sealing
// of that paper are not used: the store replicates by itself, and no two writers
// share the journal of a VM.
//
// The loss in a crash is bounded and reported; see [Status] and docs/design/audit.md.
package ledger

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// Parameters of retries and bursts.
const (
	retryMin  = 50 * time.Millisecond
	retryMax  = 2 * time.Second // during an outage each VM makes one call to the store every two seconds
	downAfter = 3               // successive failures after which the store counts as down
	burst     = 2               // writes that may go out at once after an idle time
)

// Messages to the model.
type (
	// AddMsg adds one encoded entry. An entry with a Ticket other than zero is
	// durable: an AckCmd answers it, and it is refused while the store is down.
	AddMsg struct {
		Data   []byte
		At     time.Time
		Ticket uint64
	}
	// TailMsg is the answer to a TailCmd.
	TailMsg struct {
		Kind        kinds.Kind
		NextAddress uint64
	}
	// PutMsg is the answer to a PutCmd.
	PutMsg struct {
		Address uint64
		Kind    kinds.Kind
	}
	// ReadMsg is the answer to a ReadCmd.
	ReadMsg struct {
		Address     uint64
		Kind        kinds.Kind
		WriterToken string
	}
	// VMCountMsg sets the number of VMs that share the write budget of the store.
	VMCountMsg struct{ VMs int }
	// TickMsg reports that the timer of the model has fired.
	TickMsg struct{}
	// CloseMsg asks to write all remaining entries regardless of the rate limit.
	CloseMsg struct{}
)

// Commands of the model.
type (
	// TailCmd asks for the end of the journal, searching from address From.
	TailCmd struct{ From uint64 }
	// PutCmd asks to create the object at an address.
	PutCmd struct {
		Address uint64
		Value   []byte
	}
	// ReadCmd asks for the writer token of the object at an address.
	ReadCmd struct{ Address uint64 }
	// AckCmd answers a ticket: Kind is None when its entry is durable, else NotDurable.
	AckCmd struct {
		Ticket uint64
		Kind   kinds.Kind
	}
	// DoneCmd reports, after CloseMsg, that no entries are left.
	DoneCmd struct{}
)

// Status is the state of a journal as shown to operators.
type Status struct {
	Waiting int       `json:"waiting"`         // entries not yet confirmed; a crash would lose them
	Bytes   int       `json:"bytes"`           // size of the waiting entries in bytes
	Written uint64    `json:"written"`         // segments confirmed
	Kept    uint64    `json:"kept"`            // entries confirmed
	Lost    uint64    `json:"lost"`            // entries dropped because the buffer was full
	Refused uint64    `json:"refused"`         // durable entries refused
	Down    bool      `json:"down"`            // the store counts as down
	Oldest  time.Time `json:"oldest,omitzero"` // time of the oldest entry not yet confirmed
}

// phase is the state of a batch.
type phase uint8

const (
	writing      phase = iota // a PutCmd is in flight
	reading                   // a ReadCmd is in flight
	retryPending              // the write failed and is to be repeated
	needsAddress              // another writer has taken its address; it needs a new one
)

// item is one encoded entry that waits to be written.
type item struct {
	data   []byte
	at     time.Time
	ticket uint64
}

// batch is a group of entries that are written as one segment.
type batch struct {
	address uint64
	phase   phase
	items   []item
	bytes   int    // size of items
	lost    uint64 // entries dropped before this batch
	value   []byte // encoded segment
}

// Model decides what is written and when. It is a [loop.Model]; only its loop may
// call Update. Status is a copy for readers.
type Model struct {
	Status Status
	*state
}

// state is the mutable state of a Model.
type state struct {
	limits        Limits
	path          string
	token         string
	tailKnown     bool   // false until a TailCmd was answered, and after a conflict
	tailRequested bool   // a TailCmd is in flight
	nextAddress   uint64 // address of the next new segment

	items          []item    // buffered entries that have no address yet
	bytes          int       // size of items
	inFlight       []*batch  // batches with an address that are not confirmed
	unreportedLost uint64    // entries lost but not yet counted in a segment
	vmCount        int       // number of VMs that share the write budget
	nextWriteAt    time.Time // theoretical time of the next write under the rate limit
	failures       int       // successive failed store calls
	retryAt        time.Time // earliest time of the next retry
	timerAt        time.Time // when the pending timer fires; zero without one
	closed         bool      // a CloseMsg was received
	doneSent       bool      // a DoneCmd was sent
}

var _ loop.Model = Model{}

// NewModel returns the model of the journal at path; token is the writer token of this
// process.
func NewModel(path, token string, limits Limits) Model {
	return Model{state: &state{path: path, token: token, limits: limits.withDefaults()}}
}

// Update applies one message.
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var cmds []loop.Cmd
	switch msg := msg.(type) {
	case AddMsg:
		cmds = m.onAdd(msg)
	case TailMsg:
		cmds = m.onTail(now, msg)
	case PutMsg:
		cmds = m.onPut(now, msg)
	case ReadMsg:
		cmds = m.onRead(now, msg)
	case VMCountMsg:
		m.vmCount = msg.VMs
	case TickMsg:
		m.timerAt = time.Time{}
	case CloseMsg:
		m.closed = true
	}
	cmds = append(cmds, m.nextCmds(now)...)
	m.updateStatus()
	return m, cmds
}

// onAdd buffers an entry, or refuses it when the buffer is full. It drops the new entry
// rather than an old one, because callers may wait for the old ones to become durable.
func (m *Model) onAdd(msg AddMsg) []loop.Cmd {
	full := m.bytes+len(msg.Data) > m.limits.Buffer || len(msg.Data) > m.limits.Batch
	if msg.Ticket != 0 && (full || m.storeDown() || m.closed) {
		m.Status.Refused++
		return []loop.Cmd{AckCmd{msg.Ticket, kinds.NotDurable}}
	}
	if full {
		m.unreportedLost++
		m.Status.Lost++
		return nil
	}
	m.items = append(m.items, item{msg.Data, msg.At, msg.Ticket})
	m.bytes += len(msg.Data)
	return nil
}

func (m *Model) onTail(now time.Time, msg TailMsg) []loop.Cmd {
	m.tailRequested = false
	if msg.Kind != kinds.None {
		return m.storeFailed(now)
	}
	m.storeAnswered()
	m.tailKnown = true
	m.nextAddress = max(m.nextAddress, msg.NextAddress)
	for _, b := range m.inFlight {
		if b.phase == needsAddress {
			m.readdress(b)
			b.phase = retryPending
		}
	}
	return nil
}

// onPut handles the answer to a write. A conflict may come from this writer's own
// earlier write whose answer was lost, so the object is read first. After a lost answer
// reading the address is cheaper than repeating the write, and needs no delay. During an
// outage the read is left out, as it would only double the calls.
func (m *Model) onPut(now time.Time, msg PutMsg) []loop.Cmd {
	b := m.batchAt(msg.Address, writing)
	if b == nil {
		return nil
	}
	switch msg.Kind {
	case kinds.None:
		return m.onConfirmed(b)
	case kinds.Conflict:
	case kinds.Ambiguous:
		if m.storeDown() {
			b.phase = retryPending
			return m.storeFailed(now)
		}
	default:
		b.phase = retryPending
		return m.storeFailed(now)
	}
	b.phase = reading
	return []loop.Cmd{ReadCmd{b.address}}
}

// onRead handles the answer to reading an address that is taken, or may be.
func (m *Model) onRead(now time.Time, msg ReadMsg) []loop.Cmd {
	b := m.batchAt(msg.Address, reading)
	if b == nil {
		return nil
	}
	switch msg.Kind {
	case kinds.None, kinds.NewerVersion, kinds.Malformed:
		if msg.Kind == kinds.None && msg.WriterToken == m.token {
			return m.onConfirmed(b)
		}
		b.phase = needsAddress
		m.tailKnown = false
		m.storeAnswered()
		return nil
	default:
		b.phase = retryPending
		return m.storeFailed(now)
	}
}

func (m *Model) onConfirmed(b *batch) []loop.Cmd {
	m.storeAnswered()
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *batch) bool { return o == b })
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

// storeFailed counts a failed call. Once the store counts as down, all callers that wait
// for a durable entry are refused at once: the outage may last for minutes, and they can
// be told when to try again. The entries themselves stay in the buffer and are written
// later, although their requests were not run.
func (m *Model) storeFailed(now time.Time) []loop.Cmd {
	m.failures++
	m.retryAt = now.Add(min(retryMin<<min(m.failures-1, 10), retryMax))
	if !m.storeDown() {
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
	for _, b := range m.inFlight {
		refuse(b.items)
	}
	refuse(m.items)
	return cmds
}

// storeAnswered resets the count of failures.
func (m *Model) storeAnswered() { m.failures, m.retryAt = 0, time.Time{} }

func (m *Model) storeDown() bool { return m.failures >= downAfter }

// batchAt returns the batch at address n in phase p, or nil.
func (m *Model) batchAt(n uint64, p phase) *batch {
	for _, b := range m.inFlight {
		if b.address == n && b.phase == p {
			return b
		}
	}
	return nil
}
