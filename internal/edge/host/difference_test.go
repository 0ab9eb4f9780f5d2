package host

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against a VM that keeps other servers than the leader for good, since both are at the same revision or it is ahead.
func TestADifferenceToTheLeaderThatLastsIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := feed.Server{Name: "s1", Service: "lookup", Rev: 3}, feed.Server{Name: "s2", Service: "lookup", Rev: 4}
		both := []feed.Server{first, second}
		for _, rev := range []uint64{5, 9} {
			tr := newTestTracker()
			tr.drain = 2 * time.Second
			tr.mergePeerList(poll.ServerList{Rev: rev, List: both[:1]}, 0)
			tr.compareWithLeader(time.Now(), poll.DigestOf(both), time.Second)
			time.Sleep(lastingDifference - time.Millisecond)
			tr.compareWithLeader(time.Now(), poll.DigestOf(both), time.Second)
			assert.Equal(t, tr.knownRev(time.Now()), rev, "news may be on their way")
			time.Sleep(time.Millisecond)
			assert.Equal(t, tr.knownRev(time.Now()), uint64(0))
			tr.mergePeerList(poll.ServerList{Rev: 5, List: both}, 0)
			assert.Assert(t, slices.Equal(tr.list(), both))
			tr.compareWithLeader(time.Now(), poll.DigestOf(both), time.Second)
			time.Sleep(2 * fullListInterval)
			assert.Equal(t, tr.knownRev(time.Now()), rev)
		}
	})
}

// Guards against dropping servers that a leader lacks which does not hear the store.
func TestNothingIsTakenOverFromALeaderWhoseListIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestTracker()
		tr.drain = 2 * time.Second
		tr.mergePeerList(poll.ServerList{Rev: 5, List: []feed.Server{{Name: "s1", Service: "lookup", Rev: 3}}}, 0)
		for range 10 {
			tr.compareWithLeader(time.Now(), poll.DigestOf(nil), 3*time.Second)
			time.Sleep(time.Second)
		}
		assert.Equal(t, tr.knownRev(time.Now()), uint64(5))
	})
}

// Guards against a dead server that the other VMs keep, since the leader dropped it with time alone.
func TestAServerThatIsDroppedWithTimeAloneIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newOrderTracker()
		tr.hub.SetLease(elect.Lease{Holder: "vm-1", Incarnation: "1"}, true)
		tr.replaceAll([]object.Object{entryOf("s1", 3, ""), entryOf("s2", 4, "")}, 4)
		tr.storeDown()
		time.Sleep(8 * time.Second)
		tr.storeUp()
		gone := entryGone("s1")
		gone.At = 6
		tr.applyChanges([]object.Change{gone, {Object: entryOf("s3", 7, ""), At: 7}}, 7)
		before := tr.hub.ServersDigest()
		time.Sleep(3 * time.Second)
		tr.expire(time.Now())
		assert.Equal(t, len(tr.list()), 2)
		assert.Assert(t, tr.hub.ServersDigest() != before)
	})
}

// Guards against a VM that says it is ready, and refuses every request since it knows no server while the leader does.
func TestAVMWithoutServersIsUnreadyWhileTheLeaderHasSome(t *testing.T) {
	tr := newTestTracker()
	tr.drain = 2 * time.Second
	some := poll.DigestOf([]feed.Server{{Name: "s1"}})
	assert.Assert(t, !tr.lacksAll())
	tr.compareWithLeader(time.Now(), poll.DigestOf(nil), time.Second)
	assert.Assert(t, !tr.lacksAll(), "there are none")
	tr.compareWithLeader(time.Now(), some, time.Second)
	assert.Assert(t, tr.lacksAll())
	tr.mergePeerList(poll.ServerList{Rev: 5, List: []feed.Server{{Name: "s1", Service: "lookup", Rev: 3}}}, 0)
	tr.compareWithLeader(time.Now(), some, time.Second)
	assert.Assert(t, !tr.lacksAll())
}
