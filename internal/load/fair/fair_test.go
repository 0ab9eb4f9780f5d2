package fair

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// New callers keep coming, one request each, faster than the service works. A
// caller that is one request ahead of its share must still get its turn; it
// would otherwise wait until its deadline, for as long as the rush lasts.
func TestNewcomersDoNotStarveASecondRequest(t *testing.T) {
	var b Book
	const second = Flow(1)
	b.Charge(second, 1)
	tag := b.Charge(second, 1)
	const waiting = 10
	for served := range 2 * waiting {
		newcomer := b.Charge(Flow(100+served), 1)
		if tag <= newcomer {
			return
		}
		b.Serve(newcomer, 1, waiting)
	}
	t.Fatalf("the second request is still behind newcomers, tag %v, now %v", tag, b.Now())
}

// A million callers pass through: the book stays at its bound.
func TestMemoryStaysBounded(t *testing.T) {
	b := Book{Max: 64}
	for i := range 1_000_000 {
		start := b.Charge(Flow(i+1), 1)
		if i%2 == 0 {
			b.Serve(start, 1, 8)
		}
		assert.Assert(t, b.Len() <= 64)
	}
	assert.Assert(t, len(b.finish) <= 64)
}

// Between two flows that both always have something waiting, neither gets more
// than one request ahead of the other, whatever the order in which they came.
func TestBackloggedFlowsShareEqually(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var b Book
		flows := rapid.IntRange(2, 6).Draw(t, "flows")
		queue := map[Flow][]Tag{}
		served := map[Flow]int{}
		refill := func(f Flow) {
			for len(queue[f]) < 3 {
				queue[f] = append(queue[f], b.Charge(f, 1))
			}
		}
		for i := range flows {
			refill(Flow(i + 1))
		}
		for range 200 {
			best := Flow(0)
			for i := range flows {
				f := Flow(i + 1)
				if best == 0 || queue[f][0] < queue[best][0] {
					best = f
				}
			}
			b.Serve(queue[best][0], 1, flows*3)
			queue[best] = queue[best][1:]
			served[best]++
			if rapid.Bool().Draw(t, "refill now") || len(queue[best]) == 0 {
				refill(best)
			}
		}
		least, most := 1<<30, 0
		for i := range flows {
			least, most = min(least, served[Flow(i+1)]), max(most, served[Flow(i+1)])
		}
		assert.Assert(t, most-least <= 3, "served %v", served)
	})
}
