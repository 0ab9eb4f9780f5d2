package detect

import (
	"strconv"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// BenchmarkTick measures a tenth of a second of a model whose members are all
// healthy: the tick, the answers to its probes, a tenth of a list, and as many
// views of 50 other VMs as package gossip delivers meanwhile.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 50, 520, 2288} {
		b.Run("members="+strconv.Itoa(n), func(b *testing.B) {
			m := New[ident.Server](Config{})
			now := t0
			var rows []Listed[ident.Server]
			for i := range n {
				rows = append(rows, Listed[ident.Server]{ID: name(i), Group: "lookup", State: vmlist.Live})
			}
			var views ViewsMsg[ident.Server]
			probers := ProbersMsg{Self: "vm0"}
			for i := range 50 {
				vm := ident.VM("vm" + strconv.Itoa(i))
				probers.VMs = append(probers.VMs, Prober{VM: vm, Centre: ident.Centre(strconv.Itoa(i % 4))})
				views.Views = append(views.Views, ViewMsg[ident.Server]{From: vm})
			}
			m.Update(now, ListMsg[ident.Server]{Rows: rows})
			m.Update(now, probers)
			ticks := 0
			tick := func() {
				now = now.Add(step)
				ticks++
				if ticks%3 == 0 {
					m.Update(now, views)
				}
				if ticks%10 == 0 {
					m.Update(now, ListMsg[ident.Server]{Rows: rows})
				}
				_, cmds := m.Update(now, TickMsg{})
				answerProbes(m, now, cmds)
			}
			for range 60 {
				tick()
			}
			b.ReportAllocs()
			for b.Loop() {
				tick()
			}
		})
	}
}

func answerProbes(m *Model[ident.Server], now time.Time, cmds []loop.Cmd) {
	for _, c := range cmds {
		if p, ok := c.(ProbeCmd[ident.Server]); ok {
			m.Update(now, ProbeMsg[ident.Server]{ID: p.ID, Health: server.Health{Ready: true}})
		}
	}
}
