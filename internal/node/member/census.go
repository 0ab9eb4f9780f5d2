// Package member keeps which backend servers there are, where each writes an entry
// of its own into the platform's store.
//
// An entry that lapses means that its server has ended, except when the store was
// away: then entries lapse because nobody could renew them. Taken at its word, the
// list of the first second after an outage would have every server gone. So what is
// missing then stays listed until its server had the time to come back.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Times of an outage of the store.
const (
	// Back is how long a server that lives and reaches the store needs to be listed
	// again after the store's return. The platform says about two seconds.
	Back = 2200 * time.Millisecond
	// OutageGrace is the longest silence of the store that lapses nobody's entry: a server
	// writes its own each 0.87 s, and it lapses after three such times of silence, 2.6 s.
	// A call that the store drops is no outage: waiting for Back after each of those
	// would send requests to a server that left just then for longer than the platform
	// allows, 2 s.
	OutageGrace = 1500 * time.Millisecond
)

// Entry is one server's entry. Rev orders what is said of it.
type Entry[T any] struct {
	Name  ident.Server
	Rev   uint64
	Value T
	// Leaving says that the server itself said that it leaves: its absence needs no
	// second look.
	Leaving bool
}

// Set is what is known of servers. The zero value knows none.
type Set[T any] struct {
	all  map[ident.Server]*row[T]
	seen uint64                  // the latest place in the store's sequence that anything told of
	left map[ident.Server]uint64 // when servers that are gone were removed
	away bool                    // the store does not answer
	at   time.Time               // when it last answered
	back time.Time               // since when it has answered again after an outage
}

type row[T any] struct {
	Entry[T]
	missing time.Time // the entry counts as gone from then on; zero while it is there
}

// StoreDown notes that the store does not answer.
func (c *Set[T]) StoreDown() { c.away = true }

// StoreUp notes that the store answers.
func (c *Set[T]) StoreUp(now time.Time) {
	if c.away && now.Sub(c.at) >= OutageGrace {
		c.back = now
	}
	c.away, c.at = false, now
}

// StoreSeenByPeer takes in that another VM has been in touch with the store since a time,
// without a break. It reports whether servers are gone by that.
//
// A VM that the store alone turned away for some seconds cannot tell this from an
// outage by itself: it would go on sending requests to a server that left meanwhile
// until Back after its own return, 0.2 s longer than the platform allows. Servers that
// live have been listed again since Back after the first moment in which the store
// answered anybody.
func (c *Set[T]) StoreSeenByPeer(now, since time.Time) bool {
	if !since.Before(c.back) {
		return false
	}
	early := c.back.Sub(since)
	c.back = since
	for _, r := range c.all {
		if !r.missing.IsZero() {
			r.missing = r.missing.Add(-early)
		}
	}
	return c.Expire(now)
}

// returning reports whether the store is back for so short a time that servers may
// be missing which live.
func (c *Set[T]) returning(now time.Time) bool {
	return !c.back.IsZero() && now.Sub(c.back) < Back
}

// Uncertain reports whether servers may be listed that are gone, or missing that live,
// because the store is away or was a moment ago.
func (c *Set[T]) Uncertain(now time.Time) bool { return c.away || c.returning(now) }

// Has returns a server that counts as there.
func (c *Set[T]) Has(name ident.Server) (Entry[T], bool) {
	r := c.all[name]
	if r == nil {
		return Entry[T]{}, false
	}
	return r.Entry, true
}

// ReplaceAll takes in the whole list as of a revision. It reports whether anything
// changed.
func (c *Set[T]) ReplaceAll(now time.Time, rev uint64, list []Entry[T]) bool {
	c.StoreUp(now)
	if rev < c.seen {
		return false // a list that lags would bring back who has left since
	}
	c.seen = rev
	here := make(map[ident.Server]bool, len(list))
	changed := false
	for _, e := range list {
		here[e.Name] = true
		changed = c.Put(e) || changed
	}
	for name, r := range c.all {
		if !here[name] && r.missing.IsZero() {
			changed = c.lose(now, name, rev) || changed
		}
	}
	return changed
}

// MergePeer takes in what another VM believes as of a revision. It may have dropped an
// entry that the store still lists, or lists again: its absence then says nothing of
// later entries of that name.
func (c *Set[T]) MergePeer(now time.Time, rev uint64, list []Entry[T]) bool {
	if rev < c.seen {
		return false
	}
	here := make(map[ident.Server]bool, len(list))
	changed := false
	for _, e := range list {
		here[e.Name] = true
		changed = c.Put(e) || changed
	}
	for name, r := range c.all {
		if !here[name] {
			changed = c.miss(now, r, rev) || changed
		}
	}
	return changed
}

// MergePeerDelta takes in what changed in another VM's belief until a revision: entries that
// are new or were rewritten, and names that are gone.
func (c *Set[T]) MergePeerDelta(now time.Time, rev uint64, list []Entry[T], gone []ident.Server) bool {
	if rev < c.seen {
		return false
	}
	changed := false
	for _, e := range list {
		changed = c.Put(e) || changed
	}
	for _, name := range gone {
		if r := c.all[name]; r != nil {
			changed = c.miss(now, r, rev) || changed
		}
	}
	return changed
}

// miss takes in that another VM, as of a revision, does not list an entry.
func (c *Set[T]) miss(now time.Time, r *row[T], rev uint64) bool {
	return r.Rev <= rev && r.missing.IsZero() && c.lose(now, r.Name, r.Rev)
}

// Put takes in one entry that is new or was rewritten.
func (c *Set[T]) Put(e Entry[T]) bool {
	if c.all == nil {
		c.all = map[ident.Server]*row[T]{}
	}
	old := c.all[e.Name]
	if old != nil && old.Rev >= e.Rev && old.missing.IsZero() || e.Rev <= c.left[e.Name] {
		return false
	}
	c.seen = max(c.seen, e.Rev)
	c.all[e.Name] = &row[T]{Entry: e}
	return true
}

// Remove takes in that an entry was removed as of a revision.
func (c *Set[T]) Remove(now time.Time, name ident.Server, rev uint64) bool {
	c.StoreUp(now)
	r := c.all[name]
	if r == nil || rev < r.Rev || !r.missing.IsZero() {
		return false
	}
	c.seen = max(c.seen, rev)
	return c.lose(now, name, rev)
}

// mostLeft bounds what is remembered of servers that are gone. Forgotten ones could
// only come back by a list that lags behind thousands of removals.
const mostLeft = 4096

func (c *Set[T]) lose(now time.Time, name ident.Server, rev uint64) bool {
	r := c.all[name]
	if c.returning(now) && !r.Leaving {
		r.missing = c.back.Add(Back)
		return false
	}
	if c.left == nil {
		c.left = map[ident.Server]uint64{}
	}
	if len(c.left) >= mostLeft {
		c.forget()
	}
	c.left[name] = rev
	delete(c.all, name)
	return true
}

// forget drops the older half of what is remembered of servers that are gone. Without
// the later half a list that lags by a second brings back who has just left.
func (c *Set[T]) forget() {
	revs := slices.Sorted(maps.Values(c.left))
	middle := revs[len(revs)/2]
	maps.DeleteFunc(c.left, func(_ ident.Server, rev uint64) bool { return rev < middle })
	if len(c.left) >= mostLeft { // the older half was removed as of one revision
		maps.DeleteFunc(c.left, func(_ ident.Server, rev uint64) bool { return rev <= middle })
	}
}

// Expire drops what was missing for too long, and reports whether it did.
func (c *Set[T]) Expire(now time.Time) bool {
	dropped := false
	for name, r := range c.all {
		if !r.missing.IsZero() && !now.Before(r.missing) {
			delete(c.all, name)
			dropped = true
		}
	}
	return dropped
}

// All lists the servers that count as there, by name.
func (c *Set[T]) All() []Entry[T] {
	list := make([]Entry[T], 0, len(c.all))
	for _, r := range c.all {
		list = append(list, r.Entry)
	}
	slices.SortFunc(list, func(a, b Entry[T]) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
