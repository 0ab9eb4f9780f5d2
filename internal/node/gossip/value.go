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

// value is one replicated value with the differences between its last revisions.
type value struct {
	Head
	raw   []byte
	diffs []revDiff
}

// revDiff is the difference from revision base to the next one that was held here.
type revDiff struct {
	base Head
	diff []byte
}

// maxRevDiffs limits how many revisions a peer may be behind and still be brought
// up to date by differences.
const maxRevDiffs = 8

// update replaces the value and keeps the difference from the last revision.
func (v *value) update(h Head, raw []byte) {
	if v.Rev != 0 {
		if d := delta.Diff(v.raw, raw); len(d) < len(raw)/2 {
			v.diffs = append(v.diffs, revDiff{base: v.Head, diff: d})
		} else {
			v.diffs = nil
		}
	}
	if n := len(v.diffs); n > maxRevDiffs {
		v.diffs = slices.Delete(v.diffs, 0, n-maxRevDiffs)
	}
	v.Head, v.raw = h, raw
}

// reply answers a request with differences if the requester's revision is still
// known here, and with the whole value otherwise.
func (v *value) reply(req *Request) *Value {
	got := &Value{Head: v.Head}
	i := slices.IndexFunc(v.diffs, func(s revDiff) bool { return s.base.Rev == req.Have && s.base.Sum == req.Sum })
	if i < 0 {
		got.Raw = v.raw
		return got
	}
	got.Base = req.Have
	for _, s := range v.diffs[i:] {
		got.Diffs = append(got.Diffs, s.diff)
	}
	return got
}

// decode builds and verifies the value that a peer sent. It returns nil if the
// differences do not fit the value held here, or if the digest is not the
// announced one, so that a fault of a peer is not taken over.
func (v *value) decode(got *Value) []byte {
	raw := got.Raw
	if got.Base != 0 {
		if got.Base != v.Rev {
			return nil
		}
		raw = v.raw
		for _, d := range got.Diffs {
			next, err := delta.Apply(raw, d)
			if err != nil {
				return nil
			}
			raw = next
		}
	}
	if digest.Of(raw) != got.Head.Sum {
		return nil
	}
	return raw
}

// fetch is a value that is being requested, last from VM from at requestedAt.
type fetch struct {
	Head
	from        ident.VM
	startedAt   time.Time
	requestedAt time.Time
	whole       bool // differences did not fit: request the whole value
}

// heads returns all heads that are held, sorted by name.
func (m *Model) heads() []Head {
	list := make([]Head, 0, len(m.values))
	for _, name := range slices.Sorted(maps.Keys(m.values)) {
		list = append(list, m.values[name].Head)
	}
	return list
}

// refreshSum recomputes the digest over all heads, which heartbeats and
// comparisons carry.
func (m *Model) refreshSum() {
	raw, err := wire.Encode(m.heads())
	if err == nil {
		m.sum = digest.Of(raw)
	}
}

// setValue stores a verified value and answers the peers that wait for it.
func (m *Model) setValue(now time.Time, from ident.VM, h Head, raw []byte) []loop.Cmd {
	v := m.values[h.Name]
	if v == nil {
		v = &value{}
		m.values[h.Name] = v
	}
	if h.Rev <= v.Rev {
		return nil
	}
	v.update(h, raw)
	m.refreshSum()
	m.changedAt[h.Name] = now
	if f, ok := m.fetches[h.Name]; ok && f.Rev <= h.Rev {
		delete(m.fetches, h.Name)
	}
	cmds := []loop.Cmd{ValueCmd{From: from, Head: h, Raw: raw}}
	waiting := m.waiting[h.Name]
	for _, vm := range slices.Sorted(maps.Keys(waiting)) {
		cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Value: v.reply(waiting[vm])}})
	}
	delete(m.waiting, h.Name)
	return append(cmds, m.sendPendingNotify(h)...)
}

// onHead compares an announced head with the value held here and requests the
// value if it is newer.
func (m *Model) onHead(now time.Time, from ident.VM, h Head) []loop.Cmd {
	if v := m.values[h.Name]; v != nil && h.Rev <= v.Rev {
		return nil
	}
	f, ok := m.fetches[h.Name]
	if ok && h.Rev <= f.Rev || !ok && len(m.fetches) >= maxHeads {
		return nil
	}
	m.fetches[h.Name] = &fetch{Head: h, from: from, startedAt: now, requestedAt: now}
	return []loop.Cmd{HeadCmd{From: from, Head: h}, m.requestValue(m.fetches[h.Name])}
}

func (m *Model) requestValue(f *fetch) loop.Cmd {
	req := &Request{Name: f.Name}
	if v := m.values[f.Name]; v != nil && !f.whole {
		req.Have, req.Sum = v.Rev, v.Sum
	}
	return SendCmd{To: f.from, Packet: Packet{Request: req}}
}

// onRequest answers at once, or when the value arrives here: heartbeats are faster
// than values, so a child requests a value before its parent holds it.
func (m *Model) onRequest(from ident.VM, req *Request) []loop.Cmd {
	v := m.values[req.Name]
	f := m.fetches[req.Name]
	if f != nil && f.Rev > req.Have {
		if m.waiting[req.Name] == nil {
			m.waiting[req.Name] = map[ident.VM]*Request{}
		}
		m.waiting[req.Name][from] = req
		return nil
	}
	if v == nil || v.Rev <= req.Have {
		return nil
	}
	return []loop.Cmd{SendCmd{To: from, Packet: Packet{Value: v.reply(req)}}}
}

func (m *Model) onValue(now time.Time, from ident.VM, got *Value) []loop.Cmd {
	v := m.values[got.Head.Name]
	if v == nil {
		v = &value{}
	}
	if got.Head.Rev <= v.Rev {
		return nil
	}
	if raw := v.decode(got); raw != nil {
		return m.setValue(now, from, got.Head, raw)
	}
	f := m.fetches[got.Head.Name]
	if f == nil || f.whole {
		return nil
	}
	f.whole, f.from, f.requestedAt = true, from, now
	return []loop.Cmd{m.requestValue(f)}
}
