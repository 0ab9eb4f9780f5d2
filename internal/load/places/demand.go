package places

import (
	"math"
	"time"
)

// Demand compares the requests that come to this VM with its share of what all servers
// complete. A burst fills the servers in 0.2 s, and the fleet's rates show it after 0.5 s; at
// one VM the requests for all servers together show it earlier. The zero value and nil set no
// bound. It is not safe for concurrent use.
type Demand struct {
	rate  float64 // this VM's share of the completions per second
	burst float64 // its share of the free places
	level float64 // what is left of the burst, as of at; negative while the demand exceeds it
	at    time.Time
	over  bool

	base   float64 // rate of requests to this VM when the fleet stated its rates
	fast   float64 // decaying count of requests, as of fastAt
	fastAt time.Time
}

// endShare is the part of the burst that must be left for an excess to end. Without a
// distance, the state would change with each request.
const endShare = 0.5

// surgeWindow is the time over which requests are counted to notice a burst.
const surgeWindow = 300 * time.Millisecond

// Set sets this VM's share of the completions per second and of the free places of all
// servers.
func (d *Demand) Set(now time.Time, rate, burst float64) {
	d.refill(now)
	if d.rate == 0 {
		d.level = burst
	}
	d.rate, d.burst = rate, burst
	d.level = min(d.level, burst)
}

// SetBase sets the rate of the requests that came to this VM when the fleet's rates held.
func (d *Demand) SetBase(rate float64) { d.base = rate }

// surge returns the factor by which the demand has grown since the fleet's rates held, by the
// requests at this VM.
func (d *Demand) surge(now time.Time) float64 {
	if d == nil || d.base <= 0 {
		return 1
	}
	n := d.fast * math.Exp(-now.Sub(d.fastAt).Seconds()/surgeWindow.Seconds())
	usual := d.base * surgeWindow.Seconds()
	switch {
	case d.Exceeded(now), n-math.Sqrt(n) > usual:
		return max(n/usual, 1)
	case n+math.Sqrt(n) < usual:
		return (n + math.Sqrt(n)/2) / usual
	default:
		return 1
	}
}

// Add records a request that came to this VM.
func (d *Demand) Add(now time.Time) {
	d.refill(now)
	d.fast, d.fastAt = d.fast*math.Exp(-now.Sub(d.fastAt).Seconds()/surgeWindow.Seconds())+1, now
	d.level = max(d.level-1, -d.burst)
	d.over = d.over || d.level < 0
}

// Exceeded reports whether more requests come than this VM's share.
func (d *Demand) Exceeded(now time.Time) bool {
	if d == nil || !d.over || d.rate == 0 {
		return false
	}
	if d.level+d.rate*now.Sub(d.at).Seconds() < endShare*d.burst {
		return true
	}
	d.over = false
	return false
}

func (d *Demand) refill(now time.Time) {
	if d.at.Before(now) {
		d.level = min(d.level+d.rate*now.Sub(d.at).Seconds(), d.burst)
		d.at = now
	}
}
