// Package revs decides which revision of the rules is in force on this entry
// VM, how an edit becomes a revision, and when the VM must stop answering
// because it can no longer know the rules.
//
// A revision is accepted when the conditional update of the object
// "rules/current" is confirmed. Every entry VM then puts it in force, or stops
// answering, within [MaxApplyDelay]. Two faults are answered here. A list of rules that
// went back, after a late message, a peer's old copy or a restored store, would
// send requests where an operator has just forbidden it: so a revision that is
// not newer than any held before is never applied, and a VM that starts anew
// waits for the highest revision that anybody told it of. And a VM that is cut
// off would go on under old rules for as long as the cut lasts: so it stops
// after [DefaultLimits], unless the store's silence is all that it sees.
//
// While the store is down nothing can be accepted, so peers that see each other
// go on serving: an outage of the store alone costs no unavailable time.
package revs

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// MaxApplyDelay is the time from acceptance until every entry VM answers under the new
// revision or not at all.
const MaxApplyDelay = 7 * time.Second

// Limits are the times after which a VM stops answering.
type Limits struct {
	// Isolated is for a VM that hears neither the store nor more than half of the
	// live entry VMs.
	Isolated time.Duration
	// Behind is for a VM that knows of a newer revision and does not get it.
	Behind time.Duration
}

// DefaultLimits leave, of the bound of 7 s, 2 s for news to arrive through the
// peers and 1 s for a tick and the balancer.
var DefaultLimits = Limits{Isolated: 4 * time.Second, Behind: 4 * time.Second}

// State says whether this VM may answer requests.
type State uint32

// The states. The zero value does not serve.
const (
	Empty  State = iota // no rules yet
	Serve               // rules are held and nothing speaks against them
	Behind              // a newer revision exists and cannot be obtained
	Alone               // hears neither the store nor most peers, or has not yet
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"empty", "serve", "behind", "alone"}[min(s, Alone)]
}

// HeardMsg tells that a revision exists, at the store or at a peer.
type HeardMsg struct {
	From ident.VM // empty: the store
	Rev  ident.Revision
	Sum  digest.Sum
}

// LoadedMsg brings the bytes of a revision.
type LoadedMsg struct {
	From ident.VM // empty: the store
	Raw  []byte
}

// ContactMsg tells what this VM hears at present.
type ContactMsg struct {
	Store bool // the store answered just now
	Live  int  // entry VMs that should be there, this one included
	Heard int  // of them heard within the last second or two, this one included
	// At is the moment up to which this is true; zero counts as now. Without it,
	// a process that is paused while this message waits would take what it saw
	// before the pause for what it sees.
	At time.Time
}

// TickMsg lets time pass; send it a few times a second.
type TickMsg struct{}

// FetchCmd asks for the bytes of a revision, from the peer or the store that
// told of it.
type FetchCmd struct {
	From ident.VM // empty: the store
	Rev  ident.Revision
}

// ApplyCmd puts a snapshot in force: give it to the [Holder] before the next
// command.
type ApplyCmd struct{ Snap *Snapshot }

// ServeCmd changes whether requests are answered.
type ServeCmd struct{ State State }

// AlarmCmd reports something that an operator must see.
type AlarmCmd struct {
	From ident.VM
	Rev  ident.Revision
	Err  error
}

// Model is the decision module; it implements [loop.Model]. Its zero value is
// ready, with DefaultLimits.
type Model struct {
	Limits Limits

	snap  *Snapshot
	want  HeardMsg  // highest revision heard of
	since time.Time // when want was first heard of
	asked time.Time // when it was last asked for
	sight time.Time // when this VM last saw enough
	state State
}

// A revision that is known but not held is asked for again after retry; after
// doubt the store is asked as well, which has it if it exists.
const (
	retry = 500 * time.Millisecond
	doubt = 2 * time.Second
)

// Rev returns the revision in force, zero for none.
func (m Model) Rev() ident.Revision {
	if m.snap == nil {
		return 0
	}
	return m.snap.Rev
}

// State returns whether this VM may answer.
func (m Model) State() State { return m.state }

// Update implements [loop.Model].
func (m Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var cmds []loop.Cmd
	switch msg := msg.(type) {
	case HeardMsg:
		cmds = m.heard(now, msg)
	case LoadedMsg:
		cmds = m.loaded(now, msg)
	case ContactMsg:
		m.looked(now, msg)
	case TickMsg:
		cmds = m.askAgain(now)
	}
	if s := m.decide(now); s != m.state {
		m.state = s
		cmds = append(cmds, ServeCmd{State: s})
	}
	return m, cmds
}

// looked notes when this VM last saw enough.
func (m *Model) looked(now time.Time, msg ContactMsg) {
	at := msg.At
	if at.IsZero() || at.After(now) {
		at = now
	}
	if msg.enough() && at.After(m.sight) {
		m.sight = at
	}
}

// enough reports whether this VM would hear of a new revision. More than half
// of the VMs is asked for because any two such groups share a member: news that
// reaches one group reaches the other.
func (s ContactMsg) enough() bool { return s.Store || 2*s.Heard > s.Live }

func (m *Model) heard(now time.Time, msg HeardMsg) []loop.Cmd {
	if msg.Rev == m.Rev() && m.snap != nil && msg.Sum != m.snap.Sum {
		return m.alarm(msg.From, msg.Rev, kinds.New(kinds.Internal, "two contents under one revision"))
	}
	if msg.Rev <= max(m.want.Rev, m.Rev()) {
		return m.cheaper(msg)
	}
	if m.want.Rev <= m.Rev() {
		m.since = now
	}
	m.want = msg
	m.asked = now
	return []loop.Cmd{FetchCmd{From: msg.From, Rev: msg.Rev}}
}

// cheaper notes another source for the same revision, in case the first one
// does not answer.
func (m *Model) cheaper(msg HeardMsg) []loop.Cmd {
	if msg.Rev == m.want.Rev && msg.Rev > m.Rev() && msg.Sum == m.want.Sum {
		m.want.From = msg.From
	}
	return nil
}

func (m *Model) askAgain(now time.Time) []loop.Cmd {
	if m.want.Rev <= m.Rev() || now.Sub(m.asked) < retry {
		return nil
	}
	m.asked = now
	cmds := []loop.Cmd{FetchCmd{From: m.want.From, Rev: m.want.Rev}}
	if m.want.From != "" && now.Sub(m.since) >= doubt {
		cmds = append(cmds, FetchCmd{Rev: m.want.Rev})
	}
	return cmds
}

// refute drops a revision that a peer spoke of and that the store, asked later,
// does not have. Without it one faulty peer that announces a revision that was
// never accepted would stop every VM that it speaks to. A read of the store that
// was already under way when the revision was accepted can refute a true one; it
// is announced again within a second.
func (m *Model) refute(now time.Time, msg LoadedMsg, s *Snapshot) []loop.Cmd {
	wanted := m.want.Rev > m.Rev() && m.want.Rev > s.Rev
	if msg.From != "" || !wanted || m.want.From == "" || now.Sub(m.since) < doubt {
		return nil
	}
	cmds := m.alarm(m.want.From, m.want.Rev, kinds.New(kinds.NotFound, "a peer announced a revision that the store does not have"))
	m.want = HeardMsg{}
	return cmds
}

// loaded applies a revision if it is newer than all that were held, and, on a
// VM that holds none, not older than the newest heard of.
func (m *Model) loaded(now time.Time, msg LoadedMsg) []loop.Cmd {
	s, err := Open(msg.Raw)
	if err != nil {
		return m.alarm(msg.From, 0, err)
	}
	return append(m.refute(now, msg, s), m.apply(msg, s)...)
}

func (m *Model) apply(msg LoadedMsg, s *Snapshot) []loop.Cmd {
	switch {
	case s.Rev <= m.Rev():
		return m.checkOld(msg.From, s)
	case m.snap == nil && s.Rev < m.want.Rev:
		return nil
	case s.Rev == m.want.Rev && !m.want.Sum.IsZero() && s.Sum != m.want.Sum:
		return m.alarm(msg.From, s.Rev, kinds.New(kinds.Malformed, "digest differs from the one announced"))
	}
	m.snap = s
	if s.Rev >= m.want.Rev {
		m.want = HeardMsg{From: msg.From, Rev: s.Rev, Sum: s.Sum}
	}
	return []loop.Cmd{ApplyCmd{Snap: s}}
}

// checkOld looks at a revision that is not applied. The store itself having an
// older one means that it lost accepted revisions, for example by a restore.
func (m *Model) checkOld(from ident.VM, s *Snapshot) []loop.Cmd {
	switch {
	case from == "" && s.Rev < m.Rev():
		return m.alarm(from, s.Rev, kinds.New(kinds.Internal, "the store went back to an older revision"))
	case s.Rev == m.Rev() && s.Sum != m.snap.Sum:
		return m.alarm(from, s.Rev, kinds.New(kinds.Internal, "two contents under one revision"))
	}
	return nil
}

func (m *Model) alarm(from ident.VM, rev ident.Revision, err error) []loop.Cmd {
	return []loop.Cmd{AlarmCmd{From: from, Rev: rev, Err: err}}
}

// decide says whether this VM may answer now.
func (m *Model) decide(now time.Time) State {
	l := m.limits()
	switch {
	case m.snap == nil:
		return Empty
	case m.want.Rev > m.Rev() && now.Sub(m.since) >= l.Behind:
		return Behind
	case now.Sub(m.sight) >= l.Isolated:
		return Alone
	}
	return Serve
}

func (m *Model) limits() Limits {
	if m.Limits == (Limits{}) {
		return DefaultLimits
	}
	return m.Limits
}
