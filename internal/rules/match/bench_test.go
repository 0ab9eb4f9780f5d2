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
	ignoreUnexported = cmpopts.IgnoreUnexported(Rule{})
	emptyAsNil       = cmp.Options{cmpopts.EquateEmpty()}
)

// manyRules returns a typical list: several rules per service and caller group, and only a
// few of them with the same first segment.
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

// prefixRules returns rules that have only a host and a prefix, ten rules to a host.
func prefixRules(n int) []Rule {
	rules := make([]Rule, n)
	for i := range rules {
		id := strconv.Itoa(i)
		rules[i] = Rule{Name: "r" + id, Then: Then{Service: "lookup"}}
		rules[i].When = When{Host: []string{"site" + strconv.Itoa(i/10) + ".example"}, Prefix: "/part" + id + "/"}
	}
	return rules
}

// compileUnchecked builds a Set without the checks, which limit the number of rules.
func compileUnchecked(rules []Rule) *Set {
	normalized := normalizeRules(rules)
	for i := range normalized {
		normalized[i].path, _ = parsePath(normalized[i].When.Path)
	}
	return newSet(normalized)
}

// requestForLastPrefix returns a request that only the last of n prefixRules matches.
func requestForLastPrefix(n int) *Request {
	return &Request{
		Method: "GET", Host: "site" + strconv.Itoa((n-1)/10) + ".example",
		Path: "/part" + strconv.Itoa(n-1) + "/scale-7", Caller: "grower-3",
	}
}

func BenchmarkMatchPrefix(b *testing.B) {
	for _, n := range []int{200, 4200, 8000} {
		s, req := compileUnchecked(prefixRules(n)), requestForLastPrefix(n)
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

// BenchmarkAccept measures the work of a VM that receives new rules, after decoding.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{200, 4200, 8000} {
		rules := prefixRules(n)
		b.Run("rules="+strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				compileUnchecked(rules)
			}
		})
	}
}

// BenchmarkCompile measures what an author waits for, checks included.
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
