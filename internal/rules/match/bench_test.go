package match

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var (
	ignorePath = cmpopts.IgnoreUnexported(Rule{})
	emptyAsNil = cmp.Options{cmpopts.EquateEmpty()}
)

// manyRules is a list as an operator grows it: some rules per service and
// caller group, few of them sharing a first segment.
func manyRules(n int) []Rule {
	rules := make([]Rule, n)
	for i := range rules {
		id := strconv.Itoa(i)
		rules[i] = Rule{Name: "r" + id, Then: Then{Service: "lookup", Key: "path:key"}}
		rules[i].When = When{
			Method: []string{"GET", "POST"},
			Path:   "/area" + strconv.Itoa(i/5) + "/{key}/part" + id,
		}
		if i%5 == 0 {
			rules[i].When.Caller = []ident.Caller{ident.Caller("grower-" + id + "*")}
		}
	}
	return rules
}

// prefixRules is a list in which each rule names a host and what the path begins
// with, and nothing else: ten to a host.
func prefixRules(n int) []Rule {
	rules := make([]Rule, n)
	for i := range rules {
		id := strconv.Itoa(i)
		rules[i] = Rule{Name: "r" + id, Then: Then{Service: "lookup"}}
		rules[i].When = When{Host: []string{"site" + strconv.Itoa(i/10) + ".example"}, Prefix: "/part" + id + "/"}
	}
	return rules
}

// accepted indexes rules without the check, which bounds their number.
func accepted(rules []Rule) *Set {
	own := cloneRules(rules)
	for i := range own {
		own[i].path, _ = parsePath(own[i].When.Path)
	}
	return newSet(own)
}

func lastPrefix(n int) *Request {
	return &Request{
		Method: "GET", Host: "site" + strconv.Itoa((n-1)/10) + ".example",
		Path: "/part" + strconv.Itoa(n-1) + "/scale-7", Caller: "grower-3",
	}
}

func BenchmarkMatchPrefix(b *testing.B) {
	for _, n := range []int{200, 4200, 8000} {
		s, req := accepted(prefixRules(n)), lastPrefix(n)
		b.Run("rules="+strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Match(req); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}

// BenchmarkAccept is what a VM does when newer rules reach it, after decoding.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{200, 4200, 8000} {
		rules := prefixRules(n)
		b.Run("rules="+strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				accepted(rules)
			}
		})
	}
}

// BenchmarkCompile is what an author waits for: the check included.
func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{200, 1000, 4096} {
		rules := prefixRules(n)
		b.Run("rules="+strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Compile(rules); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	s, err := Compile(manyRules(200))
	assert.NilError(t, err)
	req := &Request{Method: "GET", Path: "/area39/scale-7/part199", Caller: "grower-3"}
	allocs := testing.AllocsPerRun(100, func() {
		r, ok := s.Match(req)
		if !ok || r.Name != "r199" {
			t.Fatal("no match")
		}
		if k, err := KeyOf(r, req); err != nil || k != "scale-7" {
			t.Fatal("no key")
		}
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 50, 200, 1000} {
		rules := manyRules(n)
		s, err := Compile(rules)
		assert.NilError(b, err)
		last := rules[n-1]
		req := &Request{Method: "GET", Path: "/area" + strconv.Itoa((n-1)/5) + "/scale-7/part" + last.Name[1:], Caller: "grower-3"}
		b.Run("rules="+strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := s.Match(req)
				if _, err := KeyOf(r, req); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("naive/rules="+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				if naive(rules, req) < 0 {
					b.Fatal("no match")
				}
			}
		})
	}
}
