package gossip

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// watcher is what this VM knows from one watcher's heartbeats.
type watcher struct {
	seq       uint64        // of the latest heartbeat
	at        time.Time     // when the latest arrived
	minDiff   time.Duration // least difference between this VM's clock and the heartbeat's sequence number
	minDiffAt time.Time     // when minDiff was set

	acks *ackCount // answers to the latest heartbeat; nil once they are sent on
	// lastView and lastSeq are the merged answers to the last counted heartbeat
	// and its sequence number. Only the watcher itself sets them.
	lastView *mergedView
	lastSeq  uint64

	view   mergedView // the latest that the watcher distributed
	viewAt time.Time

	// news is merged from the News packets of the subtree. It is sent up the tree,
	// or by the watcher with its heartbeats. urgent is set if it must not wait.
	news   *mergedView
	newsAt time.Time
	urgent bool

	listRead listRead // what the watcher read of the platform's list

	treeIndex int      // of the watcher's tree; see newTree
	parent    ident.VM // the VM that sent the watcher's latest heartbeat, to which answers go
}

// ackCount merges the answers to one heartbeat.
type ackCount struct {
	seq         uint64
	n           int                // VMs that answered
	pending     map[ident.VM]vmSet // children that have not answered, with the VMs of their subtrees
	deadline    time.Time
	view        mergedView // over the peer list of the tree
	parent      ident.VM   // the VM to which the merged answer goes; empty at the watcher itself
	listSum     uint32     // of the peer list that the heartbeat named
	storeSilent bool       // the watcher does not hear the store, so that the number of VMs counts as contact
}

// driftDivisor lets the minimum of the clock difference rise by one part in 1000,
// so that clocks with slightly different rates do not make every later heartbeat
// look delayed.
const driftDivisor = 1000

// delay estimates how much longer a heartbeat was in transit than the fastest one
// from this watcher. Without it, a heartbeat that was held back by a queue or a
// paused process would make old news of the store look fresh.
func (w *watcher) delay(now, start time.Time, seq uint64) time.Duration {
	diff := now.Sub(start) - time.Duration(seq)*time.Millisecond
	allowed := w.minDiff + now.Sub(w.minDiffAt)/driftDivisor
	if w.minDiffAt.IsZero() || diff < allowed {
		w.minDiff, w.minDiffAt = diff, now
		return 0
	}
	return diff - allowed
}

// seq returns the sequence number of a heartbeat: milliseconds on this VM's clock.
func (m *Model) seq(now time.Time) uint64 {
	return uint64(m.start.UnixMilli()) + uint64(now.Sub(m.start)/time.Millisecond)
}

func (m *Model) heartbeatDue(now time.Time) bool {
	since := now.Sub(m.heartbeatAt)
	if since >= Period || now.Sub(m.acksAskedAt) >= Period {
		return true
	}
	if since < minHeartbeatGap {
		return false
	}
	if m.hasUrgentNews() {
		return true
	}
	for _, at := range m.changedAt {
		if at.After(m.heartbeatAt) {
			return true
		}
	}
	return false
}

// sendHeartbeat starts a heartbeat with this VM as its root. One per period asks
// for acknowledgements; those between only carry news.
func (m *Model) sendHeartbeat(now time.Time) []loop.Cmd {
	m.heartbeatAt = now
	w := m.watcherOf(m.self)
	p := &Heartbeat{Root: m.self, Seq: m.seq(now), Sum: m.sum, Age: m.storeAge(now), Heard: 1, Heads: m.recentHeads(now)}
	if now.Sub(m.heardAt) < countFresh {
		p.Heard = m.heard
	}
	l := m.settledList(now)
	p.PeerList = l.sum
	if w.lastView != nil && w.lastSeq < p.Seq {
		p.ViewAge, p.View = p.Seq-w.lastSeq, m.heartbeatView(now, w, l.sum)
	}
	if m.listRead.sum != 0 {
		p.ListRead, p.ListAge = m.listRead.sum, now.Sub(m.listRead.at).Milliseconds()
	}
	p.Ask = now.Sub(m.acksAskedAt) >= Period
	w.treeIndex = m.chooseTreeIndex(now)
	w.at, w.seq, p.TreeIndex = now, p.Seq, w.treeIndex
	cmds := m.forward(m.treeOf(l, m.self, w.treeIndex), p)
	if p.Ask {
		m.acksAskedAt = now
		cmds = append(cmds, m.startCount(now, l, w, p)...)
	}
	return cmds
}

// neverHeard is the age that is reported if the store was never heard, and the
// longest age that a load row may have.
const neverHeard = time.Hour

func (m *Model) storeAge(now time.Time) time.Duration {
	if m.storeAt.IsZero() {
		return neverHeard
	}
	return now.Sub(m.storeAt).Truncate(time.Millisecond)
}

// recentHeads returns the heads that changed lately, at most as many as a
// heartbeat may carry; comparisons transfer the rest. They are sorted by name, so that
// the few values that all VMs depend on, such as rules/, come before those of
// which there is one per server.
func (m *Model) recentHeads(now time.Time) []Head {
	var list []Head
	for _, name := range slices.Sorted(maps.Keys(m.changedAt)) {
		if now.Sub(m.changedAt[name]) > recentFor {
			delete(m.changedAt, name)
			continue
		}
		list = append(list, m.values[name].Head)
	}
	return list[:min(len(list), maxHeads)]
}

func (m *Model) forward(t tree, p *Heartbeat) []loop.Cmd {
	cmds := make([]loop.Cmd, 0, len(t.children))
	for _, vm := range t.children {
		cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Heartbeat: p}})
	}
	return cmds
}

func (m *Model) watcherOf(vm ident.VM) *watcher {
	w := m.watchers[vm]
	if w == nil {
		w = &watcher{}
		m.watchers[vm] = w
	}
	return w
}

func (m *Model) onHeartbeat(now time.Time, from ident.VM, p *Heartbeat) []loop.Cmd {
	if !m.isPeer(p.Root) || p.Root == m.self {
		return nil
	}
	w := m.watcherOf(p.Root)
	if p.Seq <= w.seq {
		return nil
	}
	w.seq, w.at, w.treeIndex = p.Seq, now, p.TreeIndex
	age := p.Age + w.delay(now, m.start, p.Seq)
	if at := now.Add(-age); at.After(m.storeAt) {
		m.storeAt = at
	}
	delay := age - p.Age
	w.listRead = listRead{sum: p.ListRead, at: now.Add(-delay - time.Duration(min(p.ListAge, maxListAge))*time.Millisecond)}
	m.noteHeard(now, p.Heard, delay)
	w.parent = from
	l := m.listBySum(p.PeerList)
	if l == nil {
		l = m.currentList() // some VMs of the tree may be missed; the other trees reach them
	}
	cmds := m.forward(m.treeOf(l, p.Root, p.TreeIndex), p)
	if p.Ask {
		cmds = append(cmds, m.startCount(now, l, w, p)...)
	}
	if p.View != nil && delay <= maxViewDelay && p.ViewAge <= uint64(viewFresh/time.Millisecond) {
		if s := m.decodeView(p.View, p.PeerList); s.list != nil {
			cmds = append(cmds, m.onWatcherView(now, w, s))
		}
	}
	for _, h := range p.Heads {
		cmds = append(cmds, m.onHead(now, from, h)...)
	}
	if p.Sum != m.sum && len(p.Heads) == 0 {
		cmds = append(cmds, SendCmd{To: from, Packet: Packet{Comparison: &Comparison{Sum: m.sum}}})
	}
	return cmds
}

func (m *Model) isPeer(vm ident.VM) bool {
	for _, p := range m.peers {
		if p.VM == vm {
			return true
		}
	}
	return false
}

// noteHeard records the number of VMs that a heartbeat reached, unless a higher
// recent one is known.
func (m *Model) noteHeard(now time.Time, n int, delay time.Duration) {
	if delay > countFresh || n < m.heard && now.Sub(m.heardAt) < Period+minHeartbeatGap {
		return
	}
	m.heard, m.heardAt = n, now.Add(-delay)
}

// startCount starts to merge the answers to a heartbeat. A VM without children
// answers at once, the others when all children have answered or their time is
// over.
func (m *Model) startCount(now time.Time, l *peerList, w *watcher, p *Heartbeat) []loop.Cmd {
	t := m.treeOf(l, p.Root, p.TreeIndex)
	w.acks = &ackCount{
		seq: p.Seq, n: 1, pending: l.descendants(t), deadline: now.Add(time.Duration(t.height) * levelTimeout),
		view: m.ownView(l), storeSilent: p.Age > countAfter, parent: w.parent, listSum: p.PeerList,
	}
	return m.finishCount(now, p.Root, w)
}

// onAck merges the answer of a child. Only the VMs in the child's subtree are
// taken from it: one lying VM must not be able to report that all VMs answered.
func (m *Model) onAck(now time.Time, from ident.VM, a *Ack) []loop.Cmd {
	w := m.watchers[a.Root]
	if w == nil || w.acks == nil || w.acks.seq != a.Seq {
		return nil
	}
	below, ok := w.acks.pending[from]
	if !ok {
		return nil
	}
	delete(w.acks.pending, from)
	w.acks.n += a.N
	if a.View != nil {
		s := m.decodeView(a.View, w.acks.listSum)
		s.responders.intersect(below)
		w.acks.view.merge(s)
	}
	return m.finishCount(now, a.Root, w)
}

// finishOverdueCounts sends the merged answers whose deadline has passed.
func (m *Model) finishOverdueCounts(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.watchers)) {
		if w := m.watchers[vm]; w.acks != nil {
			cmds = append(cmds, m.finishCount(now, vm, w)...)
		}
	}
	return cmds
}

// finishCount sends the merged answer up the tree if all children have answered or
// the deadline has passed.
func (m *Model) finishCount(now time.Time, vm ident.VM, w *watcher) []loop.Cmd {
	c := w.acks
	if len(c.pending) > 0 && now.Before(c.deadline) {
		return nil
	}
	w.acks = nil
	if vm == m.self {
		return m.onOwnCount(now, w, c)
	}
	if c.parent == "" {
		return nil
	}
	v := c.view.encode(c.listSum)
	return []loop.Cmd{SendCmd{To: c.parent, Packet: Packet{Ack: &Ack{Root: vm, Seq: c.seq, N: c.n, View: &v}}}}
}

// maxUrgentLosses is the number of VMs that no longer answer up to which a watcher
// sends a heartbeat at once; in a large fleet it is a sixteenth of all VMs. More
// losses at a time mean lost packets, which would make every second heartbeat an
// additional one, or the loss of a data centre, in which no server has two of its
// probers.
const maxUrgentLosses = 3

// onOwnCount handles the merged answers to a heartbeat of this VM.
func (m *Model) onOwnCount(now time.Time, w *watcher, c *ackCount) []loop.Cmd {
	if c.storeSilent {
		m.noteHeard(now, c.n, 0)
	}
	if w.lastView != nil && w.lastView.list == c.view.list {
		lost := w.lastView.responders.countMissing(c.view.responders)
		w.urgent = w.urgent || lost > 0 && lost <= max(maxUrgentLosses, len(m.order)/16)
	}
	w.lastView, w.lastSeq = &c.view, c.seq
	return []loop.Cmd{m.onWatcherView(now, w, c.view)}
}
