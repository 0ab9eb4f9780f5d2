package match

import (
	"reflect"
	"strconv"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Fault is one reason why a list of rules is not accepted.
type Fault struct {
	Line  int    // in the file, zero when the rules came from elsewhere
	Rule  string // name of the rule, or its number when it has none
	Field string // for example "then.deadline"
	Text  string // what is wrong
	By    string // for a rule that can never match: the earlier rule that hides it
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

// Faults lists everything that is wrong, in the order of the rules. Find it in
// an error of this package with errors.As.
type Faults []Fault

// Error renders one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Service is what the check needs to know of a service.
type Service struct {
	Divided bool // by key: its rules must say where the key stands
}

// Option adds to what Compile checks.
type Option func(*checker)

// WithServices makes rules for a service that is not listed a fault, and rules
// for a divided service that name no key, or the other way round.
func WithServices(known map[ident.Service]Service) Option {
	return func(c *checker) { c.known = known }
}

// withLines makes faults carry line numbers.
func withLines(l lines) Option {
	return func(c *checker) { c.lines = l }
}

type checker struct {
	known  map[ident.Service]Service // nil: not checked
	lines  lines
	faults Faults

	rule  *Rule
	index int
}

func newChecker(opts []Option) *checker {
	c := &checker{}
	for _, o := range opts {
		o(c)
	}
	return c
}

// add notes a fault of the present rule.
func (c *checker) add(field, text string) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.of(c.index, field), Rule: c.label(), Field: field, Text: text,
	})
}

func (c *checker) addIf(bad bool, field, text string) {
	if bad {
		c.add(field, text)
	}
}

func (c *checker) label() string {
	if c.rule.Name != "" {
		return c.rule.Name
	}
	return "number " + strconv.Itoa(c.index+1)
}

// checkAll compiles each rule's path and looks for every kind of fault.
func checkAll(rules []Rule, c *checker) error {
	if len(rules) > MaxRules {
		return kinds.New(kinds.TooLarge, "more than "+strconv.Itoa(MaxRules)+" rules")
	}
	seen := make(map[string]int, len(rules))
	for i := range rules {
		c.rule, c.index = &rules[i], i
		c.checkRule()
		if _, twice := seen[c.rule.Name]; twice && c.rule.Name != "" {
			c.add("name", "another rule has this name")
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
	c.checkWords()
	c.checkKeep()
}

const maxName = 64

func (c *checker) checkName() {
	name := c.rule.Name
	bad := name == "" || len(name) > maxName || strings.ContainsFunc(name, notNameRune)
	c.addIf(bad, "name", "a name has 1 to 64 letters, digits, dots, dashes or underscores")
}

func notNameRune(r rune) bool {
	letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	return !letter && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
}

func (c *checker) checkWhen() {
	w := &c.rule.When
	p, err := parsePath(w.Path)
	if err != nil {
		c.add("when.path", reason(err))
	}
	c.rule.path = p
	c.addIf(w.Prefix != "" && (!strings.HasPrefix(w.Prefix, "/") || !strings.HasSuffix(w.Prefix, "/")),
		"when.prefix", "a prefix begins and ends with a slash")
	for _, s := range w.Service {
		c.checkService("when.service", s)
	}
	for _, m := range w.Method {
		c.addIf(m == "" || m != strings.ToUpper(m) || strings.ContainsAny(m, " \t,"), "when.method", "a method is one word in upper case")
	}
	for _, h := range w.Host {
		c.addIf(badPattern(h) || strings.Contains(h, "/"), "when.host", "bad host pattern "+strconv.Quote(h))
	}
	for _, x := range w.Caller {
		c.addIf(badPattern(string(x)), "when.caller", "bad caller pattern "+strconv.Quote(string(x)))
	}
	for _, x := range w.Centre {
		c.addIf(x == "", "when.centre", "a centre has a name")
	}
	for name, v := range w.Header {
		c.addIf(name == "" || badPattern(v), "when.header", "bad pattern "+strconv.Quote(v)+" for header "+name)
	}
}

func badPattern(s string) bool { return s == "" || strings.Count(s, star) > 1 }

// reason returns the message of an error of kind Malformed without its kind.
func reason(err error) string {
	return strings.TrimPrefix(err.Error(), kinds.Malformed.String()+": ")
}

func (c *checker) checkService(field string, s ident.Service) {
	if s == "" {
		c.add(field, "a service has a name")
		return
	}
	if c.known == nil {
		return
	}
	_, ok := c.known[s]
	c.addIf(!ok, field, "unknown service "+strconv.Quote(string(s)))
}

func (c *checker) checkTarget() {
	t := &c.rule.Then
	if t.Deny {
		c.addIf(!reflect.DeepEqual(*t, Then{Deny: true}), "then.deny", "a rule that denies says nothing else")
		return
	}
	if len(t.Split) == 0 {
		c.checkService("then.service", t.Service)
		return
	}
	c.addIf(t.Service != "", "then.service", "a rule that splits names no service beside")
	c.checkSplit(t.Split)
}

func (c *checker) checkSplit(parts []Part) {
	total := uint64(0)
	for _, p := range parts {
		c.checkService("then.split", p.Service)
		total += uint64(p.Weight)
	}
	c.addIf(total == 0, "then.split", "some part has a weight above zero")
}

func (c *checker) checkKey() {
	t := &c.rule.Then
	if t.Key == "" {
		// A service that is not divided may have a key too: reports ask by key.
		divided := c.known[t.Service].Divided
		c.addIf(divided, "then.key", "the service is divided by key: say where the key stands")
		return
	}
	place, name, _ := strings.Cut(t.Key, ":")
	switch {
	case name == "" || place != fromPath && place != fromHeader && place != fromQuery:
		c.add("then.key", `a key source is "path:NAME", "header:NAME" or "query:NAME"`)
	case place == fromPath && c.rule.path.index(name) < 0:
		c.add("then.key", "the path pattern has no variable "+name)
	}
}

func (c *checker) checkLimits() {
	t := &c.rule.Then
	c.addIf(t.Deadline < 0 || t.Deadline > MaxDeadline, "then.deadline", "outside 0 to "+MaxDeadline.String())
	c.addIf(t.Aim < 0, "then.aim", "is negative")
	c.addIf(t.Deadline > 0 && t.Aim > t.Deadline, "then.aim", "is longer than the deadline")
	c.addIf(t.Retry < 0 || t.Retry > MaxRetry, "then.retry", "outside 0 to "+strconv.Itoa(MaxRetry))
	c.addIf(t.Queue < 0 || t.Queue > MaxQueue, "then.queue", "outside 0 to "+strconv.Itoa(MaxQueue))
	c.addIf(t.Wait < 0, "then.wait", "is negative")
	c.addIf(t.Hedge < 0, "then.hedge", "is negative")
	c.addIf(t.Deadline > 0 && t.Wait > t.Deadline, "then.wait", "is longer than the deadline")
	c.addIf(t.Deadline > 0 && t.Hedge >= t.Deadline, "then.hedge", "comes only after the deadline")
	c.addIf(t.Hedge > 0 && !t.Idempotent, "then.hedge", "a hedge runs the request twice: only for idempotent requests")
	c.addIf(t.Once == OnceStore && t.Idempotent, "then.once", "an idempotent request may run twice: leave one of both out")
}

func (c *checker) checkWords() {
	t := &c.rule.Then
	c.addIf(!among([]Class{"", Urgent, Normal, Bulk}, t.Class), "then.class", "is urgent, normal or bulk")
	c.addIf(!among([]Size{"", Short, Long}, t.Size), "then.size", "is short or long")
	c.addIf(!among([]Durable{"", DurableNone, DurableJournal}, t.Durable), "then.durable", "is none or journal")
	c.addIf(!among([]Once{"", OnceNone, OnceStore}, t.Once), "then.once", "is none or store")
}

// checkKeep refuses what a journal cannot keep at once: a rule that demands a
// record of each request, and leaves some out.
func (c *checker) checkKeep() {
	t := &c.rule.Then
	if err := t.Keep.Check(); err != nil {
		c.add("then.keep", reason(err))
		return
	}
	c.addIf(t.Durable == DurableJournal && !t.Keep.RetainsAll(), "then.keep",
		`durable = "journal" demands a record of every request, and this leaves some out`)
	c.addIf(t.Keep.Sampled() && t.Key == "", "then.keep", "a sample is chosen by key: say where the key stands")
}
