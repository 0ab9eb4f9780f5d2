package ledger

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// nextCmds returns commands for every write that may go out now, and a timer for the
// rest.
func (m *Model) nextCmds(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	if !m.tailKnown {
		if m.tailRequested || now.Before(m.retryAt) {
			return m.armTimer(now, cmds)
		}
		m.tailRequested = true
		return append(cmds, TailCmd{m.nextAddress})
	}
	cmds = m.retry(now, cmds)
	for m.canSend(now) {
		cmds = append(cmds, m.sendBatch(now))
	}
	if m.closed && !m.doneSent && len(m.items)+len(m.inFlight) == 0 {
		m.doneSent = true
		cmds = append(cmds, DoneCmd{})
	}
	return m.armTimer(now, cmds)
}

// retry repeats failed writes at their old addresses. While the store is down it
// repeats only the first one, to find out whether the store works again.
func (m *Model) retry(now time.Time, cmds []loop.Cmd) []loop.Cmd {
	if now.Before(m.retryAt) || m.storeDown() && m.callInFlight() {
		return cmds
	}
	for _, b := range m.inFlight {
		if b.phase != retryPending {
			continue
		}
		b.phase = writing
		cmds = append(cmds, PutCmd{b.address, b.value})
		if m.storeDown() {
			break
		}
	}
	return cmds
}

// callInFlight reports whether a store call for a batch is in flight.
func (m *Model) callInFlight() bool {
	return slices.ContainsFunc(m.inFlight, func(b *batch) bool { return b.phase == writing || b.phase == reading })
}

// canSend reports whether the window and the rate allow a write. The window counts
// addresses, not writes, so every hole lies within Window of the tail, which is as
// far as a reader looks.
func (m *Model) canSend(now time.Time) bool {
	oldest := m.nextAddress
	for _, b := range m.inFlight {
		oldest = min(oldest, b.address)
	}
	room := m.nextAddress-oldest < uint64(m.limits.Window)
	rate := m.closed || !now.Before(m.nextWriteAt)
	return len(m.items) > 0 && room && rate && m.failures == 0
}

func (m *Model) sendBatch(now time.Time) loop.Cmd {
	gap := m.limits.interval(m.vmCount)
	if earliest := now.Add(-(burst - 1) * gap); m.nextWriteAt.Before(earliest) {
		m.nextWriteAt = earliest
	}
	m.nextWriteAt = m.nextWriteAt.Add(gap)
	b := m.takeBatch()
	m.inFlight = append(m.inFlight, b)
	return PutCmd{b.address, b.value}
}

// takeBatch takes as many entries as one segment holds and gives them the next
// address. When the compressed entries do not fit into one object, it halves their
// number until they do.
func (m *Model) takeBatch() *batch {
	b := &batch{lost: m.unreportedLost}
	n := 0
	for n < len(m.items) && b.bytes+len(m.items[n].data) <= m.limits.Batch {
		b.bytes += len(m.items[n].data)
		n++
	}
	for {
		b.items = m.items[:n:n]
		m.encodeBatch(b, m.nextAddress)
		if len(b.value) <= maxValue || n == 1 {
			break
		}
		n /= 2
	}
	b.bytes = 0
	for _, it := range b.items {
		b.bytes += len(it.data)
	}
	m.items = m.items[n:]
	m.bytes -= b.bytes
	m.unreportedLost = 0
	m.nextAddress++
	return b
}

// maxValue is the largest encoded segment in bytes; it leaves a margin below the
// platform's limit for an object.
const maxValue = 1_000_000

// readdress moves a batch to the next free address.
func (m *Model) readdress(b *batch) {
	m.encodeBatch(b, m.nextAddress)
	m.nextAddress++
}

// encodeBatch encodes a batch as the segment at address n.
func (m *Model) encodeBatch(b *batch, n uint64) {
	b.address = n
	s := Segment{Head: Head{FormatVersion: Version, Path: m.path, Address: n, WriterToken: m.token, Lost: b.lost}}
	for i, it := range b.items {
		if i == 0 || it.at.Before(s.From) {
			s.From = it.at
		}
		if it.at.After(s.To) {
			s.To = it.at
		}
		s.Items = append(s.Items, cbor.RawMessage(it.data))
	}
	value, err := s.Encode()
	if err != nil {
		// Encoding fails only through a programming error. An empty segment
		// avoids a hole in the journal and counts the entries as lost.
		s.Lost += uint64(len(s.Items))
		s.Items = nil
		value, _ = s.Encode()
	}
	b.value = value
}

// armTimer adds a timer command when the next retry or write only waits for its time.
func (m *Model) armTimer(now time.Time, cmds []loop.Cmd) []loop.Cmd {
	var due time.Time
	switch {
	case now.Before(m.retryAt) && (m.failures > 0 || !m.tailKnown):
		due = m.retryAt
	case len(m.items) > 0 && now.Before(m.nextWriteAt) && !m.closed:
		due = m.nextWriteAt
	default:
		return cmds
	}
	if !m.timerAt.IsZero() && !m.timerAt.After(due) {
		return cmds
	}
	m.timerAt = due
	return append(cmds, loop.AfterCmd{D: due.Sub(now), Msg: TickMsg{}})
}

// updateStatus updates Status.
func (m *Model) updateStatus() {
	s := &m.Status
	s.Waiting, s.Bytes, s.Down, s.Oldest = len(m.items), m.bytes, m.storeDown(), time.Time{}
	note := func(items []item) {
		if len(items) > 0 && (s.Oldest.IsZero() || items[0].at.Before(s.Oldest)) {
			s.Oldest = items[0].at
		}
	}
	note(m.items)
	for _, b := range m.inFlight {
		s.Waiting += len(b.items)
		s.Bytes += b.bytes
		note(b.items)
	}
}
