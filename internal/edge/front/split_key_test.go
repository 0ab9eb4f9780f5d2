package front

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// halfDividedRules splits requests between a divided service and one that is not, with
// the given weights.
const halfDividedRules = `
[[rule]]
name = "split"
when = { path = "/scales/{scale}" }
then = { split = [{ service = "lookup", weight = %d }, { service = "viewer", weight = %d }], key = "header:X-Key", idempotent = true }
`

// Guards against status 400 for a request without a key that goes to the undivided part
// of a split. The caller would never repeat it, although that part serves it.
func TestOnlyADividedPartOfASplitNeedsTheKey(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		for _, c := range []struct {
			rules  string
			keys   []string
			status int
		}{
			{fmt.Sprintf(halfDividedRules, 0, 1), nil, http.StatusOK},
			{fmt.Sprintf(halfDividedRules, 0, 1), []string{"a", "b"}, http.StatusOK},
			{fmt.Sprintf(halfDividedRules, 1, 0), nil, http.StatusBadRequest},
			{fmt.Sprintf(halfDividedRules, 1, 0), []string{"a", "b"}, http.StatusBadRequest},
		} {
			tb.setRulesAt(tb.state.Rules.Current().Rev+1, c.rules)
			r := tb.request("GET", "/scales/north", nil)
			r.Header["X-Key"] = c.keys
			resp, body, err := tb.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status, "%v: %s", c.keys, body)
		}
	})
}
