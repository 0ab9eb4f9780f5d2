package host

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// fetchPlan decides which VM to ask next for a revision of the rules that is known to
// exist. The zero value wants no revision.
type fetchPlan struct {
	want     uint64           // newest revision announced
	from     netip.AddrPort   // VM that announced it, and so has it
	doneRev  uint64           // newest revision fetched, even if it could not be put in force
	round    []netip.AddrPort // VMs still to be asked in this round
	failures int              // failed rounds in a row
}

// noteRevision records that a VM has a revision, and reports whether it is newer than all
// known before.
func (p *fetchPlan) noteRevision(rev uint64, addr netip.AddrPort) bool {
	if rev < p.want {
		return false
	}
	isNew := rev > p.want
	p.want, p.from = rev, addr
	if isNew {
		p.round, p.failures = nil, 0
	}
	return isNew
}

// due reports whether a VM that holds a revision has to fetch a newer one.
func (p *fetchPlan) due(held uint64) bool { return p.want > max(held, p.doneRev) }

// next returns the VM to ask. Each round starts with the VM that announced the revision
// and goes on with the others in random order. With the same order on every VM, all would
// ask the same one, which sends to only a few at a time.
func (p *fetchPlan) next(others []netip.AddrPort) netip.AddrPort {
	if len(p.round) == 0 {
		p.round = append(p.round, p.from)
		for _, i := range rand.Perm(len(others)) {
			if !slices.Contains(p.round, others[i]) {
				p.round = append(p.round, others[i])
			}
		}
	}
	addr := p.round[0]
	p.round = p.round[1:]
	return addr
}

// Pauses between requests for rules.
const (
	// fetchRetryPause is the average time in which a VM sends the rules to another one
	// and becomes free for the next.
	fetchRetryPause = 30 * time.Millisecond
	// fetchRoundPause is the pause after a failed round; it doubles with each further
	// one.
	fetchRoundPause = 60 * time.Millisecond
)

// failed records a failed request. It returns how long to wait and whether the round has
// ended.
func (p *fetchPlan) failed() (pause time.Duration, roundEnds bool) {
	if len(p.round) > 0 {
		return fetchRetryPause, false
	}
	p.failures++
	return min(fetchRoundPause<<min(p.failures-1, 8), maxBackoff), true
}

// fetched records that a revision was fetched, which ends the round.
func (p *fetchPlan) fetched(rev uint64) {
	p.doneRev = max(p.doneRev, rev)
	p.round, p.failures = nil, 0
}
