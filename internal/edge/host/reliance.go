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
	// the other VMs what they know: the age that a slow answer may have, and a poll.
	confirmationDelay = maxAnswerAge + poll.PollTimeout + 100*time.Millisecond
	// minLeaderWait keeps the leader's watch from asking without a pause.
	minLeaderWait = 200 * time.Millisecond
)

// reliance returns how long a VM relies on the leader for news that must take effect within a
// bound.
func reliance(bound time.Duration) time.Duration {
	return time.Duration(relianceShare * float64(bound))
}

// leaderWait returns the longest wait of the leader's watch with which the other VMs hear
// often enough that it still answers.
func leaderWait(bound time.Duration) time.Duration {
	return max(reliance(bound)-confirmationDelay, minLeaderWait)
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
