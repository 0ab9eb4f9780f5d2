// Package retry decides which failed attempts are retried, and which requests are sent
// twice (hedged).
//
// The load pattern: a server slows down, attempts fail, every layer tries three times, and
// the service gets several times its load when its capacity is lowest. Retries then keep it
// overloaded after the cause has gone. Without any retry, on the other hand, the loss of
// one server causes failures of requests that another server would have answered at once.
//
// A budget per service limits retries to a tenth of the load: each first attempt earns a
// tenth of a retry. A retry by the caller itself spends from the same budget, so that the
// retries of both layers are counted together. Only a request that certainly did not run,
// or is idempotent, is retried. There are no retries under overload, which they would
// deepen, nor when too little time for an answer is left before the deadline.
package retry

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const (
	// RetryShare is the number of retries that each first attempt earns. A tenth is within
	// the spare capacity of a service at its normal load.
	RetryShare = 0.10
	// HedgeShare is the number of hedges that each first attempt earns. Hedges start after
	// the 95th percentile of latency, so that normally no more than one request in twenty
	// is sent twice.
	HedgeShare = 0.05
	// Burst is the most retries, and the most hedges, that can be saved up. 10 lets a
	// service with little traffic retry the few requests that are in flight on a server
	// when it is lost, at most its slots plus one.
	Burst = 10
	// hedgeQuantile is the quantile of latency after which a request is hedged.
	hedgeQuantile = 0.95
	// quantileStep scales the relative change of the estimated quantile for one answer.
	quantileStep = 0.05
)

// Attempt describes a failed attempt.
type Attempt struct {
	Kind       kinds.Kind
	Refused    bool // the server reported that it did not run the request
	Idempotent bool
	Left       time.Duration // time until the deadline
	Needed     time.Duration // time that a typical answer takes
	Overload   bool          // the service is overloaded
}

// Safe reports whether a retry is safe: either the request did not run, or it is
// idempotent.
func (a Attempt) Safe() bool {
	if a.Kind == kinds.Canceled || a.Kind == kinds.None {
		return false
	}
	return a.Refused || a.Kind.Answer().Ran == kinds.RanNo || a.Idempotent
}

// Budget limits the retries and hedges of one service. The zero value starts empty, and New
// returns a full one.
type Budget struct {
	share           float64 // retries earned by each first attempt; zero means RetryShare
	burst           float64 // most retries saved up; zero means Burst
	retries         float64 // retries left
	hedges          float64 // hedges left
	quantileLatency float64 // estimate of the hedgeQuantile of latency, in seconds
}

// New returns a full budget.
func New() Budget { return Budget{retries: Burst, hedges: Burst} }

// SetLimits sets how many retries a first attempt earns and how many are saved up at most.
// In any period the retries then stay within the burst plus the share of the first
// attempts.
func (b *Budget) SetLimits(share, burst float64) {
	if b.burst == 0 {
		b.retries = burst
	}
	b.share, b.burst = share, burst
	b.retries = min(b.retries, burst)
}

// ChargeSafe charges a retry of a request that certainly did not run, and reports whether
// the budget allows it.
func (b *Budget) ChargeSafe() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Remaining returns how many retries are left.
func (b *Budget) Remaining() float64 { return b.retries }

// Earn credits the budget for a first attempt.
func (b *Budget) Earn() {
	b.retries = min(b.retries+cmp.Or(b.share, RetryShare), cmp.Or(b.burst, Burst))
	b.hedges = min(b.hedges+HedgeShare, Burst)
}

// ChargeRepeat charges a retry by the caller itself. It is never refused for lack of
// budget, since the caller has already waited, but it leaves less for the retries of the
// gate.
func (b *Budget) ChargeRepeat() { b.retries = max(b.retries-1, 0) }

// Allow reports whether a failed attempt may be retried, and charges the retry if so.
func (b *Budget) Allow(a Attempt) bool {
	if !a.Safe() || a.Overload || a.Left <= a.Needed || b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Refund returns a retry that was allowed and not made.
func (b *Budget) Refund() { b.retries = min(b.retries+1, cmp.Or(b.burst, Burst)) }

// AllowHedge reports whether a request may be hedged, and charges the hedge if so. The time
// left is that until the deadline.
func (b *Budget) AllowHedge(idempotent, overload bool, left time.Duration) bool {
	if !idempotent || overload || left <= 0 || b.hedges < 1 {
		return false
	}
	b.hedges--
	return true
}

// Observe adds the latency of an answer to the estimate behind HedgeAfter.
func (b *Budget) Observe(latency time.Duration) {
	s := latency.Seconds()
	if b.quantileLatency == 0 {
		b.quantileLatency = s
		return
	}
	if s > b.quantileLatency {
		b.quantileLatency += b.quantileLatency * quantileStep * hedgeQuantile
		return
	}
	b.quantileLatency -= b.quantileLatency * quantileStep * (1 - hedgeQuantile)
}

// HedgeAfter returns the estimated 95th percentile of recent latencies; zero before the
// first.
func (b *Budget) HedgeAfter() time.Duration {
	return time.Duration(b.quantileLatency * float64(time.Second))
}
