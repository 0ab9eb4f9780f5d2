package gossip

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// lastViews returns what a VM was last told of the others.
func (x *net) lastViews(vm ident.VM) (v ViewsCmd) {
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

// A VM is heard by all others without a packet between the two; when it is lost,
// all are told within 2 s, or they would go on relying on its probes.
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

// A server drains, and one of its probers finds it odd. All VMs must know within
// a second, though the next pulse that asks may be as far away.
func TestWhatIsOddIsKnownToAllWithinASecond(t *testing.T) {
	for offset := range 10 {
		x := newNet(40)
		x.run(3*time.Second + time.Duration(offset)*TickInterval)
		odd, bad := MemberOf("srv", "a"), MemberOf("srv", "b")
		x.tell("vm7", ViewMsg{Suspect: []Member{odd}, Frozen: []Member{bad}})
		x.run(time.Second)
		for vm := range x.nodes {
			v := x.lastViews(vm)
			if vm != "vm7" {
				assert.DeepEqual(t, v.Suspect, []Member{odd})
			}
			for _, s := range v.Views {
				assert.Equal(t, slices.Contains(s.Frozen, bad), s.From == "vm7")
			}
		}
		x.tell("vm7", ViewMsg{})
		x.run(5 * time.Second)
		for vm := range x.nodes {
			assert.Equal(t, len(x.lastViews(vm).Suspect), 0, "it is told for ever")
		}
	}
}

// A VM is lost, and another says of everybody that they are there, in answers
// and in the pulses that it passes on. It stands between two VMs in one tree
// only, so two watchers say the truth.
func TestOneLiarDoesNotMakeALostVMSeemHeard(t *testing.T) {
	everybody := []byte{byHoles}
	peers := peersOf(40)
	for liar := range 40 {
		x := newNet(40)
		x.run(3 * time.Second)
		lie, lost := peers[liar].VM, peers[(liar+7)%40].VM
		delete(x.nodes, lost)
		for end := x.now.Add(4 * time.Second); x.now.Before(end); {
			x.now = x.now.Add(TickInterval)
			for _, p := range peers {
				if x.nodes[p.VM] != nil {
					x.tell(p.VM, TickMsg{})
				}
			}
			for len(x.wire) > 0 {
				s := &x.wire[0]
				if p := s.Packet; s.from == lie && p.Ack != nil && p.Ack.View != nil {
					a := *p.Ack
					a.View = &View{List: a.View.List, Responders: everybody}
					s.Packet.Ack = &a
				} else if s.from == lie && p.Heartbeat != nil && p.Heartbeat.View != nil {
					c := *p.Heartbeat
					c.View = &View{List: c.View.List, Responders: everybody}
					s.Packet.Heartbeat = &c
				}
				x.deliver(0, false)
			}
		}
		for vm := range x.nodes {
			assert.Assert(t, !slices.Contains(x.lastViews(vm).from(), lost), "%s believes %s of %s", vm, lie, lost)
		}
	}
}

// The list of VMs changes, and some VMs read it a second before others. They
// count by different lists meanwhile; if they did not understand each other,
// every VM would probe every server for that second, 40 times a day.
func TestVMsWithDifferentListsUnderstandEachOther(t *testing.T) {
	x := newNet(20)
	x.run(3 * time.Second)
	longer := append(peersOf(20), Peer{VM: "vm05b", Centre: "dc1"})
	for i := range 10 {
		x.tell(peersOf(20)[i].VM, PeersMsg{Live: longer})
	}
	for range 8 {
		x.run(TickInterval)
		for vm := range x.nodes {
			assert.Equal(t, len(x.lastViews(vm).Views), 19, "%s", vm)
		}
	}
}

// Pulses of a watcher are held back and arrive together. Their words are old and
// must not make a VM seem heard now.
func TestADelayedWordDoesNotCount(t *testing.T) {
	x := newNet(3)
	x.run(4 * time.Second)
	m := x.nodes["vm1"]
	root := watchOrder(peersOf(3))[0]
	if root == "vm1" {
		root = watchOrder(peersOf(3))[1]
	}
	v := m.roots[root].word.pack(0)
	late := Packet{Heartbeat: &Heartbeat{Root: root, Seq: m.roots[root].seq + 1, Sum: m.sum, Back: 1, View: &v}}
	_, cmds := m.Update(x.now.Add(2*time.Second), PacketMsg{From: root, Packet: late})
	for _, c := range cmds {
		_, ok := c.(ViewsCmd)
		assert.Assert(t, !ok)
	}
}
