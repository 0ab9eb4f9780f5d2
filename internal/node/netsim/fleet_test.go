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

// fleet is entry VMs that watch backend servers and tell each other of them
// through the exchange: the daemon's own modules, joined as the daemon joins
// them. The platform's list shows every server as live throughout.
type fleet struct {
	*run
	rosters map[*node]*detect.Model[ident.Server]
	servers []ident.Server
	names   map[gossip.Member]ident.Server
	drains  map[ident.Server]bool
	asked   map[ident.Server]map[ident.VM]int
	liar    ident.VM
}

const serverSort = "srv"

func newFleet(t *testing.T, vms, servers int, loss float64, seed uint64) *fleet {
	f := &fleet{
		run:     newRun(Config{VMs: vms, Loss: loss, Seed: seed, Length: time.Hour, Changes: 1}),
		rosters: map[*node]*detect.Model[ident.Server]{},
		names:   map[gossip.Member]ident.Server{},
		drains:  map[ident.Server]bool{},
	}
	for i := range servers {
		id := ident.Server("server" + strconv.Itoa(i))
		f.servers = append(f.servers, id)
		f.names[gossip.MemberOf(serverSort, string(id))] = id
	}
	f.ticked, f.told, f.bend = f.tick, f.hear, f.lie
	for _, n := range f.all {
		f.rosters[n] = f.join(n)
	}
	f.play(8 * time.Second)
	for _, n := range f.all {
		for _, id := range f.servers {
			assert.Assert(t, f.takes(n, id), "%s at %s", id, n.peer.VM)
		}
	}
	return f
}

func (f *fleet) join(n *node) *detect.Model[ident.Server] {
	m := detect.New[ident.Server](detect.Config{})
	var rows []detect.Listed[ident.Server]
	for _, id := range f.servers {
		rows = append(rows, detect.Listed[ident.Server]{ID: id, Group: "lookup", State: vmlist.Live})
	}
	shard := detect.ProbersMsg{Self: n.peer.VM}
	for _, p := range f.live() {
		shard.VMs = append(shard.VMs, detect.Prober{VM: p.VM, Centre: p.Centre})
	}
	m.Update(f.now, detect.ListMsg[ident.Server]{Rows: rows})
	m.Update(f.now, shard)
	return m
}

func (f *fleet) takes(n *node, id ident.Server) bool {
	x, _ := f.rosters[n].Member(id)
	return x.Accepting()
}

func (f *fleet) tick(n *node) { f.watch(n, detect.TickMsg{}) }

// watch tells a VM's roster something and carries out what it asks for. A probe
// is answered 2 ms later.
func (f *fleet) watch(n *node, msg loop.Msg) {
	if n.dead || f.rosters[n] == nil {
		return
	}
	_, cmds := f.rosters[n].Update(f.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case detect.ProbeCmd[ident.Server]:
			f.probe(n, c.ID)
		case detect.ViewCmd[ident.Server]:
			say := gossip.ViewMsg{Suspect: members(c.Suspect), Frozen: members(c.Frozen)}
			f.after(0, func() { f.run.tell(n, say) })
		}
	}
}

func (f *fleet) probe(n *node, id ident.Server) {
	if f.asked != nil {
		if f.asked[id] == nil {
			f.asked[id] = map[ident.VM]int{}
		}
		f.asked[id][n.peer.VM]++
	}
	f.after(2*time.Millisecond, func() {
		f.watch(n, detect.ProbeMsg[ident.Server]{ID: id, Health: server.Health{Ready: true, Drain: f.drains[id]}})
	})
}

func members(ids []ident.Server) []gossip.Member {
	var out []gossip.Member
	for _, id := range ids {
		out = append(out, gossip.MemberOf(serverSort, string(id)))
	}
	return out
}

func (f *fleet) hear(n *node, c loop.Cmd) {
	v, ok := c.(gossip.ViewsCmd)
	if !ok {
		return
	}
	msg := detect.ViewsMsg[ident.Server]{Suspect: f.named(v.Suspect)}
	for _, x := range v.Views {
		msg.Views = append(msg.Views, detect.ViewMsg[ident.Server]{From: x.From, Frozen: f.named(x.Frozen)})
	}
	f.watch(n, msg)
}

func (f *fleet) named(ids []gossip.Member) []ident.Server {
	var out []ident.Server
	for _, id := range ids {
		out = append(out, f.names[id])
	}
	return out
}

// everybody is how a liar says that all VMs answered.
var everybody = []byte{2}

// lie makes the liar say of itself and of all below it that everybody is there
// and everything well.
func (f *fleet) lie(n *node, p *gossip.Packet) {
	if n.peer.VM != f.liar {
		return
	}
	if p.Ack != nil {
		a := *p.Ack
		a.View = &gossip.View{List: a.View.List, Responders: everybody}
		p.Ack = &a
	}
	if p.Heartbeat != nil && p.Heartbeat.View != nil {
		pulse := *p.Heartbeat
		pulse.View = &gossip.View{List: pulse.View.List, Responders: everybody}
		p.Heartbeat = &pulse
	}
	if p.News != nil {
		p.News = &gossip.News{Root: p.News.Root, View: gossip.View{List: p.News.View.List}}
	}
}

// rate counts the probes for a while, and returns the probes a second of each
// server.
func (f *fleet) rate(d time.Duration) map[ident.Server]float64 {
	f.asked = map[ident.Server]map[ident.VM]int{}
	f.play(f.now.Sub(f.start) + d)
	out := map[ident.Server]float64{}
	for id, by := range f.asked {
		for _, n := range by {
			out[id] += float64(n) / d.Seconds()
		}
	}
	return out
}

func most(rates map[ident.Server]float64) (m float64) {
	for _, r := range rates {
		m = max(m, r)
	}
	return m
}

// leave lets a server say that it drains, at the moment at which two of its three
// probers are lost and while the third says that all is well. It returns how long
// the slowest VM went on giving it work, and the probes of the other servers
// meanwhile.
func (f *fleet) leave(t *testing.T, rnd *rand.Rand) (time.Duration, map[ident.Server]float64) {
	const rest = 3 * time.Second
	f.rate(rest)
	id := f.servers[rnd.IntN(len(f.servers))]
	var probers []ident.VM
	for _, n := range f.all { // in a fixed order
		if f.asked[id][n.peer.VM] >= int(rest/time.Second)-1 {
			probers = append(probers, n.peer.VM)
		}
	}
	assert.Equal(t, len(probers), 3)
	rnd.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	f.byVM[probers[0]].dead, f.byVM[probers[1]].dead = true, true
	f.liar = probers[2]
	f.drains[id] = true
	f.asked = map[ident.Server]map[ident.VM]int{}
	start := f.now
	for f.anyTakes(id) {
		f.play(f.now.Sub(f.start) + gossip.TickInterval)
		assert.Assert(t, f.now.Sub(start) <= 3*time.Second, "a leaving server still takes work")
	}
	took := f.now.Sub(start)
	rates := map[ident.Server]float64{}
	for other, by := range f.asked {
		for _, n := range by {
			if other != id {
				rates[other] += float64(n) / took.Seconds()
			}
		}
	}
	return took, rates
}

func (f *fleet) anyTakes(id ident.Server) bool {
	for _, n := range f.all {
		if !n.dead && f.takes(n, id) {
			return true
		}
	}
	return false
}

// 520 VMs watch servers through three probers each. Two probers of a server are
// lost at the moment at which it begins to drain, and the third says that all is
// well. If the VMs went on relying on them, the server would be given new work
// until it is gone, and those requests would be lost; if every VM probed every
// server instead, each server would be asked 520 times a second.
func TestALeavingServerIsNoticedBy520VMsThroughThreeProbers(t *testing.T) {
	n, servers := 520, 40
	if testing.Short() {
		n, servers = 130, 20 // the race detector's run; the full one is not short
	}
	f := newFleet(t, n, servers, 0, 1)
	atRest := f.rate(5 * time.Second)
	t.Logf("%.2f probes a second at most for a server at rest", most(atRest))
	assert.Assert(t, most(atRest) <= 3.01, "%v", atRest)
	took, others := f.leave(t, rand.New(rand.NewPCG(1, 1)))
	t.Logf("noticed everywhere after %v; meanwhile at most %.1f probes a second for another server", took, most(others))
	assert.Assert(t, most(others) <= 10, "%v", others)
}

// The same at sizes with trees of other heights, many times over.
func TestALeavingServerIsNoticedWithin3sAtAnySize(t *testing.T) {
	for _, n := range []int{5, 8, 20, 50} {
		var worst time.Duration
		for seed := range uint64(10) {
			f := newFleet(t, n, 10, 0, seed+1)
			took, _ := f.leave(t, rand.New(rand.NewPCG(seed, uint64(n))))
			worst = max(worst, took)
		}
		t.Logf("%d VMs: worst of 10: %v", n, worst)
	}
}

// Packets are lost between 200 VMs. A lost view costs a probe, and no more: the
// load on a server must stay far from that of every VM probing it.
func TestLostPacketsCostFewProbes(t *testing.T) {
	f := newFleet(t, 200, 20, 0.02, 1)
	rates := f.rate(10 * time.Second)
	t.Logf("%.2f probes a second at most for a server", most(rates))
	assert.Assert(t, most(rates) <= 12, "%v", rates)
}
