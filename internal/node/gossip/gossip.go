// Package gossip spreads control state among entry VMs: that there is a new
// revision of the rules or of a slice table, the differences that lead to it,
// which VMs can be reached, and how loaded the backend servers are.
//
// It has two constraints. A change must be known to all of up to 520 VMs within 7
// s, while the object API counts every waiting watch as a call and its rate limits
// do not grow with the fleet. So only a few VMs, the watchers, watch the store;
// every VM computes them by rendezvous order over the data centres, without an
// agreement protocol, and the others learn of changes from them. And sending a
// whole table to every VM at each change would exceed the 5 KB/s that a VM may
// spend. So only heads (name, revision, digest) are pushed, and each VM requests
// the difference from the VM that announced the head.
//
// Each watcher sends a heartbeat down its own tree of fan-out 4 once a second, and
// at once after a change. No VM has children in two of the trees, so a VM below a
// lost one in one tree is reached through the others. What all trees miss is
// repaired by anti-entropy: each VM compares its state with two random VMs a
// second. Without the trees, random comparisons alone need some ten rounds for 520
// VMs; without the comparisons, a VM that the trees miss stays behind until the
// platform's list, which lags, drops the lost VM. Package netsim measures bytes,
// messages and times.
package gossip

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// A VM stops after 4 s without news of the store (see package revs), so three
// heartbeats in a row may be lost. A silent watcher is replaced within the same
// time, before the bound of 7 s has passed.
const (
	Period          = time.Second            // between heartbeats, and between comparisons
	TickInterval    = 100 * time.Millisecond // how often TickMsg must be sent
	minHeartbeatGap = 200 * time.Millisecond // minimum between two heartbeats of a watcher
	fetchTimeout    = 10 * time.Second       // after which a value that no VM delivers is given up; it is announced again if it exists
	fetchRetry      = 400 * time.Millisecond // after which a value is requested from another VM
	watcherTimeout  = 3 * time.Second        // after which a silent watcher is passed over
	recentFor       = 3 * time.Second        // how long heartbeats carry a changed head
	// An answer of the store counts as contact for this long.
	storeFresh = 1500 * time.Millisecond
	// Once a watcher has not heard the store for countAfter, its count of the VMs
	// that its heartbeat reached is used. A count is valid for countFresh, since
	// the next one is known to all VMs two periods later. Together with storeFresh
	// this leaves a VM 1.5 s before it would stop for lack of news.
	countAfter    = time.Second
	countFresh    = 2500 * time.Millisecond
	levelTimeout  = 150 * time.Millisecond // time allowed for the answers of one tree level
	contactPeriod = 500 * time.Millisecond // between two ContactCmd
	takeoverDelay = 500 * time.Millisecond // between two VMs that could replace a watcher
)

// Watchers is the number of VMs that watch the store: one may be lost and another
// slow.
const Watchers = 3

// comparisonsPerPeriod is the number of other VMs that a VM compares its state with in
// each period.
const comparisonsPerPeriod = 2

// PeersMsg replaces the list of participating VMs, this one included.
type PeersMsg struct{ Live []Peer }

// StoreMsg reports that the store has answered. Send it only for answers that
// would have shown a change. A waiting watch sends nothing, so a watcher also
// reads the version of the rules twice a second.
//
// Asked is when the call was sent; zero means now. The answer proves nothing about
// later moments: otherwise a process that is paused between the answer and this
// message would treat old news as fresh.
type StoreMsg struct{ Asked time.Time }

// ValueMsg delivers a value that was read from the store, or whose write the store
// has confirmed.
type ValueMsg struct {
	Name string
	Rev  ident.Revision
	Raw  []byte
}

// PacketMsg delivers a packet of a peer. From is the peer's authenticated
// identity.
type PacketMsg struct {
	From   ident.VM
	Packet Packet
}

// ReportMsg delivers load rows that this VM read from servers itself.
type ReportMsg struct{ Rows []LoadRow }

// TickMsg advances the model's time; send it every [TickInterval].
type TickMsg struct{}

// SendCmd sends a packet to a peer. Delivery is best effort: a lost packet does no
// harm.
type SendCmd struct {
	To     ident.VM
	Packet Packet
}

// HeadCmd reports that a newer revision exists; its value follows.
type HeadCmd struct {
	From ident.VM
	Head Head
}

// ValueCmd delivers a newer value, verified by its digest.
type ValueCmd struct {
	From ident.VM // empty: the store
	Head Head
	Raw  []byte
}

// WatchCmd reports whether this VM must watch the store.
type WatchCmd struct{ On bool }

// ContactCmd reports this VM's contact with the store and with its peers; see
// revs.ContactMsg.
type ContactCmd struct {
	// Store reports whether the store was heard lately, by this VM or a watcher.
	Store bool
	// Live and Heard are the numbers of listed VMs and of those that the latest
	// counted heartbeat reached.
	Live  int
	Heard int
	// At is the time up to which a new revision would have been heard of.
	At time.Time
}

// LoadCmd delivers load rows that peers read.
type LoadCmd struct{ Rows []LoadRow }

// Model is the decision module of one VM; it implements [loop.Model]. Create it
// with [New]. It is updated in place, so its state belongs to the goroutine that
// calls Update.
type Model struct {
	self  ident.VM
	start time.Time

	peers      []Peer
	order      []ident.VM // all VMs in watch order
	watchers   map[ident.VM]*watcher
	watch      bool      // this VM watches the store
	peersAt    time.Time // when the peers last changed
	shortSince time.Time // since when there are too few watchers; zero if there are enough

	values  map[string]*value
	fetches map[string]*fetch
	// waiting holds, by name of value, the requests of peers for a value that this
	// VM is itself fetching.
	waiting       map[string]map[ident.VM]*Request
	changedAt     map[string]time.Time // when a value last changed here
	pendingNotify map[string]NotifyMsg // notifications that wait for their value
	sum           digest.Sum           // over all heads held here

	storeAt time.Time // when the store was last heard, by this VM or a watcher
	heard   int       // VMs reached by the latest counted heartbeat of any watcher
	heardAt time.Time

	lists []*peerList // the current one first
	// listRead is what this VM last read of the platform's list, and listAskedAt
	// is when it last asked for it.
	listRead    listRead
	listAskedAt time.Time

	// reported is this VM's own view.
	reported ViewMsg

	heartbeatAt time.Time // of this VM's last heartbeat
	acksAskedAt time.Time // when this VM's heartbeat last asked for acknowledgements
	comparedAt  time.Time // of the last comparisons that this VM began
	contactAt   time.Time // of the last ContactCmd
	// peerChoices counts the choices of a peer, so that each differs from the
	// last.
	peerChoices int
	rows        map[ident.Server]timedRow // newest load rows known here
	// ownServers are the servers whose load this VM reads itself.
	ownServers []ident.Server
}

// New returns the model of one VM.
func New(now time.Time, self Peer) *Model {
	m := &Model{
		self:      self.VM,
		start:     now,
		values:    map[string]*value{},
		fetches:   map[string]*fetch{},
		waiting:   map[string]map[ident.VM]*Request{},
		changedAt: map[string]time.Time{},
		rows:      map[ident.Server]timedRow{},
		watchers:  map[ident.VM]*watcher{},
	}
	m.refreshSum()
	m.setPeers(now, []Peer{self})
	return m
}

// Head returns the head of the value held under a name.
func (m *Model) Head(name string) (Head, bool) {
	v := m.values[name]
	if v == nil {
		return Head{}, false
	}
	return v.Head, true
}

// Watches reports whether this VM must watch the store.
func (m *Model) Watches() bool { return m.watch }

// Update implements [loop.Model].
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case PeersMsg:
		m.setPeers(now, msg.Live)
		return m, append(m.elect(now), m.compare(now)...)
	case StoreMsg:
		m.onStore(now, msg.Asked)
	case ValueMsg:
		h := Head{Name: msg.Name, Rev: msg.Rev, Sum: digest.Of(msg.Raw)}
		return m, append(m.setValue(now, "", h, msg.Raw), m.announceToWatchers(h)...)
	case NotifyMsg:
		return m, m.onNotify(msg)
	case ReportMsg:
		m.onReport(now, msg.Rows)
	case ViewMsg:
		m.onOwnView(now, msg)
	case ListReadMsg:
		m.onListRead(msg)
	case PacketMsg:
		return m, m.onPacket(now, msg.From, msg.Packet)
	case TickMsg:
		return m, m.tick(now)
	}
	return m, nil
}

func (m *Model) onPacket(now time.Time, from ident.VM, p Packet) []loop.Cmd {
	switch {
	case p.Heartbeat != nil:
		return m.onHeartbeat(now, from, p.Heartbeat)
	case p.Ack != nil:
		return m.onAck(now, from, p.Ack)
	case p.News != nil:
		m.onNews(now, p.News)
	case p.Comparison != nil:
		return m.onComparison(now, from, p.Comparison)
	case p.Heads != nil:
		return m.onHeads(now, from, p.Heads)
	case p.Request != nil:
		return m.onRequest(from, p.Request)
	case p.Value != nil:
		return m.onValue(now, from, p.Value)
	}
	return nil
}

func (m *Model) setPeers(now time.Time, live []Peer) {
	if slices.Equal(m.peers, live) {
		return
	}
	m.peers = slices.Clone(live)
	m.setList(newPeerList(now, live))
	m.order = m.currentList().order
	m.peersAt = now
	known := make(map[ident.VM]bool, len(live))
	for _, p := range live {
		known[p.VM] = true
	}
	for vm := range m.watchers {
		if !known[vm] {
			delete(m.watchers, vm)
		}
	}
}

// elect decides whether this VM watches the store: it does when fewer than
// Watchers of the VMs before it in watch order are heard. A VM that could step in
// waits takeoverDelay for each silent VM before it; otherwise the loss of one
// watcher would turn all the others into watchers at the same moment. Two VMs that
// hear different peers may both watch for a while, which costs calls but is safe.
func (m *Model) elect(now time.Time) []loop.Cmd {
	ahead, silentBefore := 0, 0
	for _, vm := range m.order {
		if vm == m.self {
			break
		}
		if m.isSilent(now, vm) {
			silentBefore++
		} else {
			ahead++
		}
	}
	if ahead >= Watchers {
		m.shortSince = time.Time{}
	} else if m.shortSince.IsZero() {
		m.shortSince = now
	}
	on := ahead < Watchers && now.Sub(m.shortSince) >= time.Duration(silentBefore)*takeoverDelay
	if on == m.watch {
		return nil
	}
	m.watch = on
	return []loop.Cmd{WatchCmd{On: on}}
}

func (m *Model) isSilent(now time.Time, vm ident.VM) bool {
	last := m.peersAt
	if w := m.watchers[vm]; w != nil && w.at.After(last) {
		last = w.at
	}
	return now.Sub(last) > watcherTimeout
}

func (m *Model) tick(now time.Time) []loop.Cmd {
	cmds := m.elect(now)
	if m.watch && m.heartbeatDue(now) {
		cmds = append(cmds, m.sendHeartbeat(now)...)
	}
	if now.Sub(m.comparedAt) >= Period {
		cmds = append(cmds, m.compare(now)...)
	}
	if now.Sub(m.contactAt) >= contactPeriod {
		m.contactAt = now
		cmds = append(cmds, m.contact(now))
	}
	cmds = append(cmds, m.finishOverdueCounts(now)...)
	cmds = append(cmds, m.forwardNews()...)
	cmds = append(cmds, m.readList(now)...)
	return append(cmds, m.refetch(now)...)
}

// refetch requests values that have not arrived from another VM.
func (m *Model) refetch(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, name := range slices.Sorted(maps.Keys(m.fetches)) {
		f := m.fetches[name]
		if now.Sub(f.startedAt) >= fetchTimeout {
			delete(m.fetches, name)
			delete(m.waiting, name)
			continue
		}
		if now.Sub(f.requestedAt) < fetchRetry {
			continue
		}
		f.requestedAt = now
		f.from = m.otherPeer(f.from)
		cmds = append(cmds, m.requestValue(f))
	}
	return cmds
}

// otherPeer returns the next VM in rotation to request a value from, other than
// this VM and the given one if there is any.
func (m *Model) otherPeer(than ident.VM) ident.VM {
	m.peerChoices++
	for i := range m.order {
		vm := m.order[(m.peerChoices+i)%len(m.order)]
		if vm != m.self && vm != than {
			return vm
		}
	}
	return than
}

// onStore records an answer of the store.
func (m *Model) onStore(now, asked time.Time) {
	if asked.IsZero() || asked.After(now) {
		asked = now
	}
	if asked.After(m.storeAt) {
		m.storeAt = asked
	}
}

// contact reports this VM's contact with the store and with its peers.
func (m *Model) contact(now time.Time) loop.Cmd {
	s := ContactCmd{Store: !m.storeAt.IsZero() && now.Sub(m.storeAt) < storeFresh, Live: len(m.peers), Heard: 1}
	if !m.heardAt.IsZero() && now.Sub(m.heardAt) < countFresh {
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
