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
}

// count adds up the answers to one pulse.
type count struct {
	seq  uint64
	n    int
	left int
	due  time.Time
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
	if since >= Period {
		return true
	}
	if since < gap {
		return false
	}
	for _, at := range m.fresh {
		if at.After(m.pulsed) {
			return true
		}
	}
	return false
}

// pulse starts a pulse with this VM as its root.
func (m *Model) pulse(now time.Time) []loop.Cmd {
	m.pulsed = now
	p := &Pulse{Root: m.self, Seq: m.seq(now), Sum: m.sum, Age: m.storeAge(now), Heard: 1, Heads: m.freshHeads(now)}
	if now.Sub(m.heardAt) < counted {
		p.Heard = m.heard
	}
	r := m.rootOf(m.self)
	r.at, r.seq = now, p.Seq
	cmds := m.forward(m.treeOf(m.self), p)
	if p.Age > asking {
		cmds = append(cmds, m.startCount(now, r, p)...)
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

// freshHeads lists what changed lately.
func (m *Model) freshHeads(now time.Time) []Head {
	var list []Head
	for _, name := range slices.Sorted(maps.Keys(m.fresh)) {
		if now.Sub(m.fresh[name]) > newFor {
			delete(m.fresh, name)
			continue
		}
		list = append(list, m.values[name].Head)
	}
	return list
}

func (m *Model) forward(t tree, p *Pulse) []loop.Cmd {
	cmds := make([]loop.Cmd, 0, len(t.children))
	for _, vm := range t.children {
		cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Pulse: p}})
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

func (m *Model) onPulse(now time.Time, from ident.VM, p *Pulse) []loop.Cmd {
	if !m.knows(p.Root) || p.Root == m.self {
		return nil
	}
	r := m.rootOf(p.Root)
	if p.Seq <= r.seq {
		return nil
	}
	r.seq, r.at = p.Seq, now
	age := p.Age + r.delay(now, m.start, p.Seq)
	if at := now.Add(-age); at.After(m.storeAt) {
		m.storeAt = at
	}
	m.noteHeard(now, p.Heard, age-p.Age)
	cmds := m.forward(m.treeOf(p.Root), p)
	if p.Age > asking {
		cmds = append(cmds, m.startCount(now, r, p)...)
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

// startCount begins to add up who got a pulse. A VM without children answers at
// once, the others when all children have answered or their time is over.
func (m *Model) startCount(now time.Time, r *root, p *Pulse) []loop.Cmd {
	t := m.treeOf(p.Root)
	r.count = &count{seq: p.Seq, n: 1, left: len(t.children), due: now.Add(time.Duration(t.height) * level)}
	return m.endCount(now, p.Root, r)
}

func (m *Model) onAck(now time.Time, _ ident.VM, a *Ack) []loop.Cmd {
	r := m.roots[a.Root]
	if r == nil || r.count == nil || r.count.seq != a.Seq {
		return nil
	}
	r.count.n += a.N
	r.count.left--
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
	if c.left > 0 && now.Before(c.due) {
		return nil
	}
	r.count = nil
	if vm == m.self {
		m.noteHeard(now, c.n, 0)
		return nil
	}
	parent := m.treeOf(vm).parent
	if parent == "" {
		return nil
	}
	return []loop.Cmd{SendCmd{To: parent, Packet: Packet{Ack: &Ack{Root: vm, Seq: c.seq, N: c.n}}}}
}
