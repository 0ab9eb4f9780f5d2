package match

import (
	"math/bits"
	"net/textproto"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Set is a compiled list of rules. It never changes, so any number of requests
// may use it at once. The zero value matches nothing.
type Set struct {
	rules []Rule

	service axis[ident.Service]
	method  axis[string]
	caller  axis[ident.Caller]
	centre  axis[ident.Centre]
	first   axis[string]
}

// mask is a set of rule numbers, 64 to a word.
type mask []uint64

func (m mask) add(i int) { m[i/wordBits] |= 1 << (i % wordBits) }

const wordBits = 64

// axis maps each value of one condition to the rules that may hold for it.
// Values that no rule names share the mask of the rules that do not look.
type axis[T ~string] struct {
	byValue map[T]mask
	others  mask
}

// newAxis builds an axis; values returns what rule i lists, or nothing when the
// rule accepts any value or has to be compared in full.
func newAxis[T ~string](n int, values func(i int) []T) axis[T] {
	a := axis[T]{byValue: map[T]mask{}, others: newMask(n)}
	for i := range n {
		for _, v := range values(i) {
			if a.byValue[v] == nil {
				a.byValue[v] = newMask(n)
			}
		}
	}
	for i := range n {
		vs := values(i)
		if len(vs) == 0 {
			a.addToAll(i)
		}
		for _, v := range vs {
			a.byValue[v].add(i)
		}
	}
	return a
}

func newMask(n int) mask { return make(mask, (n+wordBits-1)/wordBits) }

func (a *axis[T]) addToAll(i int) {
	a.others.add(i)
	for _, m := range a.byValue {
		m.add(i)
	}
}

func (a *axis[T]) of(v T) mask {
	if len(a.byValue) == 0 {
		return a.others
	}
	if m, ok := a.byValue[v]; ok {
		return m
	}
	return a.others
}

// Compile checks the rules and builds a Set. It fails with kind Malformed and
// [Faults] inside when a rule could not mean what its author thinks.
func Compile(rules []Rule, opts ...Option) (*Set, error) {
	own := cloneRules(rules)
	if err := checkAll(own, newChecker(opts)); err != nil {
		return nil, err
	}
	return newSet(own), nil
}

// newSet indexes rules that Compile has copied and checked.
func newSet(own []Rule) *Set {
	n := len(own)
	s := &Set{rules: own}
	s.service = newAxis(n, func(i int) []ident.Service { return own[i].When.Service })
	s.method = newAxis(n, func(i int) []string { return own[i].When.Method })
	s.caller = newAxis(n, func(i int) []ident.Caller { return exact(own[i].When.Caller) })
	s.centre = newAxis(n, func(i int) []ident.Centre { return own[i].When.Centre })
	s.first = newAxis(n, func(i int) []string { return own[i].path.first() })
	return s
}

// cloneRules copies what Compile rewrites: the compiled path, and the names of
// headers and hosts in the form in which they are compared.
func cloneRules(rules []Rule) []Rule {
	own := slices.Clone(rules)
	for i := range own {
		w := &own[i].When
		w.Header = canonicalHeader(w.Header)
		w.Host = slices.Clone(w.Host)
		for j, h := range w.Host {
			w.Host[j] = strings.Map(lowerRune, h)
		}
	}
	return own
}

func canonicalHeader(h map[string]string) map[string]string {
	if len(h) == 0 {
		return nil
	}
	out := make(map[string]string, len(h))
	for name, v := range h {
		out[textproto.CanonicalMIMEHeaderKey(name)] = v
	}
	return out
}

// exact returns the values when none holds a star, and nothing otherwise.
func exact[T ~string](values []T) []T {
	for _, v := range values {
		if strings.Contains(string(v), star) {
			return nil
		}
	}
	return values
}

// first returns the first segment of a pattern if that is a literal.
func (p *path) first() []string {
	if p.fixed() == 0 || p.segs[0].open {
		return nil
	}
	return []string{p.segs[0].text}
}

// Rules returns the rules in their order. Treat them as read-only.
func (s *Set) Rules() []Rule { return s.rules }

// Match returns the first rule whose conditions all hold, and false when there
// is none. The rule belongs to the set: treat it as read-only.
func (s *Set) Match(req *Request) (*Rule, bool) {
	i, _ := s.find(req)
	if i < 0 {
		return nil, false
	}
	return &s.rules[i], true
}

// find returns the number of the first rule that holds, or -1, and how many rules
// it compared in full.
func (s *Set) find(req *Request) (rule, compared int) {
	if len(s.rules) == 0 || !safePath(req.Path) {
		return -1, 0
	}
	service := s.service.of(req.Service)
	method := s.method.of(req.Method)
	caller := s.caller.of(req.Caller)
	centre := s.centre.of(req.Centre)
	var p parts
	p.cut(req.Path)
	first, full := s.firstMask(p.segs[0])
	for w := range service {
		left := service[w] & method[w] & caller[w] & centre[w]
		if !full {
			left &= first[w]
		}
		for ; left != 0; left &= left - 1 {
			compared++
			i := w*wordBits + bits.TrailingZeros64(left)
			if s.rules[i].holds(req, &p) {
				return i, compared
			}
		}
	}
	return -1, compared
}

// firstMask returns the mask of the path's first segment, or full when the
// segment is escaped and every rule has to be compared.
func (s *Set) firstMask(seg string) (m mask, full bool) {
	if strings.IndexByte(seg, '%') >= 0 {
		return nil, true
	}
	return s.first.of(seg), false
}

// holds compares every condition in full.
func (r *Rule) holds(req *Request, p *parts) bool {
	w := &r.When
	return strings.HasPrefix(req.Path, w.Prefix) &&
		r.path.match(p) &&
		among(w.Service, req.Service) &&
		among(w.Method, req.Method) &&
		among(w.Centre, req.Centre) &&
		anyCaller(w.Caller, req.Caller) &&
		anyHost(w.Host, req.Host) &&
		allHeaders(w.Header, req.Header)
}

func among[T comparable](values []T, v T) bool {
	return len(values) == 0 || slices.Contains(values, v)
}

func anyCaller(patterns []ident.Caller, c ident.Caller) bool {
	for _, p := range patterns {
		if globMatch(string(p), string(c)) {
			return true
		}
	}
	return len(patterns) == 0
}

func anyHost(patterns []string, host string) bool {
	for _, p := range patterns {
		if hostMatch(p, host) {
			return true
		}
	}
	return len(patterns) == 0
}

func allHeaders(want map[string]string, have map[string][]string) bool {
	if len(want) == 0 {
		return true
	}
	for name, pattern := range want {
		if !anyValue(pattern, have[name]) {
			return false
		}
	}
	return true
}

func anyValue(pattern string, values []string) bool {
	for _, v := range values {
		if globMatch(pattern, v) {
			return true
		}
	}
	return false
}
