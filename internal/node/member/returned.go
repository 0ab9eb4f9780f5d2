package member

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// A store that returns from an older copy lists servers as they were then: one that has left
// since is there again, and one that has announced that it leaves has not. Servers that are
// alive write their entries again.

// ReappearTime is how long an entry that reappeared is ignored unless it is written again.
// After RelistTime a live server has done so, and one that is gone is off the list when its
// entry lapses, 2.6 s after its last renewal.
const ReappearTime = RelistTime + 2600*time.Millisecond

func eraOf(rev uint64) object.Era { return object.Version(rev).Era() }

// noteRev records the revision of a list. The first one of a later era is the store's return:
// entries that are missing from it are waited for as after an outage.
func (s *Set[T]) noteRev(now time.Time, rev uint64) {
	if s.latestRev != 0 && eraOf(rev) > eraOf(s.latestRev) {
		s.storeUpSince, s.storeDown, s.lastAnswer = now, false, now
		s.returnedAt, s.returnedRev = now, rev
		s.revoked = map[ident.Server]Entry[T]{}
	}
	s.latestRev = max(s.latestRev, rev)
}

// reappeared reports whether an entry is from the copy from which the store has returned,
// and an earlier era told that its server leaves or has left. It keeps such an entry for the
// time when it would have lapsed.
func (s *Set[T]) reappeared(old *record[T], e Entry[T]) bool {
	if s.returnedAt.IsZero() || e.Rev > s.returnedRev || eraOf(e.Rev) < eraOf(s.returnedRev) {
		delete(s.revoked, e.Name)
		return false
	}
	removed, known := s.removed[e.Name]
	left := known && eraOf(removed.rev) < eraOf(e.Rev)
	leaving := old != nil && old.Leaving && !e.Leaving && eraOf(old.Rev) < eraOf(e.Rev)
	if !left && !leaving {
		return false
	}
	s.revoked[e.Name] = e
	return true
}

// restoreRevoked applies the entries that are still listed ReappearTime after the return.
// It reports whether the set changed.
func (s *Set[T]) restoreRevoked(now time.Time) bool {
	if len(s.revoked) == 0 || now.Sub(s.returnedAt) < ReappearTime {
		return false
	}
	revoked := maps.Clone(s.revoked)
	s.revoked, s.returnedAt = nil, time.Time{}
	changed := false
	for _, e := range revoked {
		if old := s.entries[e.Name]; old != nil && old.Leaving {
			continue // a server that leaves does not change its mind
		}
		changed = s.put(e) || changed
	}
	return changed
}
