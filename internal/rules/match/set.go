package match

import (
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Set is a compiled list of rules. It is immutable and safe for concurrent use. The zero
// value matches nothing.
type Set struct {
	rules []Rule
	index index
	large bool // a rule has large responses
}

// Compile checks the rules and builds a Set. If a rule is invalid or can never match, it
// fails with kind Malformed and an error that wraps [Faults].
func Compile(rules []Rule, opts ...Option) (*Set, error) {
	normalized := normalizeRules(rules)
	if err := checkAll(normalized, newChecker(opts)); err != nil {
		return nil, err
	}
	return newSet(normalized), nil
}

// newSet indexes rules that were normalized and whose paths are compiled.
func newSet(normalized []Rule) *Set {
	large := slices.ContainsFunc(normalized, func(r Rule) bool { return r.Then.Large })
	return &Set{rules: normalized, index: newIndex(normalized), large: large}
}

// HasLarge reports whether any rule has large responses.
func (s *Set) HasLarge() bool { return s != nil && s.large }

// normalizeRules copies the rules and brings header names, hosts and prefixes into the
// form in which they are compared.
func normalizeRules(rules []Rule) []Rule {
	normalized := slices.Clone(rules)
	for i := range normalized {
		w := &normalized[i].When
		w.Header = canonicalHeader(w.Header)
		w.Prefix = escapePrefix(w.Prefix)
		w.Host = slices.Clone(w.Host)
		for j, h := range w.Host {
			// A request's host is compared without its port, so a pattern with a port
			// would never match and its callers would get 404.
			w.Host[j] = strings.Map(asciiLowerRune, stripPort(h))
		}
	}
	return normalized
}

// escapePrefix brings a prefix into the escaped form of request paths. A prefix in which
// the author left characters unescaped that request paths carry escaped would match no
// path.
func escapePrefix(prefix string) string {
	plain, err := url.PathUnescape(prefix)
	if err != nil {
		plain = prefix // has a percent sign that is not part of an escape
	}
	u := url.URL{Path: plain, RawPath: prefix}
	return u.EscapedPath()
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

// Rules returns the rules in their order. The result is read-only.
func (s *Set) Rules() []Rule { return s.rules }

// Match returns the first rule whose conditions all hold, and false when there is none.
// The rule belongs to the set and is read-only.
func (s *Set) Match(req *Request) (*Rule, bool) {
	i, _ := s.find(req)
	if i < 0 {
		return nil, false
	}
	return &s.rules[i], true
}

// find returns the number of the first matching rule, or -1, and the number of rules that
// were compared in full.
func (s *Set) find(req *Request) (rule, compared int) {
	if len(s.rules) == 0 || !safePath(req.Path) {
		return -1, 0
	}
	f := finder{Set: s, req: req, first: len(s.rules)}
	f.path.split(req.Path)
	segs := f.path.segs[:f.path.n]
	if n, ok := s.index.hostNode(req.Host); ok {
		f.walkPath(n, segs)
	}
	f.walkPath(rootPath, segs)
	f.checkValue(rootService, string(req.Service))
	f.checkValue(rootMethod, req.Method)
	f.checkValue(rootCaller, string(req.Caller))
	f.checkValue(rootCentre, string(req.Centre))
	if f.first == len(s.rules) {
		return -1, f.compared
	}
	return f.first, f.compared
}

// finder is the search for the first rule that matches one request.
type finder struct {
	*Set

	req      *Request
	path     splitPath
	first    int // lowest number of a matching rule found so far
	compared int
}

// checkNode compares the rules of a node that precede the first match found so far.
func (f *finder) checkNode(n node) {
	for _, i := range f.index.rulesAt(n) {
		if int(i) >= f.first {
			return
		}
		f.compared++
		if f.rules[i].matches(f.req, &f.path) {
			f.first = int(i)
			return
		}
	}
}

// checkValue checks the node of a value under a root.
func (f *finder) checkValue(root node, v string) {
	if n, ok := f.index.child(root, v); ok {
		f.checkNode(n)
	}
}

// walkPath checks a node and then, segment by segment, its descendants along segs. An
// escaped segment is followed both in its escaped form, as prefixes are compared, and in
// its unescaped form, as path patterns are.
func (f *finder) walkPath(n node, segs []string) {
	f.checkNode(n)
	for i, text := range segs {
		if plain, ok := f.index.unescapedChild(n, text); ok {
			f.walkPath(plain, segs[i+1:])
		}
		var ok bool
		if n, ok = f.index.child(n, text); !ok {
			return
		}
		f.checkNode(n)
	}
}

// matches compares every condition of the rule in full.
func (r *Rule) matches(req *Request, p *splitPath) bool {
	w := &r.When
	return strings.HasPrefix(req.Path, w.Prefix) &&
		r.path.match(p) &&
		emptyOrContains(w.Service, req.Service) &&
		emptyOrContains(w.Method, req.Method) &&
		emptyOrContains(w.Centre, req.Centre) &&
		anyCallerMatches(w.Caller, req.Caller) &&
		anyHostMatches(w.Host, req.Host) &&
		allHeadersMatch(w.Header, req.Header)
}

func emptyOrContains[T comparable](values []T, v T) bool {
	return len(values) == 0 || slices.Contains(values, v)
}

func anyCallerMatches(patterns []ident.Caller, c ident.Caller) bool {
	for _, p := range patterns {
		if globMatch(string(p), string(c)) {
			return true
		}
	}
	return len(patterns) == 0
}

func anyHostMatches(patterns []string, host string) bool {
	for _, p := range patterns {
		if hostMatch(p, host) {
			return true
		}
	}
	return len(patterns) == 0
}

func allHeadersMatch(want map[string]string, have map[string][]string) bool {
	if len(want) == 0 {
		return true
	}
	for name, pattern := range want {
		if !anyValueMatches(pattern, have[name]) {
			return false
		}
	}
	return true
}

func anyValueMatches(pattern string, values []string) bool {
	for _, v := range values {
		if globMatch(pattern, v) {
			return true
		}
	}
	return false
}
