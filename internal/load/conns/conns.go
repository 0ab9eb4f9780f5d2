// Package conns decides how many connections an entry VM holds open to a
// backend server.
//
// The load pattern: a server accepts 45 or 100 connections from all entry VMs
// together, and opening one takes about 1 ms, a fifth of a lookup. Without a
// share, ten VMs in a burst open as many as they like, and the server refuses
// those that come last, which may be all of one VM's. Without warm connections,
// each request after a quiet moment pays the millisecond.
//
// Each VM may hold its whole part of the total. When a VM joins, the part
// shrinks at once; when one leaves, it grows only after Settle, because the
// others may not have shrunk theirs yet or the leaver may still hold its own.
// Idle connections are kept up to the most that were in use lately.
//
// Grounds: Settle of 5 s is longer than the few seconds within which all VMs
// learn of a change. The memory of the peak halves every 30 s: a truck queue or
// a council sitting comes back within that time, a burst of 2 s does not hold
// connections that other VMs could use.
package conns

import (
	"math"
	"time"
)

// Settings, with their grounds in the package comment.
const (
	Settle   = 5 * time.Second
	HalfLife = 30 * time.Second
	// decayEvery spares the exponent for each request.
	decayEvery = 100 * time.Millisecond
)

// Pool is the policy for one server. The zero value allows one connection.
type Pool struct {
	most   int
	wish   int
	wishAt time.Time
	using  int
	peak   float64
	peakAt time.Time
}

// SetShare sets what the server accepts and by how many VMs it is divided.
func (p *Pool) SetShare(now time.Time, conns, vms int) {
	part := max(conns/max(vms, 1), 1)
	if p.most == 0 || part <= p.most {
		p.most, p.wish = part, part
		return
	}
	if p.wish == part {
		return
	}
	p.wish, p.wishAt = part, now.Add(Settle)
}

// Max is how many connections may be open now.
func (p *Pool) Max(now time.Time) int {
	if p.wish > p.most && !now.Before(p.wishAt) {
		p.most = p.wish
	}
	return max(p.most, 1)
}

// Acquire notes that one more connection is in use, and Free that one is not.
func (p *Pool) Acquire(now time.Time) {
	p.using++
	p.decay(now)
	p.peak = max(p.peak, float64(p.using))
}

// Release notes that a connection is no longer in use.
func (p *Pool) Release(now time.Time) {
	p.using--
	p.decay(now)
}

func (p *Pool) decay(now time.Time) {
	passed := now.Sub(p.peakAt)
	if passed < decayEvery {
		return
	}
	if !p.peakAt.IsZero() {
		p.peak *= math.Exp2(-passed.Seconds() / HalfLife.Seconds())
	}
	p.peakAt = now
}

// MaxIdle is how many idle connections are worth keeping.
func (p *Pool) MaxIdle(now time.Time) int {
	p.decay(now)
	return min(int(math.Ceil(p.peak)), p.Max(now))
}
