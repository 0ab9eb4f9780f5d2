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

// maxComparisons is the most rules that one request may be compared with in full, whatever
// the number of rules.
const maxComparisons = 8

// With thousands of rules for hosts and prefixes, comparing one after another would make
// every request slower with each rule added, although the rule has nothing to do with it.
func TestMatchComparesFewRules(t *testing.T) {
	const many = 8000
	for _, c := range []struct {
		name string
		rule func(i int) When
		req  func(i int) *Request
	}{
		{
			"a host each",
			func(i int) When { return When{Host: []string{hostName(i)}, Prefix: "/"} },
			func(i int) *Request { return &Request{Host: hostName(i), Path: "/x"} },
		},
		{
			"a prefix each, one host",
			func(i int) When { return When{Host: []string{hostName(0)}, Prefix: segmentPrefix(i)} },
			func(i int) *Request { return &Request{Host: "Site0.Example:80", Path: segmentPrefix(i) + "x"} },
		},
		{
			"prefixes shared by hosts",
			func(i int) When { return When{Host: []string{hostName(i / 80)}, Prefix: segmentPrefix(i % 80)} },
			func(i int) *Request { return &Request{Host: hostName(i / 80), Path: segmentPrefix(i % 80)} },
		},
		{
			"a second segment each",
			func(i int) When { return When{Host: []string{hostName(0)}, Prefix: "/api" + segmentPrefix(i)} },
			func(i int) *Request { return &Request{Host: hostName(0), Path: "/api" + segmentPrefix(i) + "x"} },
		},
		{
			"a prefix each, any host",
			func(i int) When { return When{Host: []string{"*.example"}, Prefix: segmentPrefix(i)} },
			func(i int) *Request { return &Request{Host: hostName(0), Path: segmentPrefix(i)} },
		},
		{
			"a path each, escaped by the caller",
			func(i int) When { return When{Path: "/part" + strconv.Itoa(i) + "/{key}"} },
			func(i int) *Request { return &Request{Path: "/%70art" + strconv.Itoa(i) + "/7"} },
		},
		{
			"a caller each",
			func(i int) When {
				return When{Caller: []ident.Caller{ident.Caller(hostName(i))}, Path: "/scales/{key}"}
			},
			func(i int) *Request { return &Request{Caller: ident.Caller(hostName(i)), Path: "/scales/7"} },
		},
	} {
		rules := make([]Rule, many)
		for i := range rules {
			rules[i] = Rule{Name: strconv.Itoa(i), When: c.rule(i)}
		}
		s := compileUnchecked(rules)
		for _, i := range []int{0, 1, many / 2, many - 1} {
			got, compared := s.find(c.req(i))
			assert.Equal(t, got, i, c.name)
			assert.Assert(t, compared <= maxComparisons, "%s: rule %d took %d comparisons", c.name, i, compared)
		}
		got, compared := s.find(&Request{Host: "elsewhere.example", Path: "/elsewhere"})
		assert.Equal(t, got, -1, c.name)
		assert.Assert(t, compared <= maxComparisons, "%s: no rule took %d comparisons", c.name, compared)
	}
}

func hostName(i int) string { return "site" + strconv.Itoa(i) + ".example" }

func segmentPrefix(i int) string { return "/part" + strconv.Itoa(i) + "/" }

// drawPathText draws a path of zero or more segments, sometimes more than maxSegs.
func drawPathText(t *rapid.T, label string, from ...string) string {
	n := rapid.SampledFrom([]int{0, 1, 1, 2, 2, 3, 4, maxSegs - 1, maxSegs, maxSegs + 1}).Draw(t, label+" segments")
	var b strings.Builder
	for range n {
		b.WriteString("/" + rapid.SampledFrom(from).Draw(t, label))
	}
	return b.String()
}

var (
	longSegment = strings.Repeat("s", maxEdgeText+1)
	longHost    = strings.Repeat("h", maxEdgeText+1)
)

// drawHostPathRule draws a rule that in most cases has a host, a prefix or a path.
func drawHostPathRule(t *rapid.T, i int) Rule {
	r := Rule{Name: strconv.Itoa(i), Then: Then{Service: "lookup"}}
	r.When.Host = drawList(t, "host", "a", "b", "c", "*", "a*", longHost)
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if kind <= 3 {
		r.When.Prefix = drawPathText(t, "prefix", "a", "a", "b", "%61", "%62", "%2561", "", "a%2Fb", longSegment) + "/"
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

func drawHostPathRules(t *rapid.T, most int) []Rule {
	rules := make([]Rule, rapid.IntRange(1, most).Draw(t, "rules"))
	for i := range rules {
		rules[i] = drawHostPathRule(t, i)
	}
	return rules
}

// drawRequestNear draws a request; about half of the paths begin with the prefix of some
// rule.
func drawRequestNear(t *rapid.T, rules []Rule) *Request {
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
	return drawPathText(t, "segment", "a", "a", "a", "b", "%61", "%62", "%2561", "", "a%2Fb", "%2e%2e", longSegment, "%73"+longSegment[1:])
}

// Rules mix hosts, prefixes and path patterns, and callers escape paths in different ways.
// If the index missed a rule, a later rule or none would apply to the request.
func TestIndexAgreesWithLinearSearch(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s := compileUnchecked(drawHostPathRules(t, 60))
		for range 20 {
			req := drawRequestNear(t, s.Rules())
			want := -1
			if req.Path != "" {
				want = naive(s.Rules(), req)
			}
			got, _ := s.find(req)
			assert.Equal(t, got, want, "%+v", req)
		}
	})
}

// Lowercasing a host in upper case and unescaping a segment, both longer than a small
// buffer, must not allocate: such requests would add garbage collection time.
func TestFoldingAndUnescapingAllocateNothing(t *testing.T) {
	long := strings.Repeat("long", 40)
	s := compileUnchecked([]Rule{
		{Name: "host", When: When{Host: []string{long}}},
		{Name: "path", When: When{Path: "/" + long}},
	})
	capitals, escaped := strings.ToUpper(long)+":8080", "%6c"+long[1:]
	allocs := testing.AllocsPerRun(100, func() {
		_, host := s.index.hostNode(capitals)
		_, seg := s.index.unescapedChild(rootPath, escaped)
		if !host || !seg {
			t.Fatal("not found")
		}
	})
	assert.Equal(t, allocs, 0.0)
}
