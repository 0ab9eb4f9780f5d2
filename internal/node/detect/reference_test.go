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

// reference evaluates every member at each tick and each list, and recounts all
// totals.
type reference struct{ *Model[ident.Server] }

func (n reference) Update(now time.Time, msg loop.Msg) []loop.Cmd {
	switch msg := msg.(type) {
	case TickMsg:
		n.countViews(now)
		return append(n.probe(now), n.evaluate(now)...)
	case ListMsg[ident.Server]:
		n.onList(now, msg.Rows)
		n.countViews(now)
		return n.evaluate(now)
	}
	_, cmds := n.Model.Update(now, msg)
	return cmds
}

func (n reference) all() []*member[ident.Server] {
	var all []*member[ident.Server]
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		all = append(all, n.members[id])
	}
	return all
}

func (n reference) countViews(now time.Time) {
	for _, x := range n.members {
		n.coveredUntil(now, x)
		x.frozenViews, x.contraryViews = 0, 0
	}
	for _, v := range n.views {
		if now.Sub(v.at) > n.cfg.ViewFresh {
			continue
		}
		for id, x := range n.members {
			if slices.Contains(v.frozen, id) {
				x.frozenViews++
			} else {
				x.contraryViews++
			}
		}
	}
}

func (n reference) probe(now time.Time) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range n.all() {
		if x.Is != Gone && now.Sub(x.probedAt) >= n.cfg.ProbePeriod && n.coveredUntil(now, x).IsZero() {
			x.probedAt = now
			cmds = append(cmds, ProbeCmd[ident.Server]{ID: x.ID, Addr: x.Addr})
		}
	}
	if now.Sub(n.viewSentAt) < n.cfg.ProbePeriod && !n.viewDue {
		return cmds
	}
	n.viewSentAt, n.viewDue = now, false
	var v ViewCmd[ident.Server]
	for _, x := range n.all() {
		if x.Is != Gone && x.frozenLocally(now, n.cfg) {
			v.Frozen = append(v.Frozen, x.ID)
		}
		if x.Is != Gone && x.isSuspect() && n.sharesProbes() && slices.Contains(n.probersOf(x), n.probers.Self) {
			v.Suspect = append(v.Suspect, x.ID)
		}
	}
	return append(cmds, v)
}

func (n reference) evaluate(now time.Time) []loop.Cmd {
	all := n.all()
	for _, x := range all {
		n.coveredUntil(now, x)
	}
	drains := map[ident.Service]bool{}
	known, kept := 0, 0
	for _, x := range all {
		drains[x.Group] = n.trustsDrain(x.Group)
		if x.Is != Gone {
			known++
			if x.inList && x.State != vmlist.Gone {
				kept++
			}
		}
	}
	cmds := n.fireEach(now, all, func(x *member[ident.Server]) (chart.Trigger, string) {
		return n.leaveTrigger(now, x, drains, 2*kept < known)
	})
	total, bad := 0, 0
	for _, x := range all {
		evaluations := x.looksFrozen(now, n.cfg) && (x.Is == Live || x.Is == Joining)
		if x.Is == Frozen || evaluations {
			bad++
		}
		if x.Is == Frozen || evaluations || x.Is == Live {
			total++
		}
	}
	cmds = append(cmds, n.fireEach(now, all, func(x *member[ident.Server]) (chart.Trigger, string) {
		return n.healthTrigger(now, x, 2*bad > total)
	})...)
	for _, x := range all {
		if x.Is == Gone && !x.inList && now.Sub(x.Since) > forgetAfter {
			delete(n.members, x.ID)
			delete(n.active, x.ID)
		}
	}
	return cmds
}

func (n reference) trustsDrain(g ident.Service) bool {
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

// answerMode is how a member answers probes.
type answerMode int

const (
	immediate answerMode = iota
	late                 // with its next probe
	failing              // the probe fails
)

// generator draws the next event.
type generator struct {
	*rapid.T
	servers, vms int
	modes        map[ident.Server]answerMode
	health       map[ident.Server]server.Health
}

func (d *generator) server(of string) ident.Server { return name(d.pick(d.servers, of)) }
func (d *generator) pick(n int, of string) int     { return rapid.IntRange(0, n-1).Draw(d.T, of) }

func (d *generator) someServers(of string) []ident.Server {
	var out []ident.Server
	for range d.pick(4, of) {
		out = append(out, d.server(of))
	}
	return out
}

func (d *generator) vm() ident.VM { return ident.VM(fmt.Sprint("vm", d.pick(d.vms, "vm"))) }

func (d *generator) list() loop.Msg {
	var m ListMsg[ident.Server]
	unusual := d.pick(5, "odd rows") == 0
	for i := range d.servers {
		row := Listed[ident.Server]{ID: name(i), Group: ident.Service(fmt.Sprint("g", i%2)), State: vmlist.Live}
		if unusual {
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

func (d *generator) probers() loop.Msg {
	m := ProbersMsg{Self: d.vm(), Peers: d.pick(4, "peers") == 0}
	for i := range d.vms {
		if d.pick(6, "there") > 0 {
			m.VMs = append(m.VMs, Prober{VM: ident.VM(fmt.Sprint("vm", i)), Centre: ident.Centre(fmt.Sprint("c", i%3))})
		}
	}
	return m
}

func (d *generator) views() loop.Msg {
	var m ViewsMsg[ident.Server]
	bad := d.pick(4, "bad views") == 0
	for i := range d.vms {
		v := ViewMsg[ident.Server]{From: ident.VM(fmt.Sprint("vm", i))}
		if bad {
			v.Frozen = d.someServers("bad")
		}
		m.Views = append(m.Views, v)
	}
	for i := range d.servers { // as package gossip delivers them for VMs
		m.Views = append(m.Views, ViewMsg[ident.Server]{From: ident.VM(name(i))})
	}
	if d.pick(6, "odd views") == 0 {
		m.Suspect = d.someServers("odd")
	}
	return m
}

// next returns a message, and the time that passes before it.
func (d *generator) next() (time.Duration, loop.Msg) {
	wait := time.Duration(0)
	switch d.pick(20, "what") {
	case 0:
		return wait, d.list()
	case 1:
		return wait, d.probers()
	case 2:
		return wait, HeartbeatMsg[ident.Server]{ID: d.server("beat")}
	case 3:
		return wait, CallsMsg[ident.Server]{ID: d.server("calls"), Succeeded: d.pick(2, "good"), Failed: d.pick(5, "bad")}
	case 4:
		return wait, ViewMsg[ident.Server]{From: d.vm(), Frozen: d.someServers("bad"), Suspect: d.someServers("odd")}
	case 5:
		d.modes[d.server("cut")] = answerMode(d.pick(4, "how it answers"))
	case 6:
		h := server.Health{Ready: d.pick(4, "ready") > 0, Drain: d.pick(2, "drains") == 0, Cold: d.pick(5, "cold") == 0}
		for _, id := range d.someServers("word") {
			d.health[id] = h
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

// The model evaluates only members that something was heard of or whose check is
// due. If it missed one, a frozen server would stay in use or a live one would not
// be probed, so it must decide exactly as the reference, which evaluates all.
func TestEvaluatingActiveMembersDecidesAsEvaluatingAll(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		d := &generator{T: t, servers: rapid.IntRange(1, 12).Draw(t, "servers"), vms: 6, modes: map[ident.Server]answerMode{}, health: map[ident.Server]server.Health{}}
		few, all := New[ident.Server](Config{}), reference{New[ident.Server](Config{})}
		now := t0
		pendingAnswer := map[ident.Server]bool{}
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
				h, said := d.health[p.ID]
				if !said {
					h.Ready = true
				}
				if d.modes[p.ID] == late && !pendingAnswer[p.ID] {
					pendingAnswer[p.ID] = true
					continue
				}
				pendingAnswer[p.ID] = false
				both(ProbeMsg[ident.Server]{ID: p.ID, Failed: d.modes[p.ID] == failing, Health: h})
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

// All members of a large fleet are healthy. If each were evaluated at every tick,
// they would use a large part of the CPU that a VM may spend on control.
func TestHealthyMembersAreEvaluatedOnceASecond(t *testing.T) {
	w := newMesh(t, 6, 200, 1)
	evaluations := 0
	const span = 10 * time.Second
	for range span / step {
		w.now = w.now.Add(step)
		for _, vm := range w.order {
			m := w.vms[vm]
			m.activateDue(w.now)
			evaluations += len(m.active)
			w.update(vm, TickMsg{})
		}
	}
	each := float64(evaluations) / span.Seconds() / 200 / 6
	t.Logf("%.2f evaluations a second and member", each)
	assert.Assert(t, each <= 2, "%v", each) // ten if all were evaluated at each tick
}

// A server hangs after a good answer, so that the next probe gets neither an
// answer nor an error. Its silence must be reported once it has lasted
// SilentAfter, not only when the following probe is due.
func TestSilenceIsNoticedBetweenProbes(t *testing.T) {
	m, now := New[ident.Server](Config{}), t0
	m.Update(now, ListMsg[ident.Server]{Rows: []Listed[ident.Server]{{ID: "s0", Group: "lookup", State: vmlist.Live}}})
	for range 40 {
		now = now.Add(step)
		_, cmds := m.Update(now, TickMsg{})
		answerProbes(m, now, cmds)
	}
	x := m.members["s0"]
	heard := x.heardAt
	for now.Sub(heard) < DefaultConfig.SilentAfter {
		now = now.Add(step)
		m.Update(now, TickMsg{})
	}
	assert.Assert(t, now.Sub(x.probedAt) < DefaultConfig.ProbePeriod)
	m.viewDue = true
	_, cmds := m.Update(now, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ViewCmd[ident.Server]{Frozen: []ident.Server{"s0"}}})
}
