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

// Watched is the part of the object API that waiting needs.
type Watched interface {
	Get(ctx context.Context, name string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error)
	Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error)
}

// Accepted reads which revision is accepted, and by how many entry VMs it was
// held then. Before the first one it returns a zero record.
func Accepted(ctx context.Context, s Watched) (quorum.Record, error) {
	o, err := s.Get(ctx, quorum.Object)
	if kinds.Of(err) == kinds.NotFound {
		return quorum.Record{}, nil
	}
	if err != nil {
		return quorum.Record{}, err
	}
	return quorum.Decode(o.Value)
}

// again is the pause after a call that failed while waiting.
const again = 200 * time.Millisecond

// Await waits until a revision, or a newer one, is accepted. It goes on through
// outages of the store until ctx ends; kind Late then means that the revision
// is written and that acceptance was not seen.
func Await(ctx context.Context, s Watched, rev ident.Revision) (quorum.Record, error) {
	for ctx.Err() == nil {
		at, err := seenAt(ctx, s)
		if err != nil {
			group.Sleep(ctx, again)
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
		if _, _, err = s.Watch(ctx, quorum.Object, at); err != nil {
			group.Sleep(ctx, again)
		}
	}
	return quorum.Record{}, kinds.Wrap(kinds.DeadlineMissed, context.Cause(ctx), "wait until the rules are accepted")
}

// seenAt marks the place before the read, so that a change between the read and
// the watch ends the watch at once.
func seenAt(ctx context.Context, s Watched) (object.Cursor, error) {
	_, at, err := s.List(ctx, quorum.Object)
	return at, err
}
