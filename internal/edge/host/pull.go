package host

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// pull decides which VM is asked next for rules that are known to exist. The zero
// value wants none.
type pull struct {
	want     uint64           // newest revision that was named
	from     netip.AddrPort   // who named it, and so has it
	done     uint64           // newest that was fetched, whether or not it could be put in force
	round    []netip.AddrPort // still to be asked
	failures int              // rounds that came to nothing, in a row
}

// name takes in that a VM has a revision, and reports whether none so new was named
// before.
func (p *pull) name(rev uint64, at netip.AddrPort) bool {
	if rev < p.want {
		return false
	}
	news := rev > p.want
	p.want, p.from = rev, at
	if news {
		p.round, p.failures = nil, 0
	}
	return news
}

// due reports whether rules are to be fetched by a VM that has a revision.
func (p *pull) due(held uint64) bool { return p.want > max(held, p.done) }

// next is whom to ask: on each round first who named the revision, then the others in
// random order. With the same order on every VM all would ask the same one, which sends
// to a few at once.
func (p *pull) next(others []netip.AddrPort) netip.AddrPort {
	if len(p.round) == 0 {
		p.round = append(p.round, p.from)
		for _, i := range rand.Perm(len(others)) {
			if !slices.Contains(p.round, others[i]) {
				p.round = append(p.round, others[i])
			}
		}
	}
	at := p.round[0]
	p.round = p.round[1:]
	return at
}

// Pauses between requests for rules.
const (
	// tryPause is how long a VM takes on average to send rules to one other, and to have
	// a place for the next.
	tryPause = 30 * time.Millisecond
	// roundPause is after a round, and doubles with each that fails.
	roundPause = 60 * time.Millisecond
)

// failed is how long to wait after a request that came to nothing, and whether it was
// the last of a round.
func (p *pull) failed() (pause time.Duration, roundEnds bool) {
	if len(p.round) > 0 {
		return tryPause, false
	}
	p.failures++
	return min(roundPause<<min(p.failures-1, 8), lastPause), true
}

// fetched takes in that rules came, and so ends the round.
func (p *pull) fetched(rev uint64) {
	p.done = max(p.done, rev)
	p.round, p.failures = nil, 0
}
