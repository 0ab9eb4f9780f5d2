package match

import (
	"net/url"
	"strconv"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// path is a compiled path pattern. It consists of literal segments, of "{name}" for
// exactly one non-empty segment, and optionally ends with "{name...}" for the rest of the
// path, which may be empty. The zero value matches every path.
type path struct {
	segs     []segment
	nonEmpty bool // false for the empty pattern
	hasRest  bool // the last segment matches the rest of the path
}

type segment struct {
	text  string // literal, or the name of a variable
	isVar bool
}

// restSuffix ends the name of a variable that matches the rest of the path.
const restSuffix = "..."

var errTooManySegs = kinds.New(kinds.Malformed, "a path pattern has at most "+strconv.Itoa(maxSegs)+" segments")

// parsePath compiles a pattern, or returns an error of kind Malformed.
func parsePath(src string) (path, error) {
	if src == "" {
		return path{}, nil
	}
	if src[0] != '/' {
		return path{}, kinds.New(kinds.Malformed, "a path pattern must begin with a slash")
	}
	p := path{nonEmpty: true}
	for src = src[1:]; src != ""; {
		text, rest, more := strings.Cut(src, "/")
		if more && rest == "" {
			return path{}, kinds.New(kinds.Malformed, "a path pattern must not end with a slash")
		}
		if err := p.add(text, more); err != nil {
			return path{}, err
		}
		src = rest
	}
	return p, nil
}

func (p *path) add(text string, more bool) error {
	name, open := strings.CutPrefix(text, "{")
	if !open {
		return p.addLiteral(text)
	}
	name, closed := strings.CutSuffix(name, "}")
	name, rest := strings.CutSuffix(name, restSuffix)
	switch {
	case !closed || name == "" || strings.ContainsAny(name, "{}.*%"):
		return kinds.New(kinds.Malformed, "bad variable "+text+" in a path pattern")
	case len(p.segs) == maxSegs:
		return errTooManySegs
	case rest && more:
		return kinds.New(kinds.Malformed, text+" is allowed only at the end of a path pattern")
	case p.varIndex(name) >= 0:
		return kinds.New(kinds.Malformed, "variable "+name+" occurs twice in a path pattern")
	}
	p.segs = append(p.segs, segment{text: name, isVar: true})
	p.hasRest = rest
	return nil
}

func (p *path) addLiteral(text string) error {
	if text == "" || text == "." || text == ".." || strings.ContainsAny(text, "{}*%?#") {
		return kinds.New(kinds.Malformed, "bad segment "+strconv.Quote(text)+" in a path pattern")
	}
	if len(p.segs) == maxSegs {
		return errTooManySegs
	}
	p.segs = append(p.segs, segment{text: text})
	return nil
}

// varIndex returns the segment index of a variable, or -1.
func (p *path) varIndex(name string) int {
	for i, s := range p.segs {
		if s.isVar && s.text == name {
			return i
		}
	}
	return -1
}

// fixedLen returns the number of segments without the rest variable.
func (p *path) fixedLen() int {
	if p.hasRest {
		return len(p.segs) - 1
	}
	return len(p.segs)
}

// splitPath is an escaped request path, split once for comparison with many patterns.
type splitPath struct {
	segs      [maxSegs]string
	n         int
	truncated bool // the path has more than maxSegs segments
}

// maxSegs is the maximum number of segments of a pattern. Request paths may be longer;
// segments beyond maxSegs can be matched only by a rest variable.
const maxSegs = 16

func (p *splitPath) split(s string) {
	s = strings.TrimPrefix(s, "/")
	if s == "" {
		return
	}
	for p.n < maxSegs {
		i := strings.IndexByte(s, '/')
		if i < 0 {
			p.segs[p.n] = s
			p.n++
			return
		}
		p.segs[p.n] = s[:i]
		p.n++
		s = s[i+1:]
	}
	p.truncated = true
}

// match compares a pattern with a path that safePath has accepted.
func (p *path) match(s *splitPath) bool {
	if !p.nonEmpty {
		return true
	}
	n := p.fixedLen()
	if s.n < n || !p.hasRest && (s.n > n || s.truncated) {
		return false
	}
	for i := range n {
		if !p.segs[i].match(s.segs[i]) {
			return false
		}
	}
	return true
}

func (s segment) match(text string) bool {
	if s.isVar {
		return text != ""
	}
	return text == s.text || strings.IndexByte(text, '%') >= 0 && equalUnescaped(text, s.text)
}

// varText returns the escaped text of a path at segment i, a variable of the pattern.
func (p *path) varText(s string, i int) string {
	s = strings.TrimPrefix(s, "/")
	for range i {
		_, s, _ = strings.Cut(s, "/")
	}
	if p.hasRest && i == len(p.segs)-1 {
		return s
	}
	text, _, _ := strings.Cut(s, "/")
	return text
}

// covers reports whether every path that matches o also matches p.
func (p *path) covers(o *path) bool {
	if !p.nonEmpty {
		return true
	}
	if !o.nonEmpty {
		return p.hasRest && p.fixedLen() == 0
	}
	if o.fixedLen() < p.fixedLen() {
		return false
	}
	if !p.hasRest && (o.hasRest || o.fixedLen() != p.fixedLen()) {
		return false
	}
	for i, s := range p.segs[:p.fixedLen()] {
		if !s.isVar && (o.segs[i].isVar || o.segs[i].text != s.text) {
			return false
		}
	}
	return true
}

// safePath reports whether an escaped path has only one interpretation. A path with dot
// segments or invalid escapes matches no rule: a backend server that resolved
// "/public/../ledger" would otherwise run the request under a rule that was never meant
// for it.
func safePath(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	if strings.IndexByte(s, '%') >= 0 {
		plain, err := url.PathUnescape(s)
		if err != nil {
			return false
		}
		s = plain
	}
	return !hasDotSegment(s)
}

// hasDotSegment reports whether a path has a segment "." or "..".
func hasDotSegment(s string) bool {
	for i := strings.Index(s, "/."); i >= 0; i = strings.Index(s, "/.") {
		s = s[i+1:]
		text, _, _ := strings.Cut(s, "/")
		if text == "." || text == ".." {
			return true
		}
	}
	return false
}

// equalUnescaped compares an escaped text with a plain one without allocating the
// unescaped form.
func equalUnescaped(s, plain string) bool {
	n := 0
	for i := 0; i < len(s); n++ {
		var c byte
		c, i = unescapeAt(s, i)
		if n >= len(plain) || plain[n] != c {
			return false
		}
	}
	return n == len(plain)
}

// unescapeAt returns the byte encoded at s[i] and the index of the next one.
func unescapeAt(s string, i int) (c byte, next int) {
	if s[i] == '%' && i+2 < len(s) {
		return byte(hexValue(s[i+1])<<4 | hexValue(s[i+2])), i + 3
	}
	return s[i], i + 1
}

func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
