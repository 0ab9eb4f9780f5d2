package lead

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func (m Model) ask() (loop.Model, []loop.Cmd) {
	m.calling = true
	return m, []loop.Cmd{ReadCmd{}}
}

func (m Model) write(l Lease) (loop.Model, []loop.Cmd) {
	m.calling = true
	return m, []loop.Cmd{WriteCmd{Lease: l, Old: m.version}}
}

// read takes in the stored lease.
func (m Model) read(now time.Time, msg ReadMsg) (loop.Model, []loop.Cmd) {
	m.calling = false
	if msg.Kind != kinds.None && msg.Kind != kinds.Absent {
		m.fails, m.misses = min(m.fails+1, mostFails), m.misses+1
		m.callAt = now.Add(again)
		if m.stage != Lead {
			m.callAt = now.Add(again << m.fails / 2)
		}
		return m, nil
	}
	m.fails = 0
	moved := msg.Lease.Life != m.lease.Life || msg.Lease.Epoch != m.lease.Epoch
	known := m.version != 0
	m.lease, m.version, m.doubt = msg.Lease, msg.Version, false
	switch {
	case m.lease.Life == m.self.Life && m.lease.Life != "":
		return m.confirm(now, msg.Asked)
	case m.stage == Lead:
		return m.deposed(now)
	case m.leaving:
		return m, nil
	case moved && msg.Version != 0:
		// Somebody else leads since: it gets its time to be heard.
		m.stage, m.heard, m.lost = Follow, now, false
		return m, []loop.Cmd{ChangeCmd{Stage: Follow, Lease: m.lease, Why: "another VM leads"}}
	case !known && msg.Version != 0:
		m.heard = now
		return m, nil
	case m.version != 0 && !m.overdue(now):
		return m, nil
	case m.away && !m.unmoved(now, msg.Version):
		return m, nil
	case now.Before(m.shy):
		m.callAt = m.shy
		return m, nil
	}
	return m.claim()
}

// unmoved reports whether the lease was read before and has not been renewed for a
// while. A leader that says it does not reach the store may reach it again in the
// same moment as this VM does; it knows what it granted, and should go on.
func (m *Model) unmoved(now time.Time, v object.Version) bool {
	if m.seen != v {
		m.seen, m.seenAt = v, now
	}
	if now.Sub(m.seenAt) >= Regain {
		return true
	}
	m.callAt = now.Add(Regain / 2)
	return false
}

func (m Model) claim() (loop.Model, []loop.Cmd) {
	next := m.self
	next.Epoch = m.lease.Epoch + 1
	m.stage, m.former = Claim, m.lease
	return m.write(next)
}

// confirm notes that the store named this VM after the call that was sent then.
func (m Model) confirm(now, asked time.Time) (loop.Model, []loop.Cmd) {
	began := m.stage != Lead
	m.stage, m.sure, m.doubt, m.misses = Lead, asked, false, 0
	m.callAt = now.Add(Beat)
	if m.leaving {
		return m.rest(now, "leaving")
	}
	if !began {
		return m, nil
	}
	if m.led == m.lease.Epoch {
		return m, []loop.Cmd{ChangeCmd{Stage: Lead, Lease: m.lease, Why: "the store confirmed the lead again"}}
	}
	m.led, m.began = m.lease.Epoch, now
	m.bar = now.Add(Term + Margin)
	if m.former.Epoch <= m.ended {
		m.bar = now.Add(Margin)
	}
	return m, []loop.Cmd{ChangeCmd{Stage: Lead, Lease: m.lease, Why: "the store confirmed the claim"}}
}

func (m Model) wrote(now time.Time, msg WroteMsg) (loop.Model, []loop.Cmd) {
	m.calling = false
	switch msg.Kind {
	case kinds.None:
		m.lease, m.version = msg.Lease, msg.Version
		return m.confirm(now, msg.Asked)
	case kinds.Conflict:
		// It may be this VM's own write whose answer was lost: the store tells.
		m.calling = true
		return m, []loop.Cmd{ReadCmd{}}
	default:
		m.doubt = m.stage == Lead
		m.misses++
		m.callAt = now.Add(again)
		if m.stage == Claim {
			m.stage = Follow
		}
		return m, nil
	}
}
