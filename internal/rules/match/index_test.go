package match

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// handful is the most rules that one request is compared with in full, whatever
// the number of rules.
const handful = 8

// An operator adds rules for hosts and prefixes until there are thousands. Compared
// one after another, each of them makes every request dearer, and weak VMs spend
// their processor on rules that have nothing to do with the request: callers get
// later answers each time somebody else's rule is added.
func TestARequestLooksAtAHandfulOfManyRules(t *testing.T) {
	const many = 8000
	for _, c := range []struct {
		name string
		rule func(i int) When
		req  func(i int) *Request
	}{
		{
			"a host each",
			func(i int) When { return When{Host: []string{site(i)}, Prefix: "/"} },
			func(i int) *Request { return &Request{Host: site(i), Path: "/x"} },
		},
		{
			"a prefix each, one host",
			func(i int) When { return When{Host: []string{site(0)}, Prefix: prefix(i)} },
			func(i int) *Request { return &Request{Host: "Site0.Example:80", Path: prefix(i) + "x"} },
		},
		{
			"prefixes shared by hosts",
			func(i int) When { return When{Host: []string{site(i / 80)}, Prefix: prefix(i % 80)} },
			func(i int) *Request { return &Request{Host: site(i / 80), Path: prefix(i % 80)} },
		},
		{
			"a second segment each",
			func(i int) When { return When{Host: []string{site(0)}, Prefix: "/api" + prefix(i)} },
			func(i int) *Request { return &Request{Host: site(0), Path: "/api" + prefix(i) + "x"} },
		},
		{
			"a prefix each, any host",
			func(i int) When { return When{Host: []string{"*.example"}, Prefix: prefix(i)} },
			func(i int) *Request { return &Request{Host: site(0), Path: prefix(i)} },
		},
		{
			"a path each, escaped by the caller",
			func(i int) When { return When{Path: "/part" + strconv.Itoa(i) + "/{key}"} },
			func(i int) *Request { return &Request{Path: "/%70art" + strconv.Itoa(i) + "/7"} },
		},
		{
			"a caller each",
			func(i int) When { return When{Caller: []ident.Caller{ident.Caller(site(i))}, Path: "/scales/{key}"} },
			func(i int) *Request { return &Request{Caller: ident.Caller(site(i)), Path: "/scales/7"} },
		},
	} {
		rules := make([]Rule, many)
		for i := range rules {
			rules[i] = Rule{Name: strconv.Itoa(i), When: c.rule(i)}
		}
		s := accepted(rules)
		for _, i := range []int{0, 1, many / 2, many - 1} {
			got, compared := s.find(c.req(i))
			assert.Equal(t, got, i, c.name)
			assert.Assert(t, compared <= handful, "%s: rule %d took %d comparisons", c.name, i, compared)
		}
		got, compared := s.find(&Request{Host: "elsewhere.example", Path: "/elsewhere"})
		assert.Equal(t, got, -1, c.name)
		assert.Assert(t, compared <= handful, "%s: no rule took %d comparisons", c.name, compared)
	}
}

func site(i int) string { return "site" + strconv.Itoa(i) + ".example" }

func prefix(i int) string { return "/part" + strconv.Itoa(i) + "/" }

// drawSegs draws the text of some segments, more of them than a path is cut into.
func drawSegs(t *rapid.T, label string, from ...string) string {
	n := rapid.SampledFrom([]int{0, 1, 1, 2, 2, 3, 4, maxSegs - 1, maxSegs, maxSegs + 1}).Draw(t, label+" segments")
	var b strings.Builder
	for range n {
		b.WriteString("/" + rapid.SampledFrom(from).Draw(t, label))
	}
	return b.String()
}

var (
	longSegment = strings.Repeat("s", maxStep+1)
	longHost    = strings.Repeat("h", maxStep+1)
)

// drawSite draws a rule that fixes a host, a prefix or a path in most cases.
func drawSite(t *rapid.T, i int) Rule {
	r := Rule{Name: strconv.Itoa(i), Then: Then{Service: "lookup"}}
	r.When.Host = drawList(t, "host", "a", "b", "c", "*", "a*", longHost)
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if kind <= 3 {
		r.When.Prefix = drawSegs(t, "prefix", "a", "a", "b", "%61", "%62", "%2561", "", "a%2Fb", longSegment) + "/"
	}
	if kind >= 3 {
		r.When.Path = drawPattern(t)
	}
	if kind == 5 {
		r.When.Method = drawList(t, "method", "GET", "POST")
		r.When.Caller = drawList[ident.Caller](t, "caller", "x", "y", "x*")
	}
	return r
}

func drawPattern(t *rapid.T) string {
	n := rapid.SampledFrom([]int{0, 1, 2, 2, 3, 4, maxSegs}).Draw(t, "pattern segments")
	var b strings.Builder
	for i := range n {
		name := "{v" + strconv.Itoa(i) + "}"
		b.WriteString("/" + rapid.SampledFrom([]string{"a", "a", "a", "b", "ab", longSegment, name}).Draw(t, "pattern"))
	}
	if n < maxSegs && rapid.Bool().Draw(t, "rest") {
		b.WriteString("/{rest...}")
	}
	if b.Len() == 0 {
		return "/"
	}
	return b.String()
}

func drawSites(t *rapid.T, most int) []Rule {
	rules := make([]Rule, rapid.IntRange(1, most).Draw(t, "rules"))
	for i := range rules {
		rules[i] = drawSite(t, i)
	}
	return rules
}

// drawVisit draws a request, of which every second one begins like some rule's prefix.
func drawVisit(t *rapid.T, rules []Rule) *Request {
	w := rapid.SampledFrom(rules).Draw(t, "like").When
	path := strings.TrimSuffix(w.Prefix, "/")
	if path == "" || rapid.Bool().Draw(t, "other") {
		path = drawPath(t)
	}
	return &Request{
		Method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"),
		Host:   rapid.SampledFrom([]string{"", "a", "A:80", "b", "B", "c", "d", longHost, strings.ToUpper(longHost)}).Draw(t, "host"),
		Caller: rapid.SampledFrom([]ident.Caller{"", "x", "y", "z"}).Draw(t, "caller"),
		Path:   path + rapid.SampledFrom([]string{"", "/"}).Draw(t, "end"),
	}
}

func drawPath(t *rapid.T) string {
	return drawSegs(t, "segment", "a", "a", "a", "b", "%61", "%62", "%2561", "", "a%2Fb", "%2e%2e", longSegment, "%73"+longSegment[1:])
}

// An operator mixes rules for hosts, prefixes and path patterns, and callers escape
// their paths in ways of their own. A rule that the index does not offer would never
// apply to such requests; a later one would take them, or none.
func TestTheIndexOffersEveryRuleThatHolds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s := accepted(drawSites(t, 60))
		for range 20 {
			req := drawVisit(t, s.Rules())
			want := -1
			if req.Path != "" {
				want = naive(s.Rules(), req)
			}
			got, _ := s.find(req)
			assert.Equal(t, got, want, "%+v", req)
		}
	})
}

// A request reaches a VM with its host in capitals or its segments escaped, longer
// than what fits into a small buffer. Should folding them allocate, such requests
// would cost the collector's time on top of their own.
func TestFoldingAndUnescapingAllocateNothing(t *testing.T) {
	long := strings.Repeat("long", 40)
	s := accepted([]Rule{
		{Name: "host", When: When{Host: []string{long}}},
		{Name: "path", When: When{Path: "/" + long}},
	})
	capitals, escaped := strings.ToUpper(long)+":8080", "%6c"+long[1:]
	allocs := testing.AllocsPerRun(100, func() {
		_, host := s.index.host(capitals)
		_, seg := s.index.unescaped(rootSite, escaped)
		if !host || !seg {
			t.Fatal("not found")
		}
	})
	assert.Equal(t, allocs, 0.0)
}
