package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// FuzzPacket feeds what a peer may send into a VM: it must be refused or do no
// harm, and never replace the rules by something that fits no digest.
func FuzzPacket(f *testing.F) {
	h := headOf(2)
	for _, p := range []Packet{
		{Pulse: &Pulse{Root: "vm0", Seq: 1 << 41, Sum: h.Sum, Age: time.Second, Heard: 3, Heads: []Head{h}}},
		{Pulse: &Pulse{Root: "vm0", Seq: 1 << 41, Back: 1000, View: &View{List: 7, Here: []byte{2, 1}, Odd: []Member{9}}}},
		{Ack: &Ack{Root: "vm0", Seq: 1, N: 4, View: &View{Here: []byte{1, 0}, Bad: []Claim{{Of: 9, By: []ident.VM{"vm1"}}}}}},
		{News: &News{Root: "vm0", View: View{Odd: []Member{9}}}},
		{Probe: &Probe{Sum: h.Sum, Rows: []Row{{Server: "s", Slots: 4, Busy: 2, Age: 1}}}},
		{Heads: &Heads{List: []Head{h}}},
		{Want: &Want{Name: "rules", Have: 1, Sum: headOf(1).Sum}},
		{Give: &Give{Head: h, Base: 1, Diffs: [][]byte{{3, 0}}}},
		{Give: &Give{Head: h, Raw: body(2)}},
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
		m.Update(t0, ValueMsg{Name: "rules", Rev: 1, Raw: body(1)})
		m.Update(t0.Add(time.Second), PacketMsg{From: "vm0", Packet: p})
		m.Update(t0.Add(2*time.Second), TickMsg{})
		for name, v := range m.values {
			assert.Assert(t, digest.Of(v.raw) == v.Sum, name)
		}
	})
}
