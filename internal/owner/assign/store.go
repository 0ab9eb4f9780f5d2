package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// storeCalls reads the table once, and writes it when it should change.
func (m *Model) storeCalls(now time.Time) []loop.Cmd {
	if m.callPending || now.Before(m.nextCall) {
		return nil
	}
	if !m.loaded || m.mustReread {
		m.callPending = true
		return []loop.Cmd{ReadCmd{}}
	}
	if m.epochTooLow() {
		m.nextCall = now.Add(retryDelay)
		return []loop.Cmd{StaleEpochCmd{Epoch: m.table.Epoch}}
	}
	d := m.plan(now)
	if d == nil {
		return nil
	}
	m.callPending, m.pendingDraft, m.dirtySince = true, d, time.Time{}
	d.table.Epoch, d.table.Era = m.auth.Epoch, object.MarkOf(m.era)
	if m.flaw == flawActBeforeWrite {
		m.applyDraft(d)
	}
	return []loop.Cmd{WriteCmd{Table: d.table, Old: m.version}}
}

// epochTooLow reports whether the stored table's epoch is not below this leader's: it is
// higher, or it is the same but was not written by this VM. Leaders elected after the
// lease was lost start at the first epoch and would take each other's tables for their own.
func (m *Model) epochTooLow() bool {
	return m.table.Epoch > m.auth.Epoch ||
		m.table.Epoch == m.auth.Epoch && m.version != 0 && m.writtenEpoch != m.auth.Epoch && m.flaw != flawAcceptForeignTable
}

// readDone handles the stored table. The state of rows that have not changed is kept.
func (m *Model) readDone(now time.Time, msg ReadResultMsg) []loop.Cmd {
	m.callPending = false
	switch {
	case msg.Kind != kinds.Unavailable && msg.Era > m.auth.Era:
		// The lease of that era may be another VM's. Until it is this one's, the table agreed
		// before is renewed.
		m.mustReread, m.nextCall = true, now.Add(retryDelay)
		return nil
	case msg.Copy && m.flaw != flawTrustCopy, msg.Kind == kinds.NotFound && m.loaded && msg.Era != m.era:
		return m.storeReturned(now, msg)
	case msg.Kind == kinds.NotFound:
		msg.Table = ranges.NewTable(0)
		m.unassigned = true
	case msg.Kind == kinds.Malformed:
		m.nextCall = now.Add(unreadableRetryDelay)
		return nil
	case msg.Kind != kinds.None:
		m.nextCall = now.Add(retryDelay)
		return nil
	}
	old, rows := m.table, m.rows
	m.table, m.version, m.era = msg.Table.Clone(), msg.Version, msg.Era
	m.raiseTop()
	m.rows = make([]rowState, len(m.table.Rows))
	for i, r := range m.table.Rows {
		j := old.Find(r.First)
		if j < len(old.Rows) && old.Rows[j] == r {
			m.rows[i] = rows[j]
			continue
		}
		m.rows[i] = m.inheritedState(r)
		if j < len(old.Rows) {
			// The stored change may be this VM's own write, whose answer was lost: grants that
			// it sent before still count.
			m.rows[i].expiry = rows[j].expiry
			m.rows[i].prevExpiry = later(rows[j].prevExpiry, rows[j].expiry)
		}
		if r.Lost {
			m.markLost(now, i, old, rows)
		}
	}
	m.loaded, m.mustReread, m.pendingDraft = true, false, nil
	if msg.Version != 0 && m.table.Epoch != m.auth.Epoch {
		// Writing the table again makes pending writes of the previous leader fail. If this
		// leader renewed grants before that, the previous one would not notice: it could move
		// keys and wait for the expiry of its own grants only.
		m.dirtySince = now.Add(-flushDelay)
	}
	return []loop.Cmd{LogCmd{Event: "table read", Rows: len(m.table.Rows)}}
}

// markLost makes a row whose owner is unknown wait for every grant that may exist: an
// earlier leader may have renewed grants until its term ends, and this one until now. Grants
// of this leader may still be in flight, so the owner that it knew becomes the previous one.
func (m *Model) markLost(now time.Time, i int, old ranges.Table, rows []rowState) {
	r, s := &m.table.Rows[i], &m.rows[i]
	if m.flaw == flawSkipLostWait {
		m.markReleased(r, s, "")
		return
	}
	s.phase, s.prevInherited = releasing, true
	s.prevExpiry = later(s.prevExpiry, grantExpiry(now, LongGrantTTL))
	if r.Kept {
		s.keepFence = r.Fence
	}
	j := old.Find(r.First)
	if j >= len(old.Rows) {
		return
	}
	was := old.Rows[j]
	if was.Lost && was.Owner == r.Owner && was.Fence == r.Fence && was.Incarnation == r.Incarnation {
		*s, r.PrevOwner = rows[j], was.PrevOwner // already lost, and waiting since then
		return
	}
	if r.PrevOwner = was.Owner; r.PrevOwner == "" {
		r.PrevOwner = was.PrevOwner
	}
}

// inheritedState returns the initial state of a row that another leader wrote: the owner may
// already have been granted it, and the previous owner may have been renewed until the old
// leader's term ends.
func (m *Model) inheritedState(r ranges.Row) rowState {
	s := rowState{inherited: true}
	switch {
	case r.Owner == "":
		s.phase = vacant
	case r.PrevOwner != "":
		s.phase, s.prevInherited = releasing, true
	default:
		s.phase = granting // sending the same grant again is a renewal
	}
	return s
}

// prevOwnerExpiry returns when a row's previous owner no longer has it, even without an answer.
func (m *Model) prevOwnerExpiry(s *rowState) time.Time {
	if m.flaw == flawSkipWait {
		return time.Time{}
	}
	if s.prevInherited && m.flaw != flawIgnoreOldTerm {
		return later(s.prevExpiry, grantExpiry(m.oldTermEndOf(s), LongGrantTTL))
	}
	return s.prevExpiry
}

// oldTermEndOf returns until when earlier leaders may have given orders for a row.
func (m *Model) oldTermEndOf(s *rowState) time.Time {
	if s.oldTermEnd.IsZero() {
		return m.auth.OldTermEnd
	}
	return s.oldTermEnd
}

// grantExpiry returns when a grant sent at the given time has certainly expired.
func grantExpiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl + ttl*clockSlackPerMille/1000 + orderMargin)
}

func (m *Model) writeDone(now time.Time, msg WriteResultMsg) []loop.Cmd {
	m.callPending = false
	d := m.pendingDraft
	m.pendingDraft = nil
	switch {
	case d == nil:
		return nil
	case msg.Kind == kinds.None:
		m.version, m.writtenEpoch, m.lapsed = msg.Version, d.table.Epoch, false
		return m.applyDraft(d)
	case msg.Kind == kinds.Conflict, msg.Kind == kinds.Ambiguous, msg.Kind == kinds.NotFound:
		// Another leader wrote, or this VM's own write was applied and its answer lost.
		// Until that is known, the table agreed before is renewed: whoever takes keys over
		// asks their owner first, or waits for every grant that may have been sent.
		m.mustReread = true
		m.nextCall = now.Add(retryDelay / 4)
		if msg.Kind == kinds.Ambiguous {
			m.writtenEpoch = d.table.Epoch
		}
	default:
		m.nextCall = now.Add(retryDelay)
	}
	m.nextPlan = time.Time{}
	return nil
}

// applyDraft installs a draft that has been agreed. Orders may have been answered since it
// was made, so rows that it does not change keep their current state.
func (m *Model) applyDraft(d *draft) []loop.Cmd {
	old, rows := m.table, m.rows
	for i, r := range d.table.Rows {
		j := old.Find(r.First)
		was := old.Rows[j]
		if was.Owner == r.Owner && was.Fence == r.Fence && was.Incarnation == r.Incarnation {
			d.rows[i] = rows[j]
			d.table.Rows[i].PrevOwner, d.table.Rows[i].Lost, d.table.Rows[i].Kept = was.PrevOwner, was.Lost, was.Kept
			continue
		}
		// The previous owner may have been renewed while the draft was being written.
		s := &d.rows[i]
		s.published = rows[j].published
		if s.phase == releasing {
			s.prevExpiry = later(s.prevExpiry, rows[j].expiry)
		} else {
			s.expiry = later(s.expiry, rows[j].expiry)
		}
		if s.phase == releasing {
			s.prevInherited = s.prevInherited || rows[j].inherited
		}
	}
	m.table, m.rows = d.table, d.rows
	out := make([]loop.Cmd, len(d.logs))
	for i, n := range d.logs {
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
