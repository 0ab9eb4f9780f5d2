package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// refuser answers in place of an owner: it refuses the first request and says how many run there.
func (w *world) refuser(running int) (asked *int) {
	asked = new(int)
	assert.NilError(w.t, w.origins["l1"].Close())
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		*asked++
		if *asked == 1 {
			out.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			out.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	l := w.net.Listen(first)
	w.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		_ = s.Serve(l)
		return nil
	})
	w.front.Headers = relay.DefaultHeaders()
	w.front.Headers.Load = func(http.Header) (int, int, bool) { return running, 0, true }
	return asked
}

// Guards against callers refused by an owner that has room and would take the next attempt.
func TestAnOwnerThatRefusesWithRoomIsAskedAgain(t *testing.T) {
	for running, status := range map[int]int{0: http.StatusOK, 2: http.StatusTooManyRequests} {
		run(t, func(t *testing.T, w *world) {
			asked := w.refuser(running)
			r, _, err := w.do(w.request("GET", "/again/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, status, "%d running", running)
			assert.Equal(t, *asked, map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 1}[status])
		})
	}
}

// Guards against callers sent away for a second by a server that can take them at once.
func TestCallersComeBackSoonToAServerWithRoom(t *testing.T) {
	for running, after := range map[int]time.Duration{1: soon, 2: kinds.Busy.Answer().Retry} {
		run(t, func(t *testing.T, w *world) {
			w.refuser(running)
			w.front.FormatRetryAfter = time.Duration.String
			r, _, err := w.do(w.request("GET", "/scales/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, http.StatusTooManyRequests)
			assert.Equal(t, r.Header.Get("Retry-After"), after.String())
		})
	}
}
