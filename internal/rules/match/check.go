package match

import (
	"reflect"
	"strconv"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Fault is one reason why a list of rules is rejected.
type Fault struct {
	Line  int    // line in the rules file, zero when the rules came from elsewhere
	Rule  string // name of the rule, or its number when it has no name
	Field string // for example "then.deadline"
	Text  string // what is wrong
	By    string // for a rule that can never match: name of the earlier rule that hides it
}

// String renders the fault as one line for an operator.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		b.WriteString("line " + strconv.Itoa(f.Line) + ": ")
	}
	b.WriteString("rule " + f.Rule)
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	b.WriteString(": " + f.Text)
	return b.String()
}

// Faults lists all faults found, in the order of the rules. Use errors.As to extract it
// from an error of this package.
type Faults []Fault

// Error renders one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Service is what Compile needs to know about a service.
type Service struct {
	Divided bool // sharded by key ("divided" in the settings): its rules must set a key source
}

// Option configures the checks of Compile.
type Option func(*checker)

// WithServices reports a fault for each rule that names a service which is not listed, and
// for each rule that has no key although its service is sharded by key.
func WithServices(known map[ident.Service]Service) Option {
	return func(c *checker) { c.known = known }
}

// withLines adds line numbers to faults.
func withLines(l lines) Option {
	return func(c *checker) { c.lines = l }
}

// checker collects the faults of a list of rules.
type checker struct {
	known  map[ident.Service]Service // nil: services are not checked
	lines  lines
	faults Faults

	rule  *Rule // rule being checked
	index int   // position of rule
}

func newChecker(opts []Option) *checker {
	c := &checker{}
	for _, o := range opts {
		o(c)
	}
	return c
}

// addFault adds a fault of the rule being checked.
func (c *checker) addFault(field, text string) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.lineFor(c.index, field), Rule: c.ruleLabel(), Field: field, Text: text,
	})
}

func (c *checker) addFaultIf(bad bool, field, text string) {
	if bad {
		c.addFault(field, text)
	}
}

func (c *checker) ruleLabel() string {
	if c.rule.Name != "" {
		return c.rule.Name
	}
	return "number " + strconv.Itoa(c.index+1)
}

// checkAll compiles the path of each rule and collects the faults of all rules.
func checkAll(rules []Rule, c *checker) error {
	if len(rules) > MaxRules {
		return kinds.New(kinds.TooLarge, "more than "+strconv.Itoa(MaxRules)+" rules")
	}
	seen := make(map[string]int, len(rules))
	for i := range rules {
		c.rule, c.index = &rules[i], i
		c.checkRule()
		if _, twice := seen[c.rule.Name]; twice && c.rule.Name != "" {
			c.addFault("name", "another rule has this name")
		}
		seen[c.rule.Name] = i
	}
	if len(c.faults) == 0 {
		c.checkHidden(rules)
	}
	if len(c.faults) > 0 {
		return kinds.Wrap(kinds.Malformed, c.faults, "check rules")
	}
	return nil
}

func (c *checker) checkRule() {
	c.checkName()
	c.checkWhen()
	c.checkTarget()
	c.checkKey()
	c.checkLimits()
	c.checkEnums()
	c.checkRetention()
}

const maxNameLen = 64

func (c *checker) checkName() {
	name := c.rule.Name
	bad := name == "" || len(name) > maxNameLen || strings.ContainsFunc(name, invalidNameRune)
	c.addFaultIf(bad, "name", "a name must have 1 to 64 letters, digits, dots, dashes or underscores")
}

func invalidNameRune(r rune) bool {
	letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	return !letter && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
}

func (c *checker) checkWhen() {
	w := &c.rule.When
	p, err := parsePath(w.Path)
	if err != nil {
		c.addFault("when.path", messageWithoutKind(err))
	}
	c.rule.path = p
	c.addFaultIf(w.Prefix != "" && (!strings.HasPrefix(w.Prefix, "/") || !strings.HasSuffix(w.Prefix, "/")),
		"when.prefix", "a prefix begins and ends with a slash")
	for _, s := range w.Service {
		c.checkService("when.service", s)
	}
	for _, m := range w.Method {
		c.addFaultIf(m == "" || m != strings.ToUpper(m) || strings.ContainsAny(m, " \t,"), "when.method", "a method must be one word in upper case")
	}
	for _, h := range w.Host {
		c.addFaultIf(invalidPattern(h) || strings.Contains(h, "/"), "when.host", "bad host pattern "+strconv.Quote(h))
	}
	for _, x := range w.Caller {
		c.addFaultIf(invalidPattern(string(x)), "when.caller", "bad caller pattern "+strconv.Quote(string(x)))
	}
	for _, x := range w.Centre {
		c.addFaultIf(x == "", "when.centre", "a centre name must not be empty")
	}
	for name, v := range w.Header {
		c.addFaultIf(name == "" || invalidPattern(v), "when.header", "bad pattern "+strconv.Quote(v)+" for header "+name)
	}
}

func invalidPattern(s string) bool { return s == "" || strings.Count(s, wildcard) > 1 }

// messageWithoutKind returns the message of an error of kind Malformed without the kind in
// front of it.
func messageWithoutKind(err error) string {
	return strings.TrimPrefix(err.Error(), kinds.Malformed.String()+": ")
}

func (c *checker) checkService(field string, s ident.Service) {
	if s == "" {
		c.addFault(field, "a service name must not be empty")
		return
	}
	if c.known == nil {
		return
	}
	_, ok := c.known[s]
	c.addFaultIf(!ok, field, "unknown service "+strconv.Quote(string(s)))
}

func (c *checker) checkTarget() {
	t := &c.rule.Then
	if t.Deny {
		c.addFaultIf(!reflect.DeepEqual(*t, Then{Deny: true}), "then.deny", "a rule with deny must set nothing else")
		return
	}
	if len(t.Split) == 0 {
		c.checkService("then.service", t.Service)
		return
	}
	c.addFaultIf(t.Service != "", "then.service", "a rule with split must not set service")
	c.checkSplit(t.Split)
}

func (c *checker) checkSplit(parts []Part) {
	total := uint64(0)
	for _, p := range parts {
		c.checkService("then.split", p.Service)
		total += uint64(p.Weight)
	}
	c.addFaultIf(total == 0, "then.split", "at least one part needs a weight above zero")
}

func (c *checker) checkKey() {
	t := &c.rule.Then
	if t.Key == "" {
		// A service that is not sharded may have a key too: reports can be queried by key.
		divided := c.known[t.Service].Divided
		c.addFaultIf(divided, "then.key", "the service is sharded by key: set a key source")
		return
	}
	source, name, _ := strings.Cut(t.Key, ":")
	switch {
	case name == "" || source != fromPath && source != fromHeader && source != fromQuery:
		c.addFault("then.key", `a key source is "path:NAME", "header:NAME" or "query:NAME"`)
	case source == fromPath && c.rule.path.varIndex(name) < 0:
		c.addFault("then.key", "the path pattern has no variable "+name)
	}
}

func (c *checker) checkLimits() {
	t := &c.rule.Then
	c.addFaultIf(t.Deadline < 0 || t.Deadline > MaxDeadline, "then.deadline", "outside 0 to "+MaxDeadline.String())
	c.addFaultIf(t.Aim < 0, "then.aim", "is negative")
	c.addFaultIf(t.Deadline > 0 && t.Aim > t.Deadline, "then.aim", "is longer than the deadline")
	c.addFaultIf(t.Retry < 0 || t.Retry > MaxRetry, "then.retry", "outside 0 to "+strconv.Itoa(MaxRetry))
	c.addFaultIf(t.Queue < 0 || t.Queue > MaxQueue, "then.queue", "outside 0 to "+strconv.Itoa(MaxQueue))
	c.addFaultIf(t.Wait < 0, "then.wait", "is negative")
	c.addFaultIf(t.Hedge < 0, "then.hedge", "is negative")
	c.addFaultIf(t.Deadline > 0 && t.Wait > t.Deadline, "then.wait", "is longer than the deadline")
	c.addFaultIf(t.Deadline > 0 && t.Hedge >= t.Deadline, "then.hedge", "must be shorter than the deadline")
	c.addFaultIf(t.Hedge > 0 && !t.Idempotent, "then.hedge", "a hedged request may run twice: allowed only for idempotent requests")
	c.addFaultIf(t.Once == OnceStore && t.Idempotent, "then.once", "an idempotent request may run twice: remove either once or idempotent")
}

func (c *checker) checkEnums() {
	t := &c.rule.Then
	c.addFaultIf(!emptyOrContains([]Class{"", Urgent, Normal, Bulk}, t.Class), "then.class", "must be urgent, normal or bulk")
	c.addFaultIf(!emptyOrContains([]Size{"", Short, Long}, t.Size), "then.size", "must be short or long")
	c.addFaultIf(!emptyOrContains([]Durable{"", DurableNone, DurableJournal}, t.Durable), "then.durable", "must be none or journal")
	c.addFaultIf(!emptyOrContains([]Once{"", OnceNone, OnceStore}, t.Once), "then.once", "must be none or store")
}

// checkRetention reports an invalid retention policy, and a rule that requires a journal
// record of every request while its policy leaves some out.
func (c *checker) checkRetention() {
	t := &c.rule.Then
	if err := t.Keep.Check(); err != nil {
		c.addFault("then.keep", messageWithoutKind(err))
		return
	}
	c.addFaultIf(t.Durable == DurableJournal && !t.Keep.RetainsAll(), "then.keep",
		`durable = "journal" requires a record of every request, but this policy leaves some out`)
	c.addFaultIf(t.Keep.Sampled() && t.Key == "", "then.keep", "a sample is chosen by key: set a key source")
}
