package gossip

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// manyHeads returns the heads of the rules and of n servers, as the loss of a data
// centre produces them.
func manyHeads(n int) []Head {
	list := []Head{headOf(2)}
	for i := range n {
		list = append(list, Head{Name: "stand/lookup/i-" + strconv.Itoa(i), Rev: 1, Sum: headOf(1).Sum})
	}
	return list
}

// A packet lists the rules together with an invalid head. When such a packet was
// refused whole, the VM never learned of the new rules.
func TestAnInvalidHeadDoesNotHideTheOthers(t *testing.T) {
	bad := Head{Name: strings.Repeat("s", maxName+1), Rev: 1}
	for _, list := range [][]Head{{bad, headOf(2), {}}, manyHeads(maxHeads + 44)} {
		for _, p := range []Packet{{Heads: &Heads{List: list}}, {Heartbeat: &Heartbeat{Root: "vm0", Seq: 1, Heads: list}}} {
			raw, err := p.Encode()
			assert.NilError(t, err)
			got, err := DecodePacket(raw)
			assert.NilError(t, err)
			heads := append(headsOf(got), Head{})
			assert.DeepEqual(t, heads[0], headOf(2))
			assert.Assert(t, len(heads)-1 <= maxHeads)
		}
	}
}

func headsOf(p Packet) []Head {
	if p.Heartbeat != nil {
		return p.Heartbeat.Heads
	}
	return p.Heads.List
}

// A VM holds more values than one packet may list. When it sent them all in one
// packet, every other VM refused it, and those that had missed the rules never
// learned of them from this VM.
func TestManyHeadsAreSplitOverPackets(t *testing.T) {
	list := manyHeads(3 * maxHeads)
	a := New(t0, peersOf(3)[0])
	a.Update(t0, PeersMsg{Live: peersOf(3)})
	a.Update(t0, ValueMsg{Name: "rules", Rev: 2, Raw: valueBody(2)})
	for _, h := range list[1:] {
		a.Update(t0, ValueMsg{Name: h.Name, Rev: h.Rev, Raw: valueBody(1)})
	}
	_, cmds := a.Update(t0, PacketMsg{From: "vm1", Packet: Packet{Comparison: &Comparison{}}})
	announced := map[string]bool{}
	for _, c := range cmds {
		send, ok := c.(SendCmd)
		if !ok {
			continue
		}
		raw, err := send.Packet.Encode()
		assert.NilError(t, err)
		p, err := DecodePacket(raw)
		assert.NilError(t, err)
		for _, h := range headsOf(p) {
			announced[h.Name] = true
		}
	}
	for _, h := range list {
		assert.Assert(t, announced[h.Name], h.Name)
	}
	assert.Assert(t, len(a.recentHeads(t0)) <= maxHeads)
	assert.Equal(t, a.recentHeads(t0)[0].Name, "rules")
}

// FuzzPacket feeds arbitrary packets into a VM: each must be refused or do no
// harm, and never replace the rules by bytes that do not match their digest.
func FuzzPacket(f *testing.F) {
	h := headOf(2)
	for _, p := range []Packet{
		{Heartbeat: &Heartbeat{Root: "vm0", Seq: 1 << 41, Sum: h.Sum, Age: time.Second, Heard: 3, Heads: []Head{h}}},
		{Heartbeat: &Heartbeat{Root: "vm0", Seq: 1 << 41, ViewAge: 1000, View: &View{List: 7, Responders: []byte{2, 1}, Suspects: []Member{9}}}},
		{Ack: &Ack{Root: "vm0", Seq: 1, N: 4, View: &View{Responders: []byte{1, 0}, Claims: []Claim{{Of: 9, By: []ident.VM{"vm1"}}}}}},
		{News: &News{Root: "vm0", View: View{Suspects: []Member{9}}}},
		{Comparison: &Comparison{Sum: h.Sum, Rows: []LoadRow{{Server: "s", Slots: 4, Busy: 2, Age: 1}}}},
		{Heads: &Heads{List: []Head{h}}},
		{Request: &Request{Name: "rules", Have: 1, Sum: headOf(1).Sum}},
		{Value: &Value{Head: h, Base: 1, Diffs: [][]byte{{3, 0}}}},
		{Value: &Value{Head: h, Raw: valueBody(2)}},
	} {
		raw, err := p.Encode()
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := DecodePacket(raw)
		if err != nil {
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			return
		}
		m := New(t0, peersOf(3)[1])
		m.Update(t0, PeersMsg{Live: peersOf(3)})
		m.Update(t0, ValueMsg{Name: "rules", Rev: 1, Raw: valueBody(1)})
		m.Update(t0.Add(time.Second), PacketMsg{From: "vm0", Packet: p})
		m.Update(t0.Add(2*time.Second), TickMsg{})
		for name, v := range m.values {
			assert.Assert(t, digest.Of(v.raw) == v.Sum, name)
		}
	})
}
