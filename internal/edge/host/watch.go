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

// watcher follows one kind of objects: list, watch from there, and list again when
// the place is lost.
//
// The VM that leads watches the store closely and tells the others. They watch too,
// the cheaper way, for the moment in which the leader is cut off and nobody has
// noticed yet.
type watcher struct {
	prefix  string
	board   *poll.Hub
	fresh   object.Store
	stale   object.Store
	log     *slog.Logger
	told    func() bool // another VM told what is watched here
	listed  func([]object.Object, object.Cursor)
	changed func([]object.Change, object.Cursor)
	down    func()
	up      func() // the store answered, whether or not with news
	// newest takes in that all that the store held at a time is known here, and up to
	// which place in its sequence of changes.
	newest func(at time.Time, place object.Cursor)
	// rely, where set, reports whether the leader tells all that this watch would bring,
	// and up to which place it has.
	rely   func(now time.Time) (object.Cursor, bool)
	failed int // calls in a row that came to nothing
	lost   int // lists in a row whose place was forgotten at once
}

// Pauses of a watcher.
const (
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// tellWait is how long a VM that starts waits for the leader to tell it what it
	// would otherwise ask the store for, at the full price and all VMs at once. A leader
	// that is there answers within some 20 ms; where there is none, all callers wait.
	tellWait = 100 * time.Millisecond
	tellPoll = 20 * time.Millisecond
	// gather is the pause after a change before the next watch: servers that start or
	// leave together then cost one call and not one each. It is small beside the two
	// seconds within which a change must be acted upon.
	gather = 150 * time.Millisecond
	// gatherTold is the same on a VM whom the leader tells of changes at once. Its own
	// watch is for the second in which the leader is silent and still taken to lead.
	gatherTold = 800 * time.Millisecond
)

// store is the linearizable one on the VM that leads, which tells the others, and
// the cheaper one elsewhere.
func (w *watcher) store() object.Store {
	if _, leads := w.board.Lease(); leads {
		return w.fresh
	}
	return w.stale
}

// first is where the first list comes from. A list that lags would do harm only to a
// VM that knows nothing newer.
func (w *watcher) first(ctx context.Context) object.Store {
	for end := time.Now().Add(tellWait); time.Now().Before(end); {
		if _, leads := w.board.Lease(); leads {
			return w.fresh
		}
		if w.board.Synced(time.Now()) && w.told() {
			return w.stale
		}
		if !group.Sleep(ctx, tellPoll) {
			break
		}
	}
	return w.fresh
}

func (w *watcher) run(ctx context.Context) error {
	store := w.first(ctx)
	for ctx.Err() == nil {
		at, ok := w.lean()
		if !ok {
			at, ok = w.list(ctx, store)
		}
		if ok {
			w.follow(ctx, at)
			w.rest(ctx)
		}
		store = w.store()
	}
	return nil
}

func (w *watcher) list(ctx context.Context, store object.Store) (object.Cursor, bool) {
	asked := clock.Now()
	turn := w.board.LeaderContext()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(turn, cancel)()
	all, at, err := store.List(inner, w.prefix)
	if err != nil && turn.Err() != nil {
		return 0, false // the store answers who has won the lead: the next list need not wait for this one
	}
	if err != nil {
		w.trouble(ctx, "list", err)
		return 0, false
	}
	w.well()
	w.listed(all, at)
	w.knows(store, asked, at)
	return at, true
}

// lean reports whether the leader's word makes the store's needless, and up to where.
func (w *watcher) lean() (object.Cursor, bool) {
	if w.rely == nil {
		return 0, false
	}
	return w.rely(time.Now())
}

// leanPoll is how often a VM that relies on the leader looks whether it still may.
const leanPoll = 100 * time.Millisecond

// doze waits for as long as the leader's word makes this watch needless, and returns from
// where it goes on afterwards.
func (w *watcher) doze(ctx context.Context, at object.Cursor) object.Cursor {
	for ctx.Err() == nil {
		seen, ok := w.lean()
		if !ok {
			break
		}
		at = max(at, seen)
		w.pause(ctx, leanPoll)
	}
	return at
}

// follow watches until the place is lost.
func (w *watcher) follow(ctx context.Context, at object.Cursor) {
	w.lost++
	for ctx.Err() == nil {
		at = w.doze(ctx, at)
		store := w.store()
		asked, began := clock.Now(), time.Now()
		all, next, err := w.wait(ctx, store, at)
		switch {
		case errors.Is(err, errTurned):
			w.lost = 0
			return // from now on the other store is watched; begin with its list
		case kinds.Of(err) == kinds.NotFound:
			return // the history is gone
		case kinds.Of(err) == kinds.TooLarge || kinds.Of(err) == kinds.Malformed:
			// The answer would be the same each time, until the store forgets what it
			// holds. A list has the newest of each object alone.
			w.trouble(ctx, "watch", err)
			return
		case err != nil:
			w.trouble(ctx, "watch", err)
			continue
		}
		w.well()
		w.lost = 0
		at = next
		answered := clock.Now()
		if len(all) > 0 {
			w.changed(all, at)
		}
		// An answer that lay here while this VM was suspended is older than it looks.
		if slept := answered.Sub(asked) - time.Since(began); slept < answerLag {
			w.knows(store, answered.Add(-answerLag), at)
		}
		if len(all) > 0 {
			w.gather(ctx)
		}
	}
}

// rest waits before the next list when the place of the last one was forgotten before
// anything could be watched from it. A store that drops its history goes on answering
// cheap lists from before that for seconds; without a pause each VM would list and
// watch as fast as it can, a hundred calls a second, until they catch up.
func (w *watcher) rest(ctx context.Context) {
	if w.lost == 0 {
		return
	}
	most := lastPause
	if _, leads := w.board.Lease(); leads {
		most = firstPause
	}
	w.pause(ctx, min(firstPause<<min(w.lost-1, 4), most))
}

func (w *watcher) gather(ctx context.Context) {
	if w.board.Synced(time.Now()) {
		w.pause(ctx, gatherTold)
		return
	}
	w.pause(ctx, gather)
}

// pause waits, but no longer than until this VM begins or ceases to lead: all others
// rely on what the new leader sees.
func (w *watcher) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(w.board.LeaderContext(), cancel)()
	group.Sleep(ctx, d)
}

// errTurned ends a watch because this VM began or ceased to lead.
var errTurned = errors.New("the lead changed")

// wait watches until something changed or this VM begins or ceases to lead: a watch
// that lags, begun before, would go on for seconds on the VM that all others rely on.
func (w *watcher) wait(ctx context.Context, store object.Store, at object.Cursor) ([]object.Change, object.Cursor, error) {
	turn := w.board.LeaderContext()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(turn, cancel)()
	all, next, err := store.Watch(inner, w.prefix, at)
	if err != nil && turn.Err() != nil && ctx.Err() == nil {
		return nil, 0, errTurned
	}
	return all, next, err
}

// answerLag is how old a watch's answer may be as it arrives from a slow store.
const answerLag = 300 * time.Millisecond

// knows passes on that all that the store held at a time is known here now.
func (w *watcher) knows(store object.Store, at time.Time, place object.Cursor) {
	if w.newest != nil && store == w.fresh {
		w.newest(at, place)
	}
}

func (w *watcher) trouble(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.failed == 0 {
		w.log.Warn("store lost", "what", what, "kind", w.prefix, "err", err)
		if w.down != nil {
			w.down()
		}
	}
	pause := min(firstPause<<min(w.failed, 4), lastPause)
	if w.failed == 0 {
		pause = 0 // a watch that was dropped is no outage
	}
	w.failed++
	w.pause(ctx, pause)
}

func (w *watcher) well() {
	if w.failed > 0 {
		w.log.Info("store regained", "kind", w.prefix, "failed", w.failed)
	}
	w.failed = 0
	if w.up != nil {
		w.up()
	}
}
