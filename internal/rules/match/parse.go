package match

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// MaxFile is the maximum size in bytes of a rules file that Parse accepts. It leaves room
// for the other fields of the revision in one value of the object store.
const MaxFile = 1 << 19

const badDuration = `a duration needs a number and a unit, such as "250ms"`

// File is a parsed list of rules together with its line numbers.
type File struct {
	Rules []Rule
	lines lines
}

// Parse decodes a rules file strictly: an unknown field, a value of the wrong type or a
// syntax error fails with kind Malformed and names the line.
func Parse(src []byte) (File, error) {
	if len(src) > MaxFile {
		return File{}, kinds.New(kinds.TooLarge, "rules file")
	}
	var f fileDoc
	dec := toml.NewDecoder(bytes.NewReader(src)).DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return File{}, kinds.Wrap(kinds.Malformed, addPosition(err), "read rules")
	}
	out := File{lines: findLines(src)}
	var faults Faults
	for i, r := range f.Rule {
		out.Rules = append(out.Rules, r.toRule(func(field string) {
			line := out.lines.lineFor(i, field)
			faults = append(faults, Fault{Line: line, Rule: r.Name, Field: field, Text: badDuration})
		}))
	}
	if len(faults) > 0 {
		return File{}, kinds.Wrap(kinds.Malformed, faults, "read rules")
	}
	return out, nil
}

// Compile checks and compiles the rules as [Compile] does; its faults carry line numbers.
func (f File) Compile(opts ...Option) (*Set, error) {
	return Compile(f.Rules, append([]Option{withLines(f.lines)}, opts...)...)
}

// addPosition puts the position of a decoder error in front of its message.
func addPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		line, _ := first.Position()
		key := first.Key()
		return errors.New("line " + strconv.Itoa(line) + ": unknown field " + key[len(key)-1])
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, col := bad.Position()
		return errors.New("line " + strconv.Itoa(line) + ", column " + strconv.Itoa(col) + ": " + bad.Error())
	}
	return err
}

// fileDoc and the types below are the TOML form of rules; durations are text such as
// "250ms".
type fileDoc struct {
	Rule []ruleDoc `toml:"rule"`
}

type ruleDoc struct {
	Name string  `toml:"name"`
	When whenDoc `toml:"when,inline"`
	Then thenDoc `toml:"then,inline"`
}

type whenDoc struct {
	Service []ident.Service   `toml:"service,omitempty"`
	Method  []string          `toml:"method,omitempty"`
	Host    []string          `toml:"host,omitempty"`
	Path    string            `toml:"path,omitempty"`
	Prefix  string            `toml:"prefix,omitempty"`
	Header  map[string]string `toml:"header,omitempty"`
	Caller  []ident.Caller    `toml:"caller,omitempty"`
	Centre  []ident.Centre    `toml:"centre,omitempty"`
}

type thenDoc struct {
	Service    ident.Service `toml:"service,omitempty"`
	Split      []partDoc     `toml:"split,omitempty,inline"`
	Deny       bool          `toml:"deny,omitempty"`
	Key        string        `toml:"key,omitempty"`
	Class      Class         `toml:"class,omitempty"`
	Size       Size          `toml:"size,omitempty"`
	Large      bool          `toml:"large,omitempty"`
	Deadline   string        `toml:"deadline,omitempty"`
	Aim        string        `toml:"aim,omitempty"`
	Idempotent bool          `toml:"idempotent,omitempty"`
	Retry      int           `toml:"retry,omitempty"`
	Hedge      string        `toml:"hedge,omitempty"`
	Queue      int           `toml:"queue,omitempty"`
	Wait       string        `toml:"wait,omitempty"`
	Durable    Durable       `toml:"durable,omitempty"`
	Once       Once          `toml:"once,omitempty"`
	Keep       retain.Policy `toml:"keep,omitempty"`
}

type partDoc struct {
	Service ident.Service `toml:"service"`
	Weight  uint32        `toml:"weight"`
}

// toRule converts a document to a rule. It calls bad for each field with an invalid
// duration.
func (d ruleDoc) toRule(bad func(field string)) Rule {
	t := d.Then
	duration := func(field, text string) time.Duration {
		if text == "" {
			return 0
		}
		v, err := time.ParseDuration(text)
		if err != nil {
			bad(field)
		}
		return v
	}
	return Rule{Name: d.Name, When: When(d.When), Then: Then{
		Service: t.Service, Split: convertParts[Part](t.Split), Deny: t.Deny, Key: t.Key, Class: t.Class, Size: t.Size, Large: t.Large,
		Deadline: duration("then.deadline", t.Deadline), Aim: duration("then.aim", t.Aim), Idempotent: t.Idempotent, Retry: t.Retry,
		Hedge: duration("then.hedge", t.Hedge), Queue: t.Queue, Wait: duration("then.wait", t.Wait),
		Durable: t.Durable, Once: t.Once, Keep: t.Keep,
	}}
}

func newRuleDoc(r *Rule) ruleDoc {
	t := r.Then
	return ruleDoc{Name: r.Name, When: whenDoc(r.When), Then: thenDoc{
		Service: t.Service, Split: convertParts[partDoc](t.Split), Deny: t.Deny, Key: t.Key, Class: t.Class, Size: t.Size, Large: t.Large,
		Deadline: durationText(t.Deadline), Aim: durationText(t.Aim), Idempotent: t.Idempotent, Retry: t.Retry,
		Hedge: durationText(t.Hedge), Queue: t.Queue, Wait: durationText(t.Wait),
		Durable: t.Durable, Once: t.Once, Keep: t.Keep,
	}}
}

// convertParts converts the parts of a split between Part and partDoc.
func convertParts[To, From Part | partDoc](parts []From) []To {
	if len(parts) == 0 {
		return nil
	}
	all := make([]To, len(parts))
	for i, p := range parts {
		all[i] = To(p)
	}
	return all
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// Render encodes rules in the format that Parse reads.
func Render(rules []Rule) ([]byte, error) {
	var f fileDoc
	for i := range rules {
		f.Rule = append(f.Rule, newRuleDoc(&rules[i]))
	}
	b, err := toml.Marshal(f)
	return b, kinds.Wrap(kinds.Internal, err, "render rules")
}

// lines holds the line of each rule and of each of its fields.
type lines struct {
	rules  []int
	fields []map[string]int
}

// lineFor returns the line of a field of rule i, or that of the rule if the field is
// unknown, or zero.
func (l lines) lineFor(i int, field string) int {
	if i >= len(l.rules) {
		return 0
	}
	if n, ok := l.fields[i][field]; ok {
		return n
	}
	return l.rules[i]
}

// findLines reads the line numbers from the syntax tree of a file that was already
// decoded.
func findLines(src []byte) lines {
	var (
		l lines
		p unstable.Parser
	)
	p.Reset(src)
	prefix := ""
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.ArrayTable:
			l.rules = append(l.rules, lineOfNode(&p, n))
			l.fields = append(l.fields, map[string]int{})
			prefix = ""
		case unstable.Table:
			prefix = dottedKey(n, 1)
		case unstable.KeyValue:
			l.addField(&p, n, prefix)
		}
	}
	return l
}

// addField records the line of a key, and of the keys of an inline table below it.
func (l *lines) addField(p *unstable.Parser, n *unstable.Node, prefix string) {
	if len(l.rules) == 0 {
		return
	}
	field := dottedKey(n, 0)
	if prefix != "" {
		field = prefix + "." + field
	}
	l.fields[len(l.fields)-1][field] = lineOfNode(p, n)
	if v := n.Value(); v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			l.addField(p, it.Node(), field)
		}
	}
}

// dottedKey joins the parts of a dotted key, omitting the first skip parts.
func dottedKey(n *unstable.Node, skip int) string {
	field := ""
	for it := n.Key(); it.Next(); skip-- {
		if skip > 0 {
			continue
		}
		if field != "" {
			field += "."
		}
		field += string(it.Node().Data)
	}
	return field
}

func lineOfNode(p *unstable.Parser, n *unstable.Node) int {
	it := n.Key()
	if !it.Next() {
		return 0
	}
	return p.Shape(it.Node().Raw).Start.Line
}
