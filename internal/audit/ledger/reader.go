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

// isShared reports whether several VMs write the journal at path.
func isShared(path string) bool { return strings.HasPrefix(path, OwnershipPrefix) }

// Read returns one segment. The error is of kind NotFound when nothing was written
// there, and of kind NewerVersion when a newer program wrote it; the head is valid then.
func Read(ctx context.Context, store object.Store, path string, n uint64) (Segment, error) {
	o, err := store.Get(ctx, objectName(path, n))
	if err != nil {
		return Segment{}, err
	}
	return decodeSegment(o.Value)
}

// Paths lists all journals ever created, sorted by path, including those of VMs that
// no longer exist.
func Paths(ctx context.Context, store object.Store) ([]Index, error) {
	objects, _, err := store.List(ctx, IndexPrefix)
	if err != nil {
		return nil, err
	}
	all := make([]Index, 0, len(objects))
	for _, o := range objects {
		idx := Index{Path: strings.TrimPrefix(o.Name, IndexPrefix)}
		if err := wire.Decode(o.Value, &idx); err != nil {
			idx = Index{Path: strings.TrimPrefix(o.Name, IndexPrefix)}
		}
		all = append(all, idx)
	}
	slices.SortFunc(all, func(a, b Index) int { return strings.Compare(a.Path, b.Path) })
	return all, nil
}

// readHead reads the head of the segment at an address; ok is false when there is none.
// A segment that is newer or damaged counts as present.
func readHead(ctx context.Context, store object.Store, path string, n uint64) (h Head, ok bool, err error) {
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

// Tail finds the end of a journal: the first address, not below from, at which window
// successive addresses are free. It makes about twice the binary logarithm of the
// length in reads, and then reads the window.
//
// Holes occur only in the last window addresses, so the exponential and binary search
// can stop too early by at most the window. Reading the window afterwards corrects that.
func Tail(ctx context.Context, store object.Store, path string, from uint64, window int) (uint64, error) {
	end, err := search(ctx, store, path, from, func(Head) bool { return true })
	if err != nil {
		return 0, err
	}
	for free := uint64(0); free < uint64(max(window, 1)); {
		_, ok, err := readHead(ctx, store, path, end+free)
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

// search returns the first address, not below from, that is free or whose head does not
// pass. It doubles the step until it finds one, then does a binary search.
func search(ctx context.Context, store object.Store, path string, from uint64, pass func(Head) bool) (uint64, error) {
	probe := func(n uint64) (bool, error) {
		h, ok, err := readHead(ctx, store, path, n)
		return ok && pass(h), err
	}
	low, high, step := from, from, uint64(1) // all addresses below low pass
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

// Scan calls visit with every segment of a journal that has entries between since and
// until, in address order; a zero until means to the end. Segments before since are
// skipped by a search over their heads, so a query for a short time in a long journal
// reads few of them. A segment that cannot be decoded is passed with its error.
//
// The clocks of VMs differ, and entries may be recorded slightly out of order, so
// callers widen the span by their tolerance for that.
func Scan(ctx context.Context, store object.Store, idx Index, since, until time.Time, visit func(Segment, error)) error {
	before := func(h Head) bool { return !h.To.IsZero() && h.To.Before(since) }
	n, err := search(ctx, store, idx.Path, 0, before)
	if err != nil {
		return err
	}
	for free := 0; free < idx.windowOrMax(); n++ {
		s, err := Read(ctx, store, idx.Path, n)
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

// MaxWindow is the largest window that any writer uses. Readers look this many addresses
// past a hole when the index of a journal does not state its window.
const MaxWindow = 16

func (idx Index) windowOrMax() int {
	if idx.Window < 1 || idx.Window > MaxWindow {
		return MaxWindow
	}
	return idx.Window
}
