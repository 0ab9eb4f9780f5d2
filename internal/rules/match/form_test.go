package match

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An operator writes the host of a rule with the port at which callers reach it. The
// port is cut off the request's host alone, so the rule never matches: its callers get
// 404 for good, and nobody is told why.
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
