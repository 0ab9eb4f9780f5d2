package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/poll"
)

const (
	// relianceShare is the fraction of a bound for which a VM relies on the leader after the
	// last time at which the leader is known to have heard all. Then it asks the store itself;
	// the rest covers that call, and the way of the last requests.
	relianceShare = 0.5
	// confirmationDelay is how long an answer of the store to the leader takes to confirm to
	// the other VMs what they know.
	confirmationDelay = poll.PollTimeout + 100*time.Millisecond
	// minFreshWait keeps a watch from asking without a pause.
	minFreshWait = 200 * time.Millisecond
)

// reliance returns how long a VM relies on the leader for news that must take effect within a
// bound.
func reliance(bound time.Duration) time.Duration {
	return time.Duration(relianceShare * float64(bound))
}

// freshWait returns the longest wait of a watch whose answers are relied on for a time. What is
// known is as old as the watch before the one that still waits.
func freshWait(reliance time.Duration) time.Duration {
	return max((reliance-confirmationDelay)/2, minFreshWait)
}

// isBehind reports whether this VM has not heard all servers and evacuations of the store for
// longer than others rely on it.
func (t *serverTracker) isBehind() bool {
	return t.hub.Age(poll.Servers) > reliance(t.drain) || t.hub.Age(poll.Evacuations) > reliance(t.evacuation)
}

// reliesOnLeader returns the function that says how long, from a time of the boot clock, this
// VM may rely on the leader for a topic.
func reliesOnLeader(hub *poll.Hub, t poll.Topic, bound time.Duration) func(now time.Time) time.Duration {
	return func(now time.Time) time.Duration {
		at := hub.AsOf(t)
		if at.IsZero() {
			return 0
		}
		return at.Add(reliance(bound)).Sub(now)
	}
}
