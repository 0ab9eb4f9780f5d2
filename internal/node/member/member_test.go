package member

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var start = time.Unix(1000, 0)

func entry(name ident.Server, rev uint64, leaving bool) Entry[string] {
	return Entry[string]{Name: name, Rev: rev, Leaving: leaving}
}

func names(s *Set[string]) []ident.Server {
	var all []ident.Server
	for _, e := range s.All() {
		all = append(all, e.Name)
	}
	return all
}

// Guards against restoring a server that announced its leaving and left, by a list of the
// store that is some seconds old. It would get requests for as long as the list lags, and
// the platform counts each as sent to a server that is gone.
func TestOldListDoesNotRestoreRemovedServers(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, s.Put(entry("a", 12, true)))
	assert.Assert(t, s.Remove(start, "a", 15))
	assert.Assert(t, !s.ReplaceAll(start, 11, []Entry[string]{entry("a", 3, false), entry("b", 4, false)}))
	assert.DeepEqual(t, names(&s), []ident.Server{"b"})
	assert.Assert(t, !s.Put(entry("a", 12, true)), "a watch that begins at the old list sent an old entry")
	assert.DeepEqual(t, names(&s), []ident.Server{"b"})
	assert.Assert(t, s.Put(entry("a", 16, false)), "the server has started again")
}

// Guards against forgetting all removed servers at once when maxRemoved is reached. A watch
// that begins at an old list would then restore a server that has just left, until it
// catches up.
func TestManyRemovalsDoNotRestoreServers(t *testing.T) {
	var s Set[string]
	rev := uint64(10)
	name := func(i int) ident.Server { return ident.Server("s-" + strconv.Itoa(i)) }
	for i := range 3 * maxRemoved {
		assert.Assert(t, s.Put(entry(name(i), rev, false)))
		assert.Assert(t, s.Remove(start, name(i), rev+1))
		for back := max(0, i-maxRemoved/4); back <= i; back += maxRemoved / 16 {
			assert.Assert(t, !s.Put(entry(name(back), 10+2*uint64(back), false)), "%d came back after %d", back, i)
		}
		rev += 2
	}
	assert.Assert(t, len(s.removed) <= maxRemoved)
}

// Guards against unbounded memory when one list removes thousands of servers at one
// revision.
func TestListThatRemovesMoreThanMaxRemoved(t *testing.T) {
	var s Set[string]
	var list []Entry[string]
	for i := range maxRemoved + 1 {
		list = append(list, entry(ident.Server("s-"+strconv.Itoa(i)), 3, false))
	}
	s.ReplaceAll(start, 10, list)
	assert.Assert(t, s.ReplaceAll(start, 11, nil))
	assert.Equal(t, len(s.All()), 0)
	assert.Assert(t, len(s.removed) <= maxRemoved)
}

// Guards against refusing all requests after an outage of the store that is longer than
// entries last. The store then lists no server, and needs two seconds until all are listed
// again.
func TestServersOutlastAnOutageOfTheStore(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false), entry("c", 5, true)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	assert.Assert(t, s.ReplaceAll(returned, 20, nil), "a server that announced its leaving is removed at once")
	assert.DeepEqual(t, names(&s), []ident.Server{"a", "b"})
	s.Put(entry("a", 21, false))
	assert.Assert(t, !s.Expire(returned.Add(RelistTime-time.Millisecond)))
	assert.Assert(t, s.Expire(returned.Add(RelistTime)))
	assert.DeepEqual(t, names(&s), []ident.Server{"a"})
}

// Guards against applying removals at once when a watch continues over an outage and sends
// them one after another.
func TestRemovalsRightAfterAnOutageWaitToo(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	assert.Assert(t, !s.Remove(returned, "a", 12))
	assert.DeepEqual(t, names(&s), []ident.Server{"a", "b"})
	assert.Assert(t, s.Remove(returned.Add(RelistTime), "b", 13), "later removals apply at once")
}

// Guards against a new full delay for a server that leaves without notice a second after an
// outage. It would get requests for longer than the platform allows.
func TestARemovalAfterAnOutageWaitsNoLongerThanTheReturn(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	s.StoreUp(returned)
	assert.Assert(t, !s.Remove(returned.Add(time.Second), "a", 12))
	assert.Assert(t, s.Expire(returned.Add(RelistTime)))
	assert.Equal(t, len(s.All()), 0)
}

func TestRemovalWithoutOutageAppliesAtOnce(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, s.Remove(start, "a", 11))
	assert.Assert(t, !s.Remove(start, "a", 11))
	assert.Equal(t, len(s.All()), 0)
}

// Guards against losing a server for good. The leader's list is old and lacks a server
// whose entry had expired and was written again. A VM applies it and then reads the list of
// the store.
func TestPeerListDoesNotHideServers(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, s.MergePeer(start, 20, []Entry[string]{entry("b", 4, false)}))
	assert.DeepEqual(t, names(&s), []ident.Server{"b"})
	assert.Assert(t, s.ReplaceAll(start, 21, []Entry[string]{entry("a", 15, false), entry("b", 4, false)}))
	assert.DeepEqual(t, names(&s), []ident.Server{"a", "b"})
	assert.Assert(t, !s.MergePeer(start, 12, nil), "an older list")
}

// Guards against wrong changes from the leader: an entry that it removed must go, unless a
// later one of the same name is known.
func TestPeerDelta(t *testing.T) {
	var s Set[string]
	s.MergePeer(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, s.MergePeerDelta(start, 12, []Entry[string]{entry("c", 11, false)}, []ident.Server{"a", "x"}))
	assert.DeepEqual(t, names(&s), []ident.Server{"b", "c"})
	assert.Assert(t, s.Put(entry("b", 14, false)))
	assert.Assert(t, !s.MergePeerDelta(start, 13, nil, []ident.Server{"b"}), "older than the known entry")
	assert.DeepEqual(t, names(&s), []ident.Server{"b", "c"})
}

// Guards against delayed removals on a VM that alone could not reach the store for seven
// seconds, as a peer that always could proves. It would send requests to a server that
// left until 2.2 s after its own return, while the platform allows 2 s from the leaving.
func TestPeerContactWithStoreEndsTheWait(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	s.StoreDown()
	returned := start.Add(7 * time.Second)
	s.StoreUp(returned)
	assert.Assert(t, !s.MergePeer(returned.Add(200*time.Millisecond), 12, []Entry[string]{entry("b", 4, false)}), "the removal is delayed")
	assert.DeepEqual(t, names(&s), []ident.Server{"a", "b"})
	assert.Assert(t, s.StoreSeen(returned.Add(200*time.Millisecond), returned.Add(-5*time.Second)))
	assert.DeepEqual(t, names(&s), []ident.Server{"b"})
	assert.Assert(t, s.MergePeer(returned.Add(time.Second), 14, nil), "later removals apply at once")
	assert.Equal(t, len(s.All()), 0)
}

// Guards against a delay that counts from this VM's own return after an outage for all VMs.
// It must count from the first answer of the store to any VM, and must not end before.
func TestPeerContactWithStoreShortensTheWait(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	assert.Assert(t, !s.ReplaceAll(returned, 12, nil))
	assert.Assert(t, !s.StoreSeen(returned.Add(100*time.Millisecond), returned.Add(-time.Second)))
	assert.DeepEqual(t, names(&s), []ident.Server{"a"})
	assert.Assert(t, !s.StoreSeen(returned.Add(200*time.Millisecond), returned.Add(time.Millisecond)), "a later contact has no effect")
	assert.Assert(t, !s.Expire(returned.Add(RelistTime-time.Second-time.Millisecond)))
	assert.Assert(t, s.Expire(returned.Add(RelistTime-time.Second)))
}

// Guards against a delay of 2.2 s for the removal of a server after a single failed call,
// in which time no entry can have expired.
func TestADroppedCallIsNoOutage(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	s.StoreDown()
	s.StoreUp(start.Add(OutageGrace - time.Millisecond))
	assert.Assert(t, s.Remove(start.Add(OutageGrace), "a", 12))
	assert.Equal(t, len(s.All()), 0)
}

// Guards against the same delay on a VM that is told that the store answers others before it reaches the store itself.
func TestPeerContactBeforeTheReturnEndsTheWait(t *testing.T) {
	returned := start.Add(7 * time.Second)
	for name, test := range map[string]struct {
		heard   time.Duration // how long before the return
		removed bool          // at once
	}{
		"just before":     {100 * time.Millisecond, true},
		"too long before": {seenTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Set[string]
			s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
			s.StoreDown()
			s.StoreSeen(returned.Add(-test.heard), start)
			s.StoreUp(returned)
			assert.Equal(t, s.Remove(returned, "a", 12), test.removed)
		})
	}
}
