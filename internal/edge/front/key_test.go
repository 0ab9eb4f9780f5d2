package front

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// halfDivided shares requests between a divided service and one that is not.
const halfDivided = `
[[rule]]
name = "split"
when = { path = "/scales/{scale}" }
then = { split = [{ service = "lookup", weight = %d }, { service = "viewer", weight = %d }], key = "header:X-Key", idempotent = true }
`

// A rule splits its requests between a service that is divided by key and one that is
// not. Callers that send no key are told 400, whichever part is chosen, and never ask
// again, though the part that is not divided serves them.
func TestOnlyADividedPartOfASplitNeedsTheKey(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		for _, c := range []struct {
			rules  string
			keys   []string
			status int
		}{
			{fmt.Sprintf(halfDivided, 0, 1), nil, http.StatusOK},
			{fmt.Sprintf(halfDivided, 0, 1), []string{"a", "b"}, http.StatusOK},
			{fmt.Sprintf(halfDivided, 1, 0), nil, http.StatusBadRequest},
			{fmt.Sprintf(halfDivided, 1, 0), []string{"a", "b"}, http.StatusBadRequest},
		} {
			w.compileAt(w.state.Rules.Current().Rev+1, c.rules)
			r := w.request("GET", "/scales/north", nil)
			r.Header["X-Key"] = c.keys
			resp, body, err := w.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status, "%v: %s", c.keys, body)
		}
	})
}
