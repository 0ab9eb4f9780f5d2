package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// The program itself is at fault: a rule reads no key for a service that is divided by
// key. The caller was told 404, "404 page not found", never to ask again, and neither
// log nor metrics had a word of it, because the fault was taken for the word that a
// request is served in its turn.
func TestAFaultOfOurOwnIsAnsweredAndRecorded(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.compileAt(8, `
[[rule]]
name = "keyless"
when = { path = "/scales/{scale}" }
then = { service = "lookup", idempotent = true }
`)
		resp, _, err := w.do(w.request("GET", "/scales/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, kinds.Internal.Answer().Status)
		assert.Equal(t, w.log.last().Kind, kinds.Internal.String())
	})
}
