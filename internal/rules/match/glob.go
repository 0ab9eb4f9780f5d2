package match

import "strings"

// star stands for any text in a value pattern.
const star = "*"

// covers reports whether every text that matches inner also matches outer. It
// may miss a case, but never claims one that does not hold.
func covers(outer, inner string) bool {
	pre, suf, open := strings.Cut(outer, star)
	if !open {
		return outer == inner
	}
	ipre, isuf, iopen := strings.Cut(inner, star)
	if !iopen {
		return globMatch(outer, inner)
	}
	return strings.HasPrefix(ipre, pre) && strings.HasSuffix(isuf, suf)
}

// globMatch reports whether s matches a pattern with at most one star.
func globMatch(pattern, s string) bool {
	pre, suf, open := strings.Cut(pattern, star)
	if !open {
		return pattern == s
	}
	return len(s) >= len(pre)+len(suf) && strings.HasPrefix(s, pre) && strings.HasSuffix(s, suf)
}

// hostMatch is globMatch without regard to case and port.
func hostMatch(pattern, host string) bool {
	host = hostOnly(host)
	pre, suf, open := strings.Cut(pattern, star)
	if !open {
		return equalFold(pattern, host)
	}
	return len(host) >= len(pre)+len(suf) &&
		equalFold(host[:len(pre)], pre) &&
		equalFold(host[len(host)-len(suf):], suf)
}

// equalFold compares without regard to the case of ASCII letters. Unicode's
// folding would make texts of different lengths equal, and then the check for
// hidden rules could name a rule that still matches.
func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if lower(a[i]) != lower(b[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// hostOnly cuts the port from a host, also from a bracketed IPv6 one.
func hostOnly(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.IndexByte(host[i:], ']') >= 0 {
		return host
	}
	return host[:i]
}

func lowerRune(r rune) rune {
	if 'A' <= r && r <= 'Z' {
		return r + 'a' - 'A'
	}
	return r
}
