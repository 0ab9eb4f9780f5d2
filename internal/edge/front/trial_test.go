package front

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// grantTrial gives this VM the grant of a trial.
func (g *fakeGuard) grantTrial(p poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ApplyGrants(time.Now(), []poison.TrialGrant{{Fingerprint: p, StartWithin: time.Second}})
}

// Guards against a trial that is used up by an attempt that finds no server, and against
// more than one attempt for a grant.
func TestAGrantAllowsOneAttemptThatIsSent(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		post := func() int {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
			return resp.StatusCode
		}
		tb.origins["u1"].Break(1)
		assert.Equal(t, post(), http.StatusBadGateway)
		for _, s := range []ident.Server{"u2", "u3"} {
			g.crashElsewhere(s)
		}
		assert.Equal(t, post(), http.StatusServiceUnavailable)
		assert.Assert(t, g.Crashes(g.reported[0]) == poison.CrashThreshold)
		g.grantTrial(g.reported[0])
		assert.NilError(t, tb.origins["u1"].Close())
		post()
		assert.Equal(t, g.QuarantineLeft(g.reported[0]), time.Duration(0), "nothing was sent")

		arrived := 0
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			arrived++
			out.WriteHeader(http.StatusInternalServerError)
		})}
		l := tb.net.Listen(u1Addr)
		tb.group.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			_ = s.Serve(l)
			return nil
		})
		for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
			assert.Equal(t, post(), status)
		}
		assert.Equal(t, arrived, 1)
	})
}
