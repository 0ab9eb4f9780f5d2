package host

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a final 404 by rules that may be outdated. The VM is cut off from the
// store and the leader while the operator adds a route, so it cannot know whether its
// rules are still the newest.
func TestNoFinalAnswerByRulesThatMayBeOutdated(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.cfgs[0].Bounds.RulesApply = 2 * time.Second
	tc.setRules("/lookup/")
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	tc.waitFor(waitLimit, "rules confirmed as the newest", func() bool {
		status, _ := tc.get(0, "/nobody/", "")
		return status == http.StatusNotFound
	})
	tc.waitFor(waitLimit, "the server is known", func() bool {
		status, _ := tc.get(0, "/receipt/1", "")
		return status == http.StatusOK
	})
	tc.gateways[0].setBlocked(true)
	blockedAt := time.Now()
	tc.waitFor(waitLimit, "no final answer", func() bool {
		status, _ := tc.get(0, "/nobody/", "")
		return status == http.StatusServiceUnavailable
	})
	assert.Assert(t, time.Since(blockedAt) <= tc.cfgs[0].Bounds.RulesApply+time.Second, "later than new rules are in force elsewhere")
	status, _ := tc.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK, "requests that its rules allow are served")
	tc.gateways[0].setBlocked(false)
	tc.waitFor(waitLimit, "rules confirmed again", func() bool {
		status, _ := tc.get(0, "/nobody/", "")
		return status == http.StatusNotFound
	})
	assert.NilError(t, h.Close())
}
