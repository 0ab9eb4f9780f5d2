package match

import (
	"strconv"
	"strings"
)

// checkHidden reports rules that can never match because one earlier rule matches every
// request that they would match. Without it an operator who added such a rule would see it
// in the list although it never takes effect.
//
// The check is sound: a reported rule is truly unreachable. It is not complete: a rule
// that is hidden only by several earlier rules together is not found.
func (c *checker) checkHidden(rules []Rule) {
	x := newIndex(rules)
	for i := range rules {
		if j, _ := x.firstHiding(rules, i); j < i {
			c.rule, c.index = &rules[i], i
			c.addHiddenFault(j, rules[j].Name)
		}
	}
}

// firstHiding returns the first rule that hides rule i, or i when no earlier rule does,
// and the number of rules it was compared with.
//
// A rule that hides rule i accepts every value that rule i accepts. If the index stores it
// under a list of values, each value of rule i is among them, so it is enough to look up
// the first one. If the index stores it under host and path, its node lies on the way from
// the root along rule i's host, or from the root for any host, and the segments of rule
// i's prefix or path. TestHiddenRuleCheckAgreesWithPairwiseComparison verifies this
// against comparing every pair of rules.
func (x *index) firstHiding(rules []Rule, i int) (first, compared int) {
	w := &rules[i].When
	h := hiddenSearch{index: x, rules: rules, rule: &rules[i], first: i}
	prefix, path := prefixSegments(w.Prefix, nil), rules[i].path.leadingLiteralTexts(nil)
	for _, segs := range [][]string{prefix, path} {
		h.walkPath(rootPath, segs)
		if len(w.Host) == 0 {
			continue
		}
		if n, ok := x.child(rootHost, w.Host[0]); ok {
			h.walkPath(n, segs)
		}
	}
	checkValue(&h, rootService, w.Service)
	checkValue(&h, rootMethod, w.Method)
	checkValue(&h, rootCaller, w.Caller)
	checkValue(&h, rootCentre, w.Centre)
	return h.first, h.compared
}

// hiddenSearch is the search for the first rule that hides a given one.
type hiddenSearch struct {
	*index

	rules    []Rule
	rule     *Rule
	first    int // lowest number found so far of a rule that hides rule; initially its own number
	compared int
}

// checkNode compares the rules of a node that precede the first one found so far.
func (h *hiddenSearch) checkNode(n node) {
	for _, j := range h.rulesAt(n) {
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

// walkPath checks a node and then, segment by segment, its descendants along segs.
func (h *hiddenSearch) walkPath(n node, segs []string) {
	h.checkNode(n)
	for _, text := range segs {
		var ok bool
		if n, ok = h.child(n, text); !ok {
			return
		}
		h.checkNode(n)
	}
}

// checkValue checks the node of the first value under a root.
func checkValue[T ~string](h *hiddenSearch, root node, values []T) {
	if len(values) == 0 {
		return
	}
	if n, ok := h.child(root, string(values[0])); ok {
		h.checkNode(n)
	}
}

func (c *checker) addHiddenFault(j int, name string) {
	text := "can never match: the earlier rule " + name
	if line := c.lines.lineFor(j, ""); line > 0 {
		text += " (line " + strconv.Itoa(line) + ")"
	}
	c.addFault("", text+" takes all its requests")
	c.faults[len(c.faults)-1].By = name
}

// hides reports whether r matches every request that o matches.
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

// listCovers reports whether each inner value is covered by some outer value. An empty
// outer list accepts every value, so an empty inner list is covered only by an empty outer
// list or by a wildcard.
func listCovers[T ~string](outer, inner []T, glob bool) bool {
	if len(outer) == 0 {
		return true
	}
	for _, v := range inner {
		if !anyCovers(outer, v, glob) {
			return false
		}
	}
	return len(inner) > 0 || glob && anyCovers(outer, wildcard, true)
}

func anyCovers[T ~string](outer []T, v T, glob bool) bool {
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
