package member

import (
	"maps"
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// removal is what is known of the end of an entry.
type removal struct {
	rev uint64 // no version up to it exists any more
	// peerRev is the revision of the list of another VM that lacked the entry, zero if the store
	// told its removal. That VM may have been wrong.
	peerRev uint64
}

// excludes reports whether an entry of a revision is one that was removed.
func (r removal) excludes(rev uint64) bool { return rev <= r.rev }

// removalOf returns the removal of a server that is removed or missing.
func (s *Set[T]) removalOf(name ident.Server) removal {
	if r := s.entries[name]; r != nil {
		return r.removal
	}
	return s.removed[name]
}

// or returns the removal that says more: of the later revision, or by the store.
func (r removal) or(o removal) removal {
	if o.rev > r.rev || o.rev == r.rev && o.peerRev == 0 {
		return o
	}
	return r
}

// maxRemoved bounds the number of removed servers that are remembered. A forgotten one
// could be restored only by a list that is thousands of removals old.
const maxRemoved = 4096

// noteRemoval remembers a removal, unless its revision is not known.
func (s *Set[T]) noteRemoval(name ident.Server, why removal) {
	if why.rev == 0 {
		return
	}
	if s.removed == nil {
		s.removed = map[ident.Server]removal{}
	}
	if len(s.removed) >= maxRemoved {
		s.pruneRemoved()
	}
	s.removed[name] = s.removed[name].or(why)
}

// pruneRemoved forgets the older half of the removed servers. The newer half is kept,
// because a list that is a second old would otherwise restore a server that has just left.
func (s *Set[T]) pruneRemoved() {
	revs := make([]uint64, 0, len(s.removed))
	for _, r := range s.removed {
		revs = append(revs, r.rev)
	}
	slices.Sort(revs)
	median := revs[len(revs)/2]
	maps.DeleteFunc(s.removed, func(_ ident.Server, r removal) bool { return r.rev < median })
	if len(s.removed) >= maxRemoved { // most were removed at the same revision
		maps.DeleteFunc(s.removed, func(_ ident.Server, r removal) bool { return r.rev <= median })
	}
}

// Rejection is an entry of a list that the set does not take, since versions up to RemovedRev are
// known as removed.
type Rejection struct {
	Name            ident.Server
	Rev, RemovedRev uint64
}

// Rejected returns the entries of a list whose servers are not in the set.
func (s *Set[T]) Rejected(list []Entry[T]) []Rejection {
	var all []Rejection
	for _, e := range list {
		if s.entries[e.Name] == nil {
			all = append(all, Rejection{Name: e.Name, Rev: e.Rev, RemovedRev: s.removed[e.Name].rev})
		}
	}
	return all
}
