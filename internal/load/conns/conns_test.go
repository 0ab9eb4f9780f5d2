package conns

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

// A VM joins, another leaves a moment later. The share must shrink at once and
// grow late: the server would otherwise refuse connections of whoever comes last.
func TestShareShrinksAtOnceAndGrowsLate(t *testing.T) {
	var p Pool
	p.SetShare(begin, 45, 9)
	assert.Equal(t, p.Max(begin), 5)
	p.SetShare(begin, 45, 10)
	assert.Equal(t, p.Max(begin), 4)
	p.SetShare(begin, 45, 5)
	assert.Equal(t, p.Max(begin.Add(Settle-1)), 4)
	assert.Equal(t, p.Max(begin.Add(Settle)), 9)
	p.SetShare(begin, 3, 10)
	assert.Equal(t, p.Max(begin), 1, "a VM without any connection is shut out")
}

// Connections used lately stay warm, those of a burst minutes ago do not.
func TestWarmFollowsTheRecentPeak(t *testing.T) {
	var p Pool
	p.SetShare(begin, 100, 10)
	for range 8 {
		p.Acquire(begin)
	}
	for range 8 {
		p.Release(begin)
	}
	assert.Equal(t, p.MaxIdle(begin.Add(time.Second)), 8)
	assert.Equal(t, p.MaxIdle(begin.Add(HalfLife)), 4)
	assert.Assert(t, p.MaxIdle(begin.Add(10*HalfLife)) <= 1)
}

// VMs join and leave, and hear of it at different moments, each before the next
// change. All together must stay within what the server accepts, but for the
// part of a VM that has just joined, which the others give up as they hear; it
// would otherwise refuse connections of whoever comes last.
func TestAllTogetherStayWithinTheServersBound(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(20, 100).Draw(t, "connections")
		n := rapid.IntRange(1, 10).Draw(t, "vms")
		pools := make([]Pool, n, 20)
		now := begin
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
			now = now.Add(Settle + time.Duration(rapid.IntRange(0, 20).Draw(t, "s"))*time.Second)
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
			assert.Assert(t, sum(now) <= total, "%d of %d once all have heard", sum(now), total)
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
