package gossip

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// rowAt is a load row with the time on this VM's clock at which it was read.
type rowAt struct {
	LoadRow
	at time.Time
}

const (
	sendRows = 10               // rows on one probe
	oldRow   = 30 * time.Second // after which a row says nothing any more
)

// report takes in rows that this VM read itself.
func (m *Model) report(now time.Time, rows []LoadRow) {
	m.own = m.own[:0]
	for _, r := range rows {
		m.own = append(m.own, r.Server)
		m.rows[r.Server] = rowAt{LoadRow: r, at: now.Add(-r.Age)}
	}
}

// probe compares this VM with a few others, chosen pseudo-randomly and
// differently on each VM and each time.
func (m *Model) probe(now time.Time) []loop.Cmd {
	m.probed = now
	n := len(m.order)
	if n < 2 {
		return nil
	}
	self := slices.Index(m.order, m.self)
	p := &Probe{Sum: m.sum, Rows: m.bestRows(now)}
	var cmds []loop.Cmd
	for range min(probes, n-1) {
		m.turn++
		step := 1 + int(rank(string(m.self), ident.VM(strconv.Itoa(m.turn)))%uint64(n-1))
		cmds = append(cmds, SendCmd{To: m.order[(self+step)%n], Packet: Packet{Probe: p}})
	}
	return cmds
}

// bestRows returns this VM's own rows in turn, then the freshest of others.
func (m *Model) bestRows(now time.Time) []LoadRow {
	all := make([]rowAt, 0, len(m.rows))
	for s, r := range m.rows {
		if now.Sub(r.at) > oldRow {
			delete(m.rows, s)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b rowAt) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Server, b.Server))
	})
	if len(all) > sendRows {
		all = all[:sendRows]
	}
	out := make([]LoadRow, len(all))
	for i, r := range all {
		out[i] = r.LoadRow
		out[i].Age = now.Sub(r.at).Truncate(time.Millisecond)
	}
	return out
}

func (m *Model) onProbe(now time.Time, from ident.VM, p *Probe) []loop.Cmd {
	var news []LoadRow
	for _, r := range p.Rows {
		at := now.Add(-r.Age)
		if r.Age > oldRow || !at.After(m.rows[r.Server].at) || slices.Contains(m.own, r.Server) {
			continue
		}
		m.rows[r.Server] = rowAt{LoadRow: r, at: at}
		news = append(news, r)
	}
	var cmds []loop.Cmd
	if len(news) > 0 {
		cmds = append(cmds, LoadCmd{Rows: news})
	}
	if p.Sum != m.sum {
		cmds = append(cmds, sendHeads(from, m.heads(), false)...)
	}
	return cmds
}

// onHeads asks for what is newer there, and tells what is newer here.
func (m *Model) onHeads(now time.Time, from ident.VM, h *Heads) []loop.Cmd {
	var cmds []loop.Cmd
	theirs := make(map[string]ident.Revision, len(h.List))
	for _, x := range h.List {
		theirs[x.Name] = x.Rev
		cmds = append(cmds, m.learn(now, from, x)...)
	}
	if h.Part {
		return cmds
	}
	var newer []Head
	for _, x := range m.heads() {
		if x.Rev > theirs[x.Name] {
			newer = append(newer, x)
		}
	}
	return append(cmds, sendHeads(from, newer, true)...)
}

// sendHeads sends heads in as many packets as they need. Where that is more than one,
// each is a part: a receiver would take what stands in the others for unknown here. What
// is newer there, it tells in answer to a probe of this VM.
func sendHeads(to ident.VM, list []Head, part bool) []loop.Cmd {
	part = part || len(list) > maxHeads
	var cmds []loop.Cmd
	for some := range slices.Chunk(list, maxHeads) {
		cmds = append(cmds, SendCmd{To: to, Packet: Packet{Heads: &Heads{List: some, Part: part}}})
	}
	return cmds
}
