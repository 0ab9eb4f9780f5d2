package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// fenceBits is the number of bits of a fence below the store's era. Fences of an era are
// above all of the eras before, also those that the store has lost.
const fenceBits = 32

// raiseTop makes sure that new fences are above those of earlier eras.
func (m *Model) raiseTop() {
	if m.era > 0 && m.flaw != flawKeepTop {
		m.table.RaiseTop(uint64(m.era) << fenceBits)
	}
}

// storeReturned handles a store that has no table of its era. A leader whose authority has
// not lapsed since its last write, and beside which there can have been no other, goes on
// with the table that it has. For any other there may have been moves that it does not know.
func (m *Model) storeReturned(now time.Time, msg ReadResultMsg) []loop.Cmd {
	current := !m.lapsed && now.Before(m.auth.Until) && m.auth.Sole
	m.version, m.era, m.mustReread, m.pendingDraft, m.returned = msg.Version, msg.Era, false, nil, true
	m.dirtySince, m.nextCall = now.Add(-flushDelay), now
	event := LogCmd{Event: "store returned from an older copy", Reason: "the table of this leader is written again"}
	switch {
	case m.loaded && current:
		m.raiseTop()
		m.keepOldTermEnd()
	case m.loaded:
		event.Reason = "another VM may have led meanwhile; rows are moved once its term would have ended"
		m.adoptCopy(now, m.table, m.ownAssignments())
	default:
		event.Reason = "an older copy of the table is taken; rows that may have changed since wait for all grants"
		m.adoptCopy(now, msg.Table, msg.Served)
	}
	m.loaded, m.unassigned, event.Rows = true, false, len(m.rows)
	return []loop.Cmd{event}
}

// keepOldTermEnd keeps what is known of earlier leaders' terms for the rows that wait for
// them. The epoch under which a leader goes on after a return has no known predecessor but
// itself.
func (m *Model) keepOldTermEnd() {
	end := m.auth.OldTermEnd
	if m.table.Epoch != m.auth.Epoch {
		end = m.oldTermEnd
	}
	for i := range m.rows {
		if s := &m.rows[i]; s.oldTermEnd.IsZero() {
			s.oldTermEnd = end
		}
	}
}

// ownAssignments returns which servers serve which keys as far as this leader knows.
func (m *Model) ownAssignments() []ranges.Assignment {
	all := make([]ranges.Assignment, len(m.rows))
	for i := range m.rows {
		all[i] = ranges.Assignment{Span: m.table.Rows[i].Span, Server: m.currentServer(&m.table.Rows[i], &m.rows[i])}
	}
	return all
}

// adoptCopy takes a table after which others may have been agreed and lost. The holders of
// its rows are unknown: nobody is granted them under a new fence before every grant that
// anybody may have sent has expired. An owner that served a row until the end is meanwhile
// renewed under the fence that it has, which it refuses if the keys were taken back from it
// since. The row is not moved, because an earlier leader may still move it.
func (m *Model) adoptCopy(now time.Time, copied ranges.Table, served []ranges.Assignment) {
	expiries := make([]time.Time, len(copied.Rows))
	if m.loaded {
		for i := range m.rows {
			expiries[i] = later(m.rows[i].expiry, m.rows[i].prevExpiry)
		}
	}
	m.table = copied.Clone()
	m.raiseTop()
	m.rows = make([]rowState, len(m.table.Rows))
	for i := range m.rows {
		r, s := &m.table.Rows[i], &m.rows[i]
		s.phase, s.prevInherited = releasing, true
		s.prevExpiry = later(expiries[i], grantExpiry(now, LongGrantTTL))
		held := r.Owner != "" && r.PrevOwner == "" && r.Lost == r.Kept
		r.PrevOwner, r.Lost, r.Kept = "", true, held && servesAll(served, r.Span, r.Owner)
		if r.Kept {
			s.keepFence = r.Fence
			continue
		}
		r.Fence = m.table.NextFence()
	}
}

// servesAll reports whether a server serves all keys of a span.
func servesAll(all []ranges.Assignment, span ranges.Span, server ident.Server) bool {
	next := int(span.First)
	for _, a := range all {
		if int(a.First) <= next && next <= int(a.Last) && a.Server == server {
			next = int(a.Last) + 1
		}
	}
	return next > int(span.Last)
}

// keepDue reports whether a row that waits should be renewed now under its former fence.
func (b *backend) keepDue(now time.Time, s *rowState) bool {
	if s.keepFence == 0 || b.grantsPending || now.Before(b.pausedUntil) {
		return false
	}
	return s.keptAt.IsZero() || !now.Before(b.renewAt)
}

func (m *Model) newKeepGrant(now time.Time, b *backend, r *ranges.Row, s *rowState) Order {
	o := m.newGrant(now, b, r, s)
	o.Fence, o.Token = s.keepFence, ""
	return o
}

// findKept returns the row whose owner is renewed under an order's fence, or nil.
func (m *Model) findKept(o Order) (*ranges.Row, *rowState) {
	i := m.table.Find(o.First)
	if i >= len(m.table.Rows) || m.table.Rows[i].Span != o.Span || m.rows[i].keepFence != o.Fence || o.Fence == 0 {
		return nil, nil
	}
	return &m.table.Rows[i], &m.rows[i]
}

// keepDone handles the answer to a renewal under a former fence. Accepted after the end of
// earlier leaders' terms, it shows that nobody has taken the keys back and nobody will.
func (m *Model) keepDone(b *backend, r *ranges.Row, s *rowState, d OrderResult) []loop.Cmd {
	switch d.Kind {
	case kinds.None:
		s.keptAt = d.Sent
		if d.Sent.After(m.oldTermEndOf(s)) {
			m.markReleased(r, s, "")
			m.markDirty(d.Sent)
		}
	case kinds.Fenced, kinds.Malformed:
		s.keepFence, s.keptAt = 0, time.Time{} // Kept stays: the fence is raised once the row has waited
		return []loop.Cmd{LogCmd{Event: "grant refused", Server: b.Name, Rows: 1, Reason: "the keys were moved in the time that the store has lost"}}
	case kinds.Misrouted:
		b.replaced, s.keepFence, s.keptAt = true, 0, time.Time{}
	}
	return nil
}
