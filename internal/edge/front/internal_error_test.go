package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Guards against an internal error that is mistaken for errNotPipelined. The caller got
// gin's "404 page not found", and neither log nor metrics recorded the request. Here the
// error is a rule that reads no key for a service divided by key.
func TestAnInternalErrorIsAnsweredAndRecorded(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.setRulesAt(8, `
[[rule]]
name = "keyless"
when = { path = "/scales/{scale}" }
then = { service = "lookup", idempotent = true }
`)
		resp, _, err := tb.do(tb.request("GET", "/scales/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, kinds.Internal.Answer().Status)
		assert.Equal(t, tb.decisions.last().Kind, kinds.Internal.String())
	})
}
