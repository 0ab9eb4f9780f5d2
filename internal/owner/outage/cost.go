package outage

import (
	"fmt"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/fake/world"
)

// CostRow is what the lessors of one service cost in an idle fleet, per second
// unless noted.
type CostRow struct {
	VMs, Servers  int
	StoreReads    float64 // of the whole fleet
	StoreWrites   float64 // of the whole fleet
	Orders        float64 // to backend servers, by one VM
	Peers         float64 // messages to other VMs, by one VM
	Bytes         float64 // of both, encoded, sent by one VM
	TakeoverCalls int     // store calls during the warm-up, when all authorities are taken; a total
}

// costTerm is the term in a cost run: so short that the measured time includes
// renewals of the term. The store's writes are scaled to the default term.
const (
	costTerm     = 12 * time.Second
	costWarmup   = 8 * time.Second
	costMeasured = 8 * time.Second // two renewals of the term
	defaultTerm  = 30 * time.Minute
)

// Cost measures an idle fleet of n VMs and n backend servers, each with one
// slice. It counts the lessors' own calls; watches, membership and the exchange
// of tables between peers are not included. Each lessor's first read of its
// record counts as one read here, while a VM's runner answers them all from one
// List.
func Cost(seed uint64, n int) CostRow {
	w := world.New(world.Options{
		Seed: seed, VMs: n, Servers: n, Slices: n, Centres: 4, Term: costTerm, SkipIdleTables: true,
		NewWriter: newBatchingWriter,
	})
	w.Run(costWarmup)
	a := w.Count
	w.Run(costWarmup + costMeasured)
	b := w.Count
	sec, vms := costMeasured.Seconds(), float64(n)
	scale := costTerm.Seconds() / defaultTerm.Seconds()
	return CostRow{
		VMs: n, Servers: n, TakeoverCalls: a.Reads + a.Writes,
		StoreReads:  float64(b.Reads-a.Reads) / sec * scale,
		StoreWrites: float64(b.Writes-a.Writes) / sec * scale,
		Orders:      float64(b.Orders-a.Orders+b.Asks-a.Asks) / sec / vms,
		Peers:       float64(b.Peer-a.Peer) / sec / vms,
		Bytes:       float64(b.PeerBytes-a.PeerBytes+b.OrderBytes-a.OrderBytes) / sec / vms,
	}
}

// CostMarkdown renders cost rows as a table.
func CostMarkdown(rows []CostRow) string {
	var b strings.Builder
	b.WriteString("| VMs | servers | store reads/s, fleet | store writes/s, fleet | calls to servers/s, a VM | peer messages/s, a VM | bytes/s, a VM | store calls to take all authorities |\n")
	b.WriteString("|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %d | %d | %.3f | %.3f | %.1f | %.1f | %.0f | %d |\n", r.VMs, r.Servers,
			r.StoreReads, r.StoreWrites, r.Orders, r.Peers, r.Bytes, r.TakeoverCalls)
	}
	return b.String()
}
