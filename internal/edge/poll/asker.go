package poll

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

type asker struct {
	addr  string
	power float64
	since time.Time // it has asked all the while
	at    time.Time // it asked last, or has read the answer by then
}

// VMs counts the VMs that asked lately, this one included.
func (b *Hub) VMs(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 1
	for vm, a := range b.asked {
		if now.Sub(a.at) > PeerTimeout {
			delete(b.asked, vm)
			continue
		}
		n++
	}
	return n
}

// HasStronger reports whether some VM has asked for a while and may use more processors
// than so many.
func (b *Hub) HasStronger(now time.Time, power float64, while time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.asked {
		if a.power > power && now.Sub(a.at) <= PeerTimeout && now.Sub(a.since) >= while {
			return true
		}
	}
	return false
}

// note remembers who asks.
func (b *Hub) note(now time.Time, a *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now
	if old, known := b.asked[a.VM]; known && now.Sub(old.at) <= PeerTimeout {
		since = old.since
	}
	b.asked[a.VM] = asker{addr: a.Addr, power: a.CPUs, since: since, at: now}
}

// busy notes that an asker may read its answer until a time. It asks nothing meanwhile
// and counts all the same: with fewer VMs counted, each would take more of the
// connections that a server allows to all of them.
func (b *Hub) busy(until time.Time, vm ident.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.asked[vm]; known {
		a.at = until
		b.asked[vm] = a
	}
}

// others adds how many VMs ask, where some of them are, others each time, and how
// many of them go before the asker.
func (b *Hub) others(now time.Time, a *Request, n *Response) {
	for vm, other := range b.asked {
		if now.Sub(other.at) > PeerTimeout {
			continue
		}
		n.VMCount++
		if vm != a.VM && len(n.VMs) < mostTold {
			n.VMs = append(n.VMs, other.addr)
		}
		if other.power > a.CPUs || other.power == a.CPUs && vm < a.VM {
			n.ClaimRank++
		}
	}
}
