package host

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/member"
)

// difference is a difference between the servers that this VM knows and those of the leader. The
// zero value is none.
type difference struct {
	own, leader uint32 // digests of the servers
	since       time.Time
	asked       bool // the leader's complete list has been asked for because of it
}

// lastingDifference is how long both VMs must know the same different servers before this one
// takes over the leader's: for RelistTime after an outage each VM keeps other servers back.
const lastingDifference = member.RelistTime + poll.PollTimeout

// lasts reports whether the difference is not about news that are still on their way.
func (d difference) lasts(now time.Time) bool {
	return !d.since.IsZero() && now.Sub(d.since) >= lastingDifference
}

// compareWithLeader compares the servers known here with those of the leader, which is in touch
// with the store if its own are not older than requests may be sent by. Deltas tell what changes;
// this finds what neither of them will change any more.
func (t *serverTracker) compareWithLeader(now time.Time, leader uint32, age time.Duration) {
	own := cmp.Or(t.hub.ServersDigest(), poll.DigestOf(nil))
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader == own {
		t.rejected = nil
	}
	switch {
	case leader == 0 || leader == own || age == 0 || age > t.drain || t.members.HasMissing():
		t.difference = difference{}
	case t.difference.own != own || t.difference.leader != leader:
		t.difference = difference{own: own, leader: leader, since: now}
	}
}

// leaderLost ends the comparison with a leader that does not answer, or no longer leads.
func (t *serverTracker) leaderLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.difference = difference{}
}

// lacksAll reports whether this VM knows no server, and the leader does.
func (t *serverTracker) lacksAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.difference.since.IsZero() && t.difference.own == poll.DigestOf(nil)
}
