package ledger

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// recoverTail registers the journal in the index, finds its tail, and fills the holes
// that an earlier process with the same path left within its window. A hole that stayed
// would end the search of a later reader too early, and the entries after it would be
// missing from every report.
func (j *Journal) recoverTail(ctx context.Context, from uint64) (uint64, error) {
	if err := j.register(ctx); err != nil {
		return 0, err
	}
	end, err := Tail(ctx, j.store, j.path, from, j.limits.Window)
	if err != nil || end == 0 {
		return end, err
	}
	first := max(from, end-min(end, uint64(j.limits.Window)))
	for n := first; n < end; n++ {
		if err := j.fillHole(ctx, n); err != nil {
			return 0, err
		}
	}
	return end, nil
}

// register creates the index object. A conflict is no error: the object comes from this
// writer's own write whose answer was lost, or from an earlier process with this path.
func (j *Journal) register(ctx context.Context) error {
	value, err := wire.Encode(Index{FormatVersion: Version, Path: j.path, Created: time.Now(), Window: j.limits.Window})
	if err != nil {
		return err
	}
	_, err = j.store.Put(ctx, IndexPrefix+j.path, value, 0)
	return ignoreConflict(err)
}

// fillHole writes an empty segment at an address if it is free. A conflict with a late
// write of the earlier process is no error, since the address is then written too.
func (j *Journal) fillHole(ctx context.Context, n uint64) error {
	_, ok, err := readHead(ctx, j.store, j.path, n)
	if ok || err != nil {
		return err
	}
	now := time.Now() // a search by time needs times close to those of the segments around it
	value, err := Segment{Head: Head{FormatVersion: Version, Path: j.path, Address: n, WriterToken: j.token, From: now, To: now}}.Encode()
	if err != nil {
		return err
	}
	_, err = j.store.Put(ctx, objectName(j.path, n), value, 0)
	return ignoreConflict(err)
}

// ignoreConflict returns nil for an error of kind Conflict, and other errors unchanged.
func ignoreConflict(err error) error {
	if kinds.Of(err) == kinds.Conflict {
		return nil
	}
	return err
}
