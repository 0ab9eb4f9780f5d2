package gossip

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var t0 = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

func peersOf(n int) []Peer {
	out := make([]Peer, n)
	for i := range out {
		out[i] = Peer{VM: ident.VM("vm" + strconv.Itoa(i)), Centre: ident.Centre("dc" + strconv.Itoa(i%4))}
	}
	return out
}

func valueBody(rev int) []byte {
	b := make([]byte, 600)
	for i := range b {
		b[i] = byte(i * 31 / 7)
	}
	for i := range rev {
		b[i*50%600] += byte(i + 1)
	}
	return b
}

func headOf(rev int) Head {
	return Head{Name: "rules", Rev: ident.Revision(rev), Sum: digest.Of(valueBody(rev))}
}

// network carries packets between models; the test decides which and when.
type network struct {
	now   time.Time
	nodes map[ident.VM]*Model
	wire  []sentPacket
	cmds  map[ident.VM][]loop.Cmd
}

type sentPacket struct {
	from ident.VM
	SendCmd
}

func newNet(n int) *network {
	x := &network{now: t0, nodes: map[ident.VM]*Model{}, cmds: map[ident.VM][]loop.Cmd{}}
	peers := peersOf(n)
	for _, p := range peers {
		x.nodes[p.VM] = New(t0, p)
	}
	for _, p := range peers {
		x.update(p.VM, PeersMsg{Live: peers})
	}
	return x
}

func (x *network) update(vm ident.VM, msg loop.Msg) {
	_, cmds := x.nodes[vm].Update(x.now, msg)
	for _, c := range cmds {
		if s, ok := c.(SendCmd); ok {
			x.wire = append(x.wire, sentPacket{from: vm, SendCmd: s})
			continue
		}
		x.cmds[vm] = append(x.cmds[vm], c)
	}
}

// deliver delivers packet i, and keeps it for another delivery if keep is set.
func (x *network) deliver(i int, keep bool) {
	s := x.wire[i]
	if !keep {
		x.wire = append(x.wire[:i:i], x.wire[i+1:]...)
	}
	if x.nodes[s.To] != nil {
		x.update(s.To, PacketMsg{From: s.from, Packet: s.Packet})
	}
}

func (x *network) flush() {
	for len(x.wire) > 0 {
		x.deliver(0, false)
	}
}

// run advances the time in ticks and delivers all packets.
func (x *network) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(TickInterval)
		for i := range len(x.nodes) + 4 {
			if vm := ident.VM("vm" + strconv.Itoa(i)); x.nodes[vm] != nil {
				x.update(vm, TickMsg{})
			}
		}
		x.flush()
	}
}

func (x *network) watchers() (n int) {
	for _, m := range x.nodes {
		if m.Watches() {
			n++
		}
	}
	return n
}

// A watcher is lost while the list of VMs still shows it. Exactly one other VM
// must take over: if all did, they would flood the store just when a fault makes
// its answers slow.
func TestOneVMReplacesALostWatcher(t *testing.T) {
	for n := 5; n <= 24; n++ {
		for lose := 1; lose <= 2; lose++ {
			x := newNet(n)
			x.run(5 * time.Second)
			assert.Equal(t, x.watchers(), Watchers)
			for _, vm := range watchOrder(peersOf(n))[:lose] {
				delete(x.nodes, vm)
			}
			most := 0
			for range 60 {
				x.run(TickInterval)
				most = max(most, x.watchers())
			}
			assert.Equal(t, x.watchers(), Watchers, "%d VMs, %d lost", n, lose)
			assert.Assert(t, most <= Watchers, "%d VMs, %d lost: %d watchers at one moment", n, lose, most)
		}
	}
}

func TestWatchersAreInDifferentCentres(t *testing.T) {
	peers := peersOf(40)
	centre := map[ident.VM]ident.Centre{}
	for _, p := range peers {
		centre[p.VM] = p.Centre
	}
	seen := map[ident.Centre]bool{}
	for _, vm := range watchOrder(peers)[:Watchers] {
		seen[centre[vm]] = true
	}
	assert.Equal(t, len(seen), Watchers)
}

// Every VM must be in each tree once, and have children in at most one of the
// watchers' trees: otherwise one lost VM would cut others off in two trees.
func TestTreesReachAllAndShareNoInnerVM(t *testing.T) {
	for _, n := range []int{1, 2, 5, 10, 50, 200, 520} {
		order := watchOrder(peersOf(n))
		inner := map[ident.VM]int{}
		for turn, root := range order[:min(n, Watchers)] {
			reached := map[ident.VM]int{root: 1}
			for _, vm := range order {
				tr := newTree(order, root, turn, vm)
				for _, c := range tr.children {
					reached[c]++
					assert.Equal(t, newTree(order, root, turn, c).parent, vm)
				}
				if vm != root && len(tr.children) > 0 {
					inner[vm]++
				}
			}
			assert.Equal(t, len(reached), n)
			for vm, times := range reached {
				assert.Equal(t, times, 1, "%s", vm)
			}
		}
		for vm, times := range inner {
			assert.Assert(t, times <= 1, "%s has children in %d trees of %d", vm, times, n)
		}
	}
}

// A VM that does not watch the store moves a key just after an outage, while the
// watchers still wait before their next read. The next owner's VM must learn of it
// at once, since nobody serves the key until then.
func TestAWritersValueDoesNotWaitForTheWatchers(t *testing.T) {
	x := newNet(12)
	x.run(2 * time.Second)
	var writer, next ident.VM
	for _, vm := range x.nodes["vm0"].order {
		if !x.nodes[vm].Watches() {
			next, writer = writer, vm
		}
	}
	x.now = x.now.Add(TickInterval / 2)
	x.update(writer, ValueMsg{Name: "table/lookup", Rev: 7, Raw: valueBody(1)})
	x.update(writer, NotifyMsg{Name: "table/lookup", To: []ident.VM{next}})
	x.flush()
	h, _ := x.nodes[next].Head("table/lookup")
	assert.Equal(t, h.Rev, ident.Revision(7))
	x.run(minHeartbeatGap + 2*TickInterval)
	for vm, m := range x.nodes {
		h, _ := m.Head("table/lookup")
		assert.Equal(t, h.Rev, ident.Revision(7), "%s", vm)
	}
}

// A VM that moves a key is notified of a table revision that another VM wrote,
// before the table arrives. The next owner's VM must get that revision, not an
// announcement of the older one and then nothing.
func TestNotifiedVMGetsTheRequestedRevision(t *testing.T) {
	x := newNet(6)
	x.run(time.Second)
	x.update("vm0", ValueMsg{Name: "table/lookup", Rev: 6, Raw: valueBody(1)})
	x.flush()
	x.update("vm0", NotifyMsg{Name: "table/lookup", Rev: 7, To: []ident.VM{"vm3"}})
	assert.Equal(t, len(x.wire), 0)
	x.update("vm0", ValueMsg{Name: "table/lookup", Rev: 7, Raw: valueBody(2)})
	x.flush()
	h, _ := x.nodes["vm3"].Head("table/lookup")
	assert.Equal(t, h.Rev, ident.Revision(7))
	assert.Equal(t, len(x.nodes["vm0"].pendingNotify), 0)
}

// A VM starts while the store is down. It must get the newest rules from its peers
// as a whole value, verified by the announced digest.
func TestANewVMGetsTheNewestFromPeersDuringAnOutage(t *testing.T) {
	x := newNet(6)
	for i := 1; i <= 3; i++ {
		x.update("vm0", ValueMsg{Name: "rules", Rev: ident.Revision(i), Raw: valueBody(i)})
		x.run(2 * time.Second)
	}
	fresh := Peer{VM: "vm6", Centre: "dc1"}
	x.nodes["vm6"] = New(x.now, fresh)
	x.update("vm6", PeersMsg{Live: append(peersOf(6), fresh)})
	x.flush()
	h, ok := x.nodes["vm6"].Head("rules")
	assert.Assert(t, ok)
	assert.Equal(t, h, headOf(3))
}

// A faulty peer answers with other bytes than it announced. The receiver must keep
// its value, request the whole value, and then ask another VM.
func TestAValueThatDoesNotMatchItsDigestIsRefused(t *testing.T) {
	x := newNet(3)
	x.run(time.Second)
	x.update("vm0", ValueMsg{Name: "rules", Rev: 1, Raw: valueBody(1)})
	x.run(3 * time.Second)
	m := x.nodes["vm1"]
	assert.Equal(t, m.values["rules"].Rev, ident.Revision(1))
	h := headOf(2)
	x.update("vm1", PacketMsg{From: "vm2", Packet: Packet{Heads: &Heads{List: []Head{h}, Part: true}}})
	assert.Equal(t, x.wire[0].Packet.Request.Have, ident.Revision(1))
	x.wire = nil
	x.update("vm1", PacketMsg{From: "vm2", Packet: Packet{Value: &Value{Head: h, Base: 1, Diffs: [][]byte{{1}}}}})
	assert.Equal(t, x.wire[0].Packet.Request.Have, ident.Revision(0))
	x.wire = nil
	x.update("vm1", PacketMsg{From: "vm2", Packet: Packet{Value: &Value{Head: h, Raw: valueBody(9)}}})
	assert.Equal(t, m.values["rules"].Rev, ident.Revision(1))
	x.now = x.now.Add(fetchRetry)
	x.update("vm1", TickMsg{})
	asked := ident.VM("")
	for _, s := range x.wire {
		if s.Packet.Request != nil {
			asked = s.To
		}
	}
	assert.Equal(t, asked, ident.VM("vm0"))
}

// A faulty peer announces a revision that does not exist. The VM must stop asking
// for it after a while, and still take a real revision below it meanwhile.
func TestARevisionThatNobodyHasIsGivenUp(t *testing.T) {
	x := newNet(4)
	x.run(time.Second)
	x.update("vm0", ValueMsg{Name: "rules", Rev: 1, Raw: valueBody(1)})
	x.run(2 * time.Second)
	h := headOf(9)
	x.update("vm1", PacketMsg{From: "vm2", Packet: Packet{Heads: &Heads{List: []Head{h}, Part: true}}})
	x.update("vm0", ValueMsg{Name: "rules", Rev: 2, Raw: valueBody(2)})
	x.run(3 * time.Second)
	got, _ := x.nodes["vm1"].Head("rules")
	assert.Equal(t, got, headOf(2))
	x.run(fetchTimeout)
	assert.Equal(t, len(x.nodes["vm1"].fetches), 0)
	assert.Equal(t, len(x.nodes["vm1"].waiting), 0)
}

// Heartbeats are held back while a link is cut and arrive when it recovers, or a
// paused process sends an old one. They must not make old news of the store look
// fresh, or the receiver would go on answering under rules that have changed.
func TestADelayedHeartbeatIsNotFreshNews(t *testing.T) {
	m := New(t0, peersOf(2)[1])
	m.Update(t0, PeersMsg{Live: peersOf(2)})
	seq := uint64(t0.UnixMilli())
	heartbeat := func(at time.Duration) Packet {
		return Packet{Heartbeat: &Heartbeat{Root: "vm0", Seq: seq + uint64(at/time.Millisecond), Sum: m.sum}}
	}
	m.Update(t0.Add(2*time.Millisecond), PacketMsg{From: "vm0", Packet: heartbeat(0)})
	assert.Equal(t, m.storeAt, t0.Add(2*time.Millisecond))
	m.Update(t0.Add(9*time.Second), PacketMsg{From: "vm0", Packet: heartbeat(2 * time.Second)})
	assert.Assert(t, m.storeAt.Before(t0.Add(2100*time.Millisecond)), "%v", m.storeAt.Sub(t0))
	s := m.contact(t0.Add(9 * time.Second)).(ContactCmd)
	assert.Assert(t, !s.Store)
	m.Update(t0.Add(10*time.Second), PacketMsg{From: "vm0", Packet: heartbeat(9998 * time.Millisecond)})
	assert.Assert(t, m.contact(t0.Add(10*time.Second)).(ContactCmd).Store)
}

// A watcher is paused between the store's answer and its handling. The answer must
// count from the time of the call, also in what the watcher reports to others.
func TestAStoreAnswerCountsFromTheTimeOfTheCall(t *testing.T) {
	m := New(t0, peersOf(1)[0])
	now := t0.Add(10 * time.Second)
	m.Update(now, StoreMsg{Asked: t0})
	assert.Assert(t, !m.contact(now).(ContactCmd).Store)
	assert.Equal(t, m.storeAge(now), 10*time.Second)
	m.Update(now, StoreMsg{Asked: now.Add(-time.Second)})
	s := m.contact(now).(ContactCmd)
	assert.Assert(t, s.Store)
	assert.Assert(t, s.At.Equal(now.Add(-time.Second)))
}

// A VM hears a few VMs, but neither the store nor a majority. The heartbeats of
// its small group count few VMs, and it must report no more than these.
func TestAMinorityReportsFewHeardVMs(t *testing.T) {
	x := newNet(9)
	x.run(2 * time.Second)
	for i := 3; i < 9; i++ {
		delete(x.nodes, ident.VM("vm"+strconv.Itoa(i)))
	}
	x.run(12 * time.Second)
	for vm := range x.nodes {
		x.cmds[vm] = nil
	}
	x.run(2 * time.Second)
	for vm := range x.nodes {
		looked := false
		for _, c := range x.cmds[vm] {
			if s, ok := c.(ContactCmd); ok {
				looked = true
				assert.Assert(t, !s.Store && 2*s.Heard <= s.Live, "%+v", s)
			}
		}
		assert.Assert(t, looked)
	}
}

// After a cut between two VMs, each holds a value that is newer than the other's.
// One comparison must bring both up to date, and the exchange must then end.
func TestAProbeUpdatesBothSides(t *testing.T) {
	x := newNet(2)
	x.flush()
	x.update("vm0", ValueMsg{Name: "rules", Rev: 1, Raw: valueBody(1)})
	x.update("vm1", ValueMsg{Name: "table/a", Rev: 1, Raw: valueBody(2)})
	x.update("vm0", ValueMsg{Name: "table/b", Rev: 1, Raw: valueBody(3)})
	assert.Equal(t, len(x.wire), 0)
	x.update("vm0", PacketMsg{From: "vm1", Packet: Packet{Comparison: &Comparison{Sum: x.nodes["vm1"].sum}}})
	for range 20 {
		if len(x.wire) > 0 {
			x.deliver(0, false)
		}
	}
	assert.Equal(t, len(x.wire), 0)
	assert.Equal(t, x.nodes["vm0"].sum, x.nodes["vm1"].sum)
	assert.Equal(t, len(x.nodes["vm0"].values), 3)
}

func TestLoadRowsKeepTheirAge(t *testing.T) {
	x := newNet(4)
	x.update("vm2", ReportMsg{Rows: []LoadRow{{Server: "s1", Slots: 4, Busy: 3}}})
	x.run(2500 * time.Millisecond)
	r := x.nodes["vm1"].rows["s1"]
	assert.Equal(t, r.Busy, 3)
	assert.Assert(t, r.at.Equal(t0), "%v", r.at.Sub(t0))
	x.update("vm1", PacketMsg{From: "vm3", Packet: Packet{Comparison: &Comparison{Rows: []LoadRow{{Server: "s1", Busy: 9, Age: time.Minute}}}}})
	assert.Equal(t, x.nodes["vm1"].rows["s1"].Busy, 3)
}

// Packets are lost, duplicated and reordered while watchers read new revisions at
// different times. Each VM must only hold real revisions, in rising order, and all
// must hold the newest once packets arrive again.
func TestRevisionsOnlyRiseAndAllVMsAgreeInTheEnd(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "vms")
		x := newNet(n)
		rev := 0
		last := map[ident.VM]ident.Revision{}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			vm := ident.VM("vm" + strconv.Itoa(rapid.IntRange(0, n-1).Draw(t, "vm")))
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what == 0:
				rev++
				x.update(vm, ValueMsg{Name: "rules", Rev: ident.Revision(rev), Raw: valueBody(rev)})
			case what == 1 && rev > 0:
				old := rapid.IntRange(1, rev).Draw(t, "old")
				x.update(vm, ValueMsg{Name: "rules", Rev: ident.Revision(old), Raw: valueBody(old)})
			case what <= 3:
				x.now = x.now.Add(TickInterval)
				x.update(vm, TickMsg{})
			case what == 4 && len(x.wire) > 0:
				i := rapid.IntRange(0, len(x.wire)-1).Draw(t, "lost")
				x.wire = append(x.wire[:i:i], x.wire[i+1:]...)
			case len(x.wire) > 0:
				x.deliver(rapid.IntRange(0, len(x.wire)-1).Draw(t, "packet"), what == 5)
			}
			for vm, m := range x.nodes {
				h, ok := m.Head("rules")
				if !ok {
					continue
				}
				assert.Assert(t, h.Rev >= last[vm])
				assert.Equal(t, h, headOf(int(h.Rev)))
				last[vm] = h.Rev
			}
		}
		x.wire = nil
		x.run(8 * time.Second)
		for vm, m := range x.nodes {
			h, _ := m.Head("rules")
			assert.Equal(t, int(h.Rev), rev, "%s", vm)
		}
	})
}
