package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
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

// Guards against sending a request again whose earlier attempts crashed servers before its
// body was complete, and against refusing requests of other callers, or of other framing,
// because of it.
func TestCrashesDuringTheBodyQuarantineTheCallersNextAttempt(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		send := func(caller string, body io.Reader) string {
			r := tb.request("POST", "/lab/a", body)
			r.Header.Set(relay.HeaderCaller, caller)
			_, _, err := tb.do(r)
			assert.NilError(t, err)
			synctest.Wait()
			return tb.decisions.last().Kind
		}
		head := poison.HeadOf("POST", entryAddr.String(), "/lab/a")
		unread := head.Fingerprint("c1", poison.UnreadBody("c1"))
		crash := func(servers ...ident.Server) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, s := range servers {
				g.RecordCrash(time.Now(), unread, ident.Process{Server: s})
			}
		}
		crash("u2", "u3")
		assert.Equal(t, send("c1", chunked{strings.NewReader("sample")}), kinds.None.String())
		assert.Equal(t, g.Crashes(unread), 0, "an answer clears it")
		time.Sleep(time.Second)
		crash("u2", "u3", "u4")
		assert.Equal(t, send("c1", chunked{strings.NewReader("sample")}), kinds.Quarantined.String())
		assert.Equal(t, send("c1", strings.NewReader("sample")), kinds.None.String())
		assert.Equal(t, send("c2", chunked{strings.NewReader("sample")}), kinds.None.String())
		assert.Equal(t, send("c1", chunked{strings.NewReader("sample")}), kinds.Quarantined.String())
		long := strings.Repeat("x", 3*defaultBufferLimit)
		assert.Equal(t, send("c1", chunked{strings.NewReader(long)}), kinds.Quarantined.String())
	})
}

// Guards against accusing a request of an earlier time-out, once that server is replaced, although it was answered since.
func TestALaterAnswerClearsATimeout(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Freeze(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")).WithContext(ctx))
		assert.ErrorContains(t, err, "deadline")
		synctest.Wait()
		tb.origins["u1"].Freeze(false)
		resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, g.unanswered.Len(), 0)
	})
}
