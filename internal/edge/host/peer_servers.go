package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// mergePeerList merges a server list from another VM, either complete or a delta, that was made
// at most the given time ago.
func (t *serverTracker) mergePeerList(l poll.ServerList, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.noteMissing()
	adopted := t.difference.asked && !l.Delta
	if !adopted && (l.Rev < t.rev || l.Rev == t.rev && (l.Delta || !t.mismatch)) {
		return
	}
	list := make([]member.Entry[feed.Server], len(l.List))
	for i, s := range l.List {
		list[i] = member.Entry[feed.Server]{Name: s.Name, Rev: s.Rev, Value: s, Leaving: s.Leaving}
	}
	now := time.Now()
	t.source, t.news = sourcePeer, t.unknownNews()
	t.news.leaving, t.news.leavingAge = l.Leaving, age
	var changed bool
	switch {
	case adopted:
		changed = t.members.AdoptPeer(now, l.Rev, list)
		t.difference = difference{}
	case l.Delta:
		changed = t.members.MergePeerDelta(now, l.Rev, list, l.Gone)
	default:
		changed = t.members.MergePeer(now, l.Rev, list)
	}
	t.noteRejected(list, l.Rev)
	t.advanceLeaving(now)
	if changed {
		t.publish(l.Rev)
	} else {
		t.advanceRev(max(l.Rev, t.rev))
	}
	t.mismatch = l.Delta && l.Rev == t.rev && l.Sum != poll.SumOf(t.list())
}

// noteAges records how new the lists of another VM are that were made at a time of the boot clock,
// once they are applied. A VM that has missed a change among the servers does not know them all.
func (t *serverTracker) noteAges(madeAt time.Time, ages map[poll.Topic]time.Duration) {
	t.mu.Lock()
	mismatch := t.mismatch
	t.mu.Unlock()
	for topic, age := range ages {
		if topic != poll.Servers || !mismatch {
			t.hub.NoteAsOf(topic, madeAt.Add(-age))
		}
	}
}

// fullListInterval is the least time between two requests for the complete server list. A
// VM may differ from the leader for a legitimate reason, for example while it waits for a
// server to be listed again.
const fullListInterval = 5 * time.Second

// knownRev returns the revision of the servers known here. It returns zero, which
// requests the complete list, if the checksum after the last delta did not match.
func (t *serverTracker) knownRev(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lasting := t.difference.lasts(now)
	if (t.mismatch || lasting) && !now.Before(t.nextFullList) {
		t.nextFullList, t.difference.asked = now.Add(fullListInterval), lasting
		t.log.Info("server list differs from the leader's; requesting the complete list", "rev", object.Version(t.rev).Revision(), "lasting", lasting, "count", len(t.list()))
		return 0
	}
	return t.rev
}

// advanceRev records the revision of a newer list that changed nothing. Otherwise this VM
// would keep asking with the older revision and get the newer list at once each time, in
// a loop that costs processor time and traffic between data centres. The caller holds mu.
func (t *serverTracker) advanceRev(rev uint64) {
	t.rev = rev
	t.hub.SetServers(poll.ServerList{Rev: rev, List: t.list(), Since: t.leavingSince})
}
