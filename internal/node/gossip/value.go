package gossip

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/node/delta"
)

// value is one replicated value, with the differences that led to it.
type value struct {
	Head
	raw   []byte
	steps []step
}

// step is the difference between two successive revisions that were held here.
type step struct {
	base Head
	diff []byte
}

// keepSteps bounds how far a peer may lag and still be helped by differences.
const keepSteps = 8

// put replaces the value, remembering how it differs from the last one.
func (v *value) put(h Head, raw []byte) {
	if v.Rev != 0 {
		if d := delta.Diff(v.raw, raw); len(d) < len(raw)/2 {
			v.steps = append(v.steps, step{base: v.Head, diff: d})
		} else {
			v.steps = nil
		}
	}
	if n := len(v.steps); n > keepSteps {
		v.steps = slices.Delete(v.steps, 0, n-keepSteps)
	}
	v.Head, v.raw = h, raw
}

// give answers a Want by differences if the asker's revision is still known
// here, and by the whole value otherwise.
func (v *value) give(w *Want) *Value {
	g := &Value{Head: v.Head}
	i := slices.IndexFunc(v.steps, func(s step) bool { return s.base.Rev == w.Have && s.base.Sum == w.Sum })
	if i < 0 {
		g.Raw = v.raw
		return g
	}
	g.Base = w.Have
	for _, s := range v.steps[i:] {
		g.Diffs = append(g.Diffs, s.diff)
	}
	return g
}

// open builds and verifies the value that a Give brings. It returns nil when
// the differences do not fit what is held, or the digest is not the announced
// one: a peer's fault must not become ours.
func (v *value) open(g *Value) []byte {
	raw := g.Raw
	if g.Base != 0 {
		if g.Base != v.Rev {
			return nil
		}
		raw = v.raw
		for _, d := range g.Diffs {
			next, err := delta.Apply(raw, d)
			if err != nil {
				return nil
			}
			raw = next
		}
	}
	if digest.Of(raw) != g.Head.Sum {
		return nil
	}
	return raw
}

// fetch is a value that is being asked for.
type fetch struct {
	Head
	from  ident.VM
	since time.Time
	at    time.Time
	full  bool // differences did not fit: ask for the whole value
}

// heads lists what is held, in name order.
func (m *Model) heads() []Head {
	list := make([]Head, 0, len(m.values))
	for _, name := range slices.Sorted(maps.Keys(m.values)) {
		list = append(list, m.values[name].Head)
	}
	return list
}

// refreshSum keeps the digest over all heads, which pulses and probes carry.
func (m *Model) refreshSum() {
	raw, err := wire.Encode(m.heads())
	if err == nil {
		m.sum = digest.Of(raw)
	}
}

// held takes a verified value in and answers the peers that wait for it.
func (m *Model) held(now time.Time, from ident.VM, h Head, raw []byte) []loop.Cmd {
	v := m.values[h.Name]
	if v == nil {
		v = &value{}
		m.values[h.Name] = v
	}
	if h.Rev <= v.Rev {
		return nil
	}
	v.put(h, raw)
	m.refreshSum()
	m.fresh[h.Name] = now
	if f, ok := m.fetches[h.Name]; ok && f.Rev <= h.Rev {
		delete(m.fetches, h.Name)
	}
	cmds := []loop.Cmd{ValueCmd{From: from, Head: h, Raw: raw}}
	waiting := m.waiting[h.Name]
	for _, vm := range slices.Sorted(maps.Keys(waiting)) {
		cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Value: v.give(waiting[vm])}})
	}
	delete(m.waiting, h.Name)
	return append(cmds, m.payOwed(h)...)
}

// learn compares a head with what is held and asks for what is newer.
func (m *Model) learn(now time.Time, from ident.VM, h Head) []loop.Cmd {
	if v := m.values[h.Name]; v != nil && h.Rev <= v.Rev {
		return nil
	}
	f, ok := m.fetches[h.Name]
	if ok && h.Rev <= f.Rev || !ok && len(m.fetches) >= maxHeads {
		return nil
	}
	m.fetches[h.Name] = &fetch{Head: h, from: from, since: now, at: now}
	return []loop.Cmd{HeadCmd{From: from, Head: h}, m.want(m.fetches[h.Name])}
}

func (m *Model) want(f *fetch) loop.Cmd {
	w := &Want{Name: f.Name}
	if v := m.values[f.Name]; v != nil && !f.full {
		w.Have, w.Sum = v.Rev, v.Sum
	}
	return SendCmd{To: f.from, Packet: Packet{Want: w}}
}

// onWant answers at once, or when the value arrives here: pulses run ahead of
// values, so a child asks before its parent holds the value.
func (m *Model) onWant(from ident.VM, w *Want) []loop.Cmd {
	v := m.values[w.Name]
	f := m.fetches[w.Name]
	if f != nil && f.Rev > w.Have {
		if m.waiting[w.Name] == nil {
			m.waiting[w.Name] = map[ident.VM]*Want{}
		}
		m.waiting[w.Name][from] = w
		return nil
	}
	if v == nil || v.Rev <= w.Have {
		return nil
	}
	return []loop.Cmd{SendCmd{To: from, Packet: Packet{Value: v.give(w)}}}
}

func (m *Model) onGive(now time.Time, from ident.VM, g *Value) []loop.Cmd {
	v := m.values[g.Head.Name]
	if v == nil {
		v = &value{}
	}
	if g.Head.Rev <= v.Rev {
		return nil
	}
	if raw := v.open(g); raw != nil {
		return m.held(now, from, g.Head, raw)
	}
	f := m.fetches[g.Head.Name]
	if f == nil || f.full {
		return nil
	}
	f.full, f.from, f.at = true, from, now
	return []loop.Cmd{m.want(f)}
}
