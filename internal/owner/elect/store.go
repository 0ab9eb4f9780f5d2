package elect

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func (m Model) readLease() (loop.Model, []loop.Cmd) {
	m.callPending = true
	return m, []loop.Cmd{ReadCmd{}}
}

func (m Model) writeLease(l Lease) (loop.Model, []loop.Cmd) {
	m.callPending = true
	return m, []loop.Cmd{WriteCmd{Lease: l, Old: m.version, Era: m.era}}
}

// readDone handles the result of reading the lease.
func (m Model) readDone(now time.Time, msg ReadMsg) (loop.Model, []loop.Cmd) {
	m.callPending = false
	if msg.Kind != kinds.None && msg.Kind != kinds.NotFound {
		m.failedReads, m.failedCalls = min(m.failedReads+1, maxBackoffSteps), m.failedCalls+1
		m.nextCall = now.Add(retryDelay)
		if m.role != Leader {
			m.nextCall = now.Add(retryDelay << m.failedReads / 2)
		}
		return m, nil
	}
	m.failedReads = 0
	m.maxEpoch, m.era = max(m.maxEpoch, msg.Lease.Epoch, msg.MaxEpoch), msg.Era
	if m.role == Leader && msg.Lease.Incarnation == "" {
		return m.restore(now, msg.Version), nil
	}
	changed := msg.Lease.Incarnation != m.lease.Incarnation || msg.Lease.Epoch != m.lease.Epoch
	known := m.version != 0
	m.lease, m.version, m.writeUncertain = msg.Lease, msg.Version, false
	switch {
	case m.lease.Incarnation == m.self.Incarnation && m.lease.Incarnation != "":
		return m.confirm(now, msg.Asked)
	case m.role == Leader:
		return m.replaced(now)
	case m.leaving:
		return m, nil
	case changed && msg.Lease.Incarnation != "":
		// Another VM has become leader: restart the timeout for it.
		m.role, m.lastHeard, m.leaderLost = Follower, now, false
		return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM leads"}}
	case !known && msg.Version != 0:
		m.lastHeard = now
		return m, nil
	case m.version != 0 && !m.takeoverDue(now):
		return m, nil
	case m.leaderCutOff && !m.leaseStale(now, msg.Version):
		return m, nil
	case now.Before(m.claimNotBefore):
		m.nextCall = m.claimNotBefore
		return m, nil
	}
	return m.claim()
}

// leaseStale reports whether the lease has kept the same version for RegainWindow. A
// leader that could not reach the store may regain it at the same moment as this VM.
// It should then go on leading, because it knows which grants it gave.
func (m *Model) leaseStale(now time.Time, v object.Version) bool {
	if m.seenVersion != v || m.seenEra != m.era || m.seenAt.IsZero() {
		m.seenVersion, m.seenEra, m.seenAt = v, m.era, now
	}
	if now.Sub(m.seenAt) >= RegainWindow {
		return true
	}
	m.nextCall = now.Add(RegainWindow / 2)
	return false
}

func (m Model) claim() (loop.Model, []loop.Cmd) {
	next := m.self
	m.role, m.previous = Claim, m.previousLease()
	next.Epoch = m.maxEpoch + 1
	return m.writeLease(next)
}

// previousLease returns the lease before this VM's claim. If the stored lease was removed,
// is unreadable, was written by a VM that did not know of earlier leaders, or was lost when the
// store returned from an older copy, the previous leader is unknown: the result then has an epoch but no incarnation.
func (m Model) previousLease() Lease {
	if m.lease.Incarnation == "" || m.lease.Epoch < m.maxEpoch {
		return Lease{Epoch: m.maxEpoch}
	}
	return m.lease
}

// renew rewrites the lease, at a higher epoch if that is required.
func (m Model) renew() (loop.Model, []loop.Cmd) {
	next := m.lease
	next.Renewals++
	if m.raiseEpoch {
		m.previous = Lease{Epoch: m.maxEpoch}
		next.Epoch = m.maxEpoch + 1
	}
	return m.writeLease(next)
}

// restore prepares a leader to rewrite its lease, which was removed or is unreadable. Its
// term still counts from the last confirmation.
func (m Model) restore(now time.Time, v object.Version) Model {
	m.version, m.writeUncertain, m.raiseEpoch, m.nextCall = v, false, true, now
	return m
}

// observeEpoch records the epoch of another leader. A leader must not go on at an epoch
// that is not above it: its table writes would be taken for the other leader's, and keys
// would stay without an owner for good. The conditional update shows whether the other
// one still leads.
func (m Model) observeEpoch(now time.Time, epoch uint64) Model {
	m.maxEpoch = max(m.maxEpoch, epoch)
	if m.role == Leader && m.lease.Epoch <= epoch && !m.raiseEpoch {
		m.raiseEpoch, m.nextCall = true, now
	}
	return m
}

// confirm records that the store named this VM as holder in a call sent at asked.
func (m Model) confirm(now, asked time.Time) (loop.Model, []loop.Cmd) {
	began := m.role != Leader
	m.role, m.confirmedAt, m.writeUncertain, m.failedCalls = Leader, asked, false, 0
	m.maxEpoch = max(m.maxEpoch, m.lease.Epoch)
	m.raiseEpoch = m.lease.Epoch < m.maxEpoch || m.raiseEpoch && m.ledEpoch == m.lease.Epoch
	m.nextCall = now.Add(RenewInterval)
	if m.raiseEpoch {
		m.nextCall = now
	}
	if m.leaving {
		return m.stopLeading(now, "leaving")
	}
	same := m.ledEpoch == m.lease.Epoch
	switch {
	case !began && same:
		return m, nil
	case same:
		return m, []loop.Cmd{RoleChangeCmd{Role: Leader, Lease: m.lease, Reason: "the store confirmed the lead again"}}
	}
	m.ledEpoch, m.oldTermEnd = m.lease.Epoch, m.oldTermEndFrom(now)
	reason := "the epoch was not above those of all leaders before"
	if began {
		m.leadingSince, reason = now, "the store confirmed the claim"
	}
	return m, []loop.Cmd{RoleChangeCmd{Role: Leader, Lease: m.lease, Reason: reason}}
}

// oldTermEndFrom returns until when earlier leaders may give orders. A previous leader that
// is unknown may have been confirmed just before this VM and cannot be known to have
// stopped, so its full term must pass.
func (m Model) oldTermEndFrom(now time.Time) time.Time {
	unknown := m.previous.Incarnation == "" && m.previous.Epoch > 0
	if !unknown && m.previous.Epoch <= m.endedEpoch {
		return now.Add(Margin)
	}
	return now.Add(Term + Margin)
}

func (m Model) writeDone(now time.Time, msg WroteMsg) (loop.Model, []loop.Cmd) {
	m.callPending = false
	switch msg.Kind {
	case kinds.None:
		m.lease, m.version = msg.Lease, msg.Version
		return m.confirm(now, msg.Asked)
	case kinds.Conflict:
		// The conflict may be this VM's own write, whose answer was lost: read to find out.
		m.callPending = true
		return m, []loop.Cmd{ReadCmd{}}
	default:
		m.writeUncertain = m.role == Leader
		m.failedCalls++
		m.nextCall = now.Add(retryDelay)
		if m.role == Claim {
			m.role = Follower
		}
		return m, nil
	}
}
