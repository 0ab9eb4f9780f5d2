package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// store reads the table once, and writes it when it should change.
func (m *Model) store(now time.Time) []loop.Cmd {
	if m.calling || now.Before(m.callAt) {
		return nil
	}
	if !m.loaded || m.stale {
		m.calling = true
		return []loop.Cmd{ReadCmd{}}
	}
	if m.behind() {
		m.callAt = now.Add(again)
		return []loop.Cmd{StaleEpochCmd{Epoch: m.table.Epoch}}
	}
	d := m.plan(now)
	if d == nil {
		return nil
	}
	m.calling, m.writing, m.dirty = true, d, time.Time{}
	d.table.Epoch = m.auth.Epoch
	if m.flaw == flawStale {
		m.adopt(d)
	}
	return []loop.Cmd{WriteCmd{Table: d.table, Old: m.version}}
}

// behind reports whether the table stands above this leader: at a higher epoch, or at
// the same one without having been written by this VM. Leaders that begin after the
// lease was lost, each at the first epoch, would take each other's tables for their own.
func (m *Model) behind() bool {
	return m.table.Epoch > m.auth.Epoch ||
		m.table.Epoch == m.auth.Epoch && m.version != 0 && m.wroteAs != m.auth.Epoch && m.flaw != flawBehind
}

// read takes in the stored table. What this leader knew of its rows is kept where
// the row is the same.
func (m *Model) read(now time.Time, msg ReadResultMsg) []loop.Cmd {
	m.calling = false
	switch {
	case msg.Kind == kinds.NotFound:
		msg.Table = ranges.NewTable(0)
		m.fresh = true
	case msg.Kind == kinds.Malformed:
		m.callAt = now.Add(unread)
		return nil
	case msg.Kind != kinds.None:
		m.callAt = now.Add(again)
		return nil
	}
	old, rows := m.table, m.rows
	m.table, m.version = msg.Table.Clone(), msg.Version
	m.rows = make([]state, len(m.table.Rows))
	for i, r := range m.table.Rows {
		j := old.Find(r.First)
		if j < len(old.Rows) && old.Rows[j] == r {
			m.rows[i] = rows[j]
			continue
		}
		m.rows[i] = m.inherit(r)
		if j < len(old.Rows) {
			// The stored change may be this VM's own, whose answer was lost: what it
			// granted before still binds.
			m.rows[i].until = rows[j].until
			m.rows[i].free = later(rows[j].free, rows[j].until)
		}
		if r.Lost {
			m.lose(now, i, old, rows)
		}
	}
	m.loaded, m.stale, m.writing = true, false, nil
	if msg.Version != 0 && m.table.Epoch != m.auth.Epoch {
		// Written once more, the table refuses whatever the leader before still has
		// on its way. Renewing before that would be seen by nobody: the one before
		// could move keys and wait for its own grants alone.
		m.dirty = now.Add(-tidy)
	}
	return []loop.Cmd{LogCmd{Event: "table read", Rows: len(m.table.Rows)}}
}

// lose waits for whoever had the keys of a row that names nobody: a leader before may
// have renewed them until its end, and this one until now. Grants of this one may still
// be on their way, so the owner that it knew is kept as the former one.
func (m *Model) lose(now time.Time, i int, old ranges.Table, rows []state) {
	r, s := &m.table.Rows[i], &m.rows[i]
	if m.flaw == flawLost {
		m.freed(r, s, "")
		return
	}
	s.phase, s.olderFree = freeing, true
	s.free = later(s.free, lapse(now, LongHold))
	j := old.Find(r.First)
	if j >= len(old.Rows) {
		return
	}
	was := old.Rows[j]
	if was.Lost && was.Owner == r.Owner && was.Fence == r.Fence && was.Incarnation == r.Incarnation {
		*s, r.PrevOwner = rows[j], was.PrevOwner // known before, and waited for since
		return
	}
	if r.PrevOwner = was.Owner; r.PrevOwner == "" {
		r.PrevOwner = was.PrevOwner
	}
}

// inherit is what is known of a row that another leader wrote: its owner may have
// been given it, and the former owner may have been renewed until the bar.
func (m *Model) inherit(r ranges.Row) state {
	s := state{older: true}
	switch {
	case r.Owner == "":
		s.phase = vacant
	case r.PrevOwner != "":
		s.phase, s.olderFree = freeing, true
	default:
		s.phase = granting // the same grant again is a renewal
	}
	return s
}

// free is when a row's former owner has it no longer, whatever it says.
func (m *Model) free(s *state) time.Time {
	if m.flaw == flawWait {
		return time.Time{}
	}
	if s.olderFree && m.flaw != flawBar {
		return later(s.free, lapse(m.auth.OldTermEnd, LongHold))
	}
	return s.free
}

// lapse is when a grant that was sent then has certainly run out.
func lapse(sent time.Time, hold time.Duration) time.Time {
	return sent.Add(hold + hold*slow/1000 + margin)
}

func (m *Model) wrote(now time.Time, msg WriteResultMsg) []loop.Cmd {
	m.calling = false
	d := m.writing
	m.writing = nil
	switch {
	case d == nil:
		return nil
	case msg.Kind == kinds.None:
		m.version, m.wroteAs = msg.Version, d.table.Epoch
		return m.adopt(d)
	case msg.Kind == kinds.Conflict, msg.Kind == kinds.Ambiguous, msg.Kind == kinds.NotFound:
		// Another leader wrote, or this VM's own write was done and its answer lost.
		// What was agreed before is renewed until it is known: whoever takes keys over
		// asks their owner first, or waits for all that may have been granted.
		m.stale = true
		m.callAt = now.Add(again / 4)
		if msg.Kind == kinds.Ambiguous {
			m.wroteAs = d.table.Epoch
		}
	default:
		m.callAt = now.Add(again)
	}
	m.planAt = time.Time{}
	return nil
}

// adopt puts a draft that was agreed in place. Orders may have been answered since
// it was made, so a row that it does not change keeps what is known now.
func (m *Model) adopt(d *draft) []loop.Cmd {
	old, rows := m.table, m.rows
	for i, r := range d.table.Rows {
		j := old.Find(r.First)
		was := old.Rows[j]
		if was.Owner == r.Owner && was.Fence == r.Fence && was.Incarnation == r.Incarnation {
			d.rows[i] = rows[j]
			d.table.Rows[i].PrevOwner, d.table.Rows[i].Lost = was.PrevOwner, was.Lost
			continue
		}
		// The former owner may have been renewed while the draft was on its way.
		s := &d.rows[i]
		s.told = rows[j].told
		if s.phase == freeing {
			s.free = later(s.free, rows[j].until)
		} else {
			s.until = later(s.until, rows[j].until)
		}
		if s.phase == freeing {
			s.olderFree = s.olderFree || rows[j].older
		}
	}
	m.table, m.rows = d.table, d.rows
	out := make([]loop.Cmd, len(d.notes))
	for i, n := range d.notes {
		out[i] = n
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
