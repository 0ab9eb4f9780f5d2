package front

import (
	"context"
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
