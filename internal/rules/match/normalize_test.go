package match

import (
	"net/url"
	"testing"

	"gotest.tools/v3/assert"
)

// An operator writes a host pattern with a port. As the port is cut off the request's
// host, a pattern compared with its port would never match, and callers would get 404.
func TestAPortInAHostPatternIsIgnoredAsInARequest(t *testing.T) {
	for pattern, hosts := range map[string][]string{
		"b.example:8443":   {"b.example", "b.example:8443", "B.Example:80"},
		"*.example:8443":   {"b.example", "b.example:8443"},
		"b.example:*":      {"b.example", "b.example:8443"},
		"[2001:db8::1]:80": {"[2001:db8::1]", "[2001:db8::1]:8443"},
		"[2001:db8::1]":    {"[2001:db8::1]", "[2001:db8::1]:8443"},
	} {
		set, err := Compile([]Rule{{Name: "r", When: When{Host: []string{pattern}}, Then: Then{Service: "ledger"}}})
		assert.NilError(t, err, pattern)
		for _, host := range hosts {
			_, ok := set.Match(&Request{Host: host, Path: "/"})
			assert.Assert(t, ok, "%s: %s", pattern, host)
		}
		_, ok := set.Match(&Request{Host: "c.other", Path: "/"})
		assert.Assert(t, !ok, pattern)
	}
}

// An operator writes a prefix with characters that request paths carry escaped. Compared
// unescaped it would match no path, and callers would get 404.
func TestAPrefixIsComparedInTheFormOfARequestsPath(t *testing.T) {
	for prefix, path := range map[string]string{
		"/ü/":       "/%C3%BC/1",
		"/%C3%BC/":  "/%C3%BC/1",
		"/%c3%bc/":  "/%c3%bc/1",
		"/a b/":     "/a%20b/1",
		"/100%/":    "/100%25/1",
		"/{x}/":     "/%7Bx%7D/1",
		"/a;b=c,d/": "/a;b=c,d/1",
		"/a%2Fb/":   "/a%2Fb/1",
	} {
		u, err := url.ParseRequestURI(path)
		assert.NilError(t, err)
		assert.Equal(t, u.EscapedPath(), path, "the form in which a request is compared")
		set, err := Compile([]Rule{{Name: "r", When: When{Prefix: prefix}, Then: Then{Service: "ledger"}}})
		assert.NilError(t, err, prefix)
		_, ok := set.Match(&Request{Path: path})
		assert.Assert(t, ok, prefix)
		_, ok = set.Match(&Request{Path: "/other/1"})
		assert.Assert(t, !ok, prefix)
	}
}
