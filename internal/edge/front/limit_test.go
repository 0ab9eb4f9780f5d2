package front

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// The operator lowers the limits while the VM runs. From the next request on, larger
// requests must be refused and none of their bytes may reach a backend server; the others
// are served.
func TestLimitsChangeWhileRunning(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		send := func(header, body int) int {
			r := tb.request("POST", "/lab/x", strings.NewReader(strings.Repeat("x", body)))
			r.Header.Set("X-Note", strings.Repeat("x", header))
			resp, _, err := tb.do(r)
			assert.NilError(t, err)
			return resp.StatusCode
		}
		assert.Equal(t, send(3000, 3000), http.StatusOK)
		tb.front.SetLimit(config.Limit{Header: 2000, Body: 2000, Request: tb.front.Limit.Request})
		assert.Equal(t, send(3000, 10), kinds.LongHeader.Answer().Status)
		assert.Equal(t, send(10, 3000), kinds.TooLarge.Answer().Status)
		assert.Equal(t, send(1000, 2000), http.StatusOK)
		ran := 0
		for _, o := range tb.origins {
			ran += len(o.Record.All())
		}
		assert.Equal(t, ran, 2, "only what was within the limits")
	})
}
