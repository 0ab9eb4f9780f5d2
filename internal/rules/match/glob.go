package match

import "strings"

// wildcard matches any text, including none, in a pattern.
const wildcard = "*"

// covers reports whether every text that matches inner also matches outer. It may return
// false for patterns that do cover each other, but never true for patterns that do not.
func covers(outer, inner string) bool {
	pre, suf, open := strings.Cut(outer, wildcard)
	if !open {
		return outer == inner
	}
	ipre, isuf, iopen := strings.Cut(inner, wildcard)
	if !iopen {
		return globMatch(outer, inner)
	}
	return strings.HasPrefix(ipre, pre) && strings.HasSuffix(isuf, suf)
}

// globMatch reports whether s matches a pattern with at most one wildcard.
func globMatch(pattern, s string) bool {
	pre, suf, open := strings.Cut(pattern, wildcard)
	if !open {
		return pattern == s
	}
	return len(s) >= len(pre)+len(suf) && strings.HasPrefix(s, pre) && strings.HasSuffix(s, suf)
}

// hostMatch is globMatch ignoring case and port.
func hostMatch(pattern, host string) bool {
	host = stripPort(host)
	pre, suf, open := strings.Cut(pattern, wildcard)
	if !open {
		return equalFold(pattern, host)
	}
	return len(host) >= len(pre)+len(suf) &&
		equalFold(host[:len(pre)], pre) &&
		equalFold(host[len(host)-len(suf):], suf)
}

// equalFold compares two texts ignoring the case of ASCII letters. Unicode case folding
// would treat texts of different lengths as equal, and the check for hidden rules could
// then report a rule that still matches.
func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if asciiLower(a[i]) != asciiLower(b[i]) {
			return false
		}
	}
	return true
}

func asciiLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// stripPort removes the port from a host, which may be an IPv6 address in brackets.
func stripPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.IndexByte(host[i:], ']') >= 0 {
		return host
	}
	return host[:i]
}

func asciiLowerRune(r rune) rune {
	if 'A' <= r && r <= 'Z' {
		return r + 'a' - 'A'
	}
	return r
}
