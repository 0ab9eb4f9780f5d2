package gossip

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// root is what this VM knows of one watcher's pulses.
type root struct {
	seq   uint64
	at    time.Time     // when the latest came
	best  time.Duration // least difference between our clock and its sequence
	based time.Time     // when best was set

	count *count
	got   *said  // at its own root: what the last count brought
	of    uint64 // and the pulse that was counted

	word   said // the latest that it collected
	wordAt time.Time

	news   *said // what goes up without waiting
	newsAt time.Time
	unsent bool

	listed listed // what it read of the platform's list

	turn int      // of its tree; see newTree
	from ident.VM // who sent its latest pulse here: the way up
}

// count adds up the answers to one pulse.
type count struct {
	seq  uint64
	n    int
	left map[ident.VM]set // children who have not answered, and who they may speak for
	due  time.Time
	said said     // by the list of the tree
	up   ident.VM // who waits for the answer
	by   uint32   // the list that the pulse named
	mute bool     // the store is silent, so the number counts
}

// drift lets the least delay rise slowly, so that clocks which run at slightly
// different rates do not make every later pulse look delayed.
const drift = 1000 // one part in

// delay estimates how long a pulse was under way, beyond the fastest ever seen
// from this root. A pulse that was held back, by a queue or a paused process,
// would otherwise make old news of the store look fresh.
func (r *root) delay(now, start time.Time, seq uint64) time.Duration {
	diff := now.Sub(start) - time.Duration(seq)*time.Millisecond
	allowed := r.best + now.Sub(r.based)/drift
	if r.based.IsZero() || diff < allowed {
		r.best, r.based = diff, now
		return 0
	}
	return diff - allowed
}

func (m *Model) seq(now time.Time) uint64 {
	return uint64(m.start.UnixMilli()) + uint64(now.Sub(m.start)/time.Millisecond)
}

func (m *Model) pulseDue(now time.Time) bool {
	since := now.Sub(m.pulsed)
	if since >= Period || now.Sub(m.asked) >= Period {
		return true
	}
	if since < gap {
		return false
	}
	if m.hurries() {
		return true
	}
	for _, at := range m.fresh {
		if at.After(m.pulsed) {
			return true
		}
	}
	return false
}

// pulse starts a pulse with this VM as its root. One a period wants answers;
// those between bring news only.
func (m *Model) pulse(now time.Time) []loop.Cmd {
	m.pulsed = now
	r := m.rootOf(m.self)
	p := &Heartbeat{Root: m.self, Seq: m.seq(now), Sum: m.sum, Age: m.storeAge(now), Heard: 1, Heads: m.freshHeads(now)}
	if now.Sub(m.heardAt) < counted {
		p.Heard = m.heard
	}
	l := m.oldList(now)
	p.List = l.sum
	if r.got != nil && r.of < p.Seq {
		p.Back, p.View = p.Seq-r.of, m.collected(now, r, l.sum)
	}
	if m.listed.sum != 0 {
		p.Read, p.Old = m.listed.sum, now.Sub(m.listed.at).Milliseconds()
	}
	p.Ask = now.Sub(m.asked) >= Period
	r.turn = m.turnOf(now)
	r.at, r.seq, p.Turn = now, p.Seq, r.turn
	cmds := m.forward(m.treeOf(l, m.self, r.turn), p)
	if p.Ask {
		m.asked = now
		cmds = append(cmds, m.startCount(now, l, r, p)...)
	}
	return cmds
}

// forever is the age of a store that was never heard.
const forever = time.Hour

func (m *Model) storeAge(now time.Time) time.Duration {
	if m.storeAt.IsZero() {
		return forever
	}
	return now.Sub(m.storeAt).Truncate(time.Millisecond)
}

// freshHeads lists what changed lately, as far as a pulse may carry it; probes tell the
// rest. Names come in their order, so the few that all depend on, rules/ among them, stand
// before those of which there is one for each server.
func (m *Model) freshHeads(now time.Time) []Head {
	var list []Head
	for _, name := range slices.Sorted(maps.Keys(m.fresh)) {
		if now.Sub(m.fresh[name]) > newFor {
			delete(m.fresh, name)
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

func (m *Model) rootOf(vm ident.VM) *root {
	r := m.roots[vm]
	if r == nil {
		r = &root{}
		m.roots[vm] = r
	}
	return r
}

func (m *Model) onPulse(now time.Time, from ident.VM, p *Heartbeat) []loop.Cmd {
	if !m.knows(p.Root) || p.Root == m.self {
		return nil
	}
	r := m.rootOf(p.Root)
	if p.Seq <= r.seq {
		return nil
	}
	r.seq, r.at, r.turn = p.Seq, now, p.Turn
	age := p.Age + r.delay(now, m.start, p.Seq)
	if at := now.Add(-age); at.After(m.storeAt) {
		m.storeAt = at
	}
	late := age - p.Age
	r.listed = listed{sum: p.Read, at: now.Add(-late - time.Duration(min(p.Old, longAgo))*time.Millisecond)}
	m.noteHeard(now, p.Heard, late)
	r.from = from
	l := m.listBy(p.List)
	if l == nil {
		l = m.list() // a part of the tree may be missed; the other trees reach it
	}
	cmds := m.forward(m.treeOf(l, p.Root, p.Turn), p)
	if p.Ask {
		cmds = append(cmds, m.startCount(now, l, r, p)...)
	}
	if p.View != nil && late <= lateWord && p.Back <= uint64(wordFor/time.Millisecond) {
		if s := m.unpack(p.View, p.List); s.list != nil {
			cmds = append(cmds, m.onView(now, r, s))
		}
	}
	for _, h := range p.Heads {
		cmds = append(cmds, m.learn(now, from, h)...)
	}
	if p.Sum != m.sum && len(p.Heads) == 0 {
		cmds = append(cmds, SendCmd{To: from, Packet: Packet{Probe: &Probe{Sum: m.sum}}})
	}
	return cmds
}

func (m *Model) knows(vm ident.VM) bool {
	for _, p := range m.peers {
		if p.VM == vm {
			return true
		}
	}
	return false
}

// noteHeard keeps the best recent count of VMs.
func (m *Model) noteHeard(now time.Time, n int, late time.Duration) {
	if late > counted || n < m.heard && now.Sub(m.heardAt) < Period+gap {
		return
	}
	m.heard, m.heardAt = n, now.Add(-late)
}

// startCount begins to add up who got a pulse, and what they say. A VM without children answers at
// once, the others when all children have answered or their time is over.
func (m *Model) startCount(now time.Time, l *peerList, r *root, p *Heartbeat) []loop.Cmd {
	t := m.treeOf(l, p.Root, p.Turn)
	r.count = &count{
		seq: p.Seq, n: 1, left: l.below(t), due: now.Add(time.Duration(t.height) * level),
		said: m.word(l), mute: p.Age > asking, up: r.from, by: p.List,
	}
	return m.endCount(now, p.Root, r)
}

// onAck takes an answer of a child. It speaks for those below it and nobody else:
// one VM that lies must not be able to say that all are there.
func (m *Model) onAck(now time.Time, from ident.VM, a *Ack) []loop.Cmd {
	r := m.roots[a.Root]
	if r == nil || r.count == nil || r.count.seq != a.Seq {
		return nil
	}
	below, ok := r.count.left[from]
	if !ok {
		return nil
	}
	delete(r.count.left, from)
	r.count.n += a.N
	if a.View != nil {
		s := m.unpack(a.View, r.count.by)
		s.here.keep(below)
		r.count.said.join(s)
	}
	return m.endCount(now, a.Root, r)
}

func (m *Model) ackDue(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.roots)) {
		if r := m.roots[vm]; r.count != nil {
			cmds = append(cmds, m.endCount(now, vm, r)...)
		}
	}
	return cmds
}

func (m *Model) endCount(now time.Time, vm ident.VM, r *root) []loop.Cmd {
	c := r.count
	if len(c.left) > 0 && now.Before(c.due) {
		return nil
	}
	r.count = nil
	if vm == m.self {
		return m.ownCount(now, r, c)
	}
	if c.up == "" {
		return nil
	}
	v := c.said.pack(c.by)
	return []loop.Cmd{SendCmd{To: c.up, Packet: Packet{Ack: &Ack{Root: vm, Seq: c.seq, N: c.n, View: &v}}}}
}

// fewLost VMs that no longer answer are told of at once, a sixteenth of all in a
// large fleet. More at a time are lost packets, which would make every second
// pulse an additional one, or a data centre, of which no member has two probers.
const fewLost = 3

// ownCount takes the answers to a pulse of this VM.
func (m *Model) ownCount(now time.Time, r *root, c *count) []loop.Cmd {
	if c.mute {
		m.noteHeard(now, c.n, 0)
	}
	if r.got != nil && r.got.list == c.said.list {
		lost := r.got.here.less(c.said.here)
		r.unsent = r.unsent || lost > 0 && lost <= max(fewLost, len(m.order)/16)
	}
	r.got, r.of = &c.said, c.seq
	return []loop.Cmd{m.onView(now, r, c.said)}
}
