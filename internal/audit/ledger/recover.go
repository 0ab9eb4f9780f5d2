package ledger

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// recoverTail registers the journal in the index, finds its tail, and closes
// the holes that an earlier process of the same name left within its window: a
// hole that stayed would end a later reader's search too early, and what came
// after it would be missing from every report.
func (j *Journal) recoverTail(ctx context.Context, from uint64) (uint64, error) {
	if err := j.register(ctx); err != nil {
		return 0, err
	}
	end, err := Tail(ctx, j.store, j.path, from, j.lim.Window)
	if err != nil || end == 0 {
		return end, err
	}
	first := max(from, end-min(end, uint64(j.lim.Window)))
	for n := first; n < end; n++ {
		if err := j.plug(ctx, n); err != nil {
			return 0, err
		}
	}
	return end, nil
}

// register creates the index object. That it is there already is as good: it
// is our own write whose answer was lost, or an earlier process of this name.
func (j *Journal) register(ctx context.Context) error {
	value, err := wire.Encode(Index{V: Version, Path: j.path, At: time.Now(), Window: j.lim.Window})
	if err != nil {
		return err
	}
	_, err = j.store.Put(ctx, IndexPrefix+j.path, value, 0)
	return unlessConflict(err)
}

// plug writes an empty segment into a hole. Losing against a late write of the
// earlier process is as good.
func (j *Journal) plug(ctx context.Context, n uint64) error {
	_, ok, err := head(ctx, j.store, j.path, n)
	if ok || err != nil {
		return err
	}
	now := time.Now() // so that a search by time passes it as it passes its neighbours
	value, err := Segment{Head: Head{V: Version, Path: j.path, N: n, Tok: j.tok, From: now, To: now}}.Encode()
	if err != nil {
		return err
	}
	_, err = j.store.Put(ctx, nameOf(j.path, n), value, 0)
	return unlessConflict(err)
}

// unlessConflict takes a lost race as success.
func unlessConflict(err error) error {
	if kinds.Of(err) == kinds.Conflict {
		return nil
	}
	return err
}
