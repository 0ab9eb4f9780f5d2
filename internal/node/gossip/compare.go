package gossip

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// timedRow is a load row with the time, on this VM's clock, at which it was read.
type timedRow struct {
	LoadRow
	at time.Time
}

const (
	maxComparisonRows = 10               // rows in one comparison
	maxRowAge         = 30 * time.Second // after which a row is no longer used
)

// onReport records rows that this VM read itself.
func (m *Model) onReport(now time.Time, rows []LoadRow) {
	m.ownServers = m.ownServers[:0]
	for _, r := range rows {
		m.ownServers = append(m.ownServers, r.Server)
		m.rows[r.Server] = timedRow{LoadRow: r, at: now.Add(-r.Age)}
	}
}

// compare compares state with a few other VMs, chosen pseudo-randomly and
// differently on each VM and each time.
func (m *Model) compare(now time.Time) []loop.Cmd {
	m.comparedAt = now
	n := len(m.order)
	if n < 2 {
		return nil
	}
	self := slices.Index(m.order, m.self)
	p := &Comparison{Sum: m.sum, Rows: m.freshestRows(now)}
	var cmds []loop.Cmd
	for range min(comparisonsPerPeriod, n-1) {
		m.peerChoices++
		step := 1 + int(rank(string(m.self), ident.VM(strconv.Itoa(m.peerChoices)))%uint64(n-1))
		cmds = append(cmds, SendCmd{To: m.order[(self+step)%n], Packet: Packet{Comparison: p}})
	}
	return cmds
}

// freshestRows returns the maxProbeRows rows that were read last, by this VM or by
// others.
func (m *Model) freshestRows(now time.Time) []LoadRow {
	all := make([]timedRow, 0, len(m.rows))
	for s, r := range m.rows {
		if now.Sub(r.at) > maxRowAge {
			delete(m.rows, s)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b timedRow) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Server, b.Server))
	})
	if len(all) > maxComparisonRows {
		all = all[:maxComparisonRows]
	}
	out := make([]LoadRow, len(all))
	for i, r := range all {
		out[i] = r.LoadRow
		out[i].Age = now.Sub(r.at).Truncate(time.Millisecond)
	}
	return out
}

func (m *Model) onComparison(now time.Time, from ident.VM, p *Comparison) []loop.Cmd {
	var news []LoadRow
	for _, r := range p.Rows {
		at := now.Add(-r.Age)
		if r.Age > maxRowAge || !at.After(m.rows[r.Server].at) || slices.Contains(m.ownServers, r.Server) {
			continue
		}
		m.rows[r.Server] = timedRow{LoadRow: r, at: at}
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

// onHeads requests the values that are newer at the sender, and answers a full
// list with the heads that are newer here.
func (m *Model) onHeads(now time.Time, from ident.VM, h *Heads) []loop.Cmd {
	var cmds []loop.Cmd
	theirs := make(map[string]ident.Revision, len(h.List))
	for _, x := range h.List {
		theirs[x.Name] = x.Rev
		cmds = append(cmds, m.onHead(now, from, x)...)
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

// sendHeads sends heads in as many packets as they need. If that is more than one,
// each is marked as partial: the receiver would otherwise take the heads of the
// other packets as unknown here. It announces what is newer on its side in answer
// to a comparison with this VM.
func sendHeads(to ident.VM, list []Head, part bool) []loop.Cmd {
	part = part || len(list) > maxHeads
	var cmds []loop.Cmd
	for some := range slices.Chunk(list, maxHeads) {
		cmds = append(cmds, SendCmd{To: to, Packet: Packet{Heads: &Heads{List: some, Part: part}}})
	}
	return cmds
}
