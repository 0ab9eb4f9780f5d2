package origin

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// lease is the set of keys that the server may serve until end, as granted by one
// lessor.
type lease struct {
	fence  ident.Fence
	rev    ident.Revision
	end    time.Duration // on the server's own clock
	slices map[ident.Slice]struct{}
	keys   map[ident.Key]struct{} // single keys held apart from their slice
	except map[ident.Key]struct{} // keys of the slices that another server owns
}

func setOf[T comparable](items []T) map[T]struct{} {
	set := make(map[T]struct{}, len(items))
	for _, item := range items {
		set[item] = struct{}{}
	}
	return set
}

// owns reports whether the lease is unexpired at now and covers the key.
func (l *lease) owns(k ident.Key, slice ident.Slice, now time.Duration) bool {
	return now < l.end && l.covers(k, slice)
}

// covers reports whether the lease's set contains the key.
func (l *lease) covers(k ident.Key, slice ident.Slice) bool {
	if _, single := l.keys[k]; single {
		return true
	}
	if _, not := l.except[k]; not {
		return false
	}
	_, ok := l.slices[slice]
	return ok
}

// grant applies a grant or a renewal, or returns the reason why not. A renewal never
// adds keys: it needs an unexpired lease of the same revision.
func (l *lease) grant(o server.Order, now time.Duration) string {
	end := o.Mark.At + o.TTL
	if !o.Full {
		if now >= l.end || l.rev != o.Rev {
			return server.ReasonRev
		}
		l.end = max(l.end, end)
		return ""
	}
	l.rev, l.end = o.Rev, end
	l.slices, l.keys, l.except = setOf(o.Slices), setOf(o.Keys), setOf(o.Except)
	return ""
}

// revoke retains only what is both held and in the order's set. The set may list a
// single key that was held as part of its slice.
func (l *lease) revoke(o server.Order, slices uint32) {
	l.rev = o.Rev
	keys := map[ident.Key]struct{}{}
	for _, k := range o.Keys {
		if l.covers(k, ident.SliceOf(k, slices)) {
			keys[k] = struct{}{}
		}
	}
	l.keys = keys
	retainOnly(l.slices, o.Slices)
	for _, k := range o.Except {
		if l.except == nil {
			l.except = map[ident.Key]struct{}{}
		}
		l.except[k] = struct{}{}
	}
	if o.Full && len(o.Slices) == 0 && len(o.Keys) == 0 {
		l.end = 0
	}
}

func retainOnly[T comparable](held map[T]struct{}, keep []T) {
	for item := range held {
		if !slices.Contains(keep, item) {
			delete(held, item)
		}
	}
}
