package conns

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

// Guards against refused connections when a VM joins and another leaves a moment later: the
// share must shrink at once and grow late.
func TestShareShrinksAtOnceAndGrowsLate(t *testing.T) {
	var p Pool
	p.SetShare(start, 45, 9)
	assert.Equal(t, p.Max(start), 5)
	p.SetShare(start, 45, 10)
	assert.Equal(t, p.Max(start), 4)
	p.SetShare(start, 45, 5)
	assert.Equal(t, p.Max(start.Add(GrowDelay-1)), 4)
	assert.Equal(t, p.Max(start.Add(GrowDelay)), 9)
	p.SetShare(start, 3, 10)
	assert.Equal(t, p.Max(start), 1, "each VM must be allowed one connection")
}

// Guards against closing connections that were in use lately, and against keeping those of
// a burst minutes ago.
func TestIdleConnectionsFollowTheRecentPeak(t *testing.T) {
	var p Pool
	p.SetShare(start, 100, 10)
	for range 8 {
		p.Acquire(start)
	}
	for range 8 {
		p.Release(start)
	}
	assert.Equal(t, p.MaxIdle(start.Add(time.Second)), 8)
	assert.Equal(t, p.MaxIdle(start.Add(PeakHalfLife)), 4)
	assert.Assert(t, p.MaxIdle(start.Add(10*PeakHalfLife)) <= 1)
}

// Guards against exceeding the connections that the server accepts when VMs join and leave
// and learn of it at different moments. Only the share of a VM that has just joined may
// exceed them, until the others have learned of it.
func TestSumOfSharesStaysWithinTheServersBound(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(20, 100).Draw(t, "connections")
		n := rapid.IntRange(1, 10).Draw(t, "vms")
		pools := make([]Pool, n, 20)
		now := start
		for i := range pools {
			pools[i].SetShare(now, total, n)
		}
		sum := func(at time.Time) (all int) {
			for i := range pools {
				all += pools[i].Max(at)
			}
			return all
		}
		for range 30 {
			now = now.Add(GrowDelay + time.Duration(rapid.IntRange(0, 20).Draw(t, "s"))*time.Second)
			allowed := total
			if len(pools) < 20 && (len(pools) == 1 || rapid.Bool().Draw(t, "joins")) {
				pools = append(pools, Pool{})
				pools[len(pools)-1].SetShare(now, total, len(pools))
				allowed += max(total/len(pools), 1)
			} else {
				pools = pools[:len(pools)-1]
			}
			for _, i := range rapid.Permutation(indices(len(pools))).Draw(t, "order") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				pools[i].SetShare(now, total, len(pools))
				assert.Assert(t, sum(now) <= allowed, "%d of %d", sum(now), total)
			}
			assert.Assert(t, sum(now) <= total, "%d of %d after all VMs learned of the change", sum(now), total)
			assert.Assert(t, sum(now.Add(time.Hour)) <= total)
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
