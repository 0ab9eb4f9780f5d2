package elect

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
	if msg.Kind != kinds.None && msg.Kind != kinds.NotFound {
		m.fails, m.misses = min(m.fails+1, mostFails), m.misses+1
		m.callAt = now.Add(again)
		if m.stage != Leader {
			m.callAt = now.Add(again << m.fails / 2)
		}
		return m, nil
	}
	m.fails = 0
	m.top = max(m.top, msg.Lease.Epoch)
	if m.stage == Leader && msg.Lease.Incarnation == "" {
		return m.restore(now, msg.Version), nil
	}
	moved := msg.Lease.Incarnation != m.lease.Incarnation || msg.Lease.Epoch != m.lease.Epoch
	known := m.version != 0
	m.lease, m.version, m.doubt = msg.Lease, msg.Version, false
	switch {
	case m.lease.Incarnation == m.self.Incarnation && m.lease.Incarnation != "":
		return m.confirm(now, msg.Asked)
	case m.stage == Leader:
		return m.deposed(now)
	case m.leaving:
		return m, nil
	case moved && msg.Lease.Incarnation != "":
		// Somebody else leads since: it gets its time to be heard.
		m.stage, m.heard, m.lost = Follower, now, false
		return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM leads"}}
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
	m.stage, m.former = Claim, m.before()
	next.Epoch = m.top + 1
	return m.write(next)
}

// before returns who led before this VM. Where the stored lease was removed, cannot be
// read, or was written by a VM that did not know of the leaders before it, nobody can
// say who: the lease that is returned then names an epoch and no life.
func (m Model) before() Lease {
	if m.lease.Incarnation == "" || m.lease.Epoch < m.top {
		return Lease{Epoch: m.top}
	}
	return m.lease
}

// renew writes the lease again, with a higher epoch if this VM must lead under one.
func (m Model) renew() (loop.Model, []loop.Cmd) {
	next := m.lease
	next.Beats++
	if m.raise {
		m.former = Lease{Epoch: m.top}
		next.Epoch = m.top + 1
	}
	return m.write(next)
}

// restore lets a leader write its lease anew that was removed, or cannot be read. Its
// term goes on from the last confirmation, as without that.
func (m Model) restore(now time.Time, v object.Version) Model {
	m.version, m.doubt, m.raise, m.callAt = v, false, true, now
	return m
}

// behind takes in that another leader had an epoch. Led on under one that is not above,
// keys have no owner for good: what was agreed then is taken for that leader's.
// The conditional update tells whether that one leads still.
func (m Model) behind(now time.Time, epoch uint64) Model {
	m.top = max(m.top, epoch)
	if m.stage == Leader && m.lease.Epoch <= epoch && !m.raise {
		m.raise, m.callAt = true, now
	}
	return m
}

// confirm notes that the store named this VM after the call that was sent then.
func (m Model) confirm(now, asked time.Time) (loop.Model, []loop.Cmd) {
	began := m.stage != Leader
	m.stage, m.sure, m.doubt, m.misses = Leader, asked, false, 0
	m.top = max(m.top, m.lease.Epoch)
	m.raise = m.lease.Epoch < m.top || m.raise && m.led == m.lease.Epoch
	m.callAt = now.Add(RenewInterval)
	if m.raise {
		m.callAt = now
	}
	if m.leaving {
		return m.rest(now, "leaving")
	}
	same := m.led == m.lease.Epoch
	switch {
	case !began && same:
		return m, nil
	case same:
		return m, []loop.Cmd{RoleChangeCmd{Role: Leader, Lease: m.lease, Reason: "the store confirmed the lead again"}}
	}
	m.led, m.bar = m.lease.Epoch, m.barOf(now)
	why := "the epoch was not above those of all leaders before"
	if began {
		m.began, why = now, "the store confirmed the claim"
	}
	return m, []loop.Cmd{RoleChangeCmd{Role: Leader, Lease: m.lease, Reason: why}}
}

// barOf returns until when leaders before this one may give orders. One that nobody
// can name may have been confirmed right before this VM, and nobody can say that it has
// ended: only its term does.
func (m Model) barOf(now time.Time) time.Time {
	unnamed := m.former.Incarnation == "" && m.former.Epoch > 0
	if !unnamed && m.former.Epoch <= m.ended {
		return now.Add(Margin)
	}
	return now.Add(Term + Margin)
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
		m.doubt = m.stage == Leader
		m.misses++
		m.callAt = now.Add(again)
		if m.stage == Claim {
			m.stage = Follower
		}
		return m, nil
	}
}
