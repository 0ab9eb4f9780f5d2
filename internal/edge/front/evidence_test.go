package front

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guards against requests under suspicion, and checks of all others, because servers are
// slow.
func TestATimeoutAloneIsNoSuspicion(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Freeze(true)
		for range poison.CrashThreshold {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")).WithContext(ctx))
			assert.ErrorContains(t, err, "deadline")
			cancel()
			synctest.Wait()
		}
		tb.origins["u1"].Freeze(false)
		assert.Assert(t, !g.Suspects(nil))
		assert.Equal(t, len(g.reported), 0)
		assert.Equal(t, g.unanswered.Len(), poison.CrashThreshold)
		assert.Equal(t, tb.decisions.last().Fingerprint, "")
	})
}

// Guards against accusing requests that their VM never sent.
func TestARequestThatWasNotSentIsNoEvidence(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		assert.NilError(t, tb.origins["u1"].Close())
		_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		assert.Equal(t, len(g.reported), 0)
		assert.Equal(t, g.unanswered.Len(), 0)
	})
}

// Guards against accusing a request that the next owner of its key has answered.
func TestAnAnswerByTheNextOwnerAcquits(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["l1"].Freeze(true)
		var call group.Group
		call.Go(func(context.Context) error {
			_, _, err := tb.do(tb.request("GET", "/scales/7", nil))
			return err
		})
		time.Sleep(time.Second)
		tb.setOwner("l2")
		time.Sleep(formerOwnerGrace)
		assert.NilError(t, call.Wait())
		synctest.Wait()
		assert.Equal(t, tb.decisions.last().Server, ident.Server("l2"))
		assert.Equal(t, tb.decisions.last().Attempts, 2)
		assert.Equal(t, g.unanswered.Len(), 0)
		tb.origins["l1"].Freeze(false)
	})
}

// Guards against missing a crash because the server had sent a part of an answer that is
// held back until it is complete, or of one whose caller left.
func TestABrokenAnswerCountsUnlessTheCallerLeft(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		assert.NilError(t, tb.origins["u1"].Close())
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lab/held" {
				w.Header().Set("Content-Length", "10")
			}
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/lab/stream" {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		})}
		l := tb.net.Listen(u1Addr)
		tb.group.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			_ = s.Serve(l)
			return nil
		})
		resp, _, err := tb.do(tb.request("POST", "/lab/held", strings.NewReader("sample")))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, len(g.reported), 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = tb.do(tb.request("POST", "/lab/stream", strings.NewReader("sample")).WithContext(ctx))
		assert.ErrorContains(t, err, "deadline")
		synctest.Wait()
		assert.Equal(t, len(g.reported), 1)
		assert.Equal(t, g.unanswered.Len(), 0)
	})
}
