package outage

import (
	"math/rand/v2"
	"time"
)

// The naive baseline: an entry VM keeps a lease of 10 s for each server in the
// store and renews it there every third of that; the server serves until the
// end of the last lease that it received. The other VMs read the store every
// second and take over a lease 1 % after it expired. The store takes 5 ms for a
// write.
const (
	naiveTTL   = 10 * time.Second
	naiveRenew = naiveTTL / 3
	naivePoll  = time.Second
	naiveWrite = 5 * time.Millisecond
)

// naiveModel draws the unavailable time of one run of the baseline.
type naiveModel func(rng *rand.Rand) time.Duration

func uniform(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// naiveExpiry: the owner is gone, and its lease must expire.
func naiveExpiry(rng *rand.Rand) time.Duration {
	return naiveTTL - uniform(rng, naiveRenew) + naiveTTL/100 + uniform(rng, naivePoll) + 2*naiveWrite
}

// naiveAbsence: the owner is away for less than its lease, and no VM acts.
func naiveAbsence(d time.Duration) naiveModel {
	return func(*rand.Rand) time.Duration { return d }
}

// naiveHolder: the lease expires at the server, and the next VM reads the store
// later.
func naiveHolder(rng *rand.Rand) time.Duration {
	return naiveTTL/100 + uniform(rng, naivePoll) + 2*naiveWrite
}

// naiveLinkCut: renewals fail while the link is cut.
func naiveLinkCut(rng *rand.Rand) time.Duration {
	return max(0, linkCutTime-(naiveTTL-uniform(rng, naiveRenew))) + naiveWrite
}

// naiveStoreOutage: nothing can be renewed until the store is back.
func naiveStoreOutage(d time.Duration) naiveModel {
	return func(rng *rand.Rand) time.Duration {
		return d - (naiveTTL - uniform(rng, naiveRenew)) + uniform(rng, naivePoll) + naiveWrite
	}
}

// naiveHandover: the old owner is notified, the lease released, and the next VM
// reads the store.
func naiveHandover(rng *rand.Rand) time.Duration { return uniform(rng, naivePoll) + 2*naiveWrite }

// naiveOwnerLostInOutage: the owner is lost a second into an outage, and no VM
// can take its lease over until the store is back.
func naiveOwnerLostInOutage(rng *rand.Rand) time.Duration {
	return storeOutage - time.Second + uniform(rng, naivePoll) + 2*naiveWrite
}

// naiveOwnerRestart: the owner is away for a second, and then loses its lease
// with all others.
func naiveOwnerRestart(rng *rand.Rand) time.Duration {
	return time.Second + naiveStoreOutage(storeOutage)(rng)
}
