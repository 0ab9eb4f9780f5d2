package sizes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

// Guards against more long requests on a server than its long slots, and against a VM
// without any.
func TestLongSlotsAreDividedWhole(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		vms, n, slots := rapid.IntRange(1, 30).Draw(t, "vms"), rapid.IntRange(1, 20).Draw(t, "servers"), rapid.IntRange(1, 8).Draw(t, "slots")
		wantPerServer := max(slots/2, 1)
		perServer := make([]int, n)
		for v := range vms {
			own := 0
			for i := range n {
				k := Share{VMs: vms, Index: v}.LongSlots(i, n, slots)
				own += k
				perServer[i] += k
			}
			assert.Assert(t, own >= 1, "VM %d of %d owns no slot", v, vms)
		}
		for _, k := range perServer {
			if vms <= wantPerServer*n {
				assert.Equal(t, k, wantPerServer)
			}
		}
	})
}

// Guards against restricting uploads when there are no lookups, and against lifting the
// restriction before RecentWindow has passed since the last lookup.
func TestMixedOnlyWhileBothAreAround(t *testing.T) {
	var c Classifier
	c.Seen(start, Long)
	assert.Assert(t, !c.Mixed(start) && c.Only(start, Long))
	c.Seen(start, Short)
	assert.Assert(t, c.Mixed(start.Add(RecentWindow-1)))
	c.Seen(start.Add(RecentWindow), Long)
	assert.Assert(t, c.Only(start.Add(RecentWindow), Long))
}

// Guards against bodies of unknown length that take a hundred times longer than others and
// fill the slots because they count as short.
func TestUnknownSizesAreLearned(t *testing.T) {
	var c Classifier
	assert.Equal(t, c.Kind(-1, 0), Short)
	c.Observe(100, 0, 5*time.Millisecond)
	c.Observe(-1, 0, 500*time.Millisecond)
	assert.Equal(t, c.Kind(-1, 0), Long)
	assert.Equal(t, c.Kind(-1, 1), Short)
	assert.Equal(t, c.Kind(LongBytes, 0), Long)
}

// Guards against two VMs with the token of one server, which would fill it with uploads,
// and against a VM that never gets the token.
func TestTheTokenGoesRound(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		vms, slots := rapid.IntRange(1, 12).Draw(t, "vms"), rapid.IntRange(1, 8).Draw(t, "slots")
		length := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
		server := rapid.IntRange(0, 20).Draw(t, "server")
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "at")))
		tokens := make([]Token, vms)
		for v := range tokens {
			tokens[v] = NewToken(Share{VMs: vms, Index: v}, length, slots)
		}
		window := tokens[0].Period() / time.Duration(vms)
		first, _ := tokens[0].Window(now, server)
		held := map[int]bool{}
		for k := range vms {
			at := now.Add(time.Duration(k) * window)
			holders := 0
			for v := range tokens {
				turn, holds := tokens[v].Window(at, server)
				assert.Equal(t, turn, first+int64(k))
				if holds {
					holders++
					held[v] = true
				}
			}
			assert.Equal(t, holders, 1)
			here, next := 0, 0
			for v := range tokens {
				if _, holds := tokens[v].Window(at, server); holds {
					here = v
				}
				if _, holds := tokens[v].Window(at, server+1); holds {
					next = v
				}
			}
			assert.Assert(t, vms == 1 || here != next, "one VM has the tokens of neighbouring servers at once")
		}
		assert.Equal(t, len(held), vms)
	})
}

// Guards against different windows on VMs that saw uploads of slightly different durations,
// and against windows that do not follow durations that differ greatly.
func TestTokenPeriodIsRoundedToSteps(t *testing.T) {
	period := func(ms int) time.Duration {
		return NewToken(Share{VMs: 10}, time.Duration(ms)*time.Millisecond, 4).Period()
	}
	assert.Equal(t, period(0), period(400))
	assert.Equal(t, period(250), period(750))
	assert.Assert(t, period(4000) > period(400))
	assert.Assert(t, period(40) < period(400))
}
