package config

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lines maps the dotted path of each setting to the line it stands on.
type lines map[string]int

// index reads src a second time for its positions only. The decoder keeps none
// once a value has been stored, and a check that fails later must still name
// the line.
func index(src []byte) lines {
	at := lines{}
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

func (l lines) put(path string, line int) {
	if _, ok := l[path]; !ok {
		l[path] = line
	}
}

// line finds the setting itself, or the nearest table around it: a setting
// that was left out has no line of its own.
func (l lines) line(path string) int {
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

// resolve puts the current index behind each array of tables in key.
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
