package save

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

// WatchStore is the part of the object API that waiting for acceptance needs.
type WatchStore interface {
	Get(ctx context.Context, name string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error)
	Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error)
}

// Accepted reads which revision is accepted, and how many entry VMs held it when that was
// recorded. Before the first acceptance it returns a zero record.
func Accepted(ctx context.Context, s WatchStore) (quorum.Record, error) {
	o, err := s.Get(ctx, quorum.Object)
	if kinds.Of(err) == kinds.NotFound {
		return quorum.Record{}, nil
	}
	if err != nil {
		return quorum.Record{}, err
	}
	return quorum.Decode(o.Value)
}

// retryDelay is the pause after a store call that failed while waiting.
const retryDelay = 200 * time.Millisecond

// Await waits until a revision, or a newer one, is accepted. It keeps trying through
// outages of the store until ctx ends. The error is then of kind DeadlineMissed: the
// revision is written, but its acceptance was not seen.
func Await(ctx context.Context, s WatchStore, rev ident.Revision) (quorum.Record, error) {
	for ctx.Err() == nil {
		cursor, err := watchCursor(ctx, s)
		if err != nil {
			group.Sleep(ctx, retryDelay)
			continue
		}
		rec, err := Accepted(ctx, s)
		switch kinds.Of(err) {
		case kinds.Malformed, kinds.NewerVersion:
			return rec, err
		case kinds.None:
			if rec.Rev >= rev {
				return rec, nil
			}
		}
		if _, _, err = s.Watch(ctx, quorum.Object, cursor); err != nil {
			group.Sleep(ctx, retryDelay)
		}
	}
	return quorum.Record{}, kinds.Wrap(kinds.DeadlineMissed, context.Cause(ctx), "wait until the rules are accepted")
}

// watchCursor returns the cursor for the watch. It is taken before the read, so that a
// change between the read and the watch ends the watch at once.
func watchCursor(ctx context.Context, s WatchStore) (object.Cursor, error) {
	_, cursor, err := s.List(ctx, quorum.Object)
	return cursor, err
}
