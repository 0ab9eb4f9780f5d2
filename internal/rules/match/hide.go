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
	x := newIndex(rules)
	for i := range rules {
		if j, _ := x.hiding(rules, i); j < i {
			c.rule, c.index = &rules[i], i
			c.addHidden(j, rules[j].Name)
		}
	}
}

// hiding returns the first rule that hides rule i, or i when no earlier one does, and
// how many rules it was compared with.
//
// A rule that hides another takes at least its values. So the value under which it is
// filed is among the other's, and any one of those leads to it: the first is followed.
// Its site ends on the way of the other's host, or of any, and segments. A test holds
// this against comparing every two rules.
func (x *index) hiding(rules []Rule, i int) (first, compared int) {
	w := &rules[i].When
	h := hider{index: x, rules: rules, rule: &rules[i], first: i}
	prefix, path := prefixSegs(w.Prefix, nil), rules[i].path.literalTexts(nil)
	for _, segs := range [][]string{prefix, path} {
		h.site(rootSite, segs)
		if len(w.Host) == 0 {
			continue
		}
		if n, ok := x.next(rootHost, w.Host[0]); ok {
			h.site(n, segs)
		}
	}
	hideUnder(&h, rootService, w.Service)
	hideUnder(&h, rootMethod, w.Method)
	hideUnder(&h, rootCaller, w.Caller)
	hideUnder(&h, rootCentre, w.Centre)
	return h.first, h.compared
}

// hider is the search for the first rule that hides one.
type hider struct {
	*index

	rules    []Rule
	rule     *Rule
	first    int // lowest number of a rule that hides it so far, at first its own
	compared int
}

func (h *hider) look(n node) {
	for _, j := range h.at(n) {
		if int(j) >= h.first {
			return
		}
		h.compared++
		if h.rules[j].hides(h.rule) {
			h.first = int(j)
			return
		}
	}
}

// site looks at a site and, segment by segment, at those below.
func (h *hider) site(n node, segs []string) {
	h.look(n)
	for _, text := range segs {
		var ok bool
		if n, ok = h.next(n, text); !ok {
			return
		}
		h.look(n)
	}
}

func hideUnder[T ~string](h *hider, root node, values []T) {
	if len(values) == 0 {
		return
	}
	if n, ok := h.next(root, string(values[0])); ok {
		h.look(n)
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
