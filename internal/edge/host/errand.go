package host

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// errand decides which VM is asked next for rules that are known to exist. The zero
// value wants none.
type errand struct {
	want uint64         // newest revision that was named
	from netip.AddrPort // who named it, and so has it
	done uint64         // newest that was fetched, whether or not it could be put in force
	tour []netip.AddrPort
	vain int // tours that came to nothing, in a row
}

// name takes in that a VM has a revision, and reports whether none so new was named
// before.
func (e *errand) name(rev uint64, at netip.AddrPort) bool {
	if rev < e.want {
		return false
	}
	news := rev > e.want
	e.want, e.from = rev, at
	if news {
		e.tour, e.vain = nil, 0
	}
	return news
}

// due reports whether rules are to be fetched by a VM that has a revision.
func (e *errand) due(held uint64) bool { return e.want > max(held, e.done) }

// next is whom to ask: on each tour first who named the revision, then the others in
// random order. With the same order on every VM all would ask the same one, which sends
// to a few at once.
func (e *errand) next(others []netip.AddrPort) netip.AddrPort {
	if len(e.tour) == 0 {
		e.tour = append(e.tour, e.from)
		for _, i := range rand.Perm(len(others)) {
			if !slices.Contains(e.tour, others[i]) {
				e.tour = append(e.tour, others[i])
			}
		}
	}
	at := e.tour[0]
	e.tour = e.tour[1:]
	return at
}

// Pauses between requests for rules.
const (
	// tryPause is how long a VM takes on average to send rules to one other, and to have
	// a place for the next.
	tryPause  = 30 * time.Millisecond
	tourPause = 60 * time.Millisecond
)

// failed is how long to wait after a request that came to nothing, and whether it was
// the last of a tour.
func (e *errand) failed() (pause time.Duration, tour bool) {
	if len(e.tour) > 0 {
		return tryPause, false
	}
	e.vain++
	return min(tourPause<<min(e.vain-1, 8), lastPause), true
}

// fetched takes in that rules came, and so ends the tour.
func (e *errand) fetched(rev uint64) {
	e.done = max(e.done, rev)
	e.tour, e.vain = nil, 0
}
