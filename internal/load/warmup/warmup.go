// Package warmup bounds the requests that all entry VMs together send to a backend server
// that is cold: one that has just started, or whose caches are empty for another reason. It
// tolerates a few requests a second, and crashes at a rate well above that.
//
// The load: after a data centre returns, a hundred servers are cold at once, and each of
// seventy VMs would send every one of them a request at the same moment. A limit on each VM
// alone does not help, because no VM has less than one request, and VMs that are cut off or
// start disagree on how many they are.
//
// So a cold server gets requests from one VM only. The leader lends it to a VM for a short
// time ([Leases]), with its responses to the polls by which the VMs hear of owners of keys.
// The VM counts the time from when it sent the poll, and the leader from when it received
// it, so the loan ends at the VM first. Until a loan has ended and one more [Window] has
// passed, the leader lends the server to nobody else, and a new leader lends nothing until
// all loans of the one before have ended. A VM without a loan sends nothing, whatever it
// knows. The borrower counts its own starts ([Starts]).
package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// LoanTime is how long a loan lasts from the poll that brought it. VMs poll several times
	// in it.
	LoanTime = time.Second
	// Window is the time in which starts are counted. It is longer than the second in which
	// they may arrive at the server, because their ways there take different times.
	Window = 1200 * time.Millisecond
)

// Allowance returns how many requests one VM may start on a cold server within a [Window].
// A server tolerates rate requests a second, and counts as overrun at more than rate times
// overrun plus slack in one second. Half of that is left for requests that were under way
// when the server became cold.
func Allowance(rate, overrun, slack float64) int {
	steady := rate * max(overrun, 1)
	return int(max(min(steady, (steady+slack)/2), 0))
}

// Starts counts the requests that a VM started on one server in the last [Window]. The zero
// value counts none.
type Starts struct{ times []time.Time }

// Add records a start.
func (s *Starts) Add(now time.Time) {
	s.drop(now)
	s.times = append(s.times, now)
}

// Next returns how long the next start must wait, if limit starts are allowed.
func (s *Starts) Next(now time.Time, limit int) time.Duration {
	s.drop(now)
	if len(s.times) < limit {
		return 0
	}
	if limit <= 0 {
		return Window
	}
	return s.times[len(s.times)-limit].Add(Window).Sub(now)
}

func (s *Starts) drop(now time.Time) {
	i := 0
	for i < len(s.times) && now.Sub(s.times[i]) >= Window {
		i++
	}
	s.times = append(s.times[:0], s.times[i:]...)
}

// Borrower is a VM that may be lent cold servers.
type Borrower struct {
	VM     ident.VM
	Centre ident.Centre
}

// Server is a cold server.
type Server struct {
	Name   ident.Server
	Centre ident.Centre
}

// Leases decides, on the leader, which VM may send requests to each cold server. The zero
// value has lent nothing, as at the start of a whole system.
type Leases struct {
	loans      map[ident.Server]loan
	lendableAt time.Time // until then loans of an earlier leader may last
}

type loan struct {
	vm    ident.VM
	until time.Time
}

// BeginTerm starts this VM's term as leader.
func (l *Leases) BeginTerm(now time.Time) {
	*l = Leases{lendableAt: now.Add(LoanTime + Window)}
}

// Lend returns the cold servers that the borrower vm may use for a [LoanTime], which counts
// from when vm sent its poll. The argument others lists all VMs, vm included: each server
// is lent to one in its own data centre, if there is any, so that the servers spread over
// the VMs.
func (l *Leases) Lend(now time.Time, vm ident.VM, others []Borrower, cold []Server) []ident.Server {
	if now.Before(l.lendableAt) {
		return nil
	}
	l.forget(now)
	if l.loans == nil {
		l.loans = map[ident.Server]loan{}
	}
	var lent []ident.Server
	for _, s := range cold {
		last, ok := l.loans[s.Name]
		if ok && last.vm != vm {
			continue
		}
		if !ok && choose(s, others) != vm {
			continue
		}
		l.loans[s.Name] = loan{vm: vm, until: now.Add(LoanTime)}
		lent = append(lent, s.Name)
	}
	return lent
}

// forget drops the loans whose servers may be lent to another VM.
func (l *Leases) forget(now time.Time) {
	for s, ln := range l.loans {
		if now.Sub(ln.until) >= Window {
			delete(l.loans, s)
		}
	}
}

// choose returns the VM to which a server is lent, by rendezvous hashing.
func choose(s Server, others []Borrower) ident.VM {
	var best ident.VM
	var bestHash uint64
	bestNear := false
	for _, b := range others {
		near := b.Centre == s.Centre
		hash := xxhash.Sum64String(string(b.VM) + "\x00" + string(s.Name))
		if best == "" || near && !bestNear || near == bestNear && hash > bestHash {
			best, bestHash, bestNear = b.VM, hash, near
		}
	}
	return best
}
