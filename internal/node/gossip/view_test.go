package gossip

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// lastViews returns the latest ViewsCmd of a VM.
func (x *network) lastViews(vm ident.VM) (v ViewsCmd) {
	for _, c := range x.cmds[vm] {
		if c, ok := c.(ViewsCmd); ok {
			v = c
		}
	}
	return v
}

func (v ViewsCmd) from() []ident.VM {
	var all []ident.VM
	for _, s := range v.Views {
		all = append(all, s.From)
	}
	return all
}

// Each VM must hear of all others without direct packets between them. When a VM
// is lost, all must learn of it within 2 s, or they would go on relying on its
// probes.
func TestEachVMHearsOfAllOthersAndOfALoss(t *testing.T) {
	for _, n := range []int{2, 3, 10, 30} {
		x := newNet(n)
		x.run(3 * time.Second)
		for vm := range x.nodes {
			assert.Equal(t, len(x.lastViews(vm).Views), n-1, "%s of %d", vm, n)
			assert.Equal(t, len(x.lastViews(vm).Missing), 0)
		}
	}
	x := newNet(30)
	x.run(3 * time.Second)
	lost := watchOrder(peersOf(30))[20]
	delete(x.nodes, lost)
	x.run(2 * time.Second)
	for vm := range x.nodes {
		v := x.lastViews(vm)
		assert.Assert(t, !slices.Contains(v.from(), lost), "%s", vm)
		assert.DeepEqual(t, v.Missing, []ident.VM{lost})
	}
}

// A prober finds a server suspect, for example because it drains. All VMs must
// know within a second, though the next heartbeat that asks for answers may be as
// far away.
func TestASuspectIsKnownToAllWithinASecond(t *testing.T) {
	for offset := range 10 {
		x := newNet(40)
		x.run(3*time.Second + time.Duration(offset)*TickInterval)
		suspect, frozen := MemberOf("srv", "a"), MemberOf("srv", "b")
		x.update("vm7", ViewMsg{Suspect: []Member{suspect}, Frozen: []Member{frozen}})
		x.run(time.Second)
		for vm := range x.nodes {
			v := x.lastViews(vm)
			if vm != "vm7" {
				assert.DeepEqual(t, v.Suspect, []Member{suspect})
			}
			for _, s := range v.Views {
				assert.Equal(t, slices.Contains(s.Frozen, frozen), s.From == "vm7")
			}
		}
		x.update("vm7", ViewMsg{})
		x.run(5 * time.Second)
		for vm := range x.nodes {
			assert.Equal(t, len(x.lastViews(vm).Suspect), 0, "it is reported for ever")
		}
	}
}

// A VM is lost, and another reports that all VMs answered, in its answers and in
// the heartbeats that it forwards. It is an inner VM of one tree only, so the
// reports of two watchers stay correct and must prevail.
func TestOneLiarDoesNotMakeALostVMSeemHeard(t *testing.T) {
	everybody := []byte{encodedHoles}
	peers := peersOf(40)
	for liar := range 40 {
		x := newNet(40)
		x.run(3 * time.Second)
		liarVM, lost := peers[liar].VM, peers[(liar+7)%40].VM
		delete(x.nodes, lost)
		for end := x.now.Add(4 * time.Second); x.now.Before(end); {
			x.now = x.now.Add(TickInterval)
			for _, p := range peers {
				if x.nodes[p.VM] != nil {
					x.update(p.VM, TickMsg{})
				}
			}
			for len(x.wire) > 0 {
				s := &x.wire[0]
				if p := s.Packet; s.from == liarVM && p.Ack != nil && p.Ack.View != nil {
					a := *p.Ack
					a.View = &View{List: a.View.List, Responders: everybody}
					s.Packet.Ack = &a
				} else if s.from == liarVM && p.Heartbeat != nil && p.Heartbeat.View != nil {
					c := *p.Heartbeat
					c.View = &View{List: c.View.List, Responders: everybody}
					s.Packet.Heartbeat = &c
				}
				x.deliver(0, false)
			}
		}
		for vm := range x.nodes {
			assert.Assert(t, !slices.Contains(x.lastViews(vm).from(), lost), "%s believes %s of %s", vm, liarVM, lost)
		}
	}
}

// The list of VMs changes, and some VMs read it a second before others, so their
// views refer to different lists. If they did not understand each other, every VM
// would probe every server for that second, 40 times a day.
func TestVMsWithDifferentListsUnderstandEachOther(t *testing.T) {
	x := newNet(20)
	x.run(3 * time.Second)
	longer := append(peersOf(20), Peer{VM: "vm05b", Centre: "dc1"})
	for i := range 10 {
		x.update(peersOf(20)[i].VM, PeersMsg{Live: longer})
	}
	for range 8 {
		x.run(TickInterval)
		for vm := range x.nodes {
			assert.Equal(t, len(x.lastViews(vm).Views), 19, "%s", vm)
		}
	}
}

// Heartbeats of a watcher are held back and arrive together. Their views are
// outdated and must not make a VM count as heard now.
func TestADelayedViewDoesNotCount(t *testing.T) {
	x := newNet(3)
	x.run(4 * time.Second)
	m := x.nodes["vm1"]
	root := watchOrder(peersOf(3))[0]
	if root == "vm1" {
		root = watchOrder(peersOf(3))[1]
	}
	v := m.watchers[root].view.encode(0)
	late := Packet{Heartbeat: &Heartbeat{Root: root, Seq: m.watchers[root].seq + 1, Sum: m.sum, ViewAge: 1, View: &v}}
	_, cmds := m.Update(x.now.Add(2*time.Second), PacketMsg{From: root, Packet: late})
	for _, c := range cmds {
		_, ok := c.(ViewsCmd)
		assert.Assert(t, !ok)
	}
}
