package front

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Guards against status 404, 403, 400, 413 or 431 by outdated rules. The VM knows that
// newer rules exist and does not have them yet; a caller whose request only they allow
// would never repeat it after such a status.
func TestAVMWithStaleRulesDoesNotBlameCallers(t *testing.T) {
	const keyRules = rules + `
[[rule]]
name = "asked"
when = { path = "/asked" }
then = { service = "upload", key = "query:ward" }
`
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.setRulesAt(8, keyRules)
		tb.front.SetLimit(config.Limit{Header: 2000, Body: 2000, Request: tb.front.Limit.Request})
		cases := map[string]*http.Request{
			"no rule":     tb.request("GET", "/nobody/7", nil),
			"denied":      tb.request("GET", "/closed", nil),
			"long body":   tb.request("POST", "/lab/x", strings.NewReader(strings.Repeat("x", 3000))),
			"long header": tb.request("GET", "/lab/x", nil),
			"no key":      tb.request("GET", "/asked", nil),
		}
		cases["long header"].Header.Set("X-Note", strings.Repeat("x", 3000))
		for what, r := range cases {
			resp, _, err := tb.do(r.Clone(t.Context()))
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode >= 400 && resp.StatusCode < 500, "%s: %d", what, resp.StatusCode)
		}
		tb.state.Rules.NoteRevision(9)
		for what, r := range cases {
			if r.GetBody != nil {
				r.Body, _ = r.GetBody()
			}
			resp, _, err := tb.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, what)
			assert.Assert(t, resp.Header.Get("Retry-After") != "", what)
			d := tb.decisions.last()
			assert.Equal(t, d.Ran, kinds.RanNo, what)
			assert.Equal(t, int(d.Rev), 8)
			assert.Equal(t, int(d.Newest), 9)
		}
		tb.setRulesAt(9, keyRules)
		resp, _, err := tb.do(tb.request("GET", "/nobody/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound, "no longer behind")
	})
}
