package match

import (
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// CompileAccepted builds a Set from rules that were accepted elsewhere: by the store, or by
// another version of this program. Unlike [Compile] it refuses nothing, because a VM
// cannot turn down what is in force everywhere else: if it kept the rules before, it
// would tell callers of the new ones that nothing is there for them, for good, and
// start with no rules at all after its next restart.
//
// What an author would have been told comes back as faults, for the log. A rule that
// cannot be followed as it stands holds its place in the order all the same, so that
// its requests do not fall to a later rule; [Rule.Check] says why it can't be followed.
func CompileAccepted(rules []Rule) (*Set, Faults) {
	own := cloneRules(rules)
	c := &checker{}
	for i := range own {
		c.rule, c.index = &own[i], i
		from := len(c.faults)
		c.addIf(own[i].fault != "", "", own[i].fault)
		c.checkRule()
		own[i].settle(c.faults[from:])
	}
	return newSet(own), c.faults
}

// settle makes a rule with faults safe to hold: what only bounds it is brought within
// bounds, and what it must promise and this program does not know keeps it from being
// followed.
func (r *Rule) settle(faults Faults) {
	t := &r.Then
	t.Retry = min(max(t.Retry, 0), MaxRetry)
	t.Queue = min(max(t.Queue, 0), MaxQueue)
	t.Wait = max(t.Wait, 0)
	if !t.Idempotent {
		t.Hedge = 0 // a hedge would run the request twice
	}
	if r.fault != "" {
		return
	}
	for _, f := range faults {
		switch f.Field {
		case "when.path":
			r.fault = f.Field + " " + f.Text
			r.When.Prefix = longer(r.When.Prefix, plainStart(r.When.Path))
		case "then.key", "then.split", "then.durable", "then.once":
			r.fault = f.Field + " " + f.Text
		}
	}
}

// MarkUnreadable marks a rule that stands for one that could not be read: it holds the place of
// that one as far as this is known, and is not followed, see [Rule.Check].
func (r *Rule) MarkUnreadable(why string) { r.fault = why }

// Check returns nil when the rule can be followed. Otherwise the error, of kind Newer,
// says what stands in the way: its requests are told to come back, and run nowhere.
func (r *Rule) Check() error {
	if r.fault == "" {
		return nil
	}
	return kinds.New(kinds.NewerVersion, "rule "+r.Name+" cannot be followed here: "+r.fault)
}

// plainStart is what each path that a pattern was meant for begins with, as far as that
// can be told from a pattern that cannot be read. Without it the rule would hold for
// every path, and turn away the requests of all rules below it.
func plainStart(pattern string) string {
	if i := strings.IndexAny(pattern, "{}*%?#"); i >= 0 {
		pattern = pattern[:i]
	}
	return pattern[:strings.LastIndexByte(pattern, '/')+1]
}

func longer(a, b string) string {
	if len(b) > len(a) {
		return b
	}
	return a
}
