package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// A client library sends the time that its caller will wait with a fraction, in another
// notation, or longer than anybody waits. Taken for malformed, the request is answered
// 400, and the caller never asks again for what every backend server would serve.
func TestACallersOwnTimeIsTakenInAnyNotation(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500":       1500 * time.Millisecond,
		"1500.0":     1500 * time.Millisecond,
		"1500.25":    1500250 * time.Microsecond,
		"1e3":        time.Second,
		"1e4":        10 * time.Second,
		"5000000000": 10 * time.Second, // the rule's
		"1e999":      10 * time.Second,
	} {
		run(t, func(t *testing.T, w *world) {
			w.owner("l1")
			r := w.request("GET", "/scales/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			x := w.front.exchange(r, time.Time{})
			assert.NilError(t, x.route(), text)
			assert.Equal(t, x.by.Sub(x.note.At), want, text)
			resp, body, err := w.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", text, body)
		})
	}
}

// What is no time at all stays the caller's fault: whoever guesses one may keep a
// request running for which nobody waits.
func TestWhatIsNoTimeIsTheCallersFault(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		for _, text := range []string{"soon", "NaN", "1500ms"} {
			r := w.request("GET", "/scales/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			resp, _, err := w.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest, text)
		}
	})
}

// A caller's time is over when its request arrives. Taken for a caller that names no
// time, its request runs at a backend server for as long as the rule allows.
func TestACallerWithoutTimeLeftIsTurnedAwayAtOnce(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		for _, text := range []string{"0", "0.0", "-1", "-inf"} {
			r := w.request("GET", "/views/north", nil)
			r.Header.Set(relay.HeaderDeadline, text)
			start := time.Now()
			resp, body, err := w.do(r)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, kinds.DeadlineMissed.Answer().Status, "%s: %s", text, body)
			assert.Equal(t, resp.Header.Get(kinds.HeaderRan), string(kinds.RanNo), text)
			assert.Equal(t, time.Since(start), time.Duration(0), text)
		}
		for name, o := range w.origins {
			assert.Equal(t, len(o.Record.All()), 0, "ran at %s", name)
		}
	})
}
