// Package detect decides which entry VMs and backend servers are live, joining,
// draining, frozen or gone, out of witnesses that can each be wrong: the
// platform's list lags, a health endpoint can say "ready" while nothing is
// served, silence can be our own broken link, and callers' failures can be the
// callers' fault.
//
// The pattern it answers: servers join and leave all day, some freeze and come
// back as if nothing had happened. Without a rule, one lying endpoint keeps
// requests flowing into a dead server; a rule that trusts any one witness takes
// a healthy fleet out of service when that witness fails. So:
//
//   - Leaving is believed at once from the list, its "gone" included, and from
//     the server's own word unless more than half of its group says so while the list says live. To
//     believe it wrongly costs some capacity, to doubt it breaks the promise
//     that a leaving server gets no new work within 3 s.
//   - Frozen takes two witnesses, or callers alone for longer; and never more
//     than half of those that are watched. Beyond that it is our side, or
//     overload, and nothing is declared.
//   - Frozen here and well with the others is our link: avoided, not frozen.
//   - Gone takes the list's word and silence. Silence alone never makes gone:
//     whoever was silent may still hold what it held.
//
// The states and their changes stand in member.toml.
package detect

import (
	_ "embed"
	"net/netip"
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
	onReady  chart.Trigger = "ready"
	onLeave  chart.Trigger = "leave"
	onSilent chart.Trigger = "silent"
	onLost   chart.Trigger = "lost"
	onStay   chart.Trigger = "stay"
	onBack   chart.Trigger = "back"
)

// Config holds the times. The zero value takes DefaultConfig.
type Config struct {
	Probe  time.Duration // between two probes of a member
	Silent time.Duration // without any answer: one witness of a freeze
	Alone  time.Duration // failing callers alone are believed after this
	Lost   time.Duration // silence that confirms the list's "gone"
	Absent time.Duration // missing from the list counts as "gone" after this
	Stay   time.Duration // both witnesses deny the leaving for this long
	Fresh  time.Duration // another VM's view counts for this long
}

// DefaultConfig leaves room for one lost probe within the 3 s in which a leaving
// server must be noticed. Silent is longer than the time between two probes, so
// an idle member is not a silent one, and more than eight renewals of a lease
// (175 ms), so a pause of a garbage collector is no freeze.
var DefaultConfig = Config{
	Probe:  time.Second,
	Silent: 1500 * time.Millisecond,
	Alone:  3 * time.Second,
	Lost:   2 * time.Second,
	Absent: 30 * time.Second,
	Stay:   10 * time.Second,
	Fresh:  3 * time.Second,
}

const (
	badProbes  = 2  // unanswered probes in a row that make a witness
	badCalls   = 3  // failures in a row that make callers a witness
	manyCalls  = 10 // failures in a row that are believed alone, after Alone
	goodProofs = 3  // answers in a row that make a joining member live
	someViews  = 2  // other VMs whose contrary view outweighs ours
)

// Times for a member that freezes again and again.
const (
	firstHold = 2 * time.Second // after the second freeze, then doubled
	longHold  = time.Minute
	forgiven  = 5 * time.Minute // since the last freeze
)

// Listed is one row of the platform's list.
type Listed[K ~string] struct {
	ID     K
	Group  ident.Service // empty for entry VMs
	Centre ident.Centre
	Addr   netip.AddrPort
	State  vmlist.State
}

// ListMsg brings the list as read just now.
type ListMsg[K ~string] struct{ Rows []Listed[K] }

// ProbeMsg brings the answer to a probe: the member's own word.
type ProbeMsg[K ~string] struct {
	ID     K
	Failed bool // no answer
	Health server.Health
}

// HeartbeatMsg tells that a member was heard directly: an answer to an order, a
// packet of a peer.
type HeartbeatMsg[K ~string] struct{ ID K }

// HealthMsg brings a member's own word out of an answer to something else, a
// renewal of a lease. It stands for a probe: none is sent while such words come.
type HealthMsg[K ~string] struct {
	ID     K
	Health server.Health
}

// CallsMsg tells what callers observed since the last one. Bad counts requests
// without any answer: refusals and errors are answers.
type CallsMsg[K ~string] struct {
	ID        K
	Succeeded int
	Failed    int
}

// ViewMsg tells whom another VM holds to be frozen, and whom it would look at
// more closely: see ViewCmd. Send it about once a second.
type ViewMsg[K ~string] struct {
	From   ident.VM
	Frozen []K
	Odd    []K
}

// ViewsMsg brings many VMs' views at once, as the exchange collects them.
type ViewsMsg[K ~string] struct {
	Views   []ViewMsg[K]
	Suspect []K // as any of them finds
}

// TickMsg lets time pass; send it every 100 ms or so. States change only with it
// and with a list, so that all members are judged by one picture.
type TickMsg struct{}

// ProbeCmd asks for a probe.
type ProbeCmd[K ~string] struct {
	ID   K
	Addr netip.AddrPort
}

// ChangeCmd tells that a member changed its state, and why in a few words.
type ChangeCmd[K ~string] struct {
	ID       K
	From, To chart.State
	Reason   string
}

// ViewCmd tells the other VMs whom this VM holds to look frozen, and who of those
// that it probes gave no answer or another word than "ready". It is made with
// each round of probes, and soon after such a word changed.
type ViewCmd[K ~string] struct {
	Frozen  []K
	Suspect []K
}

// Member is one member as seen now.
type Member[K ~string] struct {
	Listed[K]
	Is    chart.State
	Since time.Time // of the state
	Cold  bool      // by its own word: give it little at first
	Avoid bool      // it looks frozen from here, but not to others
}

// Accepting reports whether the member may get new work.
func (m Member[K]) Accepting() bool { return m.Is == Live }

// Model is the decision module; it implements [loop.Model]. Make one with New.
// It changes in place, so its state belongs to the goroutine that updates it.
type Model[K ~string] struct {
	cfg     Config
	members map[K]*member[K]
	views   map[ident.VM]view[K]
	told    time.Time // when the others were last told
	tell    bool      // there is something new to tell
	shard   ProbersMsg
	lists   uint64 // how many were taken in
	resting[K]
}

type view[K ~string] struct {
	at  time.Time
	bad []K
}

// New makes a roster.
func New[K ~string](cfg Config) *Model[K] {
	if cfg == (Config{}) {
		cfg = DefaultConfig
	}
	return &Model[K]{
		cfg: cfg, members: map[K]*member[K]{}, views: map[ident.VM]view[K]{},
		resting: resting[K]{awake: map[K]*member[K]{}, groups: map[ident.Service]int{}},
	}
}

// Update implements [loop.Model].
func (m *Model[K]) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var cmds []loop.Cmd
	switch msg := msg.(type) {
	case ListMsg[K]:
		m.onList(now, msg.Rows)
		m.wakeDue(now)
		m.countViews(now)
		cmds = m.judge(now, m.lookedAt())
	case ProbeMsg[K]:
		m.with(now, msg.ID, func(x *member[K]) { m.tell = x.onProbe(now, msg) || m.tell })
	case HealthMsg[K]:
		m.with(now, msg.ID, func(x *member[K]) { m.tell = x.onWord(now, msg.Health) || m.tell })
	case HeartbeatMsg[K]:
		m.with(now, msg.ID, func(x *member[K]) { x.onBeat(now) })
	case CallsMsg[K]:
		m.with(now, msg.ID, func(x *member[K]) { x.onCalls(now, msg) })
	case ViewMsg[K]:
		m.onView(now, msg)
	case ViewsMsg[K]:
		for _, v := range msg.Views {
			m.onView(now, v)
		}
		m.onOdd(now, msg.Suspect)
	case ProbersMsg:
		m.wakeAll()
		for _, x := range m.members {
			m.excuse(now, x)
			x.probers = nil
		}
		m.shard = msg
	case TickMsg:
		m.wakeDue(now)
		m.countViews(now)
		looked := m.lookedAt()
		cmds = append(m.probe(now, looked), m.judge(now, looked)...)
	}
	return m, cmds
}

func (m *Model[K]) onView(now time.Time, v ViewMsg[K]) {
	m.views[v.From] = view[K]{at: now, bad: v.Frozen}
	if m.shard.Peers {
		m.with(now, K(v.From), func(x *member[K]) { x.hear(now) })
	}
	m.onOdd(now, v.Odd)
}

func (m *Model[K]) onOdd(now time.Time, ids []K) {
	for _, id := range ids {
		m.with(now, id, func(x *member[K]) {
			x.oddAt = now
			m.wake(x)
		})
	}
}

func (m *Model[K]) with(now time.Time, id K, f func(*member[K])) {
	x := m.members[id]
	if x == nil {
		return
	}
	m.excuse(now, x)
	f(x)
	if x.rest == calm && !x.well() {
		m.wake(x)
	}
}

// onList takes the list in. Names that it shows for the first time join.
func (m *Model[K]) onList(now time.Time, rows []Listed[K]) {
	m.lists++
	for _, row := range rows {
		x := m.members[row.ID]
		if x == nil {
			x = &member[K]{Member: Member[K]{Is: Joining, Since: now}, born: now}
			m.members[row.ID], m.awake[row.ID] = x, x
		}
		if x.Listed != row || !x.inList {
			m.wake(x)
		}
		x.Listed = row
		x.inList, x.listAt, x.list = true, now, m.lists
	}
	for _, x := range m.members {
		if x.inList && x.list != m.lists {
			m.wake(x)
			x.inList = false
		}
	}
}
