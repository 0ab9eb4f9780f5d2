package gossip

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkSecond measures the decisions of one VM in a second at each fleet size,
// without encoding: ten ticks, three heartbeats with merged views, which are
// answered, and two comparisons.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{10, 50, 200, 520} {
		b.Run("vms="+strconv.Itoa(n), func(b *testing.B) {
			peers := peersOf(n)
			m := New(t0, peers[n/2])
			m.Update(t0, PeersMsg{Live: peers})
			now := t0
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					now = now.Add(TickInterval)
					m.Update(now, TickMsg{})
				}
				for i := range 3 {
					p := &Heartbeat{
						Root: m.order[i], Seq: uint64(now.UnixMilli()), Sum: m.sum, TreeIndex: i, PeerList: m.currentList().sum,
						Ask: true, ViewAge: 1000, View: &View{Responders: []byte{encodedHoles}},
					}
					m.Update(now, PacketMsg{From: m.order[i], Packet: Packet{Heartbeat: p}})
				}
				for i := range comparisonsPerPeriod {
					m.Update(now, PacketMsg{From: m.order[i], Packet: Packet{Comparison: &Comparison{Sum: m.sum, Rows: []LoadRow{{Server: "s1", Age: time.Second}}}}})
				}
			}
		})
	}
}
