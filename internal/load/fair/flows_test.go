package fair

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Flows come, pay and are forgotten in any order, many of them with the same
// home. The table must agree with a plain map after each step: a flow that is
// lost pays nothing and floods the queue, one that is found twice pays for
// another.
func TestFlowsAgreeWithAMap(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var flows flows
		naive := map[Flow]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f := Flow(rapid.Uint64Range(1, 60).Draw(t, "flow"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				paid := rapid.Float64Range(0, 5).Draw(t, "paid")
				flows.forget(len(flows.slots)+flows.n, paid)
				for g, due := range naive {
					if due <= paid {
						if flows.find(g) == nil {
							delete(naive, g)
						}
					}
				}
			case 1:
				if flows.n > 0 {
					before := flows.n
					flows.drop()
					assert.Equal(t, flows.n, before-1)
					for g := range naive {
						if flows.find(g) == nil {
							delete(naive, g)
						}
					}
				}
			default:
				due := rapid.Float64Range(0, 10).Draw(t, "due")
				s := flows.find(f)
				if s == nil {
					s = flows.add(f)
				}
				s.due, naive[f] = due, due
			}
			assert.Equal(t, flows.n, len(naive))
			for g, due := range naive {
				s := flows.find(g)
				assert.Assert(t, s != nil, "flow %d is lost", g)
				assert.Equal(t, s.due, due)
			}
			assert.Assert(t, 2*flows.n <= len(flows.slots))
		}
	})
}

// All slots looked at once must forget all that owe nothing, and nobody else.
func TestForgettingLeavesOnlyDebtors(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var flows flows
		owing := 0
		for i := range rapid.IntRange(1, 200).Draw(t, "flows") {
			s := flows.add(Flow(i + 1))
			if rapid.Bool().Draw(t, "owes") {
				s.due = 2
				owing++
			}
		}
		for range 2 {
			flows.forget(len(flows.slots), 1)
		}
		assert.Equal(t, flows.n, owing)
	})
}
