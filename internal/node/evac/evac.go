// Package evac keeps which data centres are evacuated: their backend servers must get no
// requests until the operator takes the evacuation back.
//
// The store is the authority. A VM hears of changes from its own watch and from other VMs,
// in any order, so every piece of information carries the store revision as of which it is
// true, and an older one never replaces a newer one.
package evac

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// List is the complete list of evacuated data centres as of a store revision.
type List struct {
	Rev     uint64         `json:"rev"`
	Centres []ident.Centre `json:"centres,omitempty"`
	// Known is for how long the sender has known of each evacuation.
	Known map[ident.Centre]time.Duration `json:"known,omitempty"`
	// Since is since when each is known on this VM. It is not sent.
	Since map[ident.Centre]time.Time `json:"-"`
}

// WithKnown returns the list with Known as of a time.
func (l List) WithKnown(now time.Time) List {
	l.Known = make(map[ident.Centre]time.Duration, len(l.Since))
	for c, since := range l.Since {
		l.Known[c] = max(now.Sub(since), 0)
	}
	return l
}

// Set is the set of evacuated data centres that a VM knows. The zero value knows of none.
type Set struct {
	rev     uint64 // of the newest information
	records map[ident.Centre]record
}

// record is what is known of one data centre.
type record struct {
	rev       uint64
	evacuated bool
	since     time.Time // when the current state began, as far as this VM knows
	endsAt    time.Time // when it ends unless the store has it again by then; zero: it does not
}

// RewriteTime is how long an evacuation lasts that is missing after the store has returned
// from an older copy. The operator writes again what was lost.
const RewriteTime = 5 * time.Second

// Apply replaces the set by a complete list. It returns the data centres whose state
// changed, in order.
func (s *Set) Apply(now time.Time, l List) []ident.Centre {
	var changed []ident.Centre
	for _, c := range l.Centres {
		if s.put(now, c, l.Rev, true, true) {
			changed = append(changed, c)
		}
	}
	for c := range s.records {
		if !slices.Contains(l.Centres, c) && s.put(now, c, l.Rev, false, true) {
			changed = append(changed, c)
		}
	}
	s.rev = max(s.rev, l.Rev)
	slices.Sort(changed)
	return changed
}

// Set records the state of one data centre as of a revision, and reports whether it
// changed.
func (s *Set) Set(now time.Time, c ident.Centre, rev uint64, evacuated bool) bool {
	s.rev = max(s.rev, rev)
	return s.put(now, c, rev, evacuated, false)
}

// Expire ends the evacuations that the store has not had again in time. It returns the data
// centres whose state changed, in order.
func (s *Set) Expire(now time.Time) []ident.Centre {
	var changed []ident.Centre
	for c, r := range s.records {
		// A revision that no VM has heard of: the others were told that it lasts.
		if !r.endsAt.IsZero() && !now.Before(r.endsAt) && s.Set(now, c, s.rev+1, false) {
			changed = append(changed, c)
		}
	}
	slices.Sort(changed)
	return changed
}

// put records a state, from a complete list or from a change.
func (s *Set) put(now time.Time, c ident.Centre, rev uint64, evacuated, byList bool) bool {
	r := s.records[c]
	if rev < r.rev {
		return false
	}
	if s.records == nil {
		s.records = map[ident.Centre]record{}
	}
	if r.evacuated && !evacuated && object.Version(rev).Era() > object.Version(r.rev).Era() {
		r.rev, r.endsAt = rev, now.Add(RewriteTime)
		s.records[c] = r
		return false
	}
	if r.evacuated && !evacuated && now.Before(r.endsAt) && byList {
		return false // still missing, and not taken back
	}
	r.endsAt = time.Time{}
	changed := evacuated != r.evacuated
	if changed {
		r.evacuated, r.since = evacuated, now
	}
	r.rev = rev
	s.records[c] = r
	return changed
}

// Began records that a data centre that is evacuated has been so since a time, or longer.
func (s *Set) Began(c ident.Centre, at time.Time) {
	if r := s.records[c]; r.evacuated && at.Before(r.since) {
		r.since = at
		s.records[c] = r
	}
}

// Since returns since when the evacuated data centres have been so, as far as this VM knows.
func (s *Set) Since() map[ident.Centre]time.Time {
	all := map[ident.Centre]time.Time{}
	for c, r := range s.records {
		if r.evacuated {
			all[c] = r.since
		}
	}
	return all
}

// Evacuated reports whether a data centre is evacuated, and since when, as far as this VM knows.
func (s *Set) Evacuated(c ident.Centre) (since time.Time, ok bool) {
	r := s.records[c]
	return r.since, r.evacuated
}

// ReturnedAt returns when this VM learned that the last evacuation of a data centre ended.
// It is zero for one that was never evacuated or is evacuated now.
func (s *Set) ReturnedAt(c ident.Centre) time.Time {
	if r := s.records[c]; !r.evacuated {
		return r.since
	}
	return time.Time{}
}

// List returns the evacuated data centres, in order, and the revision as of which they are
// known.
func (s *Set) List() List {
	l := List{Rev: s.rev}
	for _, c := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[c].evacuated {
			l.Centres = append(l.Centres, c)
		}
	}
	return l
}

// Known returns the data centres that are or were evacuated, in order.
func (s *Set) Known() []ident.Centre { return slices.Sorted(maps.Keys(s.records)) }
