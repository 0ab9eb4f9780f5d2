package host

import (
	"net/netip"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func addr(n int) netip.AddrPort {
	return netip.MustParseAddrPort("10.0.0." + strconv.Itoa(n) + ":7000")
}

// Hundreds of VMs learn of new rules from the leader in the same moment. Each asks it
// once, and then the others in an order of its own; if all went on asking the leader, or
// the same VM after it, nobody would be asked who has them by now.
func TestEachVMAsksTheOthersInAnOrderOfItsOwn(t *testing.T) {
	others := []netip.AddrPort{addr(1), addr(2), addr(3), addr(4), addr(5), addr(6), addr(7), addr(8)}
	second := map[netip.AddrPort]int{}
	for range 200 {
		var e errand
		assert.Assert(t, e.name(7, addr(3)))
		tour := []netip.AddrPort{e.next(others)}
		assert.Equal(t, tour[0], addr(3), "who named it")
		for range len(others) - 1 {
			_, last := e.failed()
			assert.Assert(t, !last)
			tour = append(tour, e.next(others))
		}
		second[tour[1]]++
		slices.SortFunc(tour, netip.AddrPort.Compare)
		assert.Assert(t, slices.Equal(tour, others), "each once: %v", tour)
		_, last := e.failed()
		assert.Assert(t, last)
		assert.Equal(t, e.next(others), addr(3), "once more from the beginning")
	}
	assert.Equal(t, len(second), len(others)-1, "all but the first")
}

// Nobody has the rules any more that were named: the VM that did was lost with them. The
// others are asked less and less often, but never less than each two seconds.
func TestToursInVainGetRarer(t *testing.T) {
	var e errand
	e.name(7, addr(1))
	for range 20 {
		e.next(nil)
		pause, last := e.failed()
		assert.Assert(t, last && pause >= tourPause && pause <= lastPause, "%v", pause)
	}
	e.next(nil)
	pause, _ := e.failed()
	assert.Equal(t, pause, lastPause)
	assert.Assert(t, e.name(8, addr(2)))
	assert.Equal(t, e.next(nil), addr(2))
	pause, _ = e.failed()
	assert.Equal(t, pause, tourPause, "newer rules are asked for at once")
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
		var e errand
		if c.named > 0 {
			e.name(c.named, addr(1))
		}
		e.fetched(c.got)
		assert.Equal(t, e.due(c.held), c.due, c.name)
	}
	var e errand
	assert.Assert(t, e.name(7, addr(1)))
	assert.Assert(t, !e.name(6, addr(2)), "an older one")
	assert.Assert(t, !e.name(7, addr(3)), "the same")
	assert.Equal(t, e.next(nil), addr(3), "who named it last is there")
}
