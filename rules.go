package hawthornfield

import "hawthornfield.org/hawthornfield/internal/rules/match"

// What a request matches: an ordered list, the first rule decides.
type (
	// Rule is one when-then rule.
	Rule = match.Rule
	// When is what a rule asks of a request.
	When = match.When
	// Then is what it decides.
	Then = match.Then
	// RuleRequest is what rules see of a request.
	RuleRequest = match.Request
	// RuleSet is a compiled list, safe for concurrent use.
	RuleSet = match.Set
)

// ParseRules reads a rule file and names every fault by its line.
func ParseRules(src []byte) ([]Rule, error) {
	f, err := match.Parse(src)
	return f.Rules, err
}

// CompileRules checks an ordered list and prepares it for matching. It refuses a
// rule that can never match, and names the earlier one that hides it.
func CompileRules(rules []Rule) (*RuleSet, error) { return match.Compile(rules) }

// RuleKey finds the key that a matched rule takes from a request.
func RuleKey(r *Rule, req *RuleRequest) (Key, error) { return match.KeyOf(r, req) }
