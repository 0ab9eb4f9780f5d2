// Package lead decides which VM leads: the one that gives orders for keys, and
// that the others ask for news.
//
// The lead is a small object in the store, won and kept by conditional updates.
// Leading needs the store every few seconds; being replaced needs nothing from
// the one replaced. A new leader only goes on with what is agreed and may do so at
// once, since renewing the same grants twice harms nobody. What it must not do at
// once is to take keys from an owner that does not answer: the leader before may
// still renew them until its term ends. [Model.Bar] says until when.
//
// The module is a pure update: it is told the time and what happened, and returns
// the effects that it wants.
package lead

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Times of the lead.
const (
	// Beat is how often the leader renews its lead: some twenty writes in half a
	// minute, while Term bridges a store that is away for two of them.
	Beat = 1500 * time.Millisecond
	// Term is how long a leader may give orders after its lead was last confirmed,
	// counted from the sending of that call. Longer, the keys of a server that is lost
	// just after the leader wait longer, see [Model.Bar]; shorter, keys lapse in an
	// absence of the store that this and a long grant together bridge, 11 s.
	Term = 6 * time.Second
	// Silence is how long a leader may be unheard before somebody takes over. The
	// others ask it twice a second, so two questions in a row came to nothing.
	Silence = 900 * time.Millisecond
	// Step separates the attempts of those who could take over.
	Step = 150 * time.Millisecond
	// Shy is how long a VM that was replaced waits before it takes over again: two
	// that cannot hear each other would otherwise replace each other all the time.
	Shy = 5 * time.Second
	// Reign is the least time for which a VM leads before it makes way for a stronger
	// one: a change costs three store calls and a kilobyte or ten to each VM.
	Reign = 5 * time.Second
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
	// Beside is for how long a VM that no leader ever answered leaves the lead to others
	// after one that a leader did answer was heard.
	Beside = 1500 * time.Millisecond
	// Settling bounds that from the VM's start: those others may not reach the store.
	Settling = 10 * time.Second
	// Margin covers what passes between a look at the clock and the effect.
	Margin = 200 * time.Millisecond
)

// Model is the decision. Make one with New.
type Model struct {
	self    Lease // holder, life and address of this VM
	stage   Stage
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
	m := Model{self: Lease{Holder: vm, Life: life, Addr: addr}, stage: Follow, started: now, heard: now, callAt: now}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// Stage returns where this VM stands.
func (m Model) Stage() Stage { return m.stage }

// Lease returns the lease as far as it is known.
func (m Model) Lease() Lease { return m.lease }

// Until is the end of this VM's authority; zero when it does not lead.
func (m Model) Until() time.Time {
	if m.stage != Lead {
		return time.Time{}
	}
	return m.sure.Add(Term)
}

// Bar is until when a leader before this one may still give orders: for a term
// after this VM's claim, unless it is known to have ended before. Keys of a server
// that does not answer wait for it.
func (m Model) Bar() time.Time { return m.bar }

// Former returns who led before, and whether it may still give orders.
func (m Model) Former(now time.Time) (Lease, bool) {
	return m.former, m.stage == Lead && m.former.Life != "" && now.Before(m.bar)
}

// Troubled reports whether the store has not confirmed the lead when it should
// have.
func (m Model) Troubled(now time.Time) bool {
	return m.stage == Lead && (m.misses >= fewMisses || now.Sub(m.sure) > Beat+2*again)
}

// Update takes in a message.
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(now)
	case HeardMsg:
		return m.hear(now, msg), nil
	case LostMsg:
		m.lost = m.lost || msg.Epoch == m.lease.Epoch && m.stage == Follow
	case SeeMsg:
		return m.see(now, msg)
	case RankMsg:
		m.rank, m.ranked = msg.N, true
	case SettledMsg:
		return m.beside(now), nil
	case ReadMsg:
		return m.read(now, msg)
	case WroteMsg:
		return m.wrote(now, msg)
	case RaiseMsg:
		return m.behind(now, msg.Epoch), nil
	case EndedMsg:
		return m.end(now, msg), nil
	case YieldMsg:
		return m.yield(now)
	case LeaveMsg:
		m.leaving = true
		if m.Troubled(now) {
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
	if m.stage != Lead || m.Troubled(now) || now.Sub(m.began) < Reign {
		return m, nil
	}
	next, cmds := m.rest(now, "a stronger VM is there")
	m = next.(Model)
	m.shy = now.Add(Shy)
	return m, cmds
}

func (m Model) end(now time.Time, msg EndedMsg) Model {
	m.ended, m.top = max(m.ended, msg.Epoch), max(m.top, msg.Epoch)
	if m.stage == Lead && m.former.Life != "" && msg.Epoch == m.former.Epoch && now.Add(Margin).Before(m.bar) {
		m.bar = now.Add(Margin)
	}
	return m
}

// hear takes in an answer of the leader. One that says again that it does not reach the
// store does not put off whose turn it is to take over: it answers more often than the
// turns of all VMs take, and those that go first may be cut off as it is.
func (m Model) hear(now time.Time, msg HeardMsg) Model {
	if msg.Epoch < m.lease.Epoch || m.stage == Lead {
		return m
	}
	if !msg.Troubled || !m.away {
		m.heard = now
	}
	m.lost, m.away = msg.Troubled, msg.Troubled
	return m
}

// see takes in a newer lease that another VM told of, which is all that a VM learns
// while it does not reach the store. Its version is read when it is needed.
func (m Model) see(now time.Time, msg SeeMsg) (loop.Model, []loop.Cmd) {
	if msg.Lease.Epoch <= m.lease.Epoch || msg.Lease.Life == m.self.Life {
		return m, nil
	}
	m.top = max(m.top, msg.Lease.Epoch)
	if m.stage == Lead {
		m.lease, m.version = msg.Lease, 0
		return m.deposed(now)
	}
	m.lease, m.version, m.heard, m.lost = msg.Lease, 0, now, false
	return m, []loop.Cmd{ChangeCmd{Stage: Follow, Lease: m.lease, Why: "another VM told"}}
}

func (m Model) tick(now time.Time) (loop.Model, []loop.Cmd) {
	if m.stage == Lead && !now.Before(m.Until()) {
		return m.rest(now, "the store did not confirm the lead within its term")
	}
	if m.calling || now.Before(m.callAt) || m.leaving {
		return m, nil
	}
	switch {
	case m.stage == Lead && m.doubt:
		return m.ask() // each time after the same pause: keys depend on it
	case m.stage == Lead:
		return m.renew()
	case m.lease.Life == "" && m.version == 0, m.overdue(now):
		return m.ask()
	}
	return m, nil
}

// overdue reports whether the leader has been silent for so long that it is this
// VM's turn to take over.
func (m Model) overdue(now time.Time) bool {
	wait := Silence
	if m.lost {
		wait = 0
	}
	return !now.Before(m.heard.Add(wait+time.Duration(m.rank)*Step)) && !now.Before(m.shy)
}

// beside leaves the lead to VMs that a leader has answered: a VM that starts knows
// neither its rank nor, in an absence of the store, what a leader has to tell.
func (m Model) beside(now time.Time) Model {
	if m.ranked || m.stage != Follow {
		return m
	}
	until := now.Add(Beside)
	if most := m.started.Add(Settling); until.After(most) {
		until = most
	}
	if until.After(m.shy) {
		m.shy = until
	}
	return m
}

func (m Model) deposed(now time.Time) (loop.Model, []loop.Cmd) {
	m.stage, m.heard, m.lost = Follow, now, false
	m.shy = now.Add(Shy)
	return m, []loop.Cmd{ChangeCmd{Stage: Follow, Lease: m.lease, Why: "another VM took over"}}
}

// rest stops leading without knowing of another leader.
func (m Model) rest(now time.Time, why string) (loop.Model, []loop.Cmd) {
	if m.stage != Lead {
		return m, nil
	}
	m.stage, m.heard, m.shy = Follow, now, now
	m.ended = max(m.ended, m.lease.Epoch)
	m.callAt = now.Add(again)
	return m, []loop.Cmd{ChangeCmd{Stage: Follow, Lease: m.lease, Why: why}}
}
