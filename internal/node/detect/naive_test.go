package detect

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// naive looks at every member with each tick and each list, and counts anew what
// is counted over all.
type naive struct{ *Model[ident.Server] }

func (n naive) Update(now time.Time, msg loop.Msg) []loop.Cmd {
	switch msg := msg.(type) {
	case TickMsg:
		n.count(now)
		return append(n.probe(now), n.judge(now)...)
	case ListMsg[ident.Server]:
		n.onList(now, msg.Rows)
		n.count(now)
		return n.judge(now)
	}
	_, cmds := n.Model.Update(now, msg)
	return cmds
}

func (n naive) all() []*member[ident.Server] {
	var all []*member[ident.Server]
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		all = append(all, n.members[id])
	}
	return all
}

func (n naive) count(now time.Time) {
	for _, x := range n.members {
		n.excuse(now, x)
		x.saidBad, x.saidWell = 0, 0
	}
	for _, v := range n.views {
		if now.Sub(v.at) > n.cfg.Fresh {
			continue
		}
		for id, x := range n.members {
			if slices.Contains(v.bad, id) {
				x.saidBad++
			} else {
				x.saidWell++
			}
		}
	}
}

func (n naive) probe(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range n.all() {
		if x.Is != Gone && now.Sub(x.probed) >= n.cfg.Probe && n.excuse(now, x).IsZero() {
			x.probed = now
			cmds = append(cmds, ProbeCmd[ident.Server]{ID: x.ID, Addr: x.Addr})
		}
	}
	if now.Sub(n.told) < n.cfg.Probe && !n.tell {
		return cmds
	}
	n.told, n.tell = now, false
	var v ViewCmd[ident.Server]
	for _, x := range n.all() {
		if x.Is != Gone && x.suspect(now, n.cfg) {
			v.Frozen = append(v.Frozen, x.ID)
		}
		if x.Is != Gone && x.odd() && n.shards() && slices.Contains(n.probersOf(x), n.shard.Self) {
			v.Suspect = append(v.Suspect, x.ID)
		}
	}
	return append(cmds, v)
}

func (n naive) judge(now time.Time) []loop.Cmd {
	all := n.all()
	for _, x := range all {
		n.excuse(now, x)
	}
	drains := map[ident.Service]bool{}
	known, kept := 0, 0
	for _, x := range all {
		drains[x.Group] = n.believed(x.Group)
		if x.Is != Gone {
			known++
			if x.inList && x.State != vmlist.Gone {
				kept++
			}
		}
	}
	cmds := n.each(now, all, func(x *member[ident.Server]) (chart.Trigger, string) {
		return n.leaving(now, x, drains, 2*kept < known)
	})
	total, bad := 0, 0
	for _, x := range all {
		looks := x.looksFrozen(now, n.cfg) && (x.Is == Live || x.Is == Joining)
		if x.Is == Frozen || looks {
			bad++
		}
		if x.Is == Frozen || looks || x.Is == Live {
			total++
		}
	}
	cmds = append(cmds, n.each(now, all, func(x *member[ident.Server]) (chart.Trigger, string) {
		return n.staying(now, x, 2*bad > total)
	})...)
	for _, x := range all {
		if x.Is == Gone && !x.inList && now.Sub(x.Since) > forgetAfter {
			delete(n.members, x.ID)
			delete(n.awake, x.ID)
		}
	}
	return cmds
}

func (n naive) believed(g ident.Service) bool {
	all, own := 0, 0
	for _, x := range n.members {
		if x.Group == g && x.Is != Gone && x.State != vmlist.Leaving {
			all++
			if x.health.Drain {
				own++
			}
		}
	}
	return 2*own <= all || all == 1
}

// answers is how a member answers probes.
type answers int

const (
	atOnce  answers = iota
	late            // with its next probe
	failing         // the probe fails
)

// draw makes up what happens next.
type draw struct {
	*rapid.T
	servers, vms int
	cuts         map[ident.Server]answers
	words        map[ident.Server]server.Health
}

func (d *draw) one(of string) ident.Server { return name(d.pick(d.servers, of)) }
func (d *draw) pick(n int, of string) int  { return rapid.IntRange(0, n-1).Draw(d.T, of) }

func (d *draw) some(of string) []ident.Server {
	var out []ident.Server
	for range d.pick(4, of) {
		out = append(out, d.one(of))
	}
	return out
}

func (d *draw) vm() ident.VM { return ident.VM(fmt.Sprint("vm", d.pick(d.vms, "vm"))) }

func (d *draw) list() loop.Msg {
	var m ListMsg[ident.Server]
	odd := d.pick(5, "odd rows") == 0
	for i := range d.servers {
		row := Listed[ident.Server]{ID: name(i), Group: ident.Service(fmt.Sprint("g", i%2)), State: vmlist.Live}
		if odd {
			switch d.pick(12, "row") {
			case 0:
				row.State = vmlist.Leaving
			case 1:
				row.State = vmlist.Gone
			case 2:
				continue
			}
		}
		m.Rows = append(m.Rows, row)
	}
	return m
}

func (d *draw) shard() loop.Msg {
	m := ProbersMsg{Self: d.vm(), Peers: d.pick(4, "peers") == 0}
	for i := range d.vms {
		if d.pick(6, "there") > 0 {
			m.VMs = append(m.VMs, Prober{VM: ident.VM(fmt.Sprint("vm", i)), Centre: ident.Centre(fmt.Sprint("c", i%3))})
		}
	}
	return m
}

func (d *draw) views() loop.Msg {
	var m ViewsMsg[ident.Server]
	bad := d.pick(4, "bad views") == 0
	for i := range d.vms {
		v := ViewMsg[ident.Server]{From: ident.VM(fmt.Sprint("vm", i))}
		if bad {
			v.Frozen = d.some("bad")
		}
		m.Views = append(m.Views, v)
	}
	for i := range d.servers { // as the exchange tells of VMs
		m.Views = append(m.Views, ViewMsg[ident.Server]{From: ident.VM(name(i))})
	}
	if d.pick(6, "odd views") == 0 {
		m.Suspect = d.some("odd")
	}
	return m
}

// next is a message, and the time that passes before it.
func (d *draw) next() (time.Duration, loop.Msg) {
	wait := time.Duration(0)
	switch d.pick(20, "what") {
	case 0:
		return wait, d.list()
	case 1:
		return wait, d.shard()
	case 2:
		return wait, HeartbeatMsg[ident.Server]{ID: d.one("beat")}
	case 3:
		return wait, CallsMsg[ident.Server]{ID: d.one("calls"), Succeeded: d.pick(2, "good"), Failed: d.pick(5, "bad")}
	case 4:
		return wait, ViewMsg[ident.Server]{From: d.vm(), Frozen: d.some("bad"), Odd: d.some("odd")}
	case 5:
		d.cuts[d.one("cut")] = answers(d.pick(4, "how it answers"))
	case 6:
		h := server.Health{Ready: d.pick(4, "ready") > 0, Drain: d.pick(2, "drains") == 0, Cold: d.pick(5, "cold") == 0}
		for _, id := range d.some("word") {
			d.words[id] = h
		}
	case 7:
		wait = time.Duration(d.pick(40, "pause")) * 100 * time.Millisecond
	case 8:
		if d.pick(30, "an hour") == 0 {
			wait = time.Hour
		}
	case 9, 10, 11:
		return wait, d.views()
	default:
		wait = time.Duration(1+d.pick(15, "step")) * 10 * time.Millisecond
	}
	return wait, TickMsg{}
}

// The roster looks only at members of whom something was heard or whose moment
// has come. If it overlooked one, a frozen server would stay in use, or a live
// one would not be probed; so it must decide exactly as one that looks at all.
func TestLookingAtFewDecidesAsLookingAtAll(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		d := &draw{T: t, servers: rapid.IntRange(1, 12).Draw(t, "servers"), vms: 6, cuts: map[ident.Server]answers{}, words: map[ident.Server]server.Health{}}
		few, all := New[ident.Server](Config{}), naive{New[ident.Server](Config{})}
		now := t0
		kept := map[ident.Server]bool{}
		var both func(loop.Msg)
		both = func(msg loop.Msg) {
			_, got := few.Update(now, msg)
			want := all.Update(now, msg)
			assert.Assert(t, reflect.DeepEqual(got, want), "%T: got %+v, want %+v", msg, got, want)
			assert.Assert(t, slices.Equal(few.Members(), all.Members()), "%T: got %+v, want %+v", msg, few.Members(), all.Members())
			for _, c := range got {
				p, ok := c.(ProbeCmd[ident.Server])
				if !ok {
					continue
				}
				h, said := d.words[p.ID]
				if !said {
					h.Ready = true
				}
				if d.cuts[p.ID] == late && !kept[p.ID] {
					kept[p.ID] = true
					continue
				}
				kept[p.ID] = false
				both(ProbeMsg[ident.Server]{ID: p.ID, Failed: d.cuts[p.ID] == failing, Health: h})
			}
		}
		both(ListMsg[ident.Server]{Rows: d.list().(ListMsg[ident.Server]).Rows})
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			wait, msg := d.next()
			now = now.Add(wait)
			both(msg)
		}
	})
}

// All members of a large roster are well. Looked at with each tick, they would
// use up a good part of what a VM may spend on control.
func TestMembersThatAreWellAreLookedAtOnceASecond(t *testing.T) {
	w := newMesh(t, 6, 200, 1)
	looks := 0
	const span = 10 * time.Second
	for range span / step {
		w.now = w.now.Add(step)
		for _, vm := range w.order {
			m := w.vms[vm]
			m.wakeDue(w.now)
			looks += len(m.awake)
			w.tell(vm, TickMsg{})
		}
	}
	each := float64(looks) / span.Seconds() / 200 / 6
	t.Logf("%.2f looks a second and member", each)
	assert.Assert(t, each <= 2, "%v", each) // ten if all were looked at
}

// A server's answer to the last probe was good, and the next one stays without an
// answer or an error: it hangs. Its silence is told to others when it has lasted
// long enough, not when the probe after that falls due.
func TestSilenceIsNoticedBetweenProbes(t *testing.T) {
	m, now := New[ident.Server](Config{}), t0
	m.Update(now, ListMsg[ident.Server]{Rows: []Listed[ident.Server]{{ID: "s0", Group: "lookup", State: vmlist.Live}}})
	for range 40 {
		now = now.Add(step)
		_, cmds := m.Update(now, TickMsg{})
		answer(m, now, cmds)
	}
	x := m.members["s0"]
	heard := x.heard
	for now.Sub(heard) < DefaultConfig.Silent {
		now = now.Add(step)
		m.Update(now, TickMsg{})
	}
	assert.Assert(t, now.Sub(x.probed) < DefaultConfig.Probe)
	m.tell = true
	_, cmds := m.Update(now, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ViewCmd[ident.Server]{Frozen: []ident.Server{"s0"}}})
}
