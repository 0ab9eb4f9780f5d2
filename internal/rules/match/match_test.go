package match

import (
	"errors"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// naive returns the first matching rule by comparing one after another, as a reference.
func naive(rules []Rule, req *Request) int {
	for i := range rules {
		if naiveHolds(&rules[i].When, req) {
			return i
		}
	}
	return -1
}

func naiveHolds(w *When, req *Request) bool {
	ok := naiveListMatches(w.Service, req.Service, false) && naiveListMatches(w.Method, req.Method, false) &&
		naiveListMatches(w.Centre, req.Centre, false) && naiveListMatches(w.Caller, req.Caller, true) &&
		naiveListMatches(w.Host, strings.ToLower(strings.Split(req.Host, ":")[0]), true) &&
		naivePathMatches(w.Path, req.Path) && strings.HasPrefix(req.Path, w.Prefix)
	for name, p := range w.Header {
		found := false
		for _, v := range req.Header[name] {
			found = found || naiveGlobMatch(p, v)
		}
		ok = ok && found
	}
	return ok
}

func naiveListMatches[T ~string](list []T, v T, glob bool) bool {
	found := len(list) == 0
	for _, p := range list {
		found = found || p == v || glob && naiveGlobMatch(string(p), string(v))
	}
	return found
}

func naiveGlobMatch(p, v string) bool {
	pre, suf, open := strings.Cut(p, "*")
	for i := 0; open && i <= len(v); i++ {
		if strings.HasPrefix(v, pre) && i >= len(pre) && v[i:] == suf {
			return true
		}
	}
	return p == v && !open
}

func naivePathMatches(pattern, path string) bool {
	for _, s := range strings.Split(path, "/") {
		if u, err := url.PathUnescape(s); err != nil || u == "." || u == ".." {
			return false
		}
	}
	if pattern == "" {
		return true
	}
	split := func(s string) []string {
		if s == "/" {
			return nil
		}
		return strings.Split(s[1:], "/")
	}
	ps, ss := split(pattern), split(path)
	for i, p := range ps {
		if strings.HasSuffix(p, "...}") {
			return true
		}
		if i >= len(ss) {
			return false
		}
		u, _ := url.PathUnescape(ss[i])
		if p[0] == '{' && u == "" || p[0] != '{' && u != p {
			return false
		}
	}
	return len(ps) == len(ss)
}

func drawList[T ~string](t *rapid.T, label string, from ...T) []T {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 2, func(v T) T { return v }).Draw(t, label)
}

func drawRule(t *rapid.T, i int) Rule {
	r := Rule{Name: "r" + strconv.Itoa(i), Then: Then{Service: "lookup"}}
	r.When = When{
		Service: drawList[ident.Service](t, "service", "lookup", "ledger"),
		Method:  drawList(t, "method", "GET", "POST"),
		Host:    drawList(t, "host", "a.example", "b.example", "A.Example", "*.example", "a.*", "*"),
		Caller:  drawList[ident.Caller](t, "caller", "grower-1", "grower-*", "*-1", "*"),
		Centre:  drawList[ident.Centre](t, "centre", "east", "west"),
		Path: rapid.SampledFrom([]string{
			"", "/", "/a", "/a/b", "/{x}", "/a/{x}", "/{x}/b", "/{x}/{y}", "/a/{x...}", "/{x...}", "/a/b/{x...}",
		}).Draw(t, "path"),
		Prefix: rapid.SampledFrom([]string{
			"", "", "", "/", "/a/", "/a/b/", "/%61/", "/a/%62/", "/%61/b/", "//", "//b/", "/a//",
		}).Draw(t, "prefix"),
	}
	if rapid.IntRange(0, 3).Draw(t, "header") == 0 {
		r.When.Header = map[string]string{"X-Kind": rapid.SampledFrom([]string{"*", "a*", "ab", "a*a"}).Draw(t, "value")}
	}
	return r
}

func drawRequest(t *rapid.T) *Request {
	req := &Request{
		Service: rapid.SampledFrom([]ident.Service{"", "lookup", "ledger", "lab"}).Draw(t, "service"),
		Method:  rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"),
		Host:    rapid.SampledFrom([]string{"", "a.example", "A.Example:80", "b.example", "B.EXAMPLE", "c"}).Draw(t, "host"),
		Caller:  rapid.SampledFrom([]ident.Caller{"", "grower-1", "grower-2", "clerk-1", "grower-"}).Draw(t, "caller"),
		Centre:  rapid.SampledFrom([]ident.Centre{"", "east", "west", "north"}).Draw(t, "centre"),
		Path: rapid.SampledFrom([]string{
			"/", "/a", "/a/", "/%61", "/a/b", "/a/%62", "/a/b/", "/a/%62/", "/%61/", "/%61/b/c", "/%61/%62/", "/%2561/b", "/a/b/c", "/c", "/c/b", "//b", "/a//b", "//", "/a/../b", "/a/%2e%2e", "/%zz", "/a%2Fb", "/.a",
		}).Draw(t, "path"),
	}
	if n := rapid.IntRange(0, 2).Draw(t, "headers"); n > 0 {
		req.Header = map[string][]string{"X-Kind": rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "ab", "b"}), n, n).Draw(t, "values")}
	}
	return req
}

func drawRules(t *rapid.T, most int) []Rule {
	rules := make([]Rule, rapid.IntRange(1, most).Draw(t, "rules"))
	for i := range rules {
		rules[i] = drawRule(t, i)
	}
	return rules
}

// compileWithoutHidden compiles the rules after dropping those reported as hidden.
func compileWithoutHidden(t *rapid.T, rules []Rule) *Set {
	for {
		s, err := Compile(rules)
		if err == nil {
			return s
		}
		var f Faults
		assert.Assert(t, errors.As(err, &f), "%v", err)
		assert.Assert(t, f[0].By != "", "%v", err)
		for i := range rules {
			if rules[i].Name == f[0].Rule {
				rules = append(rules[:i:i], rules[i+1:]...)
				break
			}
		}
	}
}

func TestSetAgreesWithLinearSearch(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s := compileWithoutHidden(t, drawRules(t, 80))
		for range 20 {
			req := drawRequest(t)
			want := naive(s.Rules(), req)
			got, ok := s.Match(req)
			assert.Equal(t, ok, want >= 0, "%+v", req)
			if ok {
				assert.Equal(t, got.Name, s.Rules()[want].Name, "%+v", req)
			}
		}
	})
}

// An operator removes a rule that is reported as hidden. If the report were wrong,
// requests that the rule used to match would go elsewhere.
func TestHiddenRulesNeverMatch(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		rules := drawRules(t, 12)
		_, err := Compile(rules)
		var f Faults
		if !errors.As(err, &f) {
			return
		}
		hidden := map[string]bool{}
		for _, x := range f {
			hidden[x.Rule] = true
		}
		for range 40 {
			if i := naive(rules, drawRequest(t)); i >= 0 {
				assert.Assert(t, !hidden[rules[i].Name], "%s was named as hidden", rules[i].Name)
			}
		}
	})
}

func TestKeyOfReadsEachSourceAndRejectsAmbiguousKeys(t *testing.T) {
	long := strings.Repeat("x", MaxKey+1)
	for _, c := range []struct {
		source, pattern, path, query string
		header                       []string
		want                         ident.Key
		kind                         kinds.Kind
	}{
		{source: "", path: "/", want: ""},
		{source: "path:k", pattern: "/s/{k}", path: "/s/scale-7", want: "scale-7"},
		{source: "path:k", pattern: "/s/{k}", path: "/s/scale%2D7", want: "scale-7"},
		{source: "path:k", pattern: "/s/{k}/r/{x...}", path: "/s/7/r/a/b", want: "7"},
		{source: "path:x", pattern: "/s/{k}/r/{x...}", path: "/s/7/r/a/b", want: "a/b"},
		{source: "path:x", pattern: "/s/{x...}", path: "/s", kind: kinds.BadRequest},
		{source: "header:x-scale", path: "/", header: []string{" 9 "}, want: "9"},
		{source: "header:x-scale", path: "/", header: []string{"9", "8"}, kind: kinds.BadRequest},
		{source: "header:x-scale", path: "/", kind: kinds.BadRequest},
		{source: "header:x-scale", path: "/", header: []string{long}, kind: kinds.BadRequest},
		{source: "query:ward", path: "/", query: "a=1&ward=K%2B1&b", want: "K+1"},
		{source: "query:ward", path: "/", query: "ward=1&w%61rd=2", kind: kinds.BadRequest},
		{source: "query:ward", path: "/", query: "ward=%zz", kind: kinds.BadRequest},
		{source: "cookie:x", path: "/", kind: kinds.Internal},
	} {
		r := Rule{When: When{Path: c.pattern}, Then: Then{Key: c.source}}
		req := Request{Path: c.path, Query: c.query, Header: map[string][]string{}}
		if c.header != nil {
			req.Header["X-Scale"] = c.header
		}
		got, err := KeyOf(&r, &req)
		assert.Equal(t, kinds.Of(err), c.kind, "%+v", c)
		assert.Equal(t, got, c.want, "%+v", c)
	}
}

func TestCompileNamesEveryFault(t *testing.T) {
	known := WithServices(map[ident.Service]Service{"lookup": {Divided: true}, "lab": {}})
	good := Then{Service: "lab"}
	for _, c := range []struct {
		rule  Rule
		field string
	}{
		{Rule{Name: "a b", Then: good}, "name"},
		{Rule{Name: "a", When: When{Path: "a"}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Path: "/a//b"}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Path: "/{x...}/b"}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Path: "/{x}/{x}"}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Path: "/a/"}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Path: "/.."}, Then: good}, "when.path"},
		{Rule{Name: "a", When: When{Method: []string{"get"}}, Then: good}, "when.method"},
		{Rule{Name: "a", When: When{Host: []string{"*.*"}}, Then: good}, "when.host"},
		{Rule{Name: "a", When: When{Caller: []ident.Caller{""}}, Then: good}, "when.caller"},
		{Rule{Name: "a", When: When{Service: []ident.Service{"nope"}}, Then: good}, "when.service"},
		{Rule{Name: "a", Then: Then{Service: "nope"}}, "then.service"},
		{Rule{Name: "a", Then: Then{}}, "then.service"},
		{Rule{Name: "a", Then: Then{Service: "lookup"}}, "then.key"},
		{Rule{Name: "a", Then: Then{Service: "lab", Key: "query"}}, "then.key"},
		{Rule{Name: "a", Then: Then{Service: "lab", Key: "path:x"}}, "then.key"},
		{Rule{Name: "a", Then: Then{Service: "lookup", Key: "path:x"}}, "then.key"},
		{Rule{Name: "a", Then: Then{Service: "lookup", Key: "query"}}, "then.key"},
		{Rule{Name: "a", Then: Then{Service: "lab", Deny: true}}, "then.deny"},
		{Rule{Name: "a", Then: Then{Large: true, Deny: true}}, "then.deny"},
		{Rule{Name: "a", Then: Then{Service: "lab", Deadline: time.Hour}}, "then.deadline"},
		{Rule{Name: "a", Then: Then{Service: "lab", Aim: -1}}, "then.aim"},
		{Rule{Name: "a", Then: Then{Service: "lab", Deadline: 1, Aim: 2}}, "then.aim"},
		{Rule{Name: "a", Then: Then{Service: "lab", Retry: 9}}, "then.retry"},
		{Rule{Name: "a", Then: Then{Service: "lab", Queue: -1}}, "then.queue"},
		{Rule{Name: "a", Then: Then{Service: "lab", Deadline: 1, Wait: 2}}, "then.wait"},
		{Rule{Name: "a", Then: Then{Service: "lab", Deadline: 1, Hedge: 1, Idempotent: true}}, "then.hedge"},
		{Rule{Name: "a", Then: Then{Service: "lab", Hedge: 1}}, "then.hedge"},
		{Rule{Name: "a", Then: Then{Service: "lab", Idempotent: true, Once: OnceStore}}, "then.once"},
		{Rule{Name: "a", Then: Then{Service: "lab", Class: "vip"}}, "then.class"},
	} {
		_, err := Compile([]Rule{c.rule}, known)
		var f Faults
		assert.Assert(t, errors.As(err, &f), "%+v", c.rule)
		assert.Equal(t, f[0].Field, c.field, "%v", f)
		assert.Equal(t, kinds.Of(err), kinds.Malformed)
	}
}

func TestMatchOfTheZeroSet(t *testing.T) {
	var s Set
	_, ok := s.Match(&Request{Path: "/"})
	assert.Assert(t, !ok)
}

// An auditor asks who handled the receipts of one ground. If rules for a service that is
// not sharded by key could not name a key source, the report would find none.
func TestAServiceThatIsNotShardedMayHaveAKey(t *testing.T) {
	known := WithServices(map[ident.Service]Service{"ledger": {}})
	rule := Rule{Name: "receipts", When: When{Path: "/receipts/{ground}"}, Then: Then{Service: "ledger", Key: "path:ground"}}
	set, err := Compile([]Rule{rule}, known)
	assert.NilError(t, err)
	req := &Request{Method: "POST", Path: "/receipts/north"}
	r, ok := set.Match(req)
	assert.Assert(t, ok)
	key, err := KeyOf(r, req)
	assert.NilError(t, err)
	assert.Equal(t, key, ident.Key("north"))
}
