package match

import (
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Set is a compiled list of rules. It never changes, so any number of requests
// may use it at once. The zero value matches nothing.
type Set struct {
	rules []Rule
	index index
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
func newSet(own []Rule) *Set { return &Set{rules: own, index: newIndex(own)} }

// cloneRules copies what Compile rewrites: the compiled path, and the names of
// headers and hosts and the prefix in the form in which they are compared.
func cloneRules(rules []Rule) []Rule {
	own := slices.Clone(rules)
	for i := range own {
		w := &own[i].When
		w.Header = canonicalHeader(w.Header)
		w.Prefix = escaped(w.Prefix)
		w.Host = slices.Clone(w.Host)
		for j, h := range w.Host {
			// A request's host is compared without its port: a pattern with one would
			// never match, and its callers be told 404.
			w.Host[j] = strings.Map(lowerRune, hostOnly(h))
		}
	}
	return own
}

// escaped brings a prefix into the form of a request's path. One that its author wrote
// with letters or signs that a path carries escaped would begin no path at all.
func escaped(prefix string) string {
	plain, err := url.PathUnescape(prefix)
	if err != nil {
		plain = prefix // a percent sign that begins no escape
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
	f := finder{Set: s, req: req, first: len(s.rules)}
	f.parts.cut(req.Path)
	segs := f.parts.segs[:f.parts.n]
	if n, ok := s.index.host(req.Host); ok {
		f.site(n, segs)
	}
	f.site(rootSite, segs)
	f.value(rootService, string(req.Service))
	f.value(rootMethod, req.Method)
	f.value(rootCaller, string(req.Caller))
	f.value(rootCentre, string(req.Centre))
	if f.first == len(s.rules) {
		return -1, f.compared
	}
	return f.first, f.compared
}

// finder is the search for one request.
type finder struct {
	*Set

	req      *Request
	parts    parts
	first    int // lowest number of a rule that holds so far
	compared int
}

// look compares the rules of a node that stand before the first one so far.
func (f *finder) look(n node) {
	for _, i := range f.index.at(n) {
		if int(i) >= f.first {
			return
		}
		f.compared++
		if f.rules[i].holds(f.req, &f.parts) {
			f.first = int(i)
			return
		}
	}
}

func (f *finder) value(root node, v string) {
	if n, ok := f.index.next(root, v); ok {
		f.look(n)
	}
}

// site looks at a site and, segment by segment, at those below. An escaped segment is
// followed both as it stands, as prefixes are compared, and unescaped, as path
// patterns are.
func (f *finder) site(n node, segs []string) {
	f.look(n)
	for i, text := range segs {
		if plain, ok := f.index.unescaped(n, text); ok {
			f.site(plain, segs[i+1:])
		}
		var ok bool
		if n, ok = f.index.next(n, text); !ok {
			return
		}
		f.look(n)
	}
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
