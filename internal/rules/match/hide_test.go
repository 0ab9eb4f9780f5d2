package match

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// hidingPlain compares a rule with all earlier ones, as a reference.
func hidingPlain(rules []Rule, i int) int {
	for j := range rules[:i] {
		if rules[j].hides(&rules[i]) {
			return j
		}
	}
	return i
}

// An author adds a rule that an earlier one hides, is told nothing, and waits for an
// effect that never comes. The check follows the index so that thousands of rules are
// checked while the author waits; it has to find what comparing every two rules finds,
// and name the same one.
func TestTheCheckFindsEveryHiddenRuleThatTheIndexLeadsTo(t *testing.T) {
	for name, draw := range map[string]func(t *rapid.T, most int) []Rule{"sites": drawSites, "all conditions": drawRules} {
		t.Run(name, func(t *testing.T) {
			seeds.Check(t, func(t *rapid.T) {
				rules := accepted(draw(t, 60)).Rules()
				x := newIndex(rules)
				for i := range rules {
					got, _ := x.hiding(rules, i)
					assert.Equal(t, got, hidingPlain(rules, i), "rule %d: %+v", i, rules[i].When)
				}
			})
		})
	}
}

// An author of thousands of rules checks them before each edit. With every two rules
// compared, twice the rules make the author wait four times as long.
func TestTheCheckComparesARuleWithAHandfulOfOthers(t *testing.T) {
	for name, rules := range map[string][]Rule{"prefixes": prefixRules(MaxRules), "paths": manyRules(MaxRules)} {
		own := accepted(rules).Rules()
		x := newIndex(own)
		for i := range own {
			first, compared := x.hiding(own, i)
			assert.Equal(t, first, i, name)
			assert.Assert(t, compared <= handful, "%s: rule %d took %d comparisons", name, i, compared)
		}
	}
}
