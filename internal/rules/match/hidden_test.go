package match

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// firstHidingNaive is the reference for firstHiding: it compares a rule with all earlier
// ones.
func firstHidingNaive(rules []Rule, i int) int {
	for j := range rules[:i] {
		if rules[j].hides(&rules[i]) {
			return j
		}
	}
	return i
}

// The check looks up hidden rules through the index, so that thousands of rules are
// checked while the author waits. A rule that it misses never takes effect and its author
// is not told; it must find the same rule as a comparison of every pair.
func TestHiddenRuleCheckAgreesWithPairwiseComparison(t *testing.T) {
	for name, draw := range map[string]func(t *rapid.T, most int) []Rule{"sites": drawHostPathRules, "all conditions": drawRules} {
		t.Run(name, func(t *testing.T) {
			seeds.Check(t, func(t *rapid.T) {
				rules := compileUnchecked(draw(t, 60)).Rules()
				x := newIndex(rules)
				for i := range rules {
					got, _ := x.firstHiding(rules, i)
					assert.Equal(t, got, firstHidingNaive(rules, i), "rule %d: %+v", i, rules[i].When)
				}
			})
		})
	}
}

// Every edit of thousands of rules runs the check while the author waits. If it compared
// every pair of rules, twice as many rules would take four times as long.
func TestHiddenRuleCheckComparesFewRules(t *testing.T) {
	for name, rules := range map[string][]Rule{"prefixes": prefixRules(MaxRules), "paths": manyRules(MaxRules)} {
		normalized := compileUnchecked(rules).Rules()
		x := newIndex(normalized)
		for i := range normalized {
			first, compared := x.firstHiding(normalized, i)
			assert.Equal(t, first, i, name)
			assert.Assert(t, compared <= maxComparisons, "%s: rule %d took %d comparisons", name, i, compared)
		}
	}
}
