package leases

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// A lessor stays with its holder while that VM is healthy. That rule alone leaves
// lessors unevenly distributed for good: entry VMs start one after the other, the
// first one acquires every lessor before it learns of a second VM, and from then
// on does all renewals of the fleet, while planned moves go to VMs that hold
// nothing. So every VM computes the same even assignment, and the VM that a lessor
// is assigned to takes it over from its holder, one at a time.
//
// Such a takeover follows the same protocol as one after a loss and is as safe:
// the old holder goes on renewing until the new one has asked it to yield. It
// costs two writes and no unavailable time, so the limits below protect the store.
const (
	// balanceAfter is how long the list of VMs must have been unchanged. A VM that
	// restarts gets its lessors back after that, not during the restart.
	balanceAfter = 5 * time.Second
	// balancePeriod is the time between two takeovers by one VM, and
	// balancePeriodPerVM is what each live VM adds to it: the whole fleet makes at
	// most 50 takeovers, or 100 writes, a second, however many VMs start at once.
	balancePeriod      = time.Second
	balancePeriodPerVM = 20 * time.Millisecond
	// takeOverBackoff is how long a lessor is not taken over again, doubled each time
	// up to maxTakeOverBackoff: two VMs that disagree about which VMs are live would
	// otherwise keep taking a lessor from each other.
	takeOverBackoff    = 10 * time.Second
	maxTakeOverBackoff = 10 * time.Minute
)

// Target is one lessor to assign: a backend server and its data centre.
type Target struct {
	Service ident.Service
	Server  ident.Server
	Centre  ident.Centre
}

// Pair is the preferred holder and the deputy of a lessor, empty where there are too few VMs.
type Pair struct{ Preferred, Deputy ident.VM }

// AssignAll assigns each lessor as [Assign] does, but gives no VM more than its fair
// share of them, rounded up, unless all VMs in other data centres than the server's
// have theirs: the loss of one data centre must never take a server and its
// authority together, and that matters more than an even distribution. Every VM
// computes the same result from the same list.
func AssignAll(targets []Target, live []vmlist.VM) map[Target]Pair {
	if len(live) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(a, b Target) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Server), string(b.Server)))
	})
	share := (len(targets) + len(live) - 1) / len(live)
	held := make([]int, len(live))
	hashes := hashIDs(live)
	pairs := make(map[Target]Pair, len(targets))
	for _, t := range sorted {
		i := pickPreferred(t, live, hashes, held, share)
		held[i]++
		preferred := &live[i]
		pairs[t] = Pair{Preferred: preferred.ID, Deputy: deputyOf(preferred, t.Centre, live)}
	}
	return pairs
}

func hashIDs(live []vmlist.VM) []uint64 {
	all := make([]uint64, len(live))
	for i, vm := range live {
		all[i] = xxhash.Sum64String(string(vm.ID))
	}
	return all
}

// pickPreferred returns the index of the preferred holder of a lessor: one in
// another data centre that has not reached its share; among several, the first in
// rendezvous order.
func pickPreferred(t Target, live []vmlist.VM, hashes []uint64, held []int, share int) int {
	seed := xxhash.Sum64String(string(t.Service) + "\x00" + string(t.Server))
	rank := func(i int) int {
		over := max(held[i]+1-share, 0)
		if live[i].Centre == t.Centre {
			return over + 1<<32
		}
		return over
	}
	found, foundRank, foundHash := 0, rank(0), mixHashes(seed, hashes[0])
	for i := 1; i < len(live); i++ {
		r, h := rank(i), mixHashes(seed, hashes[i])
		if r < foundRank || r == foundRank && h > foundHash {
			found, foundRank, foundHash = i, r, h
		}
	}
	return found
}

// mixHashes combines two hashes so that each lessor orders the VMs differently
// (the finisher of splitmix64).
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// assignment is the assignment in force on this VM, and the state of balancing.
type assignment struct {
	pairs        map[Target]Pair
	live         []vmlist.VM
	since        time.Time // when live last changed
	nextTakeOver time.Time // no takeover before
	backoffs     map[Target]backoff
}

// backoff keeps a lessor from being taken over again too soon.
type backoff struct {
	until time.Time
	pause time.Duration
}

func (h *hostedLessor) target() Target { return Target{h.lessorID.svc, h.srv, h.cfg.centre} }

// assignLive computes and stores the assignment of all lessors to the live VMs.
func (mgr *Manager) assignLive(live []vmlist.VM) map[Target]Pair {
	pairs := AssignAll(mgr.targets, live)
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if !slices.Equal(mgr.assigned.live, live) {
		mgr.assigned.since = time.Now()
	}
	mgr.assigned.pairs, mgr.assigned.live = pairs, slices.Clone(live)
	return pairs
}

// Pair returns the VMs that a lessor is assigned to.
func (mgr *Manager) Pair(svc ident.Service, srv ident.Server) Pair {
	h, ok := mgr.lessors[lessorID{svc, srv}]
	if !ok {
		return Pair{}
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.assigned.pairs[h.target()]
}

// balance periodically takes over one lessor that is assigned to this VM and held
// by another.
func (mgr *Manager) balance(ctx context.Context) error {
	t := time.NewTicker(balancePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			mgr.balanceOne(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// balanceOne starts at most one takeover.
func (mgr *Manager) balanceOne(now time.Time) {
	for _, h := range mgr.assignedHere(now) {
		s := h.loop.Model().(lessor.Lessor).Status()
		if s.Holder == "" || s.Holder == mgr.VM || s.Epoch != 0 || !mgr.Accepting(h.srv) {
			continue // the holder of a leaving server's lessor is moving its keys
		}
		if mgr.mayTakeOver(h.target(), now) {
			mgr.effects.Go(func(ctx context.Context) error {
				mgr.takeOver(ctx, h, s.Holder)
				return nil
			})
			return
		}
	}
}

// takeOver takes a lessor over from its holder, if the server answers this VM. The
// server may just have been lost, while the holder waits for its lease to expire: a
// new holder only knows that the old one may have renewed the lease until now, and
// would wait for a whole lease again, 0.7 s more for all keys of the server.
func (mgr *Manager) takeOver(ctx context.Context, h *hostedLessor, holder ident.VM) {
	ctx, cancel := context.WithTimeout(ctx, mgr.Times.CallTimeout)
	defer cancel()
	if _, err := mgr.Control.Read(ctx, h.cfg.control, h.lessorID.svc, h.srv); err != nil {
		return
	}
	mgr.Log.Info("taking over a lessor to balance the fleet", "service", h.lessorID.svc, "server", h.srv, "from", holder)
	h.loop.Send(lessor.TakeOverMsg{VM: holder})
}

// assignedHere lists the lessors that are assigned to this VM, or nothing if it is
// too early for the next takeover.
func (mgr *Manager) assignedHere(now time.Time) []*hostedLessor {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if now.Before(mgr.assigned.nextTakeOver) || now.Sub(mgr.assigned.since) < balanceAfter {
		return nil
	}
	var mine []*hostedLessor
	for _, h := range mgr.lessors {
		if mgr.assigned.pairs[h.target()].Preferred == mgr.VM {
			mine = append(mine, h)
		}
	}
	slices.SortFunc(mine, func(a, b *hostedLessor) int { return strings.Compare(string(a.srv), string(b.srv)) })
	return mine
}

// mayTakeOver reports whether a lessor may be taken over now; if so, it starts the
// lessor's backoff and the wait for the next takeover.
func (mgr *Manager) mayTakeOver(t Target, now time.Time) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	b := mgr.assigned.backoffs[t]
	if now.Before(b.until) {
		return false
	}
	if now.Sub(b.until) > maxTakeOverBackoff {
		b.pause = 0 // the last takeover was long ago
	}
	b.pause = min(max(2*b.pause, takeOverBackoff), maxTakeOverBackoff)
	b.until = now.Add(b.pause)
	if mgr.assigned.backoffs == nil {
		mgr.assigned.backoffs = map[Target]backoff{}
	}
	mgr.assigned.backoffs[t] = b
	mgr.assigned.nextTakeOver = now.Add(balancePeriod + time.Duration(len(mgr.assigned.live))*balancePeriodPerVM)
	return true
}
