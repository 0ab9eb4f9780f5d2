package host

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// vmAddr is the address of VM n.
func vmAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// Guards against VMs that all ask the same one. Hundreds of VMs learn of new rules at the
// same moment; if all kept asking the leader, or the same VM after it, nobody would ask
// the VMs that already have the rules.
func TestEachVMAsksTheOthersInAnOrderOfItsOwn(t *testing.T) {
	others := []netip.AddrPort{vmAddr(1), vmAddr(2), vmAddr(3), vmAddr(4), vmAddr(5), vmAddr(6), vmAddr(7), vmAddr(8)}
	second := map[netip.AddrPort]int{}
	for range 200 {
		var p fetchPlan
		assert.Assert(t, p.noteRevision(7, vmAddr(3)))
		round := []netip.AddrPort{p.next(others)}
		assert.Equal(t, round[0], vmAddr(3), "the VM that announced it")
		for range len(others) - 1 {
			_, last := p.failed()
			assert.Assert(t, !last)
			round = append(round, p.next(others))
		}
		second[round[1]]++
		slices.SortFunc(round, netip.AddrPort.Compare)
		assert.Assert(t, slices.Equal(round, others), "each VM once: %v", round)
		_, last := p.failed()
		assert.Assert(t, last)
		assert.Equal(t, p.next(others), vmAddr(3), "the next round starts with the same VM")
	}
	assert.Equal(t, len(second), len(others)-1, "every other VM is second in some round")
}

// Guards against rounds that fail and are repeated too fast or too rarely. If the VM with
// the rules is lost, the others are asked less and less often, but at least every two
// seconds.
func TestFailedRoundsAreRepeatedLessOften(t *testing.T) {
	var p fetchPlan
	p.noteRevision(7, vmAddr(1))
	for range 20 {
		p.next(nil)
		pause, last := p.failed()
		assert.Assert(t, last && pause >= fetchRoundPause && pause <= maxBackoff, "%v", pause)
	}
	p.next(nil)
	pause, _ := p.failed()
	assert.Equal(t, pause, maxBackoff)
	assert.Assert(t, p.noteRevision(8, vmAddr(2)))
	assert.Equal(t, p.next(nil), vmAddr(2))
	pause, _ = p.failed()
	assert.Equal(t, pause, fetchRoundPause, "newer rules are asked for at once")
}

func TestFetchPlanDue(t *testing.T) {
	for _, c := range []struct {
		name             string
		named, held, got uint64
		due              bool
	}{
		{"nothing announced", 0, 0, 0, false},
		{"newer rules", 7, 6, 0, true},
		{"the store's watch brought them", 7, 7, 0, false},
		{"it brought newer ones", 7, 8, 0, false},
		{"fetched, and refused here", 7, 6, 7, false},
		{"older ones were fetched", 7, 5, 6, true},
	} {
		var p fetchPlan
		if c.named > 0 {
			p.noteRevision(c.named, vmAddr(1))
		}
		p.fetched(c.got)
		assert.Equal(t, p.due(c.held), c.due, c.name)
	}
	var p fetchPlan
	assert.Assert(t, p.noteRevision(7, vmAddr(1)))
	assert.Assert(t, !p.noteRevision(6, vmAddr(2)), "older revision")
	assert.Assert(t, !p.noteRevision(7, vmAddr(3)), "same revision")
	assert.Equal(t, p.next(nil), vmAddr(3), "the VM that announced it last")
}

// rulesSpread simulates VMs that pass rules on, each to a few others at a time.
type rulesSpread struct {
	mu        sync.Mutex
	hasRules  map[netip.AddrPort]bool
	transfers map[netip.AddrPort]int // running transfers by sender
	requests  map[netip.AddrPort]int
}

// begin asks a VM for the rules and reports whether it sends them.
func (s *rulesSpread) begin(at netip.AddrPort, maxTransfers int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[at]++
	if !s.hasRules[at] || s.transfers[at] == maxTransfers {
		return false
	}
	s.transfers[at]++
	return true
}

// end records that a VM has received the rules from another.
func (s *rulesSpread) end(vm, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRules[vm] = true
	s.transfers[from]--
}

// Guards against rules that spread too slowly: three copies of 110 KB take 0.26 s at 10
// Mbit/s, so the leader alone would take 45 s for 519 VMs. VMs that pass rules on must have
// them in the 7 s that an operator may wait, and not flood the leader with requests.
func TestRulesSpreadToFiveHundredVMsInTime(t *testing.T) {
	const (
		vms, maxTransfers, named = 520, 3, 8
		transfer                 = 260 * time.Millisecond
		trip                     = 5 * time.Millisecond // round trip of a request
	)
	synctest.Test(t, func(t *testing.T) {
		s := rulesSpread{hasRules: map[netip.AddrPort]bool{vmAddr(0): true}, transfers: map[netip.AddrPort]int{}, requests: map[netip.AddrPort]int{}}
		start := time.Now()
		fetch := func(ctx context.Context, vm netip.AddrPort) {
			var p fetchPlan
			p.noteRevision(7, vmAddr(0))
			for p.due(0) {
				others := make([]netip.AddrPort, named)
				for i := range others {
					others[i] = vmAddr(rand.IntN(vms))
				}
				from := p.next(others)
				time.Sleep(trip)
				if s.begin(from, maxTransfers) {
					time.Sleep(transfer)
					s.end(vm, from)
					p.fetched(7)
					continue
				}
				pause, _ := p.failed()
				group.Sleep(ctx, pause/2+rand.N(pause))
			}
		}
		var g group.Group
		for i := range vms - 1 {
			g.Go(func(ctx context.Context) error {
				fetch(ctx, vmAddr(i+1))
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		took := time.Since(start)
		leader := float64(s.requests[vmAddr(0)]) / took.Seconds()
		t.Logf("all have them after %v; the leader got %.0f requests per second", took, leader)
		assert.Assert(t, took < 7*time.Second-storeHeadStart, "%v", took)
		assert.Assert(t, leader < 1000, "%.0f requests per second", leader)
	})
}
