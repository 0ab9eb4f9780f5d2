package host

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// watcher follows all objects with one prefix: it lists them, watches for changes from
// there, and lists again when the store no longer knows the cursor.
//
// The leader watches the linearizable store and informs the other VMs. These watch the
// cheaper store, which may lag by seconds, and the linearizable one while the leader does
// not confirm that it is in contact with the store: until another VM leads, nobody else
// would tell them of a change in time.
type watcher struct {
	prefix           string
	hub              *poll.Hub
	fresh            object.Store
	stale            object.Store
	log              *slog.Logger
	receivedFromPeer func() bool      // reports whether another VM has sent what is watched here
	onSource         func(fresh bool) // called before onList and onChange; fresh: the linearizable store has answered
	onList           func([]object.Object, object.Cursor)
	onChange         func([]object.Change, object.Cursor)
	onDown           func()
	onUp             func() // the store answered, with or without changes
	// onApplied is called when the answer to a call of this time, on the boot clock, has been
	// passed to onList or onChange.
	onApplied func(asked time.Time)
	// onCurrent is called when this VM knows everything that the store held at a time, up
	// to a cursor in its sequence of changes.
	onCurrent func(at time.Time, cursor object.Cursor)
	// peersCover, if set, reports whether other VMs deliver everything that this watch
	// would, and up to which cursor they have.
	peersCover func(now time.Time) (object.Cursor, bool)
	// confirmed, if set, returns for how long, from a time of the boot clock, the leader
	// confirms that this VM hears from it what the store holds.
	confirmed func(now time.Time) time.Duration
	// freshWait, if set, is the longest wait of a watch of the linearizable store: each answer
	// says up to which time this VM knows all.
	freshWait   time.Duration
	failures    int // failed calls in a row
	lostCursors int // lists in a row whose cursor the store refused at once
}

// Pauses of a watcher.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// firstListWait is how long a starting VM waits for the leader to send what it would
	// otherwise list from the linearizable store, which is expensive when all VMs do so
	// at once. A reachable leader answers within about 20 ms; without one, all callers
	// wait this long.
	firstListWait = 100 * time.Millisecond
	firstListPoll = 20 * time.Millisecond // between checks during that wait
	// leaderBatchDelay is the pause between a change and the next watch, so that servers
	// that start or leave together cost one call instead of one each. It is short
	// compared with the two seconds within which a change must take effect.
	leaderBatchDelay = 150 * time.Millisecond
	// syncedBatchDelay is the same pause on a VM that the leader informs of changes at
	// once. Its own watch only covers the second in which a silent leader still counts as
	// the leader.
	syncedBatchDelay = 800 * time.Millisecond
)

// preferredStore returns the linearizable store on the leader, which informs the other
// VMs, and the cheaper one on the others while the leader confirms its contact.
func (w *watcher) preferredStore() object.Store {
	if _, leads := w.hub.Lease(); leads || !w.isConfirmed() {
		return w.fresh
	}
	return w.stale
}

func (w *watcher) isConfirmed() bool { return w.confirmed == nil || w.confirmed(clock.Now()) > 0 }

// whileConfirmed returns a context that ends when the leader no longer confirms its
// contact, and a function that releases it.
func (w *watcher) whileConfirmed(ctx context.Context) (context.Context, func()) {
	if w.confirmed == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var g group.Group
	g.Go(func(stopped context.Context) error {
		defer cancel()
		for d := w.confirmed(clock.Now()); d > 0; d = w.confirmed(clock.Now()) {
			if !group.Sleep(stopped, d) {
				break
			}
		}
		return nil
	})
	return ctx, func() { _ = g.Close() }
}

// firstStore returns the store for the first list. A stale list is harmful only to a VM
// that knows nothing newer.
func (w *watcher) firstStore(ctx context.Context) object.Store {
	for end := time.Now().Add(firstListWait); time.Now().Before(end); {
		if _, leads := w.hub.Lease(); leads {
			return w.fresh
		}
		if w.hub.Synced(time.Now()) && w.receivedFromPeer() {
			return w.stale
		}
		if !group.Sleep(ctx, firstListPoll) {
			break
		}
	}
	return w.fresh
}

func (w *watcher) run(ctx context.Context) error {
	store := w.firstStore(ctx)
	for ctx.Err() == nil {
		at, ok := w.coveredByPeers()
		if !ok {
			at, ok = w.list(ctx, store)
		}
		if ok {
			w.follow(ctx, at)
			w.backOff(ctx)
		}
		store = w.preferredStore()
	}
	return nil
}

func (w *watcher) list(ctx context.Context, store object.Store) (object.Cursor, bool) {
	asked := clock.Now()
	leaderCtx := w.hub.LeaderContext()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leaderCtx, cancel)()
	all, cursor, err := store.List(callCtx, w.prefix)
	if err != nil && leaderCtx.Err() != nil {
		return 0, false // the election just showed that the store answers, so the next list need not wait out this one
	}
	if err != nil {
		w.onFailure(ctx, "list", err)
		return 0, false
	}
	w.onSuccess()
	w.noteSource(store)
	w.onList(all, cursor)
	w.noteApplied(asked)
	w.noteCurrent(store, asked, cursor)
	return cursor, true
}

// coveredByPeers reports whether other VMs make this watch unnecessary, and up to which
// cursor.
func (w *watcher) coveredByPeers() (object.Cursor, bool) {
	if w.peersCover == nil {
		return 0, false
	}
	return w.peersCover(time.Now())
}

// coveredPoll is how often a VM that relies on other VMs checks whether it still may.
const coveredPoll = 100 * time.Millisecond

// waitWhileCovered waits while other VMs make this watch unnecessary, and returns the
// cursor from which to continue.
func (w *watcher) waitWhileCovered(ctx context.Context, at object.Cursor) object.Cursor {
	for ctx.Err() == nil {
		cursor, ok := w.coveredByPeers()
		if !ok {
			break
		}
		at = max(at, cursor)
		w.pause(ctx, coveredPoll)
	}
	return at
}

// follow watches until the store no longer knows the cursor, or this VM becomes leader: what it
// knows may be what other VMs told, while they will rely on what it reads.
func (w *watcher) follow(ctx context.Context, at object.Cursor) {
	w.lostCursors++
	_, led := w.hub.Lease()
	for ctx.Err() == nil {
		at = w.waitWhileCovered(ctx, at)
		if _, leads := w.hub.Lease(); leads && !led {
			w.lostCursors = 0
			return
		}
		store := w.preferredStore()
		asked := clock.Now()
		all, next, err := w.watch(ctx, store, at)
		switch {
		case errors.Is(err, errUnconfirmed):
			w.log.Info("leader does not confirm its contact with the store; watching it here", "kind", w.prefix)
			w.lostCursors = 0
			continue
		case errors.Is(err, errLeaderChanged):
			w.lostCursors = 0
			return // the other store is watched from now on, starting with a list
		case kinds.Of(err) == kinds.NotFound:
			return // the store has dropped this part of its history
		case kinds.Of(err) == kinds.TooLarge || kinds.Of(err) == kinds.Malformed:
			// The store would give the same answer each time until it drops its history.
			// A list holds only the newest version of each object.
			w.onFailure(ctx, "watch", err)
			return
		case err != nil:
			w.onFailure(ctx, "watch", err)
			continue
		}
		w.onSuccess()
		w.lostCursors = 0
		at = next
		if len(all) > 0 {
			w.noteSource(store)
			w.onChange(all, at)
		}
		w.noteApplied(asked)
		// The answer may have waited here for processor time since it was made.
		w.noteCurrent(store, asked, at)
		if len(all) > 0 {
			w.waitForBatch(ctx)
		}
	}
}

// backOff waits before the next list if the store refused the cursor of the last one
// before it could be used. A store that has dropped its history may answer cheap lists
// from an older state for seconds. Without a pause, each VM would list and watch as fast
// as it can, a hundred calls per second, until those lists catch up.
func (w *watcher) backOff(ctx context.Context) {
	if w.lostCursors == 0 {
		return
	}
	maxPause := maxBackoff
	if _, leads := w.hub.Lease(); leads {
		maxPause = minBackoff
	}
	w.pause(ctx, min(minBackoff<<min(w.lostCursors-1, 4), maxPause))
}

func (w *watcher) waitForBatch(ctx context.Context) {
	if w.hub.Synced(time.Now()) {
		w.pause(ctx, syncedBatchDelay)
		return
	}
	w.pause(ctx, leaderBatchDelay)
}

// pause sleeps, but wakes up when this VM becomes leader or stops being the leader, since
// all other VMs rely on what a new leader sees, and when the leader ceases to confirm its
// contact.
func (w *watcher) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if w.isConfirmed() {
		var release func()
		ctx, release = w.whileConfirmed(ctx)
		defer release()
	}
	defer context.AfterFunc(w.hub.LeaderContext(), cancel)()
	group.Sleep(ctx, d)
}

// errLeaderChanged ends a watch because this VM became leader or stopped being the
// leader.
var errLeaderChanged = errors.New("leadership changed")

// errUnconfirmed ends a watch of the stale store because the leader no longer confirms its
// contact with the store.
var errUnconfirmed = errors.New("contact of the leader unconfirmed")

// watch waits for a change, but no longer than until this VM becomes leader or stops
// being the leader: a stale watch started before would otherwise run for seconds on the
// VM that all others rely on.
func (w *watcher) watch(ctx context.Context, store object.Store, at object.Cursor) ([]object.Change, object.Cursor, error) {
	leaderCtx := w.hub.LeaderContext()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leaderCtx, cancel)()
	if store != w.fresh {
		var release func()
		callCtx, release = w.whileConfirmed(callCtx)
		defer release()
	} else {
		callCtx = object.WithWait(callCtx, w.freshWait)
	}
	all, next, err := store.Watch(callCtx, w.prefix, at)
	switch {
	case err == nil || ctx.Err() != nil:
		return all, next, err
	case leaderCtx.Err() != nil:
		return nil, 0, errLeaderChanged
	case store != w.fresh && callCtx.Err() != nil:
		return nil, 0, errUnconfirmed
	}
	return nil, 0, err
}

func (w *watcher) noteSource(store object.Store) {
	if w.onSource != nil {
		w.onSource(store == w.fresh)
	}
}

func (w *watcher) noteApplied(asked time.Time) {
	if w.onApplied != nil {
		w.onApplied(asked)
	}
}

// noteCurrent reports that this VM knows everything that the store held at a time.
func (w *watcher) noteCurrent(store object.Store, at time.Time, cursor object.Cursor) {
	if store != w.fresh {
		return
	}
	w.hub.SetStoreContact(time.Now())
	if w.onCurrent != nil {
		w.onCurrent(at, cursor)
	}
}

func (w *watcher) onFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.failures == 0 {
		w.log.Warn("store lost", "what", op, "kind", w.prefix, "err", err)
		if w.onDown != nil {
			w.onDown()
		}
	}
	pause := min(minBackoff<<min(w.failures, 4), maxBackoff)
	if w.failures == 0 {
		pause = 0 // a single dropped watch is not an outage
	}
	w.failures++
	w.pause(ctx, pause)
}

func (w *watcher) onSuccess() {
	if w.failures > 0 {
		w.log.Info("store regained", "kind", w.prefix, "failed", w.failures)
	}
	w.failures = 0
	if w.onUp != nil {
		w.onUp()
	}
}
