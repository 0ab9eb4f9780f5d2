package member

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// MergePeer applies the complete list of another VM at a revision. It reports whether the
// set changed. That VM may have removed an entry that the store still lists, or lists
// again, so its list does not exclude later entries of the same name.
func (s *Set[T]) MergePeer(now time.Time, rev uint64, list []Entry[T]) bool {
	if rev < s.latestRev {
		return false
	}
	return s.mergeList(now, rev, list, func(e Entry[T]) bool { return s.putFromPeer(e, rev) })
}

// MergePeerDelta applies the changes in the list of another VM up to a revision: entries
// that are new or were rewritten, and names of servers that are gone. It reports whether
// the set changed.
func (s *Set[T]) MergePeerDelta(now time.Time, rev uint64, list []Entry[T], gone []ident.Server) bool {
	if rev < s.latestRev {
		return false
	}
	s.noteRev(now, rev)
	changed := false
	for _, e := range list {
		changed = s.putFromPeer(e, rev) || changed
	}
	for _, name := range gone {
		if r := s.entries[name]; r != nil {
			changed = s.markMissingAtPeer(now, r, rev) || changed
		}
	}
	return changed
}

// AdoptPeer applies the complete list of another VM that is known to be current although this
// set may have heard of later revisions. Like the store's own, it outranks what was heard of
// removals. It reports whether the set changed.
func (s *Set[T]) AdoptPeer(now time.Time, rev uint64, list []Entry[T]) bool {
	return s.mergeList(now, max(rev, s.latestRev), list, s.put)
}

// mergeList puts the entries of the complete list of another VM at a revision, and removes the
// others.
func (s *Set[T]) mergeList(now time.Time, rev uint64, list []Entry[T], put func(Entry[T]) bool) bool {
	s.noteRev(now, rev)
	listed := make(map[ident.Server]bool, len(list))
	changed := false
	for _, e := range list {
		listed[e.Name] = true
		changed = put(e) || changed
	}
	for name, r := range s.entries {
		if !listed[name] {
			changed = s.markMissingAtPeer(now, r, rev) || changed
		}
	}
	return changed
}

// markMissingAtPeer removes an entry that another VM does not list at a revision, unless
// the entry is newer.
func (s *Set[T]) markMissingAtPeer(now time.Time, r *record[T], rev uint64) bool {
	return r.Rev <= rev && r.goneAt.IsZero() && s.remove(now, r.Name, removal{rev: r.Rev, peerRev: rev})
}

// putFromPeer applies an entry of the list of another VM at a revision. A removal that the store
// told is not taken back by it, one that only an earlier list of a VM showed is.
func (s *Set[T]) putFromPeer(e Entry[T], rev uint64) bool {
	if r := s.removalOf(e.Name); r.excludes(e.Rev) && (r.peerRev == 0 || rev < r.peerRev) {
		return false
	}
	return s.put(e)
}
