package netsim

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// fleet is entry VMs that detect the state of backend servers and share it by
// gossip, with the daemon's own modules connected as in the daemon. The platform's
// list shows every server as live throughout.
type fleet struct {
	*simulation
	detectors   map[*node]*detect.Model[ident.Server]
	servers     []ident.Server
	names       map[gossip.Member]ident.Server
	drains      map[ident.Server]bool
	probeCounts map[ident.Server]map[ident.VM]int
	liar        ident.VM
}

const serverKind = "srv"

func newFleet(t *testing.T, vms, servers int, loss float64, seed uint64) *fleet {
	f := &fleet{
		simulation: newSimulation(Config{VMs: vms, Loss: loss, Seed: seed, Length: time.Hour, Changes: 1}),
		detectors:  map[*node]*detect.Model[ident.Server]{},
		names:      map[gossip.Member]ident.Server{},
		drains:     map[ident.Server]bool{},
	}
	for i := range servers {
		id := ident.Server("server" + strconv.Itoa(i))
		f.servers = append(f.servers, id)
		f.names[gossip.MemberOf(serverKind, string(id))] = id
	}
	f.onTick, f.onCmd, f.alterPacket = f.tickDetector, f.deliverViews, f.falsify
	for _, n := range f.nodes {
		f.detectors[n] = f.newDetector(n)
	}
	f.runUntil(8 * time.Second)
	for _, n := range f.nodes {
		for _, id := range f.servers {
			assert.Assert(t, f.accepts(n, id), "%s at %s", id, n.peer.VM)
		}
	}
	return f
}

func (f *fleet) newDetector(n *node) *detect.Model[ident.Server] {
	m := detect.New[ident.Server](detect.Config{})
	var rows []detect.Listed[ident.Server]
	for _, id := range f.servers {
		rows = append(rows, detect.Listed[ident.Server]{ID: id, Group: "lookup", State: vmlist.Live})
	}
	probers := detect.ProbersMsg{Self: n.peer.VM}
	for _, p := range f.livePeers() {
		probers.VMs = append(probers.VMs, detect.Prober{VM: p.VM, Centre: p.Centre})
	}
	m.Update(f.now, detect.ListMsg[ident.Server]{Rows: rows})
	m.Update(f.now, probers)
	return m
}

func (f *fleet) accepts(n *node, id ident.Server) bool {
	x, _ := f.detectors[n].Member(id)
	return x.Accepting()
}

func (f *fleet) tickDetector(n *node) { f.updateDetector(n, detect.TickMsg{}) }

// updateDetector sends a message to a VM's detector and carries out its commands.
// A probe is answered 2 ms later.
func (f *fleet) updateDetector(n *node, msg loop.Msg) {
	if n.dead || f.detectors[n] == nil {
		return
	}
	_, cmds := f.detectors[n].Update(f.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case detect.ProbeCmd[ident.Server]:
			f.probe(n, c.ID)
		case detect.ViewCmd[ident.Server]:
			view := gossip.ViewMsg{Suspect: memberIDs(c.Suspect), Frozen: memberIDs(c.Frozen)}
			f.scheduleAfter(0, func() { f.simulation.update(n, view) })
		}
	}
}

func (f *fleet) probe(n *node, id ident.Server) {
	if f.probeCounts != nil {
		if f.probeCounts[id] == nil {
			f.probeCounts[id] = map[ident.VM]int{}
		}
		f.probeCounts[id][n.peer.VM]++
	}
	f.scheduleAfter(2*time.Millisecond, func() {
		f.updateDetector(n, detect.ProbeMsg[ident.Server]{ID: id, Health: server.Health{Ready: true, Drain: f.drains[id]}})
	})
}

func memberIDs(ids []ident.Server) []gossip.Member {
	var out []gossip.Member
	for _, id := range ids {
		out = append(out, gossip.MemberOf(serverKind, string(id)))
	}
	return out
}

func (f *fleet) deliverViews(n *node, c loop.Cmd) {
	v, ok := c.(gossip.ViewsCmd)
	if !ok {
		return
	}
	msg := detect.ViewsMsg[ident.Server]{Suspect: f.serverIDs(v.Suspect)}
	for _, x := range v.Views {
		msg.Views = append(msg.Views, detect.ViewMsg[ident.Server]{From: x.From, Frozen: f.serverIDs(x.Frozen)})
	}
	f.updateDetector(n, msg)
}

func (f *fleet) serverIDs(ids []gossip.Member) []ident.Server {
	var out []ident.Server
	for _, id := range ids {
		out = append(out, f.names[id])
	}
	return out
}

// allResponders encodes the report that all VMs answered.
var allResponders = []byte{2}

// falsify lets the liar report that all VMs answered and that no member is
// suspect.
func (f *fleet) falsify(n *node, p *gossip.Packet) {
	if n.peer.VM != f.liar {
		return
	}
	if p.Ack != nil {
		a := *p.Ack
		a.View = &gossip.View{List: a.View.List, Responders: allResponders}
		p.Ack = &a
	}
	if p.Heartbeat != nil && p.Heartbeat.View != nil {
		heartbeat := *p.Heartbeat
		heartbeat.View = &gossip.View{List: heartbeat.View.List, Responders: allResponders}
		p.Heartbeat = &heartbeat
	}
	if p.News != nil {
		p.News = &gossip.News{Root: p.News.Root, View: gossip.View{List: p.News.View.List}}
	}
}

// probeRates counts the probes for a while, and returns the probes per second of
// each server.
func (f *fleet) probeRates(d time.Duration) map[ident.Server]float64 {
	f.probeCounts = map[ident.Server]map[ident.VM]int{}
	f.runUntil(f.now.Sub(f.start) + d)
	out := map[ident.Server]float64{}
	for id, by := range f.probeCounts {
		for _, n := range by {
			out[id] += float64(n) / d.Seconds()
		}
	}
	return out
}

func maxRate(rates map[ident.Server]float64) (m float64) {
	for _, r := range rates {
		m = max(m, r)
	}
	return m
}

// measureLeave lets a server report draining at the moment at which two of its
// three probers are lost, while the third reports that all is well. It returns how
// long the slowest VM still gave it work, and the probes per second of the other
// servers meanwhile.
func (f *fleet) measureLeave(t *testing.T, rnd *rand.Rand) (time.Duration, map[ident.Server]float64) {
	const rest = 3 * time.Second
	f.probeRates(rest)
	id := f.servers[rnd.IntN(len(f.servers))]
	var probers []ident.VM
	for _, n := range f.nodes { // in a fixed order
		if f.probeCounts[id][n.peer.VM] >= int(rest/time.Second)-1 {
			probers = append(probers, n.peer.VM)
		}
	}
	assert.Equal(t, len(probers), 3)
	rnd.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	f.byVM[probers[0]].dead, f.byVM[probers[1]].dead = true, true
	f.liar = probers[2]
	f.drains[id] = true
	f.probeCounts = map[ident.Server]map[ident.VM]int{}
	start := f.now
	for f.anyAccepts(id) {
		f.runUntil(f.now.Sub(f.start) + gossip.TickInterval)
		assert.Assert(t, f.now.Sub(start) <= 3*time.Second, "a leaving server still takes work")
	}
	took := f.now.Sub(start)
	rates := map[ident.Server]float64{}
	for other, by := range f.probeCounts {
		for _, n := range by {
			if other != id {
				rates[other] += float64(n) / took.Seconds()
			}
		}
	}
	return took, rates
}

func (f *fleet) anyAccepts(id ident.Server) bool {
	for _, n := range f.nodes {
		if !n.dead && f.accepts(n, id) {
			return true
		}
	}
	return false
}

// Two of a server's three probers are lost when it begins to drain, and the third
// reports that all is well. If 520 VMs kept relying on them, the server would get
// new work until it is gone; if all probed it, it would get 520 probes a second.
func TestALeavingServerIsNoticedBy520VMsThroughThreeProbers(t *testing.T) {
	n, servers := 520, 40
	if testing.Short() {
		n, servers = 130, 20 // for the run with the race detector
	}
	f := newFleet(t, n, servers, 0, 1)
	atRest := f.probeRates(5 * time.Second)
	t.Logf("%.2f probes a second at most for a server at rest", maxRate(atRest))
	assert.Assert(t, maxRate(atRest) <= 3.01, "%v", atRest)
	took, others := f.measureLeave(t, rand.New(rand.NewPCG(1, 1)))
	t.Logf("noticed everywhere after %v; meanwhile at most %.1f probes a second for another server", took, maxRate(others))
	assert.Assert(t, maxRate(others) <= 10, "%v", others)
}

// The same at sizes with trees of other heights, many times over.
func TestALeavingServerIsNoticedWithin3sAtAnySize(t *testing.T) {
	for _, n := range []int{5, 8, 20, 50} {
		var worst time.Duration
		for seed := range uint64(10) {
			f := newFleet(t, n, 10, 0, seed+1)
			took, _ := f.measureLeave(t, rand.New(rand.NewPCG(seed, uint64(n))))
			worst = max(worst, took)
		}
		t.Logf("%d VMs: worst of 10: %v", n, worst)
	}
}

// Packets are lost between 200 VMs. A lost view must cost no more than a probe:
// the load on a server must stay far below that of every VM probing it.
func TestLostPacketsCostFewProbes(t *testing.T) {
	f := newFleet(t, 200, 20, 0.02, 1)
	rates := f.probeRates(10 * time.Second)
	t.Logf("%.2f probes a second at most for a server", maxRate(rates))
	assert.Assert(t, maxRate(rates) <= 12, "%v", rates)
}
