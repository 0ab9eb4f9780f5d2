package places

import "time"

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
}

// endShare is the part of the burst that must be left for an excess to end. Without a
// distance, the state would change with each request.
const endShare = 0.5

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

// Add records a request that came to this VM.
func (d *Demand) Add(now time.Time) {
	d.refill(now)
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
