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

// refuseOnce replaces the owner l1 by a server that refuses the first request and reports
// the given number of running requests with each answer.
func (tb *testbed) refuseOnce(running int) (requests *int) {
	return tb.refuseOnceAfter(0, running)
}

// refuseOnceAfter is like refuseOnce, with the refusal after a time.
func (tb *testbed) refuseOnceAfter(wait time.Duration, running int) (requests *int) {
	requests = new(int)
	assert.NilError(tb.t, tb.origins["l1"].Close())
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		*requests++
		if *requests == 1 {
			time.Sleep(wait)
			out.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			out.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	l := tb.net.Listen(l1Addr)
	tb.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		_ = s.Serve(l)
		return nil
	})
	tb.front.Headers = relay.DefaultHeaders()
	tb.front.Headers.Load = func(http.Header) (relay.LoadReport, bool) { return relay.LoadReport{Running: running}, true }
	return requests
}

// Guards against refusing a caller because of an owner that has a free slot and would
// accept the next attempt.
func TestAnOwnerThatRefusesWithAFreeSlotIsRetried(t *testing.T) {
	for running, status := range map[int]int{0: http.StatusOK, 2: http.StatusTooManyRequests} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			requests := tb.refuseOnce(running)
			r, _, err := tb.do(tb.request("GET", "/again/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, status, "%d running", running)
			assert.Equal(t, *requests, map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 1}[status])
		})
	}
}

// Guards against telling callers to wait a second for a server that has a free slot now.
func TestRetryAfterIsShortForAServerWithAFreeSlot(t *testing.T) {
	for running, after := range map[int]time.Duration{1: freeSlotRetryAfter, 2: kinds.Busy.Answer().Retry} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			tb.refuseOnce(running)
			tb.front.FormatRetryAfter = time.Duration.String
			r, _, err := tb.do(tb.request("GET", "/scales/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, http.StatusTooManyRequests)
			assert.Equal(t, r.Header.Get("Retry-After"), after.String())
		})
	}
}

// Guards against telling callers to return at once, because of a free slot, to a server that wants no requests for seconds.
func TestRetryAfterIsThatOfAnOwnerThatSheds(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		requests := tb.refuseOnce(0)
		tb.front.FormatRetryAfter = time.Duration.String
		tb.front.Headers.RetryAfter = func(status int, _ http.Header) (time.Duration, string) {
			if status != http.StatusServiceUnavailable {
				return 0, ""
			}
			return 3 * time.Second, ""
		}
		r, _, err := tb.do(tb.request("GET", "/again/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusTooManyRequests)
		after, err := time.ParseDuration(r.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, after > 2900*time.Millisecond && after <= 3*time.Second, "%v", after)
		assert.Equal(t, *requests, 1)
	})
}
