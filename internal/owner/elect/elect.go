// Package elect elects the leader among the entry VMs. The leader assigns keys to
// backend servers and answers the other VMs' polls for state.
//
// Leadership is a lease: a small object in the store that is claimed and renewed by
// conditional updates. A leader needs the store every few seconds; replacing a leader
// needs nothing from the old one. A new leader continues with the agreed assignments
// at once, because renewing the same grants twice is harmless. It must not at once
// reassign the keys of an owner that does not answer: the old leader may renew those
// grants until its term ends. [Model.OldTermEnd] returns that time.
//
// The module is a pure state machine: Update receives the time and a message and
// returns commands.
package elect

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Election timing.
const (
	// RenewInterval is the pause between two renewals of the lease: some twenty writes in
	// half a minute. A Term bridges a store that is unavailable for two renewals.
	RenewInterval = 1500 * time.Millisecond
	// Term is how long a leader may give orders after its lease was last confirmed,
	// counted from the moment that call was sent. A longer term makes the keys of a
	// server that is lost just after the leader wait longer, see [Model.OldTermEnd]. With a
	// shorter one, grants expire during a store outage of 11 s, which Term and a long
	// grant together bridge.
	Term = 6 * time.Second
	// ElectionTimeout is how long a leader may be silent before another VM takes over. The
	// followers poll it twice a second, so by then two polls in a row have failed.
	ElectionTimeout = 900 * time.Millisecond
	// TakeoverStagger separates the takeover attempts of VMs of consecutive rank.
	TakeoverStagger = 150 * time.Millisecond
	// TakeoverBackoff is how long a VM that was replaced waits before it may take over
	// again. Without it, two VMs that cannot reach each other would replace each other
	// continuously.
	TakeoverBackoff = 5 * time.Second
	// MinTenure is the minimum time a VM leads before it steps down for a better suited one: a
	// change of leader costs three store calls and one to ten kilobytes to each VM.
	MinTenure = 5 * time.Second
	// retryDelay is the pause before a failed store call is made again.
	retryDelay = 250 * time.Millisecond
	// maxBackoffSteps bounds how often a follower's retryDelay doubles. At the bound it makes
	// one call every two seconds, so the return of the store is still noticed soon.
	maxBackoffSteps = 4
	// overdueFailures is the number of consecutive failed calls that cannot be
	// explained by a single lost answer.
	overdueFailures = 2
	// RegainWindow is how long a leader that could not reach the store has to renew its
	// lease once other VMs reach the store. It retries every quarter of a second.
	RegainWindow = 700 * time.Millisecond
	// FirstClaimDelay is how long a VM that no leader has ever answered leaves the claim
	// to other VMs after it received a message from one that a leader did answer.
	FirstClaimDelay = 1500 * time.Millisecond
	// FirstClaimMaxDelay bounds that delay, counted from the VM's start, because those
	// other VMs may be unable to reach the store.
	FirstClaimMaxDelay = 10 * time.Second
	// Margin covers the time between reading the clock and the effect of a call.
	Margin = 200 * time.Millisecond
)

// Model is the election state of one VM. Create one with New.
type Model struct {
	self    Lease // holder, incarnation and address of this VM
	role    Role
	lease   Lease
	version object.Version
	era     object.Era // of the store when the lease was last read
	rank    int
	hasRank bool      // a leader has assigned a rank
	started time.Time // start of this process
	leaving bool

	lastHeard      time.Time      // last time the leader answered, or a new leader was observed
	leaderLost     bool           // the leader has stepped down, or cannot reach the store
	leaderCutOff   bool           // the leader says that it cannot reach the store
	seenVersion    object.Version // version of the lease read while the leader could not reach the store
	seenEra        object.Era     // era of the store in which it was read
	seenAt         time.Time      // when that version was first read
	claimNotBefore time.Time      // no claim before this time
	oldTermEnd     time.Time      // until when an earlier leader may give orders
	previous       Lease          // the lease before this VM's own
	leadingSince   time.Time      // when this VM began to lead
	ledEpoch       uint64         // epoch under which this VM leads, or last led
	maxEpoch       uint64         // highest epoch seen anywhere
	raiseEpoch     bool           // this VM leads under an epoch that is not above all others
	endedEpoch     uint64         // leaders up to this epoch no longer give orders
	confirmedAt    time.Time      // when the last call that confirmed the lease was sent
	callPending    bool
	nextCall       time.Time // time of the next store call
	writeUncertain bool      // the last write may or may not have been applied
	failedReads    int       // consecutive failed reads, at most maxBackoffSteps
	failedCalls    int       // consecutive failed calls while leading
}

// Option configures a new Model.
type Option func(*Model)

// WithDelay delays the first claim of the lease, but not the first read of it. When all
// VMs start together, each with a different delay, the first one holds the lease before
// the others try to claim it, which would cost two wasted store calls for each of them.
func WithDelay(d time.Duration) Option {
	return func(m *Model) { m.claimNotBefore = m.nextCall.Add(d) }
}

// New returns a follower that knows of no leader.
func New(now time.Time, vm ident.VM, incarnation string, addr netip.AddrPort, opts ...Option) Model {
	m := Model{self: Lease{Holder: vm, Incarnation: incarnation, Addr: addr}, role: Follower, started: now, lastHeard: now, nextCall: now}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// Role returns the current role of this VM.
func (m Model) Role() Role { return m.role }

// Lease returns the lease as far as it is known.
func (m Model) Lease() Lease { return m.lease }

// Until returns the end of this VM's authority; zero if it is not the leader.
func (m Model) Until() time.Time {
	if m.role != Leader {
		return time.Time{}
	}
	return m.confirmedAt.Add(Term)
}

// OldTermEnd returns until when an earlier leader may still give orders: one Term after
// this VM's claim, unless that leader is known to have stopped sooner. Keys of a server
// that does not answer are not reassigned before then.
func (m Model) OldTermEnd() time.Time { return m.oldTermEnd }

// Era returns the store's era in which the lease was written.
func (m Model) Era() object.Era { return m.lease.Era.Era() }

// LeadingSince returns when this VM last became leader.
func (m Model) LeadingSince() time.Time { return m.leadingSince }

// Previous returns the lease before this one, and whether its holder may still give orders.
func (m Model) Previous(now time.Time) (Lease, bool) {
	return m.previous, m.role == Leader && m.previous.Incarnation != "" && now.Before(m.oldTermEnd)
}

// RenewOverdue reports whether the store has not confirmed the lease for longer than one
// renewal should take.
func (m Model) RenewOverdue(now time.Time) bool {
	return m.role == Leader && (m.failedCalls >= overdueFailures || now.Sub(m.confirmedAt) > RenewInterval+2*retryDelay)
}

// Update handles one message.
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(now)
	case HeartbeatMsg:
		return m.heartbeat(now, msg), nil
	case SteppedDownMsg:
		m.leaderLost = m.leaderLost || msg.Epoch == m.lease.Epoch && m.role == Follower
	case LeaseMsg:
		return m.observeLease(now, msg)
	case RankMsg:
		m.rank, m.hasRank = msg.N, true
	case ClusterFormedMsg:
		return m.clusterFormed(now), nil
	case ReadMsg:
		return m.readDone(now, msg)
	case WroteMsg:
		return m.writeDone(now, msg)
	case EpochMsg:
		return m.observeEpoch(now, msg.Epoch), nil
	case TermEndedMsg:
		return m.termEnded(now, msg), nil
	case EraMsg:
		if m.role == Leader && msg.Era > m.era {
			m.nextCall = now
		}
	case StepDownMsg:
		return m.stepDown(now)
	case LeaveMsg:
		m.leaving = true
		if m.RenewOverdue(now) {
			return m, nil // nobody can take over while the store is unavailable
		}
		return m.stopLeading(now, "leaving")
	}
	return m, nil
}

// stepDown gives up leadership for a VM that is better suited. It does so only while the
// store confirms the lease, because nobody could take over otherwise, and only after
// MinTenure, so that two VMs don't alternate.
func (m Model) stepDown(now time.Time) (loop.Model, []loop.Cmd) {
	if m.role != Leader || m.RenewOverdue(now) || now.Sub(m.leadingSince) < MinTenure {
		return m, nil
	}
	next, cmds := m.stopLeading(now, "a stronger VM is there")
	m = next.(Model)
	m.claimNotBefore = now.Add(TakeoverBackoff)
	return m, cmds
}

func (m Model) termEnded(now time.Time, msg TermEndedMsg) Model {
	m.endedEpoch, m.maxEpoch = max(m.endedEpoch, msg.Epoch), max(m.maxEpoch, msg.Epoch)
	if m.role == Leader && m.previous.Incarnation != "" && msg.Epoch == m.previous.Epoch && now.Add(Margin).Before(m.oldTermEnd) {
		m.oldTermEnd = now.Add(Margin)
	}
	return m
}

// heartbeat handles an answer of the leader. Repeated answers that the leader cannot reach
// the store do not restart the takeover timer: they arrive more often than the staggered
// turns of all VMs take, and the first VMs in line may be cut off as well.
func (m Model) heartbeat(now time.Time, msg HeartbeatMsg) Model {
	if msg.Epoch < m.lease.Epoch || m.role == Leader {
		return m
	}
	if !msg.RenewOverdue || !m.leaderCutOff {
		m.lastHeard = now
	}
	m.leaderLost, m.leaderCutOff = msg.RenewOverdue, msg.RenewOverdue
	return m
}

// observeLease handles a newer lease reported by another VM, the only source for a VM that
// cannot reach the store. The stored version is read later, when it is needed.
func (m Model) observeLease(now time.Time, msg LeaseMsg) (loop.Model, []loop.Cmd) {
	if msg.Lease.Epoch <= m.lease.Epoch || msg.Lease.Incarnation == m.self.Incarnation {
		return m, nil
	}
	m.maxEpoch = max(m.maxEpoch, msg.Lease.Epoch)
	if m.role == Leader {
		m.lease, m.version = msg.Lease, 0
		return m.replaced(now)
	}
	m.lease, m.version, m.lastHeard, m.leaderLost = msg.Lease, 0, now, false
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM reported a newer lease"}}
}

func (m Model) tick(now time.Time) (loop.Model, []loop.Cmd) {
	if m.role == Leader && !now.Before(m.Until()) {
		return m.stopLeading(now, "the store did not confirm the lease within its term")
	}
	if m.callPending || now.Before(m.nextCall) || m.leaving {
		return m, nil
	}
	switch {
	case m.role == Leader && m.writeUncertain:
		return m.readLease() // no backoff: key grants depend on this leader
	case m.role == Leader:
		return m.renew()
	case m.lease.Incarnation == "" && m.version == 0, m.takeoverDue(now):
		return m.readLease()
	}
	return m, nil
}

// takeoverDue reports whether the leader has been silent long enough for this VM, by its
// rank, to take over.
func (m Model) takeoverDue(now time.Time) bool {
	wait := ElectionTimeout
	if m.leaderLost {
		wait = 0
	}
	return !now.Before(m.lastHeard.Add(wait+time.Duration(m.rank)*TakeoverStagger)) && !now.Before(m.claimNotBefore)
}

// clusterFormed leaves the claim to VMs that a leader has answered. A VM that has just
// started knows neither its rank nor, during a store outage, the state that a leader
// must publish.
func (m Model) clusterFormed(now time.Time) Model {
	if m.hasRank || m.role != Follower {
		return m
	}
	until := now.Add(FirstClaimDelay)
	if latest := m.started.Add(FirstClaimMaxDelay); until.After(latest) {
		until = latest
	}
	if until.After(m.claimNotBefore) {
		m.claimNotBefore = until
	}
	return m
}

func (m Model) replaced(now time.Time) (loop.Model, []loop.Cmd) {
	m.role, m.lastHeard, m.leaderLost = Follower, now, false
	m.claimNotBefore = now.Add(TakeoverBackoff)
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM took over"}}
}

// stopLeading ends leadership when no other leader is known.
func (m Model) stopLeading(now time.Time, reason string) (loop.Model, []loop.Cmd) {
	if m.role != Leader {
		return m, nil
	}
	m.role, m.lastHeard, m.claimNotBefore = Follower, now, now
	m.endedEpoch = max(m.endedEpoch, m.lease.Epoch)
	m.nextCall = now.Add(retryDelay)
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: reason}}
}
