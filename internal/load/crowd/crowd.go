// Package crowd collects what all entry VMs hear of the load of backend servers.
//
// The load: seventy VMs share a hundred servers, so a VM and a server meet every few
// seconds, and the load that a server reports with an answer is as old when the VM next
// chooses. A server that is crowded, because of a hot key or because it is slow for the
// moment, goes on getting requests from all the VMs that have not heard of it, and its queue
// grows until its answers are late for everyone. All VMs together hear of each server several
// times a second. Each tells the leader what it heard, and the leader tells all which servers
// are crowded.
package crowd

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// MaxAge is how long a report counts. A server that answers nobody for that long is not
// known to be crowded.
const MaxAge = 700 * time.Millisecond

// smoothing is the weight of a new report: single reports differ by several requests.
const smoothing = 0.5

// Board holds the latest loads of the servers, on the leader. The zero value is empty.
type Board struct {
	loads   map[ident.Server]report
	sweepAt time.Time
}

type report struct {
	load float64
	at   time.Time
}

// Note records how many requests a server reported to run and to queue.
func (b *Board) Note(now time.Time, s ident.Server, load int) {
	if b.loads == nil {
		b.loads = map[ident.Server]report{}
	}
	r, known := b.loads[s]
	if !known || now.Sub(r.at) > MaxAge {
		r.load = float64(load)
	}
	r.load += (float64(load) - r.load) * smoothing
	r.at = now
	b.loads[s] = r
}

// Crowded returns the loads of the servers that recently had more requests than slots.
func (b *Board) Crowded(now time.Time, slots map[ident.Server]int) map[ident.Server]int {
	b.sweep(now)
	var crowded map[ident.Server]int
	for s, r := range b.loads {
		if now.Sub(r.at) > MaxAge || r.load <= float64(max(slots[s], 1)) {
			continue
		}
		if crowded == nil {
			crowded = map[ident.Server]int{}
		}
		crowded[s] = int(r.load)
	}
	return crowded
}

// sweep drops servers that nobody has reported lately.
func (b *Board) sweep(now time.Time) {
	if now.Before(b.sweepAt) {
		return
	}
	b.sweepAt = now.Add(MaxAge)
	for s, r := range b.loads {
		if now.Sub(r.at) > MaxAge {
			delete(b.loads, s)
		}
	}
}
