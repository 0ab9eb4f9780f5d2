// Package member keeps the list of backend servers. Each server writes an entry of its own
// into the platform's store.
//
// An entry that expires means that its server has ended, unless the store was unreachable:
// then entries expire because the servers could not renew them. The first list after an
// outage may therefore lack servers that are alive. They are kept until they have had the
// time to write their entries again.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Settings for outages of the store.
const (
	// RelistTime is how long a live server that reaches the store needs to be listed again
	// after an outage. The platform states about two seconds.
	RelistTime = 2200 * time.Millisecond
	// OutageGrace is the longest outage of the store in which no entry can expire: a server
	// renews its entry every 0.87 s, and it expires after three missed renewals, 2.6 s. A
	// single failed call is no outage: to wait for RelistTime after each would send
	// requests to a server that has just left for longer than the 2 s that the platform
	// allows.
	OutageGrace = 1500 * time.Millisecond
	// seenTime is how long it counts that the store has answered others: they may have had their
	// last answer OutageGrace before, and no entry can have expired by then.
	seenTime = 500 * time.Millisecond
)

// Entry is the entry of one server. Rev is the store revision that wrote it.
type Entry[T any] struct {
	Name  ident.Server
	Rev   uint64
	Value T
	// Leaving is set if the server announced that it leaves. Its absence then needs no
	// confirmation.
	Leaving bool
}

// Set is the set of known servers. The zero value is empty.
type Set[T any] struct {
	entries      map[ident.Server]*record[T]
	latestRev    uint64                    // latest store revision seen
	removed      map[ident.Server]removal  // servers that were removed
	storeDown    bool                      // the store is unreachable
	lastAnswer   time.Time                 // when the store last answered
	firstAnswer  time.Time                 // when the store first answered
	storeUpSince time.Time                 // when the store first answered after the last outage
	seenSince    time.Time                 // since when the store has answered others, see StoreSeen
	seenAt       time.Time                 // when that was last heard
	returnedAt   time.Time                 // when the store was first seen to have returned from an older copy
	returnedRev  uint64                    // latest revision that was seen then
	revoked      map[ident.Server]Entry[T] // entries that reappeared with the copy, see reappeared
}

// record is an entry and whether it is missing from the store.
type record[T any] struct {
	Entry[T]
	goneAt  time.Time // when the missing entry will be removed; zero while it is listed
	removal removal   // of the missing entry
}

// StoreDown records that the store does not answer.
func (s *Set[T]) StoreDown() { s.storeDown = true }

// StoreUp records that the store answers.
func (s *Set[T]) StoreUp(now time.Time) {
	if s.storeDown && now.Sub(s.lastAnswer) >= OutageGrace {
		s.storeUpSince = now
		if now.Sub(s.seenAt) < seenTime && s.seenSince.Before(now) {
			s.storeUpSince = s.seenSince
		}
	}
	if s.firstAnswer.IsZero() {
		s.firstAnswer = now
	}
	s.storeDown, s.lastAnswer = false, now
}

// StoreSeen records that the store has answered another VM, or other calls of this one, without
// a break since the given time. It reports whether servers were removed because of it.
//
// A VM whose calls for servers alone failed for some seconds cannot tell this from an
// outage. It would send requests to a server that left meanwhile until RelistTime after its
// own return, 0.2 s longer than the platform allows. Live servers are listed again within
// RelistTime of the first answer of the store to any call.
func (s *Set[T]) StoreSeen(now, since time.Time) bool {
	if now.Sub(s.seenAt) >= OutageGrace || since.Before(s.seenSince) {
		s.seenSince = since
	}
	s.seenAt = now
	if !since.Before(s.storeUpSince) {
		return false
	}
	earlier := s.storeUpSince.Sub(since)
	s.storeUpSince = since
	for _, r := range s.entries {
		if !r.goneAt.IsZero() {
			r.goneAt = r.goneAt.Add(-earlier)
		}
	}
	return s.Expire(now)
}

// storeJustReturned reports whether the outage ended so recently that live servers may not
// be listed yet.
func (s *Set[T]) storeJustReturned(now time.Time) bool {
	return !s.storeUpSince.IsZero() && now.Sub(s.storeUpSince) < RelistTime
}

// Uncertain reports whether listed servers may be gone, or live ones not listed, because of
// a present or recent outage of the store.
func (s *Set[T]) Uncertain(now time.Time) bool { return s.storeDown || s.storeJustReturned(now) }

// Settled reports whether the store has been known to answer for at least the given time. At
// first it may list servers that ended during an outage before.
func (s *Set[T]) Settled(now time.Time, since time.Duration) bool {
	upSince := s.firstAnswer
	if s.storeUpSince.After(upSince) {
		upSince = s.storeUpSince
	}
	return !s.storeDown && !upSince.IsZero() && now.Sub(upSince) >= since
}

// Has returns the entry of a server, and whether there is one.
func (s *Set[T]) Has(name ident.Server) (Entry[T], bool) {
	r := s.entries[name]
	if r == nil {
		return Entry[T]{}, false
	}
	return r.Entry, true
}

// Missing reports whether the store no longer lists a server whose removal is delayed.
func (s *Set[T]) Missing(name ident.Server) bool {
	r := s.entries[name]
	return r != nil && !r.goneAt.IsZero()
}

// HasMissing reports whether there are servers that the store no longer lists.
func (s *Set[T]) HasMissing() bool {
	for _, r := range s.entries {
		if !r.goneAt.IsZero() {
			return true
		}
	}
	return false
}

// ReplaceAll applies the complete list of the store at a revision. It reports whether the
// set changed. What the list names is there, whatever was heard of its removal before.
func (s *Set[T]) ReplaceAll(now time.Time, rev uint64, list []Entry[T]) bool {
	s.StoreUp(now)
	if rev < s.latestRev {
		return false // an old list would restore servers that have left since
	}
	s.noteRev(now, rev)
	listed := make(map[ident.Server]bool, len(list))
	changed := false
	for _, e := range list {
		listed[e.Name] = true
		changed = s.put(e) || changed
	}
	for name, r := range s.entries {
		if !listed[name] && r.goneAt.IsZero() {
			changed = s.remove(now, name, removal{rev: rev}) || changed
		}
	}
	maps.DeleteFunc(s.revoked, func(name ident.Server, _ Entry[T]) bool { return !listed[name] })
	return changed
}

// Put applies a change of the store that added or rewrote an entry. It reports whether the set
// changed.
func (s *Set[T]) Put(e Entry[T]) bool { return !s.removalOf(e.Name).excludes(e.Rev) && s.put(e) }

// put applies an entry that is known to exist.
func (s *Set[T]) put(e Entry[T]) bool {
	if s.entries == nil {
		s.entries = map[ident.Server]*record[T]{}
	}
	old := s.entries[e.Name]
	if old != nil && old.Rev >= e.Rev && old.goneAt.IsZero() || s.reappeared(old, e) {
		return false
	}
	s.latestRev = max(s.latestRev, e.Rev)
	s.entries[e.Name] = &record[T]{Entry: e}
	delete(s.removed, e.Name)
	return true
}

// Remove applies a change of the store that removed an entry: no version up to a revision exists
// any more. It reports whether the set changed.
func (s *Set[T]) Remove(now time.Time, name ident.Server, rev uint64) bool {
	s.StoreUp(now)
	delete(s.revoked, name)
	r := s.entries[name]
	switch {
	case r == nil:
		s.noteRemoval(name, removal{rev: rev})
		return false
	case rev < r.Rev:
		return false
	}
	s.latestRev = max(s.latestRev, rev)
	if !r.goneAt.IsZero() {
		r.removal = r.removal.or(removal{rev: rev})
		return false
	}
	return s.remove(now, name, removal{rev: rev})
}

// Applied records that the changes of the store up to a revision have been applied. Lists of
// before are old.
func (s *Set[T]) Applied(rev uint64) { s.latestRev = max(s.latestRev, rev) }

// remove removes an entry and reports whether it did. Shortly after an outage the removal
// is delayed, unless the server announced that it leaves.
func (s *Set[T]) remove(now time.Time, name ident.Server, why removal) bool {
	r := s.entries[name]
	if s.storeJustReturned(now) && !r.Leaving {
		r.goneAt, r.removal = s.storeUpSince.Add(RelistTime), why
		return false
	}
	s.noteRemoval(name, why)
	delete(s.entries, name)
	return true
}

// Expire removes the entries whose delay after an outage is over, and reports whether there
// were any.
func (s *Set[T]) Expire(now time.Time) bool {
	dropped := false
	for name, r := range s.entries {
		if !r.goneAt.IsZero() && !now.Before(r.goneAt) {
			s.noteRemoval(name, r.removal)
			delete(s.entries, name)
			dropped = true
		}
	}
	return s.restoreRevoked(now) || dropped
}

// All returns the entries of all servers, by name. It includes those whose removal is
// delayed.
func (s *Set[T]) All() []Entry[T] {
	list := make([]Entry[T], 0, len(s.entries))
	for _, r := range s.entries {
		list = append(list, r.Entry)
	}
	slices.SortFunc(list, func(a, b Entry[T]) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
