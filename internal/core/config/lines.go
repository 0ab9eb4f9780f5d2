package config

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted path of each setting to its line number.
type lineIndex map[string]int

// indexLines parses src a second time to find the line of each setting. The
// decoder does not keep positions once a value has been stored, but a check that
// fails later must still report the line.
func indexLines(src []byte) lineIndex {
	at := lineIndex{}
	var p unstable.Parser
	p.Reset(src)
	counts := map[string]int{}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = resolve(keyOf(e), counts)
		case unstable.ArrayTable:
			table = openArray(keyOf(e), counts)
		case unstable.KeyValue:
			at.put(join(table, keyOf(e)), lineOf(&p, e))
			continue
		default:
			continue
		}
		at.put(table, lineOf(&p, e))
	}
	return at
}

// put records the first line of path.
func (l lineIndex) put(path string, line int) {
	if _, ok := l[path]; !ok {
		l[path] = line
	}
}

// line returns the line of the setting at path. A setting that was left out has
// no line, so the line of the nearest enclosing table is returned instead, or 0.
func (l lineIndex) line(path string) int {
	for path != "" {
		if n, ok := l[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func keyOf(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func lineOf(p *unstable.Parser, e *unstable.Node) int {
	it := e.Key()
	if !it.Next() {
		return 0
	}
	return p.Shape(it.Node().Raw).Start.Line
}

// resolve adds the current index to each array of tables in key, such as
// "service[0].name" for "service.name".
func resolve(key string, counts map[string]int) string {
	path := ""
	for part := range strings.SplitSeq(key, ".") {
		path = join(path, part)
		if n := counts[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return path
}

// openArray counts a new element of the array of tables key and returns its path.
func openArray(key string, counts map[string]int) string {
	parent, last := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		parent, last = resolve(key[:i], counts), key[i+1:]
	}
	path := join(parent, last)
	counts[path]++
	return path + "[" + strconv.Itoa(counts[path]-1) + "]"
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}
