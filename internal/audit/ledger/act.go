package ledger

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// act asks for every write that may go out now, and for a timer for the rest.
func (m *Model) act(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	if !m.found {
		if m.ask || now.Before(m.again) {
			return m.later(now, cmds)
		}
		m.ask = true
		return append(cmds, TailCmd{m.next})
	}
	cmds = m.retry(now, cmds)
	for m.maySend(now) {
		cmds = append(cmds, m.send(now))
	}
	if m.closed && !m.done && len(m.items)+len(m.flight) == 0 {
		m.done = true
		cmds = append(cmds, DoneCmd{})
	}
	return m.later(now, cmds)
}

// retry repeats failed writes at their old address; while the store is down
// only the first one, as a probe.
func (m *Model) retry(now time.Time, cmds []loop.Cmd) []loop.Cmd {
	if now.Before(m.again) || m.down() && m.probing() {
		return cmds
	}
	for _, b := range m.flight {
		if b.phase != waiting {
			continue
		}
		b.phase = writing
		cmds = append(cmds, PutCmd{b.n, b.value})
		if m.down() {
			break
		}
	}
	return cmds
}

// probing reports whether a call is out.
func (m *Model) probing() bool {
	return slices.ContainsFunc(m.flight, func(b *batch) bool { return b.phase == writing || b.phase == reading })
}

// maySend holds the two bounds. The window counts addresses, not writes: every
// hole then lies within Window of the tail, which is all that a reader looks at.
func (m *Model) maySend(now time.Time) bool {
	oldest := m.next
	for _, b := range m.flight {
		oldest = min(oldest, b.n)
	}
	room := m.next-oldest < uint64(m.lim.Window)
	rate := m.closed || !now.Before(m.slot)
	return len(m.items) > 0 && room && rate && m.fails == 0
}

func (m *Model) send(now time.Time) loop.Cmd {
	gap := m.lim.interval(m.vms)
	if earliest := now.Add(-(burst - 1) * gap); m.slot.Before(earliest) {
		m.slot = earliest
	}
	m.slot = m.slot.Add(gap)
	b := m.cut()
	m.flight = append(m.flight, b)
	return PutCmd{b.n, b.value}
}

// cut takes as many entries as one segment holds and gives them the next
// address. Entries that compress badly are cut again by halves until the value
// fits into one object.
func (m *Model) cut() *batch {
	b := &batch{lost: m.lost}
	n := 0
	for n < len(m.items) && b.bytes+len(m.items[n].data) <= m.lim.Batch {
		b.bytes += len(m.items[n].data)
		n++
	}
	for {
		b.items = m.items[:n:n]
		m.render(b, m.next)
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
	m.lost = 0
	m.next++
	return b
}

// maxValue leaves a distance to the platform's limit.
const maxValue = 1_000_000

// number gives a batch another address than it had.
func (m *Model) number(b *batch) {
	m.render(b, m.next)
	m.next++
}

// render makes a batch's value for an address.
func (m *Model) render(b *batch, n uint64) {
	b.n = n
	s := Segment{Head: Head{V: Version, Path: m.path, N: n, Tok: m.tok, Lost: b.lost}}
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
		// Only a fault of the program gets here. An empty segment keeps the
		// log free of a hole, and counts what it does not hold.
		s.Lost += uint64(len(s.Items))
		s.Items = nil
		value, _ = s.Encode()
	}
	b.value = value
}

// later asks for a timer when something waits for the clock alone.
func (m *Model) later(now time.Time, cmds []loop.Cmd) []loop.Cmd {
	var due time.Time
	switch {
	case now.Before(m.again) && (m.fails > 0 || !m.found):
		due = m.again
	case len(m.items) > 0 && now.Before(m.slot) && !m.closed:
		due = m.slot
	default:
		return cmds
	}
	if !m.tick.IsZero() && !m.tick.After(due) {
		return cmds
	}
	m.tick = due
	return append(cmds, loop.AfterCmd{D: due.Sub(now), Msg: TickMsg{}})
}

// fill brings Status up to date.
func (m *Model) fill() {
	s := &m.Status
	s.Waiting, s.Bytes, s.Down, s.Oldest = len(m.items), m.bytes, m.down(), time.Time{}
	note := func(items []item) {
		if len(items) > 0 && (s.Oldest.IsZero() || items[0].at.Before(s.Oldest)) {
			s.Oldest = items[0].at
		}
	}
	note(m.items)
	for _, b := range m.flight {
		s.Waiting += len(b.items)
		s.Bytes += b.bytes
		note(b.items)
	}
}
