package match

import (
	"strconv"
	"strings"
)

// checkHidden finds rules that can never match because one earlier rule takes
// every request that they would take. An operator who added such a rule would
// see it in the list and wait for an effect that never comes.
//
// The check is sound: a rule that it names is truly unreachable. It is not
// complete: a rule that only several earlier rules together hide is not found.
func (c *checker) checkHidden(rules []Rule) {
	for i := range rules {
		for j := range rules[:i] {
			if !rules[j].hides(&rules[i]) {
				continue
			}
			c.rule, c.index = &rules[i], i
			c.addHidden(j, rules[j].Name)
			break
		}
	}
}

func (c *checker) addHidden(j int, name string) {
	text := "can never match: the earlier rule " + name
	if line := c.lines.of(j, ""); line > 0 {
		text += " (line " + strconv.Itoa(line) + ")"
	}
	c.add("", text+" takes all its requests")
	c.faults[len(c.faults)-1].By = name
}

// hides reports whether every request that o takes is taken by r.
func (r *Rule) hides(o *Rule) bool {
	a, b := &r.When, &o.When
	return listCovers(a.Service, b.Service, false) &&
		listCovers(a.Method, b.Method, false) &&
		listCovers(a.Centre, b.Centre, false) &&
		listCovers(a.Caller, b.Caller, true) &&
		listCovers(a.Host, b.Host, true) &&
		strings.HasPrefix(b.Prefix, a.Prefix) &&
		r.path.covers(&o.path) &&
		headerCovers(a.Header, b.Header)
}

// listCovers reports whether each inner value is covered by some outer one. An
// empty outer list accepts everything, an empty inner list asks for everything.
func listCovers[T ~string](outer, inner []T, glob bool) bool {
	if len(outer) == 0 {
		return true
	}
	for _, v := range inner {
		if !oneCovers(outer, v, glob) {
			return false
		}
	}
	return len(inner) > 0 || glob && oneCovers(outer, star, true)
}

func oneCovers[T ~string](outer []T, v T, glob bool) bool {
	for _, o := range outer {
		if o == v || glob && covers(string(o), string(v)) {
			return true
		}
	}
	return false
}

func headerCovers(outer, inner map[string]string) bool {
	for name, pattern := range outer {
		v, ok := inner[name]
		if !ok || !covers(pattern, v) {
			return false
		}
	}
	return true
}
