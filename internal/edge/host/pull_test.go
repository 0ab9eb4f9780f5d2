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

// addr is where VM n is.
func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// Hundreds of VMs learn of new rules from the leader in the same moment. Each asks it
// once, and then the others in an order of its own; if all went on asking the leader, or
// the same VM after it, nobody would be asked who has them by now.
func TestEachVMAsksTheOthersInAnOrderOfItsOwn(t *testing.T) {
	others := []netip.AddrPort{addr(1), addr(2), addr(3), addr(4), addr(5), addr(6), addr(7), addr(8)}
	second := map[netip.AddrPort]int{}
	for range 200 {
		var e pull
		assert.Assert(t, e.name(7, addr(3)))
		round := []netip.AddrPort{e.next(others)}
		assert.Equal(t, round[0], addr(3), "who named it")
		for range len(others) - 1 {
			_, last := e.failed()
			assert.Assert(t, !last)
			round = append(round, e.next(others))
		}
		second[round[1]]++
		slices.SortFunc(round, netip.AddrPort.Compare)
		assert.Assert(t, slices.Equal(round, others), "each once: %v", round)
		_, last := e.failed()
		assert.Assert(t, last)
		assert.Equal(t, e.next(others), addr(3), "once more from the beginning")
	}
	assert.Equal(t, len(second), len(others)-1, "all but the first")
}

// Nobody has the rules any more that were named: the VM that did was lost with them. The
// others are asked less and less often, but never less than each two seconds.
func TestRoundsThatFailGetRarer(t *testing.T) {
	var e pull
	e.name(7, addr(1))
	for range 20 {
		e.next(nil)
		pause, last := e.failed()
		assert.Assert(t, last && pause >= roundPause && pause <= lastPause, "%v", pause)
	}
	e.next(nil)
	pause, _ := e.failed()
	assert.Equal(t, pause, lastPause)
	assert.Assert(t, e.name(8, addr(2)))
	assert.Equal(t, e.next(nil), addr(2))
	pause, _ = e.failed()
	assert.Equal(t, pause, roundPause, "newer rules are asked for at once")
}

func TestWhatIsToBeFetched(t *testing.T) {
	for _, c := range []struct {
		name             string
		named, held, got uint64
		due              bool
	}{
		{"nothing named", 0, 0, 0, false},
		{"newer rules", 7, 6, 0, true},
		{"the store's watch brought them", 7, 7, 0, false},
		{"it brought newer ones", 7, 8, 0, false},
		{"fetched, and refused here", 7, 6, 7, false},
		{"older ones were fetched", 7, 5, 6, true},
	} {
		var e pull
		if c.named > 0 {
			e.name(c.named, addr(1))
		}
		e.fetched(c.got)
		assert.Equal(t, e.due(c.held), c.due, c.name)
	}
	var e pull
	assert.Assert(t, e.name(7, addr(1)))
	assert.Assert(t, !e.name(6, addr(2)), "an older one")
	assert.Assert(t, !e.name(7, addr(3)), "the same")
	assert.Equal(t, e.next(nil), addr(3), "who named it last is there")
}

// spreading is VMs that pass rules on, each to a few at once.
type spreading struct {
	mu    sync.Mutex
	has   map[netip.AddrPort]bool
	busy  map[netip.AddrPort]int // transfers that run
	asked map[netip.AddrPort]int
}

// begin asks a VM for the rules and reports whether it sends them.
func (s *spreading) begin(at netip.AddrPort, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[at]++
	if !s.has[at] || s.busy[at] == most {
		return false
	}
	s.busy[at]++
	return true
}

// end notes that a VM has the rules from another.
func (s *spreading) end(vm, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has[vm] = true
	s.busy[from]--
}

// The store reaches the leader alone, and 519 other VMs learn from it that there are newer
// rules, all in the same moment. Each link carries a copy of 110 KB three at a time in 0.26
// s, 10 Mbit/s. Were each to wait for the leader's copy, the last would have it after 45 s;
// passed on, the rules are everywhere well within the 7 s that an operator may wait, and
// no VM answers more questions a second than it has time for beside its requests.
func TestFiveHundredVMsHaveNewRulesInAFewTurns(t *testing.T) {
	const (
		vms, most, told = 520, 3, 8
		transfer        = 260 * time.Millisecond
		trip            = 5 * time.Millisecond // of a question, there and back
	)
	synctest.Test(t, func(t *testing.T) {
		s := spreading{has: map[netip.AddrPort]bool{addr(0): true}, busy: map[netip.AddrPort]int{}, asked: map[netip.AddrPort]int{}}
		start := time.Now()
		fetch := func(ctx context.Context, vm netip.AddrPort) {
			var e pull
			e.name(7, addr(0))
			for e.due(0) {
				others := make([]netip.AddrPort, told)
				for i := range others {
					others[i] = addr(rand.IntN(vms))
				}
				from := e.next(others)
				time.Sleep(trip)
				if s.begin(from, most) {
					time.Sleep(transfer)
					s.end(vm, from)
					e.fetched(7)
					continue
				}
				pause, _ := e.failed()
				group.Sleep(ctx, pause/2+rand.N(pause))
			}
		}
		var g group.Group
		for i := range vms - 1 {
			g.Go(func(ctx context.Context) error {
				fetch(ctx, addr(i+1))
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		took := time.Since(start)
		leader := float64(s.asked[addr(0)]) / took.Seconds()
		t.Logf("all have them after %v; the leader was asked %.0f times a second", took, leader)
		assert.Assert(t, took < 7*time.Second-headStart, "%v", took)
		assert.Assert(t, leader < 1000, "%.0f questions a second", leader)
	})
}
