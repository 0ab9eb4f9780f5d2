package match

import "strings"

// wildcard matches any text, including none, in a pattern.
const wildcard = "*"

// covers reports whether every text that matches inner also matches outer. It may return
// false for patterns that do cover each other, but never true for patterns that do not.
func covers(outer, inner string) bool {
	prefix, suffix, isGlob := strings.Cut(outer, wildcard)
	if !isGlob {
		return outer == inner
	}
	innerPrefix, innerSuffix, innerIsGlob := strings.Cut(inner, wildcard)
	if !innerIsGlob {
		return globMatch(outer, inner)
	}
	return strings.HasPrefix(innerPrefix, prefix) && strings.HasSuffix(innerSuffix, suffix)
}

// globMatch reports whether s matches a pattern with at most one wildcard.
func globMatch(pattern, s string) bool {
	prefix, suffix, isGlob := strings.Cut(pattern, wildcard)
	if !isGlob {
		return pattern == s
	}
	return len(s) >= len(prefix)+len(suffix) && strings.HasPrefix(s, prefix) && strings.HasSuffix(s, suffix)
}

// hostMatch is globMatch ignoring case and port.
func hostMatch(pattern, host string) bool {
	host = stripPort(host)
	prefix, suffix, isGlob := strings.Cut(pattern, wildcard)
	if !isGlob {
		return equalFold(pattern, host)
	}
	return len(host) >= len(prefix)+len(suffix) &&
		equalFold(host[:len(prefix)], prefix) &&
		equalFold(host[len(host)-len(suffix):], suffix)
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
