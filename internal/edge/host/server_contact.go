package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/vouch"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// storeDown records that a call for servers failed.
func (t *serverTracker) storeDown() {
	t.failing.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.StoreDown()
}

// storeUp records that the store answered a call for servers.
func (t *serverTracker) storeUp() {
	t.failing.Store(false)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.StoreUp(now)
	t.noteStoreSeen(now, t.hub.StoreUpFor(now))
}

// vouches reports whether requests may be sent by this VM's list.
func (t *serverTracker) vouches() bool {
	l := vouch.List{Age: t.hub.Age(poll.Servers), Bound: t.drain, Lateness: t.pulse.Lateness()}
	if l.IsNew() {
		return true
	}
	since, answered := t.hub.SinceStoreAnswer(time.Now())
	l.Failed, l.Answered, l.Behind = t.failing.Load(), answered, l.Age-since
	return l.MaySend()
}

// noteStoreSeenByLeader records for how long the store has answered the leader without
// interruption.
func (t *serverTracker) noteStoreSeenByLeader(upFor time.Duration) {
	if upFor <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.vouchedAt = now
	t.noteStoreSeen(now, upFor)
}

// noteStoreSeenByPeer records for how long the store has answered another VM.
func (t *serverTracker) noteStoreSeenByPeer(upFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteStoreSeen(time.Now(), upFor)
}

// keepsMissing reports whether this VM keeps servers that the store no longer lists.
func (t *serverTracker) keepsMissing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.missingSince.IsZero()
}

// noteStoreSeen records for how long the store has answered some VM, or other calls of this one,
// without interruption. The caller holds mu.
func (t *serverTracker) noteStoreSeen(now time.Time, upFor time.Duration) {
	if upFor > 0 && t.members.StoreSeen(now, now.Add(-upFor)) {
		t.log.Info("store answered while this VM's calls for servers failed", "rev", object.Version(t.rev).Revision(), "steady", upFor)
		t.publishDue()
	}
}
