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

// MaxFile is the largest file of rules that Parse reads, in bytes. It leaves
// room for the revision's other fields in one value of the object API.
const MaxFile = 1 << 19

const badSpan = `a duration has a number and a unit, such as "250ms"`

// File is a parsed list of rules that still knows its line numbers.
type File struct {
	Rules []Rule
	lines lines
}

// Parse decodes a file of rules strictly: an unknown word, a value of the wrong
// type or broken syntax fails with kind Malformed and names the line.
func Parse(src []byte) (File, error) {
	if len(src) > MaxFile {
		return File{}, kinds.New(kinds.TooLarge, "file of rules")
	}
	var f fileDoc
	dec := toml.NewDecoder(bytes.NewReader(src)).DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return File{}, kinds.Wrap(kinds.Malformed, withLine(err), "read rules")
	}
	out := File{lines: findLines(src)}
	var faults Faults
	for i, r := range f.Rule {
		out.Rules = append(out.Rules, r.rule(func(field string) {
			line := out.lines.of(i, field)
			faults = append(faults, Fault{Line: line, Rule: r.Name, Field: field, Text: badSpan})
		}))
	}
	if len(faults) > 0 {
		return File{}, kinds.Wrap(kinds.Malformed, faults, "read rules")
	}
	return out, nil
}

// Compile checks the file's rules as [Compile] does; its faults name lines.
func (f File) Compile(opts ...Option) (*Set, error) {
	return Compile(f.Rules, append([]Option{withLines(f.lines)}, opts...)...)
}

// withLine puts the position of a decoder's error in front of its message.
func withLine(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		line, _ := first.Position()
		key := first.Key()
		return errors.New("line " + strconv.Itoa(line) + ": unknown word " + key[len(key)-1])
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, col := bad.Position()
		return errors.New("line " + strconv.Itoa(line) + ", column " + strconv.Itoa(col) + ": " + bad.Error())
	}
	return err
}

// The documents below are the file's form; durations are text such as "250ms".
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

// rule converts a document; bad is called for each duration that is none.
func (d ruleDoc) rule(bad func(field string)) Rule {
	t := d.Then
	span := func(field, text string) time.Duration {
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
		Service: t.Service, Split: convert[Part](t.Split), Deny: t.Deny, Key: t.Key, Class: t.Class, Size: t.Size,
		Deadline: span("then.deadline", t.Deadline), Aim: span("then.aim", t.Aim), Idempotent: t.Idempotent, Retry: t.Retry,
		Hedge: span("then.hedge", t.Hedge), Queue: t.Queue, Wait: span("then.wait", t.Wait),
		Durable: t.Durable, Once: t.Once, Keep: t.Keep,
	}}
}

func docOf(r *Rule) ruleDoc {
	t := r.Then
	return ruleDoc{Name: r.Name, When: whenDoc(r.When), Then: thenDoc{
		Service: t.Service, Split: convert[partDoc](t.Split), Deny: t.Deny, Key: t.Key, Class: t.Class, Size: t.Size,
		Deadline: text(t.Deadline), Aim: text(t.Aim), Idempotent: t.Idempotent, Retry: t.Retry,
		Hedge: text(t.Hedge), Queue: t.Queue, Wait: text(t.Wait),
		Durable: t.Durable, Once: t.Once, Keep: t.Keep,
	}}
}

// convert turns parts into their form in the file, and back.
func convert[To, From Part | partDoc](parts []From) []To {
	if len(parts) == 0 {
		return nil
	}
	all := make([]To, len(parts))
	for i, p := range parts {
		all[i] = To(p)
	}
	return all
}

func text(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// Render writes rules in the form that Parse reads.
func Render(rules []Rule) ([]byte, error) {
	var f fileDoc
	for i := range rules {
		f.Rule = append(f.Rule, docOf(&rules[i]))
	}
	b, err := toml.Marshal(f)
	return b, kinds.Wrap(kinds.Internal, err, "render rules")
}

// lines knows on which line each rule and each of its words stands.
type lines struct {
	rules []int
	words []map[string]int
}

// of returns the line of a word of rule i, or else that of the rule, or zero.
func (l lines) of(i int, word string) int {
	if i >= len(l.rules) {
		return 0
	}
	if n, ok := l.words[i][word]; ok {
		return n
	}
	return l.rules[i]
}

// findLines walks the syntax tree of a file that was decoded before.
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
			l.rules = append(l.rules, lineOf(&p, n))
			l.words = append(l.words, map[string]int{})
			prefix = ""
		case unstable.Table:
			prefix = keyOf(n, 1)
		case unstable.KeyValue:
			l.note(&p, n, prefix)
		}
	}
	return l
}

func (l *lines) note(p *unstable.Parser, n *unstable.Node, prefix string) {
	if len(l.rules) == 0 {
		return
	}
	word := keyOf(n, 0)
	if prefix != "" {
		word = prefix + "." + word
	}
	l.words[len(l.words)-1][word] = lineOf(p, n)
	if v := n.Value(); v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			l.note(p, it.Node(), word)
		}
	}
}

// keyOf joins the parts of a dotted key, without the first skip ones.
func keyOf(n *unstable.Node, skip int) string {
	word := ""
	for it := n.Key(); it.Next(); skip-- {
		if skip > 0 {
			continue
		}
		if word != "" {
			word += "."
		}
		word += string(it.Node().Data)
	}
	return word
}

func lineOf(p *unstable.Parser, n *unstable.Node) int {
	it := n.Key()
	if !it.Next() {
		return 0
	}
	return p.Shape(it.Node().Raw).Start.Line
}
