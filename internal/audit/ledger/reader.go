package ledger

import (
	"context"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func shared(path string) bool { return strings.HasPrefix(path, OwnPrefix) }

// Read returns one segment: kind Absent when nothing was written there, Newer
// when a newer program wrote it (the head is still valid then).
func Read(ctx context.Context, store object.Store, path string, n uint64) (Segment, error) {
	o, err := store.Get(ctx, nameOf(path, n))
	if err != nil {
		return Segment{}, err
	}
	return decodeSegment(o.Value)
}

// Paths lists all journals that were ever begun, in name order, also those of
// VMs that are gone.
func Paths(ctx context.Context, store object.Store) ([]Index, error) {
	objects, _, err := store.List(ctx, IndexPrefix)
	if err != nil {
		return nil, err
	}
	all := make([]Index, 0, len(objects))
	for _, o := range objects {
		x := Index{Path: strings.TrimPrefix(o.Name, IndexPrefix)}
		if err := wire.Decode(o.Value, &x); err != nil {
			x = Index{Path: strings.TrimPrefix(o.Name, IndexPrefix)}
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Index) int { return strings.Compare(a.Path, b.Path) })
	return all, nil
}

// head reads the head at an address; ok is false when nothing is there. A
// segment that is newer or damaged is there.
func head(ctx context.Context, store object.Store, path string, n uint64) (h Head, ok bool, err error) {
	s, err := Read(ctx, store, path, n)
	switch kinds.Of(err) {
	case kinds.None, kinds.NewerVersion, kinds.Malformed:
		return s.Head, true, nil
	case kinds.NotFound:
		return Head{}, false, nil
	default:
		return Head{}, false, err
	}
}

// Tail finds the end of a journal: the first address from from on after which
// window addresses are free. It reads about twice the logarithm of the length,
// then the window.
//
// Every address below the window is written, so a search by halves is led
// astray by holes no further than the window, and the last look over the window
// sees past them.
func Tail(ctx context.Context, store object.Store, path string, from uint64, window int) (uint64, error) {
	end, err := search(ctx, store, path, from, func(Head) bool { return true })
	if err != nil {
		return 0, err
	}
	for free := uint64(0); free < uint64(max(window, 1)); {
		_, ok, err := head(ctx, store, path, end+free)
		if err != nil {
			return 0, err
		}
		if ok {
			end, free = end+free+1, 0
			continue
		}
		free++
	}
	return end, nil
}

// search returns the first address from from on that is free or whose head does
// not pass, by steps that double and then by halves.
func search(ctx context.Context, store object.Store, path string, from uint64, pass func(Head) bool) (uint64, error) {
	probe := func(n uint64) (bool, error) {
		h, ok, err := head(ctx, store, path, n)
		return ok && pass(h), err
	}
	low, high, step := from, from, uint64(1) // below low all pass
	for {
		ok, err := probe(high)
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		low, high, step = high+1, high+step, step*2
	}
	for low < high {
		mid := low + (high-low)/2
		ok, err := probe(mid)
		if err != nil {
			return 0, err
		}
		if ok {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, nil
}

// Scan hands every segment of a journal with entries between since and until to
// visit, in address order; a zero until means to the end. Segments before since
// are skipped by a search over their heads, so a short question about a long
// journal reads few of them. A segment that cannot be decoded is handed on with
// its error.
//
// VMs' clocks differ, and entries may be recorded slightly out of order, so
// callers widen the span by what they allow for that.
func Scan(ctx context.Context, store object.Store, x Index, since, until time.Time, visit func(Segment, error)) error {
	before := func(h Head) bool { return !h.To.IsZero() && h.To.Before(since) }
	n, err := search(ctx, store, x.Path, 0, before)
	if err != nil {
		return err
	}
	for free := 0; free < x.window(); n++ {
		s, err := Read(ctx, store, x.Path, n)
		switch kinds.Of(err) {
		case kinds.NotFound:
			free++
			continue
		case kinds.None, kinds.NewerVersion, kinds.Malformed:
		default:
			return err
		}
		free = 0
		if !until.IsZero() && s.From.After(until) {
			return nil
		}
		if !before(s.Head) {
			visit(s, err)
		}
	}
	return nil
}

// MaxWindow is the largest window that any writer uses, and so how far a reader
// looks past a hole when a journal's index does not say.
const MaxWindow = 16

func (x Index) window() int {
	if x.Window < 1 || x.Window > MaxWindow {
		return MaxWindow
	}
	return x.Window
}
