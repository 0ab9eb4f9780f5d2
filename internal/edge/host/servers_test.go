package host

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func newTestTracker() *serverTracker {
	return &serverTracker{
		notices: &notices{}, shedders: &shedders{hub: poll.NewHub("vm-1", "1")},
		state: state.New(nil), hub: poll.NewHub("vm-2", "a"), log: slog.New(slog.DiscardHandler),
		services: map[ident.Service]feed.Service{}, dropped: map[ident.Server]bool{},
	}
}

// Guards against a VM that keeps asking with an old revision. If a newer list holds no
// change, the VM must still record its revision, or it is sent the list at once with each
// poll, in an endless loop.
func TestServerListWithoutChangesAdvancesRevision(t *testing.T) {
	tr := newTestTracker()
	list := []feed.Server{{Name: "lookup-1", Service: "lookup", Rev: 3}}
	tr.mergePeerList(poll.ServerList{Rev: 5, List: list}, 0)
	_, rev := tr.hub.Revs()
	assert.Equal(t, rev, uint64(5))
	tr.mergePeerList(poll.ServerList{Rev: 9, List: list}, 0)
	_, rev = tr.hub.Revs()
	assert.Equal(t, rev, uint64(9))
}

// Guards against a server that stays listed on one VM. The leader has dropped it, and
// later deltas do not name it. The checksum of all servers differs, and the VM must
// request the complete list once.
func TestAVMThatMissedAServerAsksForAll(t *testing.T) {
	tr := newTestTracker()
	first := feed.Server{Name: "lookup-1", Service: "lookup", Rev: 3}
	second := feed.Server{Name: "lookup-2", Service: "lookup", Rev: 6}
	tr.mergePeerList(poll.ServerList{Rev: 5, List: []feed.Server{first, {Name: "lookup-0", Service: "lookup", Rev: 2}}}, 0)
	now := time.Now()
	assert.Equal(t, tr.knownRev(now), uint64(5))
	tr.mergePeerList(poll.ServerList{Rev: 6, Delta: true, List: []feed.Server{second}, Sum: poll.SumOf([]feed.Server{first, second})}, 0)
	assert.Equal(t, tr.knownRev(now), uint64(0))
	assert.Equal(t, tr.knownRev(now), uint64(6), "the complete list is not requested again at once")
	tr.mergePeerList(poll.ServerList{Rev: 6, List: []feed.Server{first, second}}, 0)
	assert.Assert(t, slices.Equal(tr.list(), []feed.Server{first, second}))
	assert.Equal(t, tr.knownRev(now.Add(fullListInterval)), uint64(6))
}

// Guards against sending requests to a leaving server for longer than allowed because an earlier process of its name left before.
func TestAServerThatLeavesForTheSecondTimeIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newOrderTracker()
		tr.drain = 2 * time.Second
		for i := range int64(2) {
			rev := object.Version(10 * (i + 1))
			tr.applyChanges([]object.Change{{Object: entryOf("s1", rev, bornAt(100+i))}}, object.Cursor(rev))
			tr.applyChanges([]object.Change{{Object: entryOf("s1", rev+1, bornAt(100+i)+`,"Leaving":true`)}}, object.Cursor(rev+1))
			time.Sleep(tr.drain)
			tr.mu.Lock()
			drained := tr.markDrained(time.Now())
			tr.mu.Unlock()
			assert.Assert(t, drained, "process %d", i)
			tr.applyChanges([]object.Change{entryGone("s1")}, object.Cursor(rev+2))
		}
	})
}

// Guards against losing a server for good whose entry lapsed and was written again within one answer of the store.
func TestAServerThatIsWrittenAgainInTheAnswerThatRemovesItIsKept(t *testing.T) {
	tr := newOrderTracker()
	tr.replaceAll([]object.Object{entryOf("s1", 3, "")}, 4)
	gone := entryGone("s1")
	gone.At = 5
	again := object.Change{Object: entryOf("s1", 6, ""), At: 6}
	tr.applyChanges([]object.Change{gone, again}, 9)
	assert.Equal(t, len(tr.list()), 1)
	tr.replaceAll([]object.Object{again.Object}, 10)
	assert.Equal(t, len(tr.list()), 1)
	assert.Equal(t, len(tr.rejected), 0)
}

// Guards against a removal that is not applied since the store does not tell its revision.
func TestARemovalWithoutARevisionRemovesTheKnownEntry(t *testing.T) {
	tr := newOrderTracker()
	tr.replaceAll([]object.Object{entryOf("s1", 3, "")}, 4)
	tr.applyChanges([]object.Change{entryGone("s1")}, 9)
	assert.Equal(t, len(tr.list()), 0)
	tr.applyChanges([]object.Change{{Object: entryOf("s1", 8, "")}}, 9)
	assert.Equal(t, len(tr.list()), 1)
}
