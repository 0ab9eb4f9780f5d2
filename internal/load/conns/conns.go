// Package conns decides how many connections an entry VM holds open to a backend server.
//
// The load pattern: a server accepts 45 or 100 connections from all entry VMs together, and
// opening one takes about 1 ms, a fifth of a lookup. Without a share per VM, ten VMs in a
// burst open as many as they like, and the server refuses those that come last, which may
// be all those of one VM. Without idle connections, each request after a quiet moment waits
// for the millisecond.
//
// Each VM may hold its whole share of the total. When a VM joins, the share shrinks at
// once. When one leaves, the share grows only after [GrowDelay], because other VMs may not
// have shrunk theirs yet, or the VM that leaves may still hold its own. Idle connections
// are kept up to the number recently in use at once.
package conns

import (
	"math"
	"time"
)

// Settings of the shares.
const (
	// GrowDelay is how long a larger share is delayed. 5 s is longer than the few seconds
	// within which all VMs learn of a change.
	GrowDelay = 5 * time.Second
	// PeakHalfLife is the time in which the remembered peak of use halves. Within 30 s a
	// truck queue or a council sitting sends requests again, while a burst of 2 s does not
	// hold connections that other VMs could use.
	PeakHalfLife = 30 * time.Second
	// decayInterval is the shortest time between two decays of the peak, which saves an
	// exponential function for each request.
	decayInterval = 100 * time.Millisecond
)

// Pool is the connection policy for one server. The zero value allows one connection.
type Pool struct {
	limit        int // this VM's share of the connections
	pendingLimit int // share that applies from pendingAt on, if larger than limit
	pendingAt    time.Time
	inUse        int       // connections in use now
	peak         float64   // recent maximum of inUse, decaying
	decayedAt    time.Time // when peak last decayed
}

// SetShare sets how many connections the server accepts and among how many VMs they are
// divided.
func (p *Pool) SetShare(now time.Time, conns, vms int) {
	share := max(conns/max(vms, 1), 1)
	if p.limit == 0 || share <= p.limit {
		p.limit, p.pendingLimit = share, share
		return
	}
	if p.pendingLimit == share {
		return
	}
	p.pendingLimit, p.pendingAt = share, now.Add(GrowDelay)
}

// Max returns how many connections may be open now.
func (p *Pool) Max(now time.Time) int {
	if p.pendingLimit > p.limit && !now.Before(p.pendingAt) {
		p.limit = p.pendingLimit
	}
	return max(p.limit, 1)
}

// Acquire records that one more connection is in use.
func (p *Pool) Acquire(now time.Time) {
	p.inUse++
	p.decay(now)
	p.peak = max(p.peak, float64(p.inUse))
}

// Release records that a connection is no longer in use.
func (p *Pool) Release(now time.Time) {
	p.inUse--
	p.decay(now)
}

func (p *Pool) decay(now time.Time) {
	elapsed := now.Sub(p.decayedAt)
	if elapsed < decayInterval {
		return
	}
	if !p.decayedAt.IsZero() {
		p.peak *= math.Exp2(-elapsed.Seconds() / PeakHalfLife.Seconds())
	}
	p.decayedAt = now
}

// MaxIdle returns how many idle connections are worth keeping.
func (p *Pool) MaxIdle(now time.Time) int {
	p.decay(now)
	return min(int(math.Ceil(p.peak)), p.Max(now))
}
