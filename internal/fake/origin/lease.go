package origin

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// lease is what the server holds under one seat.
type lease struct {
	fence  ident.Fence
	rev    ident.Revision
	end    time.Duration // on the server's own clock
	slices map[ident.Slice]struct{}
	keys   map[ident.Key]struct{}
	except map[ident.Key]struct{}
}

func setOf[T comparable](items []T) map[T]struct{} {
	set := make(map[T]struct{}, len(items))
	for _, item := range items {
		set[item] = struct{}{}
	}
	return set
}

// owns reports whether the lease covers the key at a time.
func (l *lease) owns(k ident.Key, slice ident.Slice, now time.Duration) bool {
	return now < l.end && l.covers(k, slice)
}

// covers reports whether the lease's set has the key.
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

// grant obeys a grant or a renewal and returns the reason when it does not. A
// renewal never adds: it needs an unexpired lease of the same revision.
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

// revoke keeps only what is both held and in the order's set. A key that was
// held with its slice may be in the set by itself.
func (l *lease) revoke(o server.Order, slices uint32) {
	l.rev = o.Rev
	keys := map[ident.Key]struct{}{}
	for _, k := range o.Keys {
		if l.covers(k, ident.SliceOf(k, slices)) {
			keys[k] = struct{}{}
		}
	}
	l.keys = keys
	keepOnly(l.slices, o.Slices)
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

func keepOnly[T comparable](held map[T]struct{}, keep []T) {
	for item := range held {
		if !slices.Contains(keep, item) {
			delete(held, item)
		}
	}
}
