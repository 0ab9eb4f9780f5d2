package front

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// A VM has heard that newer rules exist and is still without them. The caller of a
// route that they add, or who sends what only they allow, is told 404, 403, 400, 413 or
// 431: that the fault is its own, and never to ask again. It is the VM that is behind.
func TestAVMThatIsBehindDoesNotTellCallersThatTheyAreWrong(t *testing.T) {
	const asked = rules + `
[[rule]]
name = "asked"
when = { path = "/asked" }
then = { service = "upload", key = "query:ward" }
`
	run(t, func(t *testing.T, w *world) {
		w.compileAt(8, asked)
		w.front.SetLimit(config.Limit{Header: 2000, Body: 2000, Request: w.front.Limit.Request})
		finals := map[string]*http.Request{
			"no rule":     w.request("GET", "/nobody/7", nil),
			"denied":      w.request("GET", "/closed", nil),
			"long body":   w.request("POST", "/lab/x", strings.NewReader(strings.Repeat("x", 3000))),
			"long header": w.request("GET", "/lab/x", nil),
			"no key":      w.request("GET", "/asked", nil),
		}
		finals["long header"].Header.Set("X-Note", strings.Repeat("x", 3000))
		for what, r := range finals {
			resp, _, err := w.do(r.Clone(t.Context()))
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode >= 400 && resp.StatusCode < 500, "%s: %d", what, resp.StatusCode)
		}
		w.state.Rules.NoteRevision(9)
		for what, r := range finals {
			if r.GetBody != nil {
				r.Body, _ = r.GetBody()
			}
			resp, _, err := w.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, what)
			assert.Assert(t, resp.Header.Get("Retry-After") != "", what)
			d := w.log.last()
			assert.Equal(t, d.Ran, kinds.RanNo, what)
			assert.Equal(t, int(d.Rev), 8)
			assert.Equal(t, int(d.Newest), 9)
		}
		w.compileAt(9, asked)
		resp, _, err := w.do(w.request("GET", "/nobody/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound, "no longer behind")
	})
}
