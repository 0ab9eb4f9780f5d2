package quota

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// PermitTime is how long a permit lasts from when it was asked for.
	PermitTime = 500 * time.Millisecond
	// burst is how many permits a bucket holds at most.
	burst = 3
	// minRate is the rate, in requests a second, at which a server with a lower limit is
	// asked whether its limit has ended: it can say so only with an answer.
	minRate = 0.2
	// bucketMemory is how long the bucket of a server that nobody asks for is kept.
	bucketMemory = time.Minute
)

// Dispenser grants permits on the leader. The zero value has granted none, as at the start
// of a whole system.
type Dispenser struct {
	buckets map[ident.Process]*bucket
	openAt  time.Time // until then permits of an earlier leader may last
}

// bucket is the token bucket of one server.
type bucket struct {
	tokens float64
	at     time.Time // as of which tokens is
}

// BeginTerm starts this VM's term as leader. The argument oldEnd is when the term before it
// ended.
func (d *Dispenser) BeginTerm(oldEnd time.Time) { *d = Dispenser{openAt: oldEnd.Add(PermitTime)} }

// Take takes up to n permits for a server with a limit, and returns how many it got and
// after what time there will be the next one.
func (d *Dispenser) Take(now time.Time, p ident.Process, rate float64, n int) (granted int, next time.Duration) {
	rate = max(rate, minRate)
	b := d.bucket(now, p)
	if now.Before(d.openAt) {
		return 0, d.openAt.Sub(now) + seconds(1/rate)
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, burst)
	b.at = now
	granted = min(n, int(b.tokens))
	b.tokens -= float64(granted)
	return granted, seconds((1 - min(b.tokens, 1)) / rate)
}

// bucket returns the bucket of a server. A new one is empty: requests that were sent before
// the limit was known may still be on their way.
func (d *Dispenser) bucket(now time.Time, p ident.Process) *bucket {
	b := d.buckets[p]
	if b != nil {
		return b
	}
	if d.buckets == nil {
		d.buckets = map[ident.Process]*bucket{}
	}
	maps.DeleteFunc(d.buckets, func(_ ident.Process, b *bucket) bool { return now.Sub(b.at) >= bucketMemory })
	b = &bucket{at: later(now, d.openAt)}
	d.buckets[p] = b
	return b
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
