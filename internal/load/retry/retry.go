// Package retry decides which failed attempts are made again, and which
// requests are sent twice (hedged).
//
// The load pattern: a server slows down, attempts fail, every layer tries three
// times, and the service now has several times its load at the moment it can do
// least. Retries then keep it down after the cause has gone. Without any
// retry, on the other hand, one lost server turns into failures that another
// server would have answered at once.
//
// A budget per service lets retries add at most a tenth to the load: each first
// attempt earns a tenth of a retry, and a repeat by the caller itself spends
// from the same budget, so that layers are counted once. Only what certainly
// did not run, or is idempotent, is tried again; never into overload, which a
// retry can only deepen; never when the deadline leaves no time for an answer.
//
// Grounds: a tenth is within the capacity that a service at its normal load
// has to spare. Burst of 10 lets a quiet service retry the few requests that
// are in flight on a server when it is lost (at most its slots plus one).
// Hedges earn a twentieth and start after the 95th percentile, so that in
// normal times no more than one request in twenty is sent twice.
package retry

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Settings, with their grounds in the package comment.
const (
	Share      = 0.10
	HedgeShare = 0.05
	Burst      = 10
	quantile   = 0.95
	step       = 0.05
)

// Attempt is what the decision needs to know of a failed attempt.
type Attempt struct {
	Kind       kinds.Kind
	Refused    bool // the server said that it ran nothing
	Idempotent bool
	Left       time.Duration // until the deadline
	Needed     time.Duration // a typical answer
	Overload   bool
}

// Safe reports whether repeating could never run the request twice in a way
// that matters.
func (t Attempt) Safe() bool {
	if t.Kind == kinds.Canceled || t.Kind == kinds.None {
		return false
	}
	return t.Refused || t.Kind.Answer().Ran == kinds.RanNo || t.Idempotent
}

// Budget bounds the retries and hedges of one service. The zero value starts
// empty; New starts full.
type Budget struct {
	share   float64 // earned by each first attempt; zero is Share
	burst   float64 // most that is saved up; zero is Burst
	retries float64
	hedges  float64
	latency float64 // estimate of the quantile, seconds
}

// New returns a full budget.
func New() Budget { return Budget{retries: Burst, hedges: Burst} }

// SetLimits sets what a first attempt earns and how much is saved up at most. Within
// any span of time the attempts beyond the first then stay below the burst and the
// share of the requests in it.
func (b *Budget) SetLimits(share, burst float64) {
	if b.burst == 0 {
		b.retries = burst
	}
	b.share, b.burst = share, burst
	b.retries = min(b.retries, burst)
}

// ChargeSafe charges one more attempt of a request that certainly did not run, and
// reports whether there was anything left to charge.
func (b *Budget) ChargeSafe() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Remaining is how many retries the budget has.
func (b *Budget) Remaining() float64 { return b.retries }

// Earn earns for a first attempt.
func (b *Budget) Earn() {
	b.retries = min(b.retries+cmp.Or(b.share, Share), cmp.Or(b.burst, Burst))
	b.hedges = min(b.hedges+HedgeShare, Burst)
}

// ChargeRepeat charges a repeat by the caller itself. It is never refused for that:
// the caller has already waited. But the gate's own retries stop.
func (b *Budget) ChargeRepeat() { b.retries = max(b.retries-1, 0) }

// Allow decides on a retry and charges it.
func (b *Budget) Allow(t Attempt) bool {
	if !t.Safe() || t.Overload || t.Left <= t.Needed || b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// AllowHedge decides on a hedge and charges it. Left is until the deadline.
func (b *Budget) AllowHedge(idempotent, overload bool, left time.Duration) bool {
	if !idempotent || overload || left <= 0 || b.hedges < 1 {
		return false
	}
	b.hedges--
	return true
}

// Observe takes in the latency of an answer, for the hedging delay.
func (b *Budget) Observe(latency time.Duration) {
	s := latency.Seconds()
	if b.latency == 0 {
		b.latency = s
		return
	}
	if s > b.latency {
		b.latency += b.latency * step * quantile
		return
	}
	b.latency -= b.latency * step * (1 - quantile)
}

// HedgeAfter is the 95th percentile of the latencies seen lately; zero before
// any was seen.
func (b *Budget) HedgeAfter() time.Duration {
	return time.Duration(b.latency * float64(time.Second))
}
