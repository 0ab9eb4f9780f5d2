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

// forgetful is a store whose lists lag behind the history that it has dropped, until
// it catches up. It counts calls.
type forgetful struct {
	object.Store
	until   time.Time
	lists   int
	watches int
}

func (s *forgetful) List(ctx context.Context, _ string) ([]object.Object, object.Cursor, error) {
	s.lists++
	return nil, 1, briefly(ctx)
}

func (s *forgetful) Watch(ctx context.Context, _ string, at object.Cursor) ([]object.Change, object.Cursor, error) {
	s.watches++
	if time.Now().Before(s.until) {
		return nil, 0, kinds.New(kinds.NotFound, "this history is gone")
	}
	<-ctx.Done()
	return nil, at, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch")
}

// briefly is how long the store takes.
func briefly(ctx context.Context) error {
	select {
	case <-time.After(4 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return kinds.Wrap(kinds.Unavailable, ctx.Err(), "list")
	}
}

func newWatcher(b *poll.Hub, fresh, stale object.Store) *watcher {
	return &watcher{
		prefix: "servers/", board: b, fresh: fresh, stale: stale, log: slog.New(slog.DiscardHandler),
		told:   func() bool { return true },
		listed: func([]object.Object, object.Cursor) {}, changed: func([]object.Change, object.Cursor) {},
	}
}

// watchFor runs a watcher for a while of the test's own clock.
func watchFor(t *testing.T, w *watcher, d time.Duration, meanwhile func()) {
	var g group.Group
	g.Go(w.run)
	meanwhile()
	time.Sleep(d)
	assert.NilError(t, g.Close())
}

// The store drops its history, and its cheap lists lag behind that for seconds. Each
// list then leads to a watch that is refused at once. Without a pause each VM makes
// some hundred calls a second, all of them paid for, and learns nothing.
func TestAForgetfulStoreIsNotAskedAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetful{until: time.Now().Add(10 * time.Second)}
		board := poll.NewHub("vm-2", "a")
		board.SetSynced(time.Now())
		watchFor(t, newWatcher(board, nil, store), 20*time.Second, func() {})
		assert.Assert(t, store.lists <= 9, "%d lists", store.lists)
		assert.Assert(t, store.lists >= 5, "it is tried again: %d lists", store.lists)
	})
}

// A VM rests between two calls when it begins to lead. All others rely on what it sees
// from then on, so it must look at the store now.
func TestWhoBeginsToLeadLooksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := &forgetful{until: time.Now().Add(time.Hour)}
		fresh := &forgetful{}
		board := poll.NewHub("vm-2", "a")
		board.SetSynced(time.Now())
		watchFor(t, newWatcher(board, fresh, stale), 50*time.Millisecond, func() {
			time.Sleep(4 * time.Second)
			assert.Equal(t, fresh.lists, 0)
			board.SetLease(elect.Lease{Epoch: 2, Holder: "vm-2", Incarnation: "a"}, true)
		})
		assert.Equal(t, fresh.lists, 1)
		assert.Equal(t, fresh.watches, 1)
	})
}

// Hundreds of VMs start. Whom the leader has told already takes the cheap list; one
// that nobody tells anything asks the store itself before it relies on one that lags.
func TestAStartAsksTheStoreOnlyWhereNobodyTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, told := range []bool{true, false} {
			fresh, stale := &forgetful{}, &forgetful{}
			board := poll.NewHub("vm-2", "a")
			watchFor(t, newWatcher(board, fresh, stale), time.Second, func() {
				if told {
					time.Sleep(tellWait / 2)
					board.SetSynced(time.Now())
				}
			})
			if told {
				assert.Equal(t, fresh.lists, 0)
				assert.Equal(t, stale.lists, 1)
			} else {
				assert.Equal(t, fresh.lists, 1)
			}
		}
	})
}

// crowded is a store that holds more versions of one object than a watch may bring.
type crowded struct {
	object.Store
	lists int
}

func (s *crowded) List(ctx context.Context, _ string) ([]object.Object, object.Cursor, error) {
	s.lists++
	return []object.Object{{Name: "config/main", Version: object.Version(s.lists)}}, 1, briefly(ctx)
}

func (s *crowded) Watch(ctx context.Context, _ string, _ object.Cursor) ([]object.Change, object.Cursor, error) {
	if err := briefly(ctx); err != nil {
		return nil, 0, err
	}
	return nil, 0, kinds.New(kinds.TooLarge, "store answer")
}

// Versions of the rules come faster than a VM can take them in, and its watch would have
// to bring all of them at once, which is too much. A VM that asked for the same again kept
// its old rules until the store forgot the history; one that lists has the newest at once.
func TestAWatchThatIsTooLargeEndsInAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &crowded{}
		var newest object.Version
		w := newWatcher(poll.NewHub("vm-1", "life"), s, s)
		w.listed = func(all []object.Object, _ object.Cursor) { newest = all[0].Version }
		watchFor(t, w, 10*time.Second, func() {})
		assert.Assert(t, newest >= 5, "lists: %d", s.lists)
		assert.Assert(t, s.lists <= 50, "lists without a pause: %d", s.lists)
	})
}

// swallowing is a store that never answers the lists that are sent before a time.
type swallowing struct {
	forgetful
	back time.Time
}

func (s *swallowing) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	if time.Now().Before(s.back) {
		s.lists++
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, 0, kinds.Wrap(kinds.Unavailable, ctx.Err(), "list")
	}
	return s.forgetful.List(ctx, prefix)
}

// A new leader went on waiting for a list that it had sent into an outage of the store.
func TestANewLeaderDoesNotWaitForAListOfBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &swallowing{back: time.Now().Add(2500 * time.Millisecond)}
		board := poll.NewHub("vm-2", "a")
		known := false
		w := newWatcher(board, store, store)
		w.listed = func([]object.Object, object.Cursor) { known = true }
		watchFor(t, w, 50*time.Millisecond, func() {
			time.Sleep(2600 * time.Millisecond)
			board.SetLease(elect.Lease{Epoch: 2, Holder: "vm-2", Incarnation: "a"}, true)
		})
		assert.Assert(t, known)
	})
}
