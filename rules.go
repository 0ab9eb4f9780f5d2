package hawthornfield

import "hawthornfield.org/hawthornfield/internal/rules/match"

// Matching of requests to rules. Rules are an ordered list; the first rule that matches
// a request applies.
type (
	// Rule is a condition and the settings for requests that meet it.
	Rule = match.Rule
	// When is the condition of a rule.
	When = match.When
	// Then holds the settings that a rule applies to its requests.
	Then = match.Then
	// RuleRequest holds the properties of a request that rules can match.
	RuleRequest = match.Request
	// RuleSet is a compiled list of rules. It is safe for concurrent use.
	RuleSet = match.Set
)

// ParseRules parses a rule file. Its error lists every fault with its line number.
func ParseRules(src []byte) ([]Rule, error) {
	f, err := match.Parse(src)
	return f.Rules, err
}

// CompileRules validates an ordered list of rules and prepares it for matching. It
// rejects a rule that can never match and names the earlier rule that shadows it.
func CompileRules(rules []Rule) (*RuleSet, error) { return match.Compile(rules) }

// RuleKey extracts the key from req as the matched rule r specifies.
func RuleKey(r *Rule, req *RuleRequest) (Key, error) { return match.KeyOf(r, req) }
