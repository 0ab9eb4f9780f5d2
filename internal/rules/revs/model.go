// Package revs decides which revision of the rules is in force on this entry VM, how an
// edit becomes a revision, and when the VM must stop answering because its rules may be
// outdated.
//
// A revision is accepted when the conditional update of the object "rules/current" is
// confirmed. Every entry VM then applies it, or stops answering, within [MaxApplyDelay].
// The package guards against two faults:
//
//   - Rules that go back to an older revision, after a late message, an old copy from a
//     peer or a restored store, would allow requests that an operator has just
//     forbidden. A revision that is not newer than every one held before is therefore
//     never applied, and a VM that starts waits for the highest revision announced to
//     it.
//   - A VM that is cut off from the network would keep serving under old rules for as
//     long as the partition lasts. It therefore stops after [DefaultLimits], unless only
//     the store is unreachable.
//
// While the store is down no revision can be accepted, so VMs that hear each other
// continue to serve: an outage of the store alone makes no VM unavailable.
package revs

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// MaxApplyDelay is the maximum time from the acceptance of a revision until every entry VM
// either applies it or stops answering.
const MaxApplyDelay = 7 * time.Second

// Limits are the times after which a VM stops answering.
type Limits struct {
	// Isolated applies to a VM that hears neither the store nor more than half of the live
	// entry VMs.
	Isolated time.Duration
	// Behind applies to a VM that knows of a newer revision and cannot obtain it.
	Behind time.Duration
}

// DefaultLimits are 4 s of the 7 s of MaxApplyDelay. The remainder leaves 2 s for an
// announcement to spread among the peers, and 1 s for the next TickMsg and the load
// balancer.
var DefaultLimits = Limits{Isolated: 4 * time.Second, Behind: 4 * time.Second}

// State says whether this VM may answer requests.
type State uint32

// The states. The zero value does not serve.
const (
	Empty    State = iota // no rules yet
	Serve                 // the rules may be used
	Behind                // a newer revision exists and could not be obtained in time
	Isolated              // hears neither the store nor most peers, or has not heard them yet
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"empty", "serve", "behind", "alone"}[min(s, Isolated)]
}

// HeardMsg reports that a revision exists, at the store or at a peer.
type HeardMsg struct {
	From ident.VM // empty: the store
	Rev  ident.Revision
	Sum  digest.Sum
}

// LoadedMsg delivers the stored bytes of a revision.
type LoadedMsg struct {
	From ident.VM // empty: the store
	Raw  []byte
}

// ContactMsg reports whom this VM currently hears.
type ContactMsg struct {
	Store bool // the store has just answered
	Live  int  // number of live entry VMs, including this one
	Heard int  // number of those heard within the last second or two, including this one
	// At is the time up to which the report is true; zero means now. Without it a process that
	// is paused while this message waits would take contact before the pause for current
	// contact.
	At time.Time
}

// TickMsg signals that time has passed; send it a few times a second.
type TickMsg struct{}

// FetchCmd requests the bytes of a revision from the peer or the store that announced it.
type FetchCmd struct {
	From ident.VM // empty: the store
	Rev  ident.Revision
}

// ApplyCmd puts a snapshot in force. Pass it to the [Holder] before executing the next
// command.
type ApplyCmd struct{ Snap *Snapshot }

// ServeCmd changes whether requests are answered.
type ServeCmd struct{ State State }

// AlarmCmd reports a fault to the operator.
type AlarmCmd struct {
	From ident.VM
	Rev  ident.Revision
	Err  error
}

// Model is the state machine of this package; it implements [loop.Model]. The zero value
// is ready for use with DefaultLimits.
type Model struct {
	Limits Limits

	snap        *Snapshot
	announced   HeardMsg  // highest revision announced
	announcedAt time.Time // when a revision newer than the one held was first announced
	lastFetch   time.Time // when it was last requested
	lastContact time.Time // when this VM last had sufficient contact
	state       State
}

// An announced revision that is not held is requested again every fetchRetryInterval.
// After storeFetchDelay it is also requested from the store, which has it if it exists.
const (
	fetchRetryInterval = 500 * time.Millisecond
	storeFetchDelay    = 2 * time.Second
)

// Rev returns the revision in force, or zero if there is none.
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
		cmds = m.noteAnnouncement(now, msg)
	case LoadedMsg:
		cmds = m.load(now, msg)
	case ContactMsg:
		m.noteContact(now, msg)
	case TickMsg:
		cmds = m.retryFetch(now)
	}
	if s := m.decide(now); s != m.state {
		m.state = s
		cmds = append(cmds, ServeCmd{State: s})
	}
	return m, cmds
}

// noteContact records when this VM last had sufficient contact.
func (m *Model) noteContact(now time.Time, msg ContactMsg) {
	at := msg.At
	if at.IsZero() || at.After(now) {
		at = now
	}
	if msg.sufficient() && at.After(m.lastContact) {
		m.lastContact = at
	}
}

// sufficient reports whether this VM would learn of a new revision. More than half of the
// VMs is required because any two such groups share a member: an announcement that reaches
// one group reaches the other.
func (s ContactMsg) sufficient() bool { return s.Store || 2*s.Heard > s.Live }

// noteAnnouncement requests the bytes of an announced revision if it is newer than every
// one known.
func (m *Model) noteAnnouncement(now time.Time, msg HeardMsg) []loop.Cmd {
	if msg.Rev == m.Rev() && m.snap != nil && msg.Sum != m.snap.Sum {
		return m.alarm(msg.From, msg.Rev, kinds.New(kinds.Internal, "two different contents for one revision"))
	}
	if msg.Rev <= max(m.announced.Rev, m.Rev()) {
		return m.noteSource(msg)
	}
	if m.announced.Rev <= m.Rev() {
		m.announcedAt = now
	}
	m.announced = msg
	m.lastFetch = now
	return []loop.Cmd{FetchCmd{From: msg.From, Rev: msg.Rev}}
}

// noteSource records another source for the announced revision, in case the first does not
// answer.
func (m *Model) noteSource(msg HeardMsg) []loop.Cmd {
	if msg.Rev == m.announced.Rev && msg.Rev > m.Rev() && msg.Sum == m.announced.Sum {
		m.announced.From = msg.From
	}
	return nil
}

// retryFetch requests the announced revision again while it is not held.
func (m *Model) retryFetch(now time.Time) []loop.Cmd {
	if m.announced.Rev <= m.Rev() || now.Sub(m.lastFetch) < fetchRetryInterval {
		return nil
	}
	m.lastFetch = now
	cmds := []loop.Cmd{FetchCmd{From: m.announced.From, Rev: m.announced.Rev}}
	if m.announced.From != "" && now.Sub(m.announcedAt) >= storeFetchDelay {
		cmds = append(cmds, FetchCmd{Rev: m.announced.Rev})
	}
	return cmds
}

// dropUnconfirmed drops a revision that a peer announced and that the store, asked later,
// does not have. Without it one faulty peer that announces a revision which was never
// accepted would stop every VM that it sends to. A read of the store that began before the
// acceptance of a revision can drop a genuine one; that revision is announced again within
// a second.
func (m *Model) dropUnconfirmed(now time.Time, msg LoadedMsg, s *Snapshot) []loop.Cmd {
	wanted := m.announced.Rev > m.Rev() && m.announced.Rev > s.Rev
	if msg.From != "" || !wanted || m.announced.From == "" || now.Sub(m.announcedAt) < storeFetchDelay {
		return nil
	}
	cmds := m.alarm(m.announced.From, m.announced.Rev, kinds.New(kinds.NotFound, "a peer announced a revision that the store does not have"))
	m.announced = HeardMsg{}
	return cmds
}

// load applies a revision if it is newer than all that were held and, on a VM that holds
// none, not older than the newest announced.
func (m *Model) load(now time.Time, msg LoadedMsg) []loop.Cmd {
	s, err := Open(msg.Raw)
	if err != nil {
		return m.alarm(msg.From, 0, err)
	}
	return append(m.dropUnconfirmed(now, msg, s), m.apply(msg, s)...)
}

func (m *Model) apply(msg LoadedMsg, s *Snapshot) []loop.Cmd {
	switch {
	case s.Rev <= m.Rev():
		return m.checkNotNewer(msg.From, s)
	case m.snap == nil && s.Rev < m.announced.Rev:
		return nil
	case s.Rev == m.announced.Rev && !m.announced.Sum.IsZero() && s.Sum != m.announced.Sum:
		return m.alarm(msg.From, s.Rev, kinds.New(kinds.Malformed, "digest differs from the one announced"))
	}
	m.snap = s
	if s.Rev >= m.announced.Rev {
		m.announced = HeardMsg{From: msg.From, Rev: s.Rev, Sum: s.Sum}
	}
	return []loop.Cmd{ApplyCmd{Snap: s}}
}

// checkNotNewer checks a revision that is not applied. An older revision in the store
// itself means that the store lost accepted revisions, for example through a restore.
func (m *Model) checkNotNewer(from ident.VM, s *Snapshot) []loop.Cmd {
	switch {
	case from == "" && s.Rev < m.Rev():
		return m.alarm(from, s.Rev, kinds.New(kinds.Internal, "the store went back to an older revision"))
	case s.Rev == m.Rev() && s.Sum != m.snap.Sum:
		return m.alarm(from, s.Rev, kinds.New(kinds.Internal, "two different contents for one revision"))
	}
	return nil
}

func (m *Model) alarm(from ident.VM, rev ident.Revision, err error) []loop.Cmd {
	return []loop.Cmd{AlarmCmd{From: from, Rev: rev, Err: err}}
}

// decide returns the state of this VM at the given time.
func (m *Model) decide(now time.Time) State {
	l := m.limits()
	switch {
	case m.snap == nil:
		return Empty
	case m.announced.Rev > m.Rev() && now.Sub(m.announcedAt) >= l.Behind:
		return Behind
	case now.Sub(m.lastContact) >= l.Isolated:
		return Isolated
	}
	return Serve
}

func (m *Model) limits() Limits {
	if m.Limits == (Limits{}) {
		return DefaultLimits
	}
	return m.Limits
}
