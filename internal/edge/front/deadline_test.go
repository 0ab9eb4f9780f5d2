package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// Guards against status 400 for a deadline with a fraction, with an exponent, or above
// the maximum. The caller would never repeat a request that every backend server would
// serve.
func TestACallersDeadlineIsAcceptedInAnyNotation(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500":       1500 * time.Millisecond,
		"1500.0":     1500 * time.Millisecond,
		"1500.25":    1500250 * time.Microsecond,
		"1e3":        time.Second,
		"1e4":        10 * time.Second,
		"5000000000": 10 * time.Second, // the rule's deadline
		"1e999":      10 * time.Second,
	} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			tb.setOwner("l1")
			r := tb.request("GET", "/scales/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			x := tb.front.newExchange(r, time.Time{})
			assert.NilError(t, x.route(), text)
			assert.Equal(t, x.deadline.Sub(x.decision.At), want, text)
			resp, body, err := tb.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", text, body)
		})
	}
}

// Guards against guessing a deadline for a header that is not a number: the request might
// run for longer than its caller waits.
func TestAMalformedDeadlineIsABadRequest(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		for _, text := range []string{"soon", "NaN", "1500ms"} {
			r := tb.request("GET", "/scales/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			resp, _, err := tb.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest, text)
		}
	})
}

// Guards against treating an expired deadline as a missing one: the request would run at
// a backend server for as long as the rule allows.
func TestAnExpiredDeadlineIsRefusedAtOnce(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		for _, text := range []string{"0", "0.0", "-1", "-inf"} {
			r := tb.request("GET", "/views/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			start := time.Now()
			resp, body, err := tb.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, kinds.DeadlineMissed.Answer().Status, "%s: %s", text, body)
			assert.Equal(t, resp.Header.Get(kinds.HeaderRan), string(kinds.RanNo), text)
			assert.Equal(t, time.Since(start), time.Duration(0), text)
		}
		for name, o := range tb.origins {
			assert.Equal(t, len(o.Record.All()), 0, "ran at %s", name)
		}
	})
}
