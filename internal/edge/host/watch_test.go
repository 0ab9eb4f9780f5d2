package host

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// forgetfulStore is a store that has dropped its history and whose lists return a cursor
// from before that, until a given time. It counts calls.
type forgetfulStore struct {
	object.Store
	until   time.Time
	lists   int
	watches int
	watched time.Time // time of the first watch
}

func (s *forgetfulStore) List(ctx context.Context, _ string) ([]object.Object, object.Cursor, error) {
	s.lists++
	return nil, 1, storeDelay(ctx)
}

func (s *forgetfulStore) Watch(ctx context.Context, _ string, at object.Cursor) ([]object.Change, object.Cursor, error) {
	if s.watches++; s.watches == 1 {
		s.watched = time.Now()
	}
	if time.Now().Before(s.until) {
		return nil, 0, kinds.New(kinds.NotFound, "history dropped")
	}
	<-ctx.Done()
	return nil, at, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch")
}

// storeDelay waits for the time that a call to the store takes.
func storeDelay(ctx context.Context) error {
	select {
	case <-time.After(4 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return kinds.Wrap(kinds.Unavailable, ctx.Err(), "list")
	}
}

func newWatcher(hub *poll.Hub, fresh, stale object.Store) *watcher {
	return &watcher{
		prefix: "servers/", hub: hub, fresh: fresh, stale: stale, log: slog.New(slog.DiscardHandler),
		receivedFromPeer: func() bool { return true },
		onList:           func([]object.Object, object.Cursor) {}, onChange: func([]object.Change, object.Cursor) {},
	}
}

// watchFor runs a watcher, calls meanwhile, and stops the watcher d later on the test's
// simulated clock.
func watchFor(t *testing.T, w *watcher, d time.Duration, meanwhile func()) {
	var g group.Group
	g.Go(w.run)
	meanwhile()
	time.Sleep(d)
	assert.NilError(t, g.Close())
}

// Guards against a busy loop when the store has dropped its history and its cheap lists
// lag behind for seconds. Each list leads to a watch that is refused at once, and without
// a pause each VM makes about a hundred useless, billed calls per second.
func TestNoBusyLoopWhenStoreDropsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulStore{until: time.Now().Add(10 * time.Second)}
		hub := poll.NewHub("vm-2", "a")
		hub.SetSynced(time.Now())
		watchFor(t, newWatcher(hub, nil, store), 20*time.Second, func() {})
		assert.Assert(t, store.lists <= 9, "%d lists", store.lists)
		assert.Assert(t, store.lists >= 5, "it must list again: %d lists", store.lists)
	})
}

// Guards against a new leader that first sleeps out the pause between two calls. All
// other VMs rely on what it sees, so it must list at once.
func TestNewLeaderListsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := &forgetfulStore{until: time.Now().Add(time.Hour)}
		fresh := &forgetfulStore{}
		hub := poll.NewHub("vm-2", "a")
		hub.SetSynced(time.Now())
		watchFor(t, newWatcher(hub, fresh, stale), 50*time.Millisecond, func() {
			time.Sleep(4 * time.Second)
			assert.Equal(t, fresh.lists, 0)
			hub.SetLease(elect.Lease{Epoch: 2, Holder: "vm-2", Incarnation: "a"}, true)
		})
		assert.Equal(t, fresh.lists, 1)
		assert.Equal(t, fresh.watches, 1)
	})
}

// Guards against expensive lists when hundreds of VMs start. A VM that the leader has
// already informed takes the cheap list; one without that information must ask the
// linearizable store.
func TestFirstListIsCheapIfLeaderInforms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, informed := range []bool{true, false} {
			fresh, stale := &forgetfulStore{}, &forgetfulStore{}
			hub := poll.NewHub("vm-2", "a")
			watchFor(t, newWatcher(hub, fresh, stale), time.Second, func() {
				if informed {
					time.Sleep(firstListWait / 2)
					hub.SetSynced(time.Now())
				}
			})
			if informed {
				assert.Equal(t, fresh.lists, 0)
				assert.Equal(t, stale.lists, 1)
			} else {
				assert.Equal(t, fresh.lists, 1)
			}
		}
	})
}

// oversizedStore is a store that holds more versions of an object than a watch may
// return.
type oversizedStore struct {
	object.Store
	lists int
}

func (s *oversizedStore) List(ctx context.Context, _ string) ([]object.Object, object.Cursor, error) {
	s.lists++
	return []object.Object{{Name: "config/main", Version: object.Version(s.lists)}}, 1, storeDelay(ctx)
}

func (s *oversizedStore) Watch(ctx context.Context, _ string, _ object.Cursor) ([]object.Change, object.Cursor, error) {
	if err := storeDelay(ctx); err != nil {
		return nil, 0, err
	}
	return nil, 0, kinds.New(kinds.TooLarge, "store answer")
}

// Guards against a watch that fails for good because its answer is too large: the rules
// changed faster than the VM read them. A VM that repeated the watch kept its old rules
// until the store dropped its history; one that lists gets the newest at once.
func TestAWatchThatIsTooLargeEndsInAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oversizedStore{}
		var newest object.Version
		w := newWatcher(poll.NewHub("vm-1", "life"), s, s)
		w.onList = func(all []object.Object, _ object.Cursor) { newest = all[0].Version }
		watchFor(t, w, 10*time.Second, func() {})
		assert.Assert(t, newest >= 5, "lists: %d", s.lists)
		assert.Assert(t, s.lists <= 50, "lists without a pause: %d", s.lists)
	})
}

// silentStore is a store that does not answer lists sent before a given time.
type silentStore struct {
	forgetfulStore
	answersFrom time.Time
}

func (s *silentStore) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	if time.Now().Before(s.answersFrom) {
		s.lists++
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, 0, kinds.Wrap(kinds.Unavailable, ctx.Err(), "list")
	}
	return s.forgetfulStore.List(ctx, prefix)
}

// Guards against a new leader that waits for a list sent during a store outage that is
// over.
func TestNewLeaderDoesNotWaitForEarlierList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{answersFrom: time.Now().Add(2500 * time.Millisecond)}
		hub := poll.NewHub("vm-2", "a")
		known := false
		w := newWatcher(hub, store, store)
		w.onList = func([]object.Object, object.Cursor) { known = true }
		watchFor(t, w, 50*time.Millisecond, func() {
			time.Sleep(2600 * time.Millisecond)
			hub.SetLease(elect.Lease{Epoch: 2, Holder: "vm-2", Incarnation: "a"}, true)
		})
		assert.Assert(t, known)
	})
}

// Guards against VMs that hear of changes from nobody while the leader has lost the store
// and has not been replaced, because their own watch is of a store that lags.
func TestUnconfirmedVMWatchesTheLinearizableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fresh, stale := &forgetfulStore{}, &forgetfulStore{}
		hub := poll.NewHub("vm-2", "a")
		hub.SetSynced(time.Now())
		w := newWatcher(hub, fresh, stale)
		until := time.Now().Add(2 * time.Second)
		w.confirmed = func(time.Time) time.Duration { return time.Until(until) }
		watchFor(t, w, 10*time.Second, func() {})
		assert.Equal(t, fresh.watched, until)
		assert.Equal(t, fresh.watches, 1)
		assert.Equal(t, stale.watches, 1)
	})
}

// Guards against a VM that sleeps out its pause between two stale lists, seconds long after
// the store has dropped its history, when nobody else will tell it of changes.
func TestUnconfirmedVMDoesNotSleepOutItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fresh, stale := &forgetfulStore{}, &forgetfulStore{until: time.Now().Add(time.Hour)}
		hub := poll.NewHub("vm-2", "a")
		hub.SetSynced(time.Now())
		w := newWatcher(hub, fresh, stale)
		until := time.Now().Add(5 * time.Second)
		w.confirmed = func(time.Time) time.Duration { return time.Until(until) }
		watchFor(t, w, 10*time.Millisecond, func() { time.Sleep(5 * time.Second) })
		assert.Equal(t, fresh.lists, 1)
		assert.Equal(t, fresh.watches, 1)
	})
}

// changingStore has one change, which the first watch returns, and counts lists.
type changingStore struct {
	forgetfulStore
}

func (s *changingStore) Watch(ctx context.Context, _ string, at object.Cursor) ([]object.Change, object.Cursor, error) {
	if s.watches++; s.watches == 1 {
		return []object.Change{{At: at + 1}}, at + 1, nil
	}
	<-ctx.Done()
	return nil, at, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch")
}

// Guards against a new leader that all others rely on, and that never reads the store's complete list itself.
func TestAVMThatBecomesLeaderBetweenTwoWatchesLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{}
		hub := poll.NewHub("vm-2", "a")
		w := newWatcher(hub, store, store)
		watchFor(t, w, 2*time.Second, func() {
			time.Sleep(firstListWait + leaderBatchDelay/2)
			synctest.Wait()
			assert.Equal(t, store.watches, 1)
			hub.SetLease(elect.Lease{Epoch: 1, Holder: "vm-2", Incarnation: "a"}, true)
		})
		assert.Equal(t, store.lists, 2)
	})
}
