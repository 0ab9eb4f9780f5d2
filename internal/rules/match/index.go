package match

import (
	"math"
	"slices"
	"strings"
)

// index finds the few rules that may match a request among a list of any length.
//
// Each rule is stored under one exact condition of its own, the one shared by the fewest
// rules: a service, a method, a caller, a data centre, or a host and path, that is the
// host together with the leading literal segments of the path pattern or prefix. A lookup
// visits the nodes of the request's own values and the rules without any exact condition;
// a rule stored under a value that the request does not have cannot match it. The rules
// found are still compared in full, so the index may return too many rules, but never too
// few.
//
// Its size and the time to build it are proportional to the text of the rules, even when
// each of thousands of rules has a value of its own.
type index struct {
	edges map[edge]node
	nodes []nodeInfo
	rules []int32 // rule numbers of all nodes, one node after another
}

// node is a value of one condition, or a host and path.
type node int32

// edge leads from a node to its child for a further path segment, and from a root to the
// node of a value.
type edge struct {
	parent node
	text   string
}

// The roots of the index. rootPath is the node for any host and no path segments; it also
// holds the rules that have no exact condition at all.
const (
	rootPath node = iota
	rootHost
	rootService
	rootMethod
	rootCaller
	rootCentre
	roots
)

// nodeInfo holds the rules of a node and its place in the tree.
type nodeInfo struct {
	from, to   int32 // its rules are index.rules[from:to], in the order of the list
	parent     node
	rulesBelow bool // some descendant has rules
}

// maxEdgeText is the most bytes of a host or segment under which a rule is stored. The
// bound lets a lookup lowercase a request's host or unescape its segment in a fixed-size
// buffer.
const maxEdgeText = 256

// rulesAt returns the numbers of the rules stored at a node.
func (x *index) rulesAt(n node) []int32 {
	e := &x.nodes[n]
	return x.rules[e.from:e.to]
}

// child returns the child of a node for a text.
func (x *index) child(n node, text string) (node, bool) {
	if !x.nodes[n].rulesBelow {
		return 0, false
	}
	n, ok := x.edges[edge{n, text}]
	return n, ok
}

// hostNode returns the node of a request's host.
func (x *index) hostNode(s string) (node, bool) {
	if !x.nodes[rootHost].rulesBelow {
		return 0, false
	}
	s = stripPort(s)
	if !hasUpper(s) {
		return x.child(rootHost, s)
	}
	if len(s) > maxEdgeText {
		return 0, false
	}
	var buf [maxEdgeText]byte
	for i := range len(s) {
		buf[i] = asciiLower(s[i])
	}
	n, ok := x.edges[edge{rootHost, string(buf[:len(s)])}]
	return n, ok
}

func hasUpper(s string) bool {
	for i := range len(s) {
		if s[i] != asciiLower(s[i]) {
			return true
		}
	}
	return false
}

// unescapedChild returns the child of a node for the unescaped form of a segment, if the
// segment has escapes.
func (x *index) unescapedChild(n node, s string) (node, bool) {
	if strings.IndexByte(s, '%') < 0 || !x.nodes[n].rulesBelow {
		return 0, false
	}
	var buf [maxEdgeText]byte
	size := 0
	for i := 0; i < len(s); size++ {
		if size == maxEdgeText {
			return 0, false
		}
		buf[size], i = unescapeAt(s, i)
	}
	n, ok := x.edges[edge{n, string(buf[:size])}]
	return n, ok
}

// indexBuilder builds an index.
type indexBuilder struct {
	index
	ruleCount      []int32 // by node: number of rules that could be stored there
	candidates     []candidate
	candidateNodes []node // of all candidates, one candidate after another
	assignments    []assignment
	segs           []string
}

// candidate is an exact condition under which a rule may be stored. Its nodes are
// candidateNodes[from:to].
type candidate struct{ rule, from, to int32 }

// assignment stores a rule at a node.
type assignment struct {
	at   node
	rule int32
}

// newIndexBuilder reserves the space that a list takes if each rule has a host and path.
func newIndexBuilder(rules int) *indexBuilder {
	most := int(roots) + 2*rules
	return &indexBuilder{
		index:          index{edges: make(map[edge]node, most), nodes: make([]nodeInfo, roots, most)},
		ruleCount:      make([]int32, roots, most),
		candidates:     make([]candidate, 0, rules),
		candidateNodes: make([]node, 0, rules),
		assignments:    make([]assignment, 0, rules),
	}
}

// newIndex builds the index of a list of rules.
func newIndex(rules []Rule) index {
	x := newIndexBuilder(len(rules))
	for i := range rules {
		x.addCandidates(i, &rules[i])
	}
	choices := x.candidates
	for i := range rules {
		n := 0
		for n < len(choices) && int(choices[n].rule) == i {
			n++
		}
		x.assign(i, x.mostSelective(choices[:n]))
		choices = choices[n:]
	}
	x.layOut()
	return x.index
}

// addCandidates adds a candidate for each exact condition of the rule.
func (x *indexBuilder) addCandidates(i int, r *Rule) {
	w := &r.When
	x.addHostPaths(r)
	x.endCandidate(i)
	addValues(x, rootService, w.Service)
	x.endCandidate(i)
	addValues(x, rootMethod, w.Method)
	x.endCandidate(i)
	addValues(x, rootCaller, exactValues(w.Caller))
	x.endCandidate(i)
	addValues(x, rootCentre, w.Centre)
	x.endCandidate(i)
}

// endCandidate makes one candidate of the nodes added since the previous one, if there are
// any.
func (x *indexBuilder) endCandidate(rule int) {
	from := int32(0)
	if n := len(x.candidates); n > 0 {
		from = x.candidates[n-1].to
	}
	to := int32(len(x.candidateNodes))
	if from == to {
		return
	}
	x.candidates = append(x.candidates, candidate{int32(rule), from, to})
	for _, n := range x.candidateNodes[from:to] {
		x.ruleCount[n]++
	}
}

func addValues[T ~string](x *indexBuilder, root node, values []T) {
	for _, v := range values {
		x.candidateNodes = append(x.candidateNodes, x.addNode(root, string(v)))
	}
}

// addHostPaths adds the nodes of the rule's hosts and leading segments, or none when it
// has neither.
func (x *indexBuilder) addHostPaths(r *Rule) {
	x.segs = r.leadingSegs(x.segs[:0])
	hosts := exactValues(r.When.Host)
	if slices.ContainsFunc(hosts, func(h string) bool { return len(h) > maxEdgeText }) {
		hosts = nil
	}
	for _, h := range hosts {
		x.candidateNodes = append(x.candidateNodes, x.addSegs(x.addNode(rootHost, h)))
	}
	if len(hosts) > 0 {
		return
	}
	if n := x.addSegs(rootPath); n != rootPath {
		x.candidateNodes = append(x.candidateNodes, n)
	}
}

// addSegs adds the path of x.segs below a node and returns the last node. It stops after
// maxSegs segments, as many as a request's path is split into, and before a segment longer
// than maxEdgeText.
func (x *indexBuilder) addSegs(n node) node {
	for _, text := range x.segs[:min(len(x.segs), maxSegs)] {
		if len(text) > maxEdgeText {
			return n
		}
		n = x.addNode(n, text)
	}
	return n
}

// addNode returns the child of a node for a text, and creates it if necessary.
func (x *indexBuilder) addNode(from node, text string) node {
	e := edge{from, text}
	if n, ok := x.edges[e]; ok {
		return n
	}
	n := node(len(x.nodes))
	x.edges[e] = n
	x.nodes = append(x.nodes, nodeInfo{parent: from})
	x.ruleCount = append(x.ruleCount, 0)
	return n
}

// mostSelective returns the nodes of the candidate shared by the fewest rules, or nil when
// there is none. A candidate with several values is judged by its most common value.
func (x *indexBuilder) mostSelective(choices []candidate) []node {
	var best []node
	least := int32(math.MaxInt32)
	for _, c := range choices {
		nodes := x.candidateNodes[c.from:c.to]
		most := int32(0)
		for _, n := range nodes {
			most = max(most, x.ruleCount[n])
		}
		if most < least {
			best, least = nodes, most
		}
	}
	return best
}

// assign stores a rule at the given nodes, or at rootPath when there are none. Until layOut
// runs, the field to of a node counts its rules.
func (x *indexBuilder) assign(rule int, nodes []node) {
	if len(nodes) == 0 {
		nodes = []node{rootPath}
	}
	for _, n := range nodes {
		x.assignments = append(x.assignments, assignment{n, int32(rule)})
		x.nodes[n].to++
		for n >= roots && !x.nodes[x.nodes[n].parent].rulesBelow {
			n = x.nodes[n].parent
			x.nodes[n].rulesBelow = true
		}
	}
}

// layOut fills index.rules so that the rules of each node are contiguous. They were
// assigned in the order of the list and keep that order.
func (x *indexBuilder) layOut() {
	at := int32(0)
	for i := range x.nodes {
		e := &x.nodes[i]
		n := e.to
		e.from, e.to = at, at
		at += n
	}
	x.rules = make([]int32, at)
	for _, a := range x.assignments {
		e := &x.nodes[a.at]
		x.rules[e.to] = a.rule
		e.to++
	}
}

// exactValues returns the values when none has a wildcard, and nil otherwise.
func exactValues[T ~string](values []T) []T {
	for _, v := range values {
		if strings.Contains(string(v), wildcard) {
			return nil
		}
	}
	return values
}

// leadingSegs appends the literal segments with which every path of the rule begins, taken
// from the path pattern or the prefix, whichever has more of them.
func (r *Rule) leadingSegs(out []string) []string {
	if r.path.leadingLiterals() >= strings.Count(r.When.Prefix, "/")-1 {
		return r.path.leadingLiteralTexts(out)
	}
	return prefixSegments(r.When.Prefix, out)
}

// leadingLiterals returns the number of segments before the first variable.
func (p *path) leadingLiterals() int {
	n := 0
	for n < p.fixedLen() && !p.segs[n].isVar {
		n++
	}
	return n
}

// leadingLiteralTexts appends the segments before the first variable.
func (p *path) leadingLiteralTexts(out []string) []string {
	for _, s := range p.segs[:p.leadingLiterals()] {
		out = append(out, s.text)
	}
	return out
}

// prefixSegments appends the complete segments of a prefix.
func prefixSegments(prefix string, out []string) []string {
	end := strings.LastIndexByte(prefix, '/')
	if end <= 0 {
		return out
	}
	for text := range strings.SplitSeq(prefix[1:end], "/") {
		out = append(out, text)
	}
	return out
}
