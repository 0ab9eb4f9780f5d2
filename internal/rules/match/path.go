package match

import (
	"net/url"
	"strconv"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// path is a compiled path pattern: literal segments, "{name}" for exactly one
// segment that is not empty, and at the end "{name...}" for the rest of the
// path, which may be empty. The zero value matches every path.
type path struct {
	segs []segment
	set  bool // false for the empty pattern
	rest bool // the last segment takes the rest
}

type segment struct {
	text string // literal, or the name of a variable
	open bool
}

// restMark ends the name of a variable that takes the rest of the path.
const restMark = "..."

var errTooDeep = kinds.New(kinds.Malformed, "a path pattern has at most "+strconv.Itoa(maxSegs)+" segments")

// parsePath compiles a pattern, or says what is wrong with it.
func parsePath(src string) (path, error) {
	if src == "" {
		return path{}, nil
	}
	if src[0] != '/' {
		return path{}, kinds.New(kinds.Malformed, "a path pattern begins with a slash")
	}
	p := path{set: true}
	for src = src[1:]; src != ""; {
		text, rest, more := strings.Cut(src, "/")
		if more && rest == "" {
			return path{}, kinds.New(kinds.Malformed, "a path pattern does not end with a slash")
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
	name, rest := strings.CutSuffix(name, restMark)
	switch {
	case !closed || name == "" || strings.ContainsAny(name, "{}.*%"):
		return kinds.New(kinds.Malformed, "bad variable "+text+" in a path pattern")
	case len(p.segs) == maxSegs:
		return errTooDeep
	case rest && more:
		return kinds.New(kinds.Malformed, text+" stands only at the end of a path pattern")
	case p.index(name) >= 0:
		return kinds.New(kinds.Malformed, "variable "+name+" stands twice in a path pattern")
	}
	p.segs = append(p.segs, segment{text: name, open: true})
	p.rest = rest
	return nil
}

func (p *path) addLiteral(text string) error {
	if text == "" || text == "." || text == ".." || strings.ContainsAny(text, "{}*%?#") {
		return kinds.New(kinds.Malformed, "bad segment "+strconv.Quote(text)+" in a path pattern")
	}
	if len(p.segs) == maxSegs {
		return errTooDeep
	}
	p.segs = append(p.segs, segment{text: text})
	return nil
}

// index returns the position of a variable, or -1.
func (p *path) index(name string) int {
	for i, s := range p.segs {
		if s.open && s.text == name {
			return i
		}
	}
	return -1
}

// fixed returns the number of segments before the rest.
func (p *path) fixed() int {
	if p.rest {
		return len(p.segs) - 1
	}
	return len(p.segs)
}

// parts is an escaped path, cut once for the comparison with many patterns.
type parts struct {
	segs [maxSegs]string
	n    int
	more bool // there are segments beyond
}

// maxSegs bounds the segments of a pattern. Paths may be longer: what follows
// can only be a variable's rest.
const maxSegs = 16

func (p *parts) cut(s string) {
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
	p.more = true
}

// match compares the parts of a path that safePath has approved.
func (p *path) match(s *parts) bool {
	if !p.set {
		return true
	}
	n := p.fixed()
	if s.n < n || !p.rest && (s.n > n || s.more) {
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
	if s.open {
		return text != ""
	}
	return text == s.text || strings.IndexByte(text, '%') >= 0 && equalUnescaped(text, s.text)
}

// value returns the escaped text that stands at variable i.
func (p *path) value(s string, i int) string {
	s = strings.TrimPrefix(s, "/")
	for range i {
		_, s, _ = strings.Cut(s, "/")
	}
	if p.rest && i == len(p.segs)-1 {
		return s
	}
	text, _, _ := strings.Cut(s, "/")
	return text
}

// covers reports whether every path that matches o also matches p.
func (p *path) covers(o *path) bool {
	if !p.set {
		return true
	}
	if !o.set {
		return p.rest && p.fixed() == 0
	}
	if o.fixed() < p.fixed() {
		return false
	}
	if !p.rest && (o.rest || o.fixed() != p.fixed()) {
		return false
	}
	for i, s := range p.segs[:p.fixed()] {
		if !s.open && (o.segs[i].open || o.segs[i].text != s.text) {
			return false
		}
	}
	return true
}

// safePath reports whether an escaped path means the same to every reader. A
// path with dot segments or broken escapes is matched by no rule: a backend
// server that resolved "/public/../ledger" would otherwise run under a rule
// that was never meant for it.
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
	return !hasDots(s)
}

// hasDots reports whether a path has a segment "." or "..".
func hasDots(s string) bool {
	for i := strings.Index(s, "/."); i >= 0; i = strings.Index(s, "/.") {
		s = s[i+1:]
		text, _, _ := strings.Cut(s, "/")
		if text == "." || text == ".." {
			return true
		}
	}
	return false
}

// equalUnescaped compares an escaped text with a plain one, without building
// the unescaped form.
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

// unescapeAt returns the byte that stands at s[i], and where the next one begins.
func unescapeAt(s string, i int) (c byte, next int) {
	if s[i] == '%' && i+2 < len(s) {
		return byte(hex(s[i+1])<<4 | hex(s[i+2])), i + 3
	}
	return s[i], i + 1
}

func hex(c byte) int {
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
