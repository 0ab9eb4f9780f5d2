package match

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
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
