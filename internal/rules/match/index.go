package match

import (
	"math"
	"slices"
	"strings"
)

// index finds the few rules that may hold for a request, however many there are.
//
// Each rule is filed under one exact condition of its own: the one that the fewest
// rules share. That is a service, method, caller or data centre, or a site: the host
// together with the leading segments that its path or prefix fixes. A request looks
// under each of its own values and at the rules that fix nothing; a rule filed under
// a value that the request does not have cannot hold for it. What is found is still
// compared in full, so the index may offer too many rules, but never too few.
//
// It takes memory and time in proportion to the text of the rules, also where each of
// thousands has a value of its own.
type index struct {
	steps map[step]node
	nodes []entry
	rules []int32 // numbers of all nodes, one node after another
}

// node is a value of one condition, or a site.
type node int32

// step leads from a node to the one for a further segment, and from a root to the one
// for a value.
type step struct {
	from node
	text string
}

// Roots. The site without a host and without segments also holds the rules that fix
// no condition at all.
const (
	rootSite node = iota
	rootHost
	rootService
	rootMethod
	rootCaller
	rootCentre
	roots
)

// entry is what the index knows of a node.
type entry struct {
	from, to int32 // its rules, in their order
	up       node
	inner    bool // rules are filed below
}

// maxStep bounds the bytes of a host or segment by which a rule is filed, so that a
// request's can be folded or unescaped in a fixed space.
const maxStep = 256

// at returns the rules that are filed under a node.
func (x *index) at(n node) []int32 {
	e := &x.nodes[n]
	return x.rules[e.from:e.to]
}

// next returns the node for a text under another one.
func (x *index) next(n node, text string) (node, bool) {
	if !x.nodes[n].inner {
		return 0, false
	}
	n, ok := x.steps[step{n, text}]
	return n, ok
}

// host returns the node of a request's host.
func (x *index) host(s string) (node, bool) {
	if !x.nodes[rootHost].inner {
		return 0, false
	}
	s = hostOnly(s)
	if !hasUpper(s) {
		return x.next(rootHost, s)
	}
	if len(s) > maxStep {
		return 0, false
	}
	var buf [maxStep]byte
	for i := range len(s) {
		buf[i] = lower(s[i])
	}
	n, ok := x.steps[step{rootHost, string(buf[:len(s)])}]
	return n, ok
}

func hasUpper(s string) bool {
	for i := range len(s) {
		if s[i] != lower(s[i]) {
			return true
		}
	}
	return false
}

// unescaped returns the node for the segment that an escaped one stands for.
func (x *index) unescaped(n node, s string) (node, bool) {
	if strings.IndexByte(s, '%') < 0 || !x.nodes[n].inner {
		return 0, false
	}
	var buf [maxStep]byte
	size := 0
	for i := 0; i < len(s); size++ {
		if size == maxStep {
			return 0, false
		}
		buf[size], i = unescapeAt(s, i)
	}
	n, ok := x.steps[step{n, string(buf[:size])}]
	return n, ok
}

// indexer builds an index.
type indexer struct {
	index
	shared  []int32 // by node: how many rules could be filed there
	choices []choice
	values  []node // of all choices, one choice after another
	filed   []filing
	segs    []string
}

// choice is a condition under which a rule may be filed, with the nodes of its values.
type choice struct{ rule, from, to int32 }

type filing struct {
	at   node
	rule int32
}

// newIndexer reserves what rules with a site each take.
func newIndexer(rules int) *indexer {
	most := int(roots) + 2*rules
	return &indexer{
		index:   index{steps: make(map[step]node, most), nodes: make([]entry, roots, most)},
		shared:  make([]int32, roots, most),
		choices: make([]choice, 0, rules),
		values:  make([]node, 0, rules),
		filed:   make([]filing, 0, rules),
	}
}

func newIndex(rules []Rule) index {
	x := newIndexer(len(rules))
	for i := range rules {
		x.choose(i, &rules[i])
	}
	choices := x.choices
	for i := range rules {
		n := 0
		for n < len(choices) && int(choices[n].rule) == i {
			n++
		}
		x.file(i, x.rarest(choices[:n]))
		choices = choices[n:]
	}
	x.lay()
	return x.index
}

// choose notes each condition of the rule that fixes values.
func (x *indexer) choose(i int, r *Rule) {
	w := &r.When
	x.addSites(r)
	x.close(i)
	addValues(x, rootService, w.Service)
	x.close(i)
	addValues(x, rootMethod, w.Method)
	x.close(i)
	addValues(x, rootCaller, exact(w.Caller))
	x.close(i)
	addValues(x, rootCentre, w.Centre)
	x.close(i)
}

// close makes a choice of the values added since the last one, if there are any.
func (x *indexer) close(rule int) {
	from := int32(0)
	if n := len(x.choices); n > 0 {
		from = x.choices[n-1].to
	}
	to := int32(len(x.values))
	if from == to {
		return
	}
	x.choices = append(x.choices, choice{int32(rule), from, to})
	for _, n := range x.values[from:to] {
		x.shared[n]++
	}
}

func addValues[T ~string](x *indexer, root node, values []T) {
	for _, v := range values {
		x.values = append(x.values, x.add(root, string(v)))
	}
}

// addSites adds the rule's sites, or none when it fixes neither host nor segment.
func (x *indexer) addSites(r *Rule) {
	x.segs = r.leading(x.segs[:0])
	hosts := exact(r.When.Host)
	if slices.ContainsFunc(hosts, func(h string) bool { return len(h) > maxStep }) {
		hosts = nil
	}
	for _, h := range hosts {
		x.values = append(x.values, x.below(x.add(rootHost, h)))
	}
	if len(hosts) > 0 {
		return
	}
	if n := x.below(rootSite); n != rootSite {
		x.values = append(x.values, n)
	}
}

// below follows the present segments from a node, as far as a request's path is cut.
func (x *indexer) below(n node) node {
	for _, text := range x.segs[:min(len(x.segs), maxSegs)] {
		if len(text) > maxStep {
			return n
		}
		n = x.add(n, text)
	}
	return n
}

func (x *indexer) add(from node, text string) node {
	s := step{from, text}
	if n, ok := x.steps[s]; ok {
		return n
	}
	n := node(len(x.nodes))
	x.steps[s] = n
	x.nodes = append(x.nodes, entry{up: from})
	x.shared = append(x.shared, 0)
	return n
}

// rarest returns the nodes of the choice that the fewest rules share, or nothing when
// there is none. Of a choice with several values the commonest counts.
func (x *indexer) rarest(choices []choice) []node {
	var best []node
	least := int32(math.MaxInt32)
	for _, c := range choices {
		nodes := x.values[c.from:c.to]
		most := int32(0)
		for _, n := range nodes {
			most = max(most, x.shared[n])
		}
		if most < least {
			best, least = nodes, most
		}
	}
	return best
}

func (x *indexer) file(rule int, nodes []node) {
	if len(nodes) == 0 {
		nodes = []node{rootSite}
	}
	for _, n := range nodes {
		x.filed = append(x.filed, filing{n, int32(rule)})
		x.nodes[n].to++
		for n >= roots && !x.nodes[x.nodes[n].up].inner {
			n = x.nodes[n].up
			x.nodes[n].inner = true
		}
	}
}

// lay puts the rules of each node side by side. They were filed in their order and
// stay in it.
func (x *indexer) lay() {
	at := int32(0)
	for i := range x.nodes {
		e := &x.nodes[i]
		n := e.to
		e.from, e.to = at, at
		at += n
	}
	x.rules = make([]int32, at)
	for _, f := range x.filed {
		e := &x.nodes[f.at]
		x.rules[e.to] = f.rule
		e.to++
	}
}

// exact returns the values when none holds a star, and nothing otherwise.
func exact[T ~string](values []T) []T {
	for _, v := range values {
		if strings.Contains(string(v), star) {
			return nil
		}
	}
	return values
}

// leading appends the segments with which each path of the rule begins, as the path
// pattern or the prefix fixes more of them.
func (r *Rule) leading(out []string) []string {
	if r.path.literals() >= strings.Count(r.When.Prefix, "/")-1 {
		return r.path.literalTexts(out)
	}
	return prefixSegs(r.When.Prefix, out)
}

// literals returns how many segments stand before the first variable.
func (p *path) literals() int {
	n := 0
	for n < p.fixed() && !p.segs[n].open {
		n++
	}
	return n
}

// literalTexts appends the segments before the first variable.
func (p *path) literalTexts(out []string) []string {
	for _, s := range p.segs[:p.literals()] {
		out = append(out, s.text)
	}
	return out
}

// prefixSegs appends the whole segments of a prefix.
func prefixSegs(prefix string, out []string) []string {
	end := strings.LastIndexByte(prefix, '/')
	if end <= 0 {
		return out
	}
	for text := range strings.SplitSeq(prefix[1:end], "/") {
		out = append(out, text)
	}
	return out
}
