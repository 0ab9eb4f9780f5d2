// Package elect decides which VM leads: the one that gives orders for keys, and
// that the others ask for news.
//
// The lead is a small object in the store, won and kept by conditional updates.
// Leading needs the store every few seconds; being replaced needs nothing from
// the one replaced. A new leader only goes on with what is agreed and may do so at
// once, since renewing the same grants twice harms nobody. What it must not do at
// once is to take keys from an owner that does not answer: the leader before may
// still renew them until its term ends. [Model.OldTermEnd] says until when.
//
// The module is a pure update: it is told the time and what happened, and returns
// the effects that it wants.
package elect

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Times of the lead.
const (
	// RenewInterval is how often the leader renews its lead: some twenty writes in half a
	// minute, while Term bridges a store that is away for two of them.
	RenewInterval = 1500 * time.Millisecond
	// Term is how long a leader may give orders after its lead was last confirmed,
	// counted from the sending of that call. Longer, the keys of a server that is lost
	// just after the leader wait longer, see [Model.OldTermEnd]; shorter, keys lapse in an
	// absence of the store that this and a long grant together bridge, 11 s.
	Term = 6 * time.Second
	// ElectionTimeout is how long a leader may be unheard before somebody takes over. The
	// others ask it twice a second, so two questions in a row came to nothing.
	ElectionTimeout = 900 * time.Millisecond
	// Step separates the attempts of those who could take over.
	Step = 150 * time.Millisecond
	// TakeoverBackoff is how long a VM that was replaced waits before it takes over again: two
	// that cannot hear each other would otherwise replace each other all the time.
	TakeoverBackoff = 5 * time.Second
	// MinTenure is the least time for which a VM leads before it makes way for a stronger
	// one: a change costs three store calls and a kilobyte or ten to each VM.
	MinTenure = 5 * time.Second
	// again is the pause before a store call that failed is made again.
	again = 250 * time.Millisecond
	// mostFails bounds how often that pause doubles: a call each two seconds still
	// notices the store's return soon.
	mostFails = 4
	// fewMisses calls that came to nothing are more than a lost answer.
	fewMisses = 2
	// Regain is how long a leader that did not reach the store has to renew its lead
	// once others reach it: it tries each quarter of a second.
	Regain = 700 * time.Millisecond
	// FirstClaimDelay is for how long a VM that no leader ever answered leaves the lead to others
	// after one that a leader did answer was heard.
	FirstClaimDelay = 1500 * time.Millisecond
	// Settling bounds that from the VM's start: those others may not reach the store.
	Settling = 10 * time.Second
	// Margin covers what passes between a look at the clock and the effect.
	Margin = 200 * time.Millisecond
)

// Model is the decision. Make one with New.
type Model struct {
	self    Lease // holder, life and address of this VM
	stage   Role
	lease   Lease
	version object.Version
	rank    int
	ranked  bool      // a leader said so
	started time.Time // this process
	leaving bool

	heard   time.Time      // the leader answered, or was seen to be another one
	lost    bool           // the leader said that it goes, or is away
	away    bool           // the leader said that it does not reach the store
	seen    object.Version // of the lease while the leader was away
	seenAt  time.Time      // when that version was first read
	shy     time.Time      // not before this
	bar     time.Time      // until when a leader before this one may give orders
	former  Lease          // who led before this VM
	began   time.Time      // this VM leads since
	led     uint64         // the epoch that this VM leads, or led last
	top     uint64         // highest epoch that anything told of
	raise   bool           // this VM leads under an epoch that is not above all others
	ended   uint64         // the leaders up to this epoch give no orders any more
	sure    time.Time      // sending of the last call that confirmed the lead
	calling bool
	callAt  time.Time // next store call
	doubt   bool      // the last write may have been done
	fails   int       // reads in a row that came to nothing
	misses  int       // calls of the leader in a row that came to nothing
}

// Option changes how a Model begins.
type Option func(*Model)

// WithDelay lets a VM wait before it claims the lead; it looks who leads at once. Where
// all VMs start together, each with another delay, the first has the lead before the
// others may try for it, which would cost two store calls of each for nothing.
func WithDelay(d time.Duration) Option {
	return func(m *Model) { m.shy = m.callAt.Add(d) }
}

// New makes a VM that knows of no leader.
func New(now time.Time, vm ident.VM, life string, addr netip.AddrPort, opts ...Option) Model {
	m := Model{self: Lease{Holder: vm, Incarnation: life, Addr: addr}, stage: Follower, started: now, heard: now, callAt: now}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// Role returns where this VM stands.
func (m Model) Role() Role { return m.stage }

// Lease returns the lease as far as it is known.
func (m Model) Lease() Lease { return m.lease }

// Until is the end of this VM's authority; zero when it does not lead.
func (m Model) Until() time.Time {
	if m.stage != Leader {
		return time.Time{}
	}
	return m.sure.Add(Term)
}

// OldTermEnd is until when a leader before this one may still give orders: for a term
// after this VM's claim, unless it is known to have ended before. Keys of a server
// that does not answer wait for it.
func (m Model) OldTermEnd() time.Time { return m.bar }

// Previous returns who led before, and whether it may still give orders.
func (m Model) Previous(now time.Time) (Lease, bool) {
	return m.former, m.stage == Leader && m.former.Incarnation != "" && now.Before(m.bar)
}

// RenewOverdue reports whether the store has not confirmed the lead when it should
// have.
func (m Model) RenewOverdue(now time.Time) bool {
	return m.stage == Leader && (m.misses >= fewMisses || now.Sub(m.sure) > RenewInterval+2*again)
}

// Update takes in a message.
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(now)
	case HeartbeatMsg:
		return m.hear(now, msg), nil
	case SteppedDownMsg:
		m.lost = m.lost || msg.Epoch == m.lease.Epoch && m.stage == Follower
	case LeaseMsg:
		return m.see(now, msg)
	case RankMsg:
		m.rank, m.ranked = msg.N, true
	case ClusterFormedMsg:
		return m.beside(now), nil
	case ReadMsg:
		return m.read(now, msg)
	case WroteMsg:
		return m.wrote(now, msg)
	case EpochMsg:
		return m.behind(now, msg.Epoch), nil
	case TermEndedMsg:
		return m.end(now, msg), nil
	case StepDownMsg:
		return m.yield(now)
	case LeaveMsg:
		m.leaving = true
		if m.RenewOverdue(now) {
			return m, nil // nobody can take over while the store is away
		}
		return m.rest(now, "leaving")
	}
	return m, nil
}

// yield makes way for a VM that leads better. Only a leader that the store confirms
// does, since nobody can take over otherwise, and one that has led for a while: two
// that yield to each other would do nothing else.
func (m Model) yield(now time.Time) (loop.Model, []loop.Cmd) {
	if m.stage != Leader || m.RenewOverdue(now) || now.Sub(m.began) < MinTenure {
		return m, nil
	}
	next, cmds := m.rest(now, "a stronger VM is there")
	m = next.(Model)
	m.shy = now.Add(TakeoverBackoff)
	return m, cmds
}

func (m Model) end(now time.Time, msg TermEndedMsg) Model {
	m.ended, m.top = max(m.ended, msg.Epoch), max(m.top, msg.Epoch)
	if m.stage == Leader && m.former.Incarnation != "" && msg.Epoch == m.former.Epoch && now.Add(Margin).Before(m.bar) {
		m.bar = now.Add(Margin)
	}
	return m
}

// hear takes in an answer of the leader. One that says again that it does not reach the
// store does not put off whose turn it is to take over: it answers more often than the
// turns of all VMs take, and those that go first may be cut off as it is.
func (m Model) hear(now time.Time, msg HeartbeatMsg) Model {
	if msg.Epoch < m.lease.Epoch || m.stage == Leader {
		return m
	}
	if !msg.RenewOverdue || !m.away {
		m.heard = now
	}
	m.lost, m.away = msg.RenewOverdue, msg.RenewOverdue
	return m
}

// see takes in a newer lease that another VM told of, which is all that a VM learns
// while it does not reach the store. Its version is read when it is needed.
func (m Model) see(now time.Time, msg LeaseMsg) (loop.Model, []loop.Cmd) {
	if msg.Lease.Epoch <= m.lease.Epoch || msg.Lease.Incarnation == m.self.Incarnation {
		return m, nil
	}
	m.top = max(m.top, msg.Lease.Epoch)
	if m.stage == Leader {
		m.lease, m.version = msg.Lease, 0
		return m.deposed(now)
	}
	m.lease, m.version, m.heard, m.lost = msg.Lease, 0, now, false
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM told"}}
}

func (m Model) tick(now time.Time) (loop.Model, []loop.Cmd) {
	if m.stage == Leader && !now.Before(m.Until()) {
		return m.rest(now, "the store did not confirm the lead within its term")
	}
	if m.calling || now.Before(m.callAt) || m.leaving {
		return m, nil
	}
	switch {
	case m.stage == Leader && m.doubt:
		return m.ask() // each time after the same pause: keys depend on it
	case m.stage == Leader:
		return m.renew()
	case m.lease.Incarnation == "" && m.version == 0, m.overdue(now):
		return m.ask()
	}
	return m, nil
}

// overdue reports whether the leader has been silent for so long that it is this
// VM's turn to take over.
func (m Model) overdue(now time.Time) bool {
	wait := ElectionTimeout
	if m.lost {
		wait = 0
	}
	return !now.Before(m.heard.Add(wait+time.Duration(m.rank)*Step)) && !now.Before(m.shy)
}

// beside leaves the lead to VMs that a leader has answered: a VM that starts knows
// neither its rank nor, in an absence of the store, what a leader has to tell.
func (m Model) beside(now time.Time) Model {
	if m.ranked || m.stage != Follower {
		return m
	}
	until := now.Add(FirstClaimDelay)
	if most := m.started.Add(Settling); until.After(most) {
		until = most
	}
	if until.After(m.shy) {
		m.shy = until
	}
	return m
}

func (m Model) deposed(now time.Time) (loop.Model, []loop.Cmd) {
	m.stage, m.heard, m.lost = Follower, now, false
	m.shy = now.Add(TakeoverBackoff)
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: "another VM took over"}}
}

// rest stops leading without knowing of another leader.
func (m Model) rest(now time.Time, why string) (loop.Model, []loop.Cmd) {
	if m.stage != Leader {
		return m, nil
	}
	m.stage, m.heard, m.shy = Follower, now, now
	m.ended = max(m.ended, m.lease.Epoch)
	m.callAt = now.Add(again)
	return m, []loop.Cmd{RoleChangeCmd{Role: Follower, Lease: m.lease, Reason: why}}
}
