// Package detect decides which entry VMs and backend servers are joining, live,
// draining, frozen or gone, from observations that can each be wrong: the
// platform's list lags, a health endpoint can report "ready" while nothing is
// served, silence can be caused by this VM's own broken link, and failed calls
// can be the callers' fault.
//
// Servers join and leave all day, and some freeze and recover as if nothing had
// happened. If every "ready" were believed, one lying endpoint would keep
// requests flowing to a dead server; if any single observation were believed, its
// failure would take a healthy fleet out of service. So:
//
//   - Leaving is believed at once from the list, its "gone" included, and from
//     the server's own health report, unless more than half of its group report
//     draining while the list says live. A wrong report costs some capacity;
//     doubting a correct one would break the guarantee that a leaving server gets
//     no new work within 3 s.
//   - Frozen takes two observations, or failing calls alone for longer, and never
//     applies to more than half of the members. If more look frozen, the cause is
//     this VM or general overload, and no further member is declared frozen.
//   - A member that looks frozen to this VM but not to others has a broken link
//     to this VM: it is avoided, not frozen.
//   - Gone takes the list's "gone" and silence. Silence alone never suffices,
//     since a silent server may still hold its keys.
//
// The states and transitions are defined in member.toml.
package detect

import (
	_ "embed"
	"maps"
	"net/netip"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

//go:embed member.toml
var chartFile []byte

var states = chart.MustParse(chartFile)

// States of a member.
const (
	Joining  chart.State = "joining"
	Live     chart.State = "live"
	Draining chart.State = "draining"
	Frozen   chart.State = "frozen"
	Gone     chart.State = "gone"
)

const (
	onReady  chart.Trigger = "ready"  // it reports ready and answers
	onLeave  chart.Trigger = "leave"  // it leaves
	onSilent chart.Trigger = "silent" // it looks frozen
	onLost   chart.Trigger = "lost"   // it is listed as gone, and silent
	onStay   chart.Trigger = "stay"   // it no longer leaves
	onBack   chart.Trigger = "back"   // it answers again after a freeze
)

// Config holds the periods and timeouts. The zero value means DefaultConfig.
type Config struct {
	ProbePeriod time.Duration // between two probes of a member
	SilentAfter time.Duration // time without any answer that counts as one observation of a freeze
	CallsAlone  time.Duration // how long calls must fail to count without another observation
	GoneAfter   time.Duration // silence that confirms a listed "gone"
	AbsentAfter time.Duration // a member missing from the list for so long counts as gone
	StayAfter   time.Duration // how long the list and the member's health must deny that it leaves
	ViewFresh   time.Duration // how long another VM's view is valid
}

// DefaultConfig allows for one lost probe within the 3 s in which a leaving server
// must be noticed. SilentAfter is longer than the time between two probes, so that
// an idle member does not look silent, and longer than eight renewals of a lease
// (175 ms each), so that a garbage collection pause does not look like a freeze.
var DefaultConfig = Config{
	ProbePeriod: time.Second,
	SilentAfter: 1500 * time.Millisecond,
	CallsAlone:  3 * time.Second,
	GoneAfter:   2 * time.Second,
	AbsentAfter: 30 * time.Second,
	StayAfter:   10 * time.Second,
	ViewFresh:   3 * time.Second,
}

const (
	minFailedProbes     = 2  // unanswered probes in a row that count as an observation
	minFailedCalls      = 3  // failed calls in a row that count as an observation
	minFailedCallsAlone = 10 // failed calls in a row that suffice alone, after CallsAlone
	minAnswers          = 3  // answers in a row that end joining or frozen
	minContraryViews    = 2  // other VMs' contrary views that outweigh this VM's observations
)

// How long a member that freezes repeatedly stays out of use.
const (
	minFreezeHold = 2 * time.Second // after the second freeze; doubled with each further one
	maxFreezeHold = time.Minute
	freezeMemory  = 5 * time.Minute // after which earlier freezes are ignored
)

// Listed is one row of the platform's list.
type Listed[K ~string] struct {
	ID     K
	Group  ident.Service // empty for entry VMs
	Centre ident.Centre
	Addr   netip.AddrPort
	State  vmlist.State
}

// ListMsg delivers the list as read just now.
type ListMsg[K ~string] struct{ Rows []Listed[K] }

// ProbeMsg delivers the result of a probe: the member's own health report.
type ProbeMsg[K ~string] struct {
	ID     K
	Failed bool // no answer
	Health server.Health
}

// HeartbeatMsg reports that a member was heard directly: an answer to a command,
// or a packet of a peer.
type HeartbeatMsg[K ~string] struct{ ID K }

// HealthMsg delivers a health report that came with an answer to something else,
// such as the renewal of a lease. It replaces a probe: none is sent while such
// reports arrive.
type HealthMsg[K ~string] struct {
	ID     K
	Health server.Health
}

// CallsMsg reports what callers observed since the last one. Failed counts
// requests without any answer; refusals and errors are answers.
type CallsMsg[K ~string] struct {
	ID        K
	Succeeded int
	Failed    int
}

// ViewMsg delivers another VM's view: the members that look frozen to it, and
// those that it suspects; see ViewCmd. Send it about once a second.
type ViewMsg[K ~string] struct {
	From    ident.VM
	Frozen  []K
	Suspect []K
}

// ViewsMsg delivers the views of many VMs at once, as package gossip collects
// them.
type ViewsMsg[K ~string] struct {
	Views   []ViewMsg[K]
	Suspect []K // members that any of them suspects
}

// TickMsg advances the model's time; send it about every 100 ms. States only
// change with it and with a list, so that all members are judged on the same
// information.
type TickMsg struct{}

// ProbeCmd asks the caller to probe a member and to answer with [ProbeMsg].
type ProbeCmd[K ~string] struct {
	ID   K
	Addr netip.AddrPort
}

// ChangeCmd reports that a member changed its state, with a short reason.
type ChangeCmd[K ~string] struct {
	ID       K
	From, To chart.State
	Reason   string
}

// ViewCmd reports to the other VMs which members look frozen to this VM, and which
// of those that it probes are suspect: they gave no answer or reported anything
// but "ready". It is returned with each round of probes, and soon after a member
// became suspect or stopped being so.
type ViewCmd[K ~string] struct {
	Frozen  []K
	Suspect []K
}

// Member is one member as this VM sees it now.
type Member[K ~string] struct {
	Listed[K]
	// Is is the state as this VM sees it; Listed.State is what the list says.
	Is    chart.State
	Since time.Time // since when it is in this state
	Cold  bool      // it reports that it is still warming up: send it little work
	Avoid bool      // it looks frozen to this VM, but not to others
}

// Accepting reports whether the member may get new work.
func (m Member[K]) Accepting() bool { return m.Is == Live }

// Model is the decision module; it implements [loop.Model]. Create it with [New].
// It is updated in place, so its state belongs to the goroutine that calls Update.
type Model[K ~string] struct {
	cfg        Config
	members    map[K]*member[K]
	views      map[ident.VM]view[K]
	viewSentAt time.Time // when this VM's view was last sent
	viewDue    bool      // the view has changed and must be sent with the next tick
	probers    ProbersMsg
	listSeq    uint64 // number of lists received
	schedule[K]
}

// view is the latest view of another VM.
type view[K ~string] struct {
	at     time.Time
	frozen []K
}

// New returns a model without members.
func New[K ~string](cfg Config) *Model[K] {
	if cfg == (Config{}) {
		cfg = DefaultConfig
	}
	return &Model[K]{
		cfg: cfg, members: map[K]*member[K]{}, views: map[ident.VM]view[K]{},
		schedule: schedule[K]{active: map[K]*member[K]{}, idleByGroup: map[ident.Service]int{}},
	}
}

func (m *Model[K]) ids() []K { return slices.Sorted(maps.Keys(m.members)) }

// Members returns all members that are not gone, in the order of their names.
func (m *Model[K]) Members() []Member[K] {
	out := make([]Member[K], 0, len(m.members))
	for _, id := range m.ids() {
		if x := m.members[id]; x.Is != Gone {
			out = append(out, x.Member)
		}
	}
	return out
}

// Member returns one member, also one that is gone.
func (m *Model[K]) Member(id K) (Member[K], bool) {
	x := m.members[id]
	if x == nil {
		return Member[K]{}, false
	}
	return x.Member, true
}

// Update implements [loop.Model].
func (m *Model[K]) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var cmds []loop.Cmd
	switch msg := msg.(type) {
	case ListMsg[K]:
		m.onList(now, msg.Rows)
		m.activateDue(now)
		m.countViews(now)
		cmds = m.evaluate(now, m.activeMembers())
	case ProbeMsg[K]:
		m.withMember(now, msg.ID, func(x *member[K]) { m.viewDue = x.onProbe(now, msg) || m.viewDue })
	case HealthMsg[K]:
		m.withMember(now, msg.ID, func(x *member[K]) { m.viewDue = x.onHealth(now, msg.Health) || m.viewDue })
	case HeartbeatMsg[K]:
		m.withMember(now, msg.ID, func(x *member[K]) { x.onAnswer(now) })
	case CallsMsg[K]:
		m.withMember(now, msg.ID, func(x *member[K]) { x.onCalls(now, msg) })
	case ViewMsg[K]:
		m.onView(now, msg)
	case ViewsMsg[K]:
		for _, v := range msg.Views {
			m.onView(now, v)
		}
		m.onSuspects(now, msg.Suspect)
	case ProbersMsg:
		m.activateAll()
		for _, x := range m.members {
			m.coveredUntil(now, x)
			x.probers = nil
		}
		m.probers = msg
	case TickMsg:
		m.activateDue(now)
		m.countViews(now)
		active := m.activeMembers()
		cmds = append(m.probe(now, active), m.evaluate(now, active)...)
	}
	return m, cmds
}

func (m *Model[K]) onView(now time.Time, v ViewMsg[K]) {
	m.views[v.From] = view[K]{at: now, frozen: v.Frozen}
	if m.probers.Peers {
		m.withMember(now, K(v.From), func(x *member[K]) { x.heardByOthers(now) })
	}
	m.onSuspects(now, v.Suspect)
}

func (m *Model[K]) onSuspects(now time.Time, ids []K) {
	for _, id := range ids {
		m.withMember(now, id, func(x *member[K]) {
			x.suspectAt = now
			m.activate(x)
		})
	}
}

// withMember calls f for a known member and activates it if it is no longer
// healthy.
func (m *Model[K]) withMember(now time.Time, id K, f func(*member[K])) {
	x := m.members[id]
	if x == nil {
		return
	}
	m.coveredUntil(now, x)
	f(x)
	if x.activity == activityIdle && !x.healthy() {
		m.activate(x)
	}
}

// onList handles a list. Members that it shows for the first time are joining.
func (m *Model[K]) onList(now time.Time, rows []Listed[K]) {
	m.listSeq++
	for _, row := range rows {
		x := m.members[row.ID]
		if x == nil {
			x = &member[K]{Member: Member[K]{Is: Joining, Since: now}, knownSince: now}
			m.members[row.ID], m.active[row.ID] = x, x
		}
		if x.Listed != row || !x.inList {
			m.activate(x)
		}
		x.Listed = row
		x.inList, x.listedAt, x.listSeq = true, now, m.listSeq
	}
	for _, x := range m.members {
		if x.inList && x.listSeq != m.listSeq {
			m.activate(x)
			x.inList = false
		}
	}
}
