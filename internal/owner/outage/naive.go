package outage

import (
	"math/rand/v2"
	"time"
)

// The naive way: an entry VM keeps a lease of 10 s for each server in the store
// and renews it there every third of that; the server serves until the lease
// that it was last told of. The other VMs look at the store every second and
// take over a lease 1 % after it ran out. The store takes 5 ms for a write.
const (
	naiveTTL   = 10 * time.Second
	naiveRenew = naiveTTL / 3
	naivePoll  = time.Second
	naiveWrite = 5 * time.Millisecond
)

// naive draws the unavailable time of one run.
type naive func(rng *rand.Rand) time.Duration

func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

// naiveExpiry: the owner is gone, and its lease must run out.
func naiveExpiry(rng *rand.Rand) time.Duration {
	return naiveTTL - upTo(rng, naiveRenew) + naiveTTL/100 + upTo(rng, naivePoll) + 2*naiveWrite
}

// naiveFor: the owner is away for less than its lease, and nobody acts.
func naiveFor(d time.Duration) naive {
	return func(*rand.Rand) time.Duration { return d }
}

// naiveHolder: the lease runs out at the server, and the next VM looks later.
func naiveHolder(rng *rand.Rand) time.Duration {
	return naiveTTL/100 + upTo(rng, naivePoll) + 2*naiveWrite
}

// naiveCut: renewals fail while the link is cut.
func naiveCut(rng *rand.Rand) time.Duration {
	return max(0, cut-(naiveTTL-upTo(rng, naiveRenew))) + naiveWrite
}

// naiveOutage: nothing can be renewed until the store is back.
func naiveOutage(d time.Duration) naive {
	return func(rng *rand.Rand) time.Duration {
		return d - (naiveTTL - upTo(rng, naiveRenew)) + upTo(rng, naivePoll) + naiveWrite
	}
}

// naiveHandover: the old owner is told, the lease released, and the next VM
// looks.
func naiveHandover(rng *rand.Rand) time.Duration { return upTo(rng, naivePoll) + 2*naiveWrite }

// naiveLost: the owner is lost a second into an outage, and nobody can take its
// lease over until the store is back.
func naiveLost(rng *rand.Rand) time.Duration {
	return outage - time.Second + upTo(rng, naivePoll) + 2*naiveWrite
}

// naiveBack: the owner is away for a second, and then loses its lease with all
// others.
func naiveBack(rng *rand.Rand) time.Duration { return time.Second + naiveOutage(outage)(rng) }
