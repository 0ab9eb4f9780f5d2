package roster

import (
	"strconv"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// BenchmarkTick judges all members once, as happens ten times a second on every
// entry VM, with the views of as many other VMs.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 50, 200, 520} {
		b.Run("members="+strconv.Itoa(n), func(b *testing.B) {
			m := New[ident.Server](Config{})
			now := t0
			var rows []Listed[ident.Server]
			for i := range n {
				rows = append(rows, Listed[ident.Server]{ID: name(i), Group: "lookup", State: vmlist.Live})
			}
			m.Update(now, ListMsg[ident.Server]{Rows: rows})
			for i := range n {
				m.Update(now, ViewMsg[ident.Server]{From: ident.VM("vm" + strconv.Itoa(i)), Bad: []ident.Server{name(i)}})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				m.Update(now, TickMsg{})
			}
		})
	}
}
