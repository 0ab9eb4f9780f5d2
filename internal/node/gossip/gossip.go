// Package gossip decides what entry VMs tell each other: that a revision of the
// rules or of a slice table exists, the differences that lead to it, who can be
// heard, and how loaded the backend servers are.
//
// It answers two patterns. A change must be known to all of up to 520 VMs
// within 7 s, while the object API counts every waiting watch as a call and its
// rates do not grow with the fleet: so a few VMs watch, chosen by rendezvous
// order over the data centres without any agreement, and the others hear from
// them. And a table sent whole to everybody at each change would cost more than
// the 5 KB/s that a VM may spend: so only heads (name, revision, digest) are
// pushed, and each VM asks the one it heard from for the difference.
//
// Each watcher sends a pulse down its own tree of fan-out 4 once a second, and
// at once after a change. The trees are laid so that no VM has children in two of
// them: a VM below a lost one in one tree is reached by the others. Where all
// trees miss it, a comparison with two other VMs a second repairs it. Without
// the trees, random comparisons alone need some ten rounds for 520 VMs; without
// the comparisons, a VM that the trees miss stays behind until the lagging list
// of VMs drops the lost one. Package spread measures bytes, messages and times.
package gossip

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// Grounds of the times: a VM stops after 4 s without news of the store (see
// package force), so three pulses may be lost in a row; a watcher is replaced
// after as long, before the bound of 7 s has passed.
const (
	Period       = time.Second            // between pulses, and between probes
	TickInterval = 100 * time.Millisecond // how often TickMsg is to be sent
	gap          = 200 * time.Millisecond // least time between two pulses of a root
	giveUp       = 10 * time.Second       // on a value that nobody has; it is announced again if it exists
	again        = 400 * time.Millisecond // before a value is asked for elsewhere
	silent       = 3 * time.Second        // after which a watcher is passed over
	newFor       = 3 * time.Second        // how long a head rides on pulses
	seen         = 1500 * time.Millisecond
	// Pulses are counted once the store was silent for asking, and a count is
	// good for counted: the next one is known to all two periods later. Together
	// with seen this leaves a VM 1.5 s before it would stop for want of news.
	asking  = time.Second
	counted = 2500 * time.Millisecond
	level   = 150 * time.Millisecond // time for one step up the tree
	looks   = 500 * time.Millisecond // between two SightCmd
	stagger = 500 * time.Millisecond // between two who could replace a watcher
)

// Watchers is how many VMs watch the store: one may be lost and one slow.
const Watchers = 3

// probes is how many other VMs are compared with each period.
const probes = 2

// PeersMsg replaces the list of VMs that take part, this one included.
type PeersMsg struct{ Live []Peer }

// StoreMsg tells that the store answered just now: send it only for answers
// that would have shown a change. A watch that waits in silence says nothing, so
// a watcher reads the version of the rules twice a second besides.
//
// Asked is when the call was sent; zero counts as now. The answer says nothing
// about later moments: a process that is paused between the answer and this
// message would otherwise take old news for fresh.
type StoreMsg struct{ Asked time.Time }

// ValueMsg brings a value that was read from the store, or written to it with
// confirmation.
type ValueMsg struct {
	Name string
	Rev  ident.Revision
	Raw  []byte
}

// PacketMsg brings what a peer sent. From is the peer's proven identity.
type PacketMsg struct {
	From   ident.VM
	Packet Packet
}

// ReportMsg brings load rows that this VM read itself.
type ReportMsg struct{ Rows []LoadRow }

// TickMsg lets time pass; send it every [TickInterval].
type TickMsg struct{}

// SendCmd sends a packet to a peer. A lost one does no harm.
type SendCmd struct {
	To     ident.VM
	Packet Packet
}

// HeadCmd tells that a newer revision exists; its value follows.
type HeadCmd struct {
	From ident.VM
	Head Head
}

// ValueCmd hands out a newer value, verified by its digest.
type ValueCmd struct {
	From ident.VM // empty: the store
	Head Head
	Raw  []byte
}

// WatchCmd tells whether this VM is to watch the store.
type WatchCmd struct{ On bool }

// ContactCmd tells what this VM hears; see force.SightMsg. At is the moment for
// which it is true: up to then, a new revision would have been heard of.
type ContactCmd struct {
	Store bool
	Live  int
	Heard int
	At    time.Time
}

// LoadCmd hands out load rows that peers read.
type LoadCmd struct{ Rows []LoadRow }

// Model is the decision module; it implements [loop.Model]. Make one with New.
// It changes in place, so its state belongs to the goroutine that updates it.
type Model struct {
	self  ident.VM
	start time.Time

	peers []Peer
	order []ident.VM // all VMs in watch order
	roots map[ident.VM]*root
	watch bool
	since time.Time // when the peers last changed
	short time.Time // since when there are too few watchers

	values  map[string]*value
	fetches map[string]*fetch
	waiting map[string]map[ident.VM]*Want
	fresh   map[string]time.Time // when a name last changed here
	owed    map[string]NotifyMsg // who is to hear of a value that has not come
	sum     digest.Sum

	storeAt time.Time // when the store was last heard, by us or by a root
	heard   int       // VMs reached by the latest pulse, ours or a root's
	heardAt time.Time

	lists []*peerList // the present one first
	// listed is what this VM read last of the platform's list, and asksList when
	// it was last to read.
	listed   listed
	asksList time.Time

	say ViewMsg

	pulsed time.Time
	asked  time.Time // when a pulse of ours last wanted answers
	probed time.Time
	looked time.Time
	turn   int
	rows   map[ident.Server]rowAt
	own    []ident.Server
}

// New makes the model of one VM.
func New(now time.Time, self Peer) *Model {
	m := &Model{
		self:    self.VM,
		start:   now,
		values:  map[string]*value{},
		fetches: map[string]*fetch{},
		waiting: map[string]map[ident.VM]*Want{},
		fresh:   map[string]time.Time{},
		rows:    map[ident.Server]rowAt{},
		roots:   map[ident.VM]*root{},
	}
	m.refreshSum()
	m.setPeers(now, []Peer{self})
	return m
}

// Head returns the revision held under a name.
func (m *Model) Head(name string) (Head, bool) {
	v := m.values[name]
	if v == nil {
		return Head{}, false
	}
	return v.Head, true
}

// Watches reports whether this VM is to watch the store.
func (m *Model) Watches() bool { return m.watch }

// Update implements [loop.Model].
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case PeersMsg:
		m.setPeers(now, msg.Live)
		return m, append(m.elect(now), m.probe(now)...)
	case StoreMsg:
		m.storeHeard(now, msg.Asked)
	case ValueMsg:
		h := Head{Name: msg.Name, Rev: msg.Rev, Sum: digest.Of(msg.Raw)}
		return m, append(m.held(now, "", h, msg.Raw), m.tellWatchers(h)...)
	case NotifyMsg:
		return m, m.onTell(msg)
	case ReportMsg:
		m.report(now, msg.Rows)
	case ViewMsg:
		m.onSay(now, msg)
	case ListReadMsg:
		m.onListed(msg)
	case PacketMsg:
		return m, m.packet(now, msg.From, msg.Packet)
	case TickMsg:
		return m, m.tick(now)
	}
	return m, nil
}

func (m *Model) packet(now time.Time, from ident.VM, p Packet) []loop.Cmd {
	switch {
	case p.Heartbeat != nil:
		return m.onPulse(now, from, p.Heartbeat)
	case p.Ack != nil:
		return m.onAck(now, from, p.Ack)
	case p.News != nil:
		m.onNews(now, p.News)
	case p.Probe != nil:
		return m.onProbe(now, from, p.Probe)
	case p.Heads != nil:
		return m.onHeads(now, from, p.Heads)
	case p.Want != nil:
		return m.onWant(from, p.Want)
	case p.Value != nil:
		return m.onGive(now, from, p.Value)
	}
	return nil
}

func (m *Model) setPeers(now time.Time, live []Peer) {
	if slices.Equal(m.peers, live) {
		return
	}
	m.peers = slices.Clone(live)
	m.setList(listOf(now, live))
	m.order = m.list().order
	m.since = now
	known := make(map[ident.VM]bool, len(live))
	for _, p := range live {
		known[p.VM] = true
	}
	for vm := range m.roots {
		if !known[vm] {
			delete(m.roots, vm)
		}
	}
}

// elect decides whether this VM watches: it does when fewer than Watchers of
// those before it in watch order can be heard. Who could step in waits its turn,
// counted by the silent ones before it; otherwise the loss of one watcher would
// make watchers of all the others at the same moment. Two VMs that see the
// others differently may both watch for a while, which costs calls, not safety.
func (m *Model) elect(now time.Time) []loop.Cmd {
	ahead, dumb := 0, 0
	for _, vm := range m.order {
		if vm == m.self {
			break
		}
		if m.isSilent(now, vm) {
			dumb++
		} else {
			ahead++
		}
	}
	if ahead >= Watchers {
		m.short = time.Time{}
	} else if m.short.IsZero() {
		m.short = now
	}
	on := ahead < Watchers && now.Sub(m.short) >= time.Duration(dumb)*stagger
	if on == m.watch {
		return nil
	}
	m.watch = on
	return []loop.Cmd{WatchCmd{On: on}}
}

func (m *Model) isSilent(now time.Time, vm ident.VM) bool {
	last := m.since
	if r := m.roots[vm]; r != nil && r.at.After(last) {
		last = r.at
	}
	return now.Sub(last) > silent
}

func (m *Model) tick(now time.Time) []loop.Cmd {
	cmds := m.elect(now)
	if m.watch && m.pulseDue(now) {
		cmds = append(cmds, m.pulse(now)...)
	}
	if now.Sub(m.probed) >= Period {
		cmds = append(cmds, m.probe(now)...)
	}
	if now.Sub(m.looked) >= looks {
		m.looked = now
		cmds = append(cmds, m.sight(now))
	}
	cmds = append(cmds, m.ackDue(now)...)
	cmds = append(cmds, m.newsUp()...)
	cmds = append(cmds, m.readList(now)...)
	return append(cmds, m.refetch(now)...)
}

// refetch asks another VM for values that have not come.
func (m *Model) refetch(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, name := range slices.Sorted(maps.Keys(m.fetches)) {
		f := m.fetches[name]
		if now.Sub(f.since) >= giveUp {
			delete(m.fetches, name)
			delete(m.waiting, name)
			continue
		}
		if now.Sub(f.at) < again {
			continue
		}
		f.at = now
		f.from = m.other(f.from)
		cmds = append(cmds, m.want(f))
	}
	return cmds
}

// other returns the next VM to ask: a root that was heard, or any peer.
func (m *Model) other(than ident.VM) ident.VM {
	m.turn++
	for i := range m.order {
		vm := m.order[(m.turn+i)%len(m.order)]
		if vm != m.self && vm != than {
			return vm
		}
	}
	return than
}

// storeHeard notes an answer of the store.
func (m *Model) storeHeard(now, asked time.Time) {
	if asked.IsZero() || asked.After(now) {
		asked = now
	}
	if asked.After(m.storeAt) {
		m.storeAt = asked
	}
}

// sight tells what this VM hears.
func (m *Model) sight(now time.Time) loop.Cmd {
	s := ContactCmd{Store: !m.storeAt.IsZero() && now.Sub(m.storeAt) < seen, Live: len(m.peers), Heard: 1}
	if !m.heardAt.IsZero() && now.Sub(m.heardAt) < counted {
		s.Heard = max(m.heard, 1)
	}
	if s.Store {
		s.At = m.storeAt
	}
	if 2*s.Heard > s.Live && m.heardAt.After(s.At) {
		s.At = m.heardAt
	}
	return s
}
