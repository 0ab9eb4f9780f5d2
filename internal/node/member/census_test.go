package member

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var start = time.Unix(1000, 0)

func entry(name ident.Server, rev uint64, going bool) Entry[string] {
	return Entry[string]{Name: name, Rev: rev, Leaving: going}
}

func names(c *Set[string]) []ident.Server {
	var all []ident.Server
	for _, e := range c.All() {
		all = append(all, e.Name)
	}
	return all
}

// The store drops its history and answers cheap lists from some seconds ago. A
// server that said it leaves, and has left since, stands in such a list as if
// nothing had happened. Taken in, it would get requests for as long as the list
// lags: the platform counts each of them as sent to a server that has gone.
func TestAnOldListBringsNobodyBack(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, c.Put(entry("a", 12, true)))
	assert.Assert(t, c.Remove(start, "a", 15))
	assert.Assert(t, !c.ReplaceAll(start, 11, []Entry[string]{entry("a", 3, false), entry("b", 4, false)}))
	assert.DeepEqual(t, names(&c), []ident.Server{"b"})
	assert.Assert(t, !c.Put(entry("a", 12, true)), "a watch that begins at the old list tells old news")
	assert.DeepEqual(t, names(&c), []ident.Server{"b"})
	assert.Assert(t, c.Put(entry("a", 16, false)), "it has started again since")
}

// Thousands of servers have come and gone since this VM started. At the next removal it
// forgot them all, and a watch that begins at an old list brings back a server that left
// a moment ago: it gets requests until the watch has caught up.
func TestManyRemovalsBringNobodyBack(t *testing.T) {
	var c Set[string]
	rev := uint64(10)
	name := func(i int) ident.Server { return ident.Server("s-" + strconv.Itoa(i)) }
	for i := range 3 * mostLeft {
		assert.Assert(t, c.Put(entry(name(i), rev, false)))
		assert.Assert(t, c.Remove(start, name(i), rev+1))
		for back := max(0, i-mostLeft/4); back <= i; back += mostLeft / 16 {
			assert.Assert(t, !c.Put(entry(name(back), 10+2*uint64(back), false)), "%d came back after %d", back, i)
		}
		rev += 2
	}
	assert.Assert(t, len(c.left) <= mostLeft)
}

// A whole list without them removes thousands of servers as of one revision.
func TestAsManyRemovalsInOneListAsAreRemembered(t *testing.T) {
	var c Set[string]
	var list []Entry[string]
	for i := range mostLeft + 1 {
		list = append(list, entry(ident.Server("s-"+strconv.Itoa(i)), 3, false))
	}
	c.ReplaceAll(start, 10, list)
	assert.Assert(t, c.ReplaceAll(start, 11, nil))
	assert.Equal(t, len(c.All()), 0)
	assert.Assert(t, len(c.left) <= mostLeft)
}

// The store is away for longer than entries last. As it comes back it lists nobody,
// and the servers need two seconds to be listed again; all requests of those
// seconds would be refused although every server is well.
func TestServersOutlastAnOutageOfTheStore(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false), entry("c", 5, true)})
	c.StoreDown()
	back := start.Add(8 * time.Second)
	assert.Assert(t, c.ReplaceAll(back, 20, nil), "one that said it leaves is not waited for")
	assert.DeepEqual(t, names(&c), []ident.Server{"a", "b"})
	c.Put(entry("a", 21, false))
	assert.Assert(t, !c.Expire(back.Add(Back-time.Millisecond)))
	assert.Assert(t, c.Expire(back.Add(Back)))
	assert.DeepEqual(t, names(&c), []ident.Server{"a"})
}

// The watch goes on over the outage and tells one removal after the other.
func TestRemovalsRightAfterAnOutageWaitToo(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	c.StoreDown()
	back := start.Add(8 * time.Second)
	assert.Assert(t, !c.Remove(back, "a", 12))
	assert.DeepEqual(t, names(&c), []ident.Server{"a", "b"})
	assert.Assert(t, c.Remove(back.Add(Back), "b", 13), "later removals count at once")
}

// A server leaves without notice a second after the store is back. Waiting the whole
// time for it once more would send it requests for longer than the platform allows.
func TestARemovalAfterAnOutageWaitsNoLongerThanTheReturn(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	c.StoreDown()
	back := start.Add(8 * time.Second)
	c.StoreUp(back)
	assert.Assert(t, !c.Remove(back.Add(time.Second), "a", 12))
	assert.Assert(t, c.Expire(back.Add(Back)))
	assert.Equal(t, len(c.All()), 0)
}

func TestARemovalInCalmTimesCountsAtOnce(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, c.Remove(start, "a", 11))
	assert.Assert(t, !c.Remove(start, "a", 11))
	assert.Equal(t, len(c.All()), 0)
}

// The leader's list lags: it has dropped a server whose entry had lapsed, and which is
// listed again since. Another VM takes the list in and then reads the store's. It
// would never see the server again, and send it nothing for the rest of its life.
func TestAnotherVMsBeliefHidesNobody(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, c.MergePeer(start, 20, []Entry[string]{entry("b", 4, false)}))
	assert.DeepEqual(t, names(&c), []ident.Server{"b"})
	assert.Assert(t, c.ReplaceAll(start, 21, []Entry[string]{entry("a", 15, false), entry("b", 4, false)}))
	assert.DeepEqual(t, names(&c), []ident.Server{"a", "b"})
	assert.Assert(t, !c.MergePeer(start, 12, nil), "an older belief")
}

// The leader tells only what changed. An entry that it dropped goes here too, unless a
// later one of that name is known already.
func TestAPartOfAnotherVMsBelief(t *testing.T) {
	var c Set[string]
	c.MergePeer(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	assert.Assert(t, c.MergePeerDelta(start, 12, []Entry[string]{entry("c", 11, false)}, []ident.Server{"a", "x"}))
	assert.DeepEqual(t, names(&c), []ident.Server{"b", "c"})
	assert.Assert(t, c.Put(entry("b", 14, false)))
	assert.Assert(t, !c.MergePeerDelta(start, 13, nil, []ident.Server{"b"}), "older than what is known")
	assert.DeepEqual(t, names(&c), []ident.Server{"b", "c"})
}

// The store turns one VM away for seven seconds and serves the others. It returns, and
// a moment before a server left without notice. The VM takes the absence for what an
// outage does to entries, and goes on sending the server requests until 2.2 s after its
// own return: the platform counts those from 2 s after it accepted the leaving. Another
// VM has been in touch with the store all the while, and says so.
func TestAVMThatAloneWasTurnedAwayBelievesAWitness(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	c.StoreDown()
	back := start.Add(7 * time.Second)
	c.StoreUp(back)
	assert.Assert(t, !c.MergePeer(back.Add(200*time.Millisecond), 12, []Entry[string]{entry("b", 4, false)}), "no proof yet")
	assert.DeepEqual(t, names(&c), []ident.Server{"a", "b"})
	assert.Assert(t, c.StoreSeenByPeer(back.Add(200*time.Millisecond), back.Add(-5*time.Second)))
	assert.DeepEqual(t, names(&c), []ident.Server{"b"})
	assert.Assert(t, c.MergePeer(back.Add(time.Second), 14, nil), "what leaves from now on is gone at once")
	assert.Equal(t, len(c.All()), 0)
}

// The store was away for all. Whoever it answered first says since when, and servers
// have their time from then on, not from the moment at which this VM came to it.
func TestAWitnessOfTheReturnShortensTheWaitAndDoesNotEndIt(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	c.StoreDown()
	back := start.Add(8 * time.Second)
	assert.Assert(t, !c.ReplaceAll(back, 12, nil))
	assert.Assert(t, !c.StoreSeenByPeer(back.Add(100*time.Millisecond), back.Add(-time.Second)))
	assert.DeepEqual(t, names(&c), []ident.Server{"a"})
	assert.Assert(t, !c.StoreSeenByPeer(back.Add(200*time.Millisecond), back.Add(time.Millisecond)), "who came later knows less")
	assert.Assert(t, !c.Expire(back.Add(Back-time.Second-time.Millisecond)))
	assert.Assert(t, c.Expire(back.Add(Back-time.Second)))
}

// The store drops a watch, and answers the next call. Right after it a server leaves
// without notice. Nobody's entry can have lapsed in so short a time, so the server is
// gone at once; it would get requests for 2.2 s.
func TestADroppedCallIsNoOutage(t *testing.T) {
	var c Set[string]
	c.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	c.StoreDown()
	c.StoreUp(start.Add(OutageGrace - time.Millisecond))
	assert.Assert(t, c.Remove(start.Add(OutageGrace), "a", 12))
	assert.Equal(t, len(c.All()), 0)
}
