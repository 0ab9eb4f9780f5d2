package match

import (
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// CompileAccepted builds a Set from rules that were already accepted elsewhere: by the
// store, or by another version of this program. Unlike [Compile] it rejects nothing. A VM
// that rejected rules which are in force on all other VMs would keep its previous rules
// and answer callers of the new rules with "not found" permanently, and it would have no
// rules at all after its next restart.
//
// The faults that Compile would have reported to the author are returned for the log. A
// rule that cannot be applied keeps its position in the order, so that its requests do not
// fall through to a later rule; [Rule.Check] says why it cannot be applied.
func CompileAccepted(rules []Rule) (*Set, Faults) {
	normalized := normalizeRules(rules)
	c := &checker{}
	for i := range normalized {
		c.rule, c.index = &normalized[i], i
		from := len(c.faults)
		c.addFaultIf(normalized[i].unusable != "", "", normalized[i].unusable)
		c.checkRule()
		normalized[i].sanitize(c.faults[from:])
	}
	return newSet(normalized), c.faults
}

// sanitize makes a rule with faults safe to use. Limits are clamped to their valid range.
// A rule with a fault in one of the fields path, key, split, durable and once is marked as
// unusable, because this program does not know what the rule requires.
func (r *Rule) sanitize(faults Faults) {
	t := &r.Then
	t.Retry = min(max(t.Retry, 0), MaxRetry)
	t.Queue = min(max(t.Queue, 0), MaxQueue)
	t.Wait = max(t.Wait, 0)
	if !t.Idempotent {
		t.Hedge = 0 // a hedged request may run twice
	}
	if r.unusable != "" {
		return
	}
	for _, f := range faults {
		switch f.Field {
		case "when.path":
			r.unusable = f.Field + " " + f.Text
			r.When.Prefix = longer(r.When.Prefix, literalPrefix(r.When.Path))
		case "then.key", "then.split", "then.durable", "then.once":
			r.unusable = f.Field + " " + f.Text
		}
	}
}

// MarkUnreadable marks a placeholder for a rule that could not be read. It keeps that
// rule's position in the order, as far as its conditions are known, and is never applied,
// see [Rule.Check].
func (r *Rule) MarkUnreadable(why string) { r.unusable = why }

// Check returns nil when the rule can be applied. Otherwise it returns an error of kind
// NewerVersion with the reason; the rule's requests are rejected with that error and are
// not run.
func (r *Rule) Check() error {
	if r.unusable == "" {
		return nil
	}
	return kinds.New(kinds.NewerVersion, "rule "+r.Name+" cannot be applied by this version: "+r.unusable)
}

// literalPrefix returns the literal path prefix of a pattern that cannot be parsed, up to
// the last slash before the first special character. It limits the rule to the paths that
// it can have been meant for; without it the rule would match every path and reject the
// requests of all later rules.
func literalPrefix(pattern string) string {
	if i := strings.IndexAny(pattern, "{}*%?#"); i >= 0 {
		pattern = pattern[:i]
	}
	return pattern[:strings.LastIndexByte(pattern, '/')+1]
}

// longer returns the longer of two texts.
func longer(a, b string) string {
	if len(b) > len(a) {
		return b
	}
	return a
}
