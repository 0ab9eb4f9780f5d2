package sizes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

// Entry VMs divide the long slots without talking: over all of them no server
// may get more than its part, and no VM may be left without any.
func TestLongSlotsAreDividedWhole(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		vms, n, slots := rapid.IntRange(1, 30).Draw(t, "vms"), rapid.IntRange(1, 20).Draw(t, "servers"), rapid.IntRange(1, 8).Draw(t, "slots")
		each := max(slots/2, 1)
		perServer := make([]int, n)
		for v := range vms {
			own := 0
			for i := range n {
				k := Share{VMs: vms, Index: v}.Long(i, n, slots)
				own += k
				perServer[i] += k
			}
			assert.Assert(t, own >= 1, "VM %d of %d owns none", v, vms)
		}
		for _, k := range perServer {
			if vms <= each*n {
				assert.Equal(t, k, each)
			}
		}
	})
}

// Uploads alone may use everything; while lookups are around they may not, and
// for a while after the last one.
func TestMixedOnlyWhileBothAreAround(t *testing.T) {
	var m Classifier
	m.Seen(begin, Long)
	assert.Assert(t, !m.Mixed(begin) && m.Only(begin, Long))
	m.Seen(begin, Short)
	assert.Assert(t, m.Mixed(begin.Add(Linger-1)))
	m.Seen(begin.Add(Linger), Long)
	assert.Assert(t, m.Only(begin.Add(Linger), Long))
}

// Bodies of unknown length turn out to take a hundred times longer than others.
// They must count as long from then on, or they fill the slots unseen.
func TestUnknownSizesAreLearned(t *testing.T) {
	var m Classifier
	assert.Equal(t, m.Kind(-1, 0), Short)
	m.Observe(100, 0, 5*time.Millisecond)
	m.Observe(-1, 0, 500*time.Millisecond)
	assert.Equal(t, m.Kind(-1, 0), Long)
	assert.Equal(t, m.Kind(-1, 1), Short)
	assert.Equal(t, m.Kind(LongBytes, 0), Long)
}

// The right to start an upload goes round among the entry VMs. At any moment
// exactly one may have it at each server, and each must get it in every round:
// two would fill the server with uploads, and one left out could never upload.
func TestTheTokenGoesRound(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		vms, slots := rapid.IntRange(1, 12).Draw(t, "vms"), rapid.IntRange(1, 8).Draw(t, "slots")
		length := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
		server := rapid.IntRange(0, 20).Draw(t, "server")
		now := begin.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "at")))
		tokens := make([]Token, vms)
		for v := range tokens {
			tokens[v] = NewToken(Share{VMs: vms, Index: v}, length, slots)
		}
		step := tokens[0].Period() / time.Duration(vms)
		first, _ := tokens[0].Window(now, server)
		held := map[int]bool{}
		for k := range vms {
			at := now.Add(time.Duration(k) * step)
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

// VMs see other uploads, and so know their usual length only roughly. They must
// go round in step all the same, and the steps must follow the length when
// uploads are far longer.
func TestTheTokenKeepsStep(t *testing.T) {
	at := func(ms int) time.Duration {
		return NewToken(Share{VMs: 10}, time.Duration(ms)*time.Millisecond, 4).Period()
	}
	assert.Equal(t, at(0), at(400))
	assert.Equal(t, at(250), at(750))
	assert.Assert(t, at(4000) > at(400))
	assert.Assert(t, at(40) < at(400))
}
