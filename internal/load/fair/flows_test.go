package fair

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Guards against losing or confusing flows when they are added and removed in any order and
// many share a home slot. A lost flow has no debt and floods the queue.
func TestFlowsAgreeWithAMap(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var flows flows
		model := map[Flow]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f := Flow(rapid.Uint64Range(1, 60).Draw(t, "flow"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				paid := rapid.Float64Range(0, 5).Draw(t, "paid")
				flows.removePaid(len(flows.slots)+flows.n, paid)
				for g, due := range model {
					if due <= paid {
						if flows.find(g) == nil {
							delete(model, g)
						}
					}
				}
			case 1:
				if flows.n > 0 {
					before := flows.n
					flows.evictNext()
					assert.Equal(t, flows.n, before-1)
					for g := range model {
						if flows.find(g) == nil {
							delete(model, g)
						}
					}
				}
			default:
				due := rapid.Float64Range(0, 10).Draw(t, "due")
				s := flows.find(f)
				if s == nil {
					s = flows.add(f)
				}
				s.due, model[f] = due, due
			}
			assert.Equal(t, flows.n, len(model))
			for g, due := range model {
				s := flows.find(g)
				assert.Assert(t, s != nil, "flow %d is lost", g)
				assert.Equal(t, s.due, due)
			}
			assert.Assert(t, 2*flows.n <= len(flows.slots))
		}
	})
}

// Guards against removing flows with debts, or keeping those without, in a pass over all
// slots.
func TestRemovePaidKeepsFlowsWithDebt(t *testing.T) {
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
			flows.removePaid(len(flows.slots), 1)
		}
		assert.Equal(t, flows.n, owing)
	})
}
