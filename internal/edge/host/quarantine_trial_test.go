package host

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guards against refusing a harmless request for good on VMs that do not lead, because it
// shares the crashes of another one.
func TestAnAnswerToATrialFreesARequestOnEveryVM(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	harmless, killer := tc.fingerprintOf(1, "/lookup/x"), tc.fingerprintOf(1, "/lookup/y")
	for i := range 2 {
		tc.startVM(i)
		tc.waitFor(waitLimit, "ready", tc.ready(i))
	}
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		for _, p := range []poison.Fingerprint{harmless, killer} {
			tc.vms[1].listeners.parts.Quarantine.ReportCrash(attemptOf(p, s))
		}
	}
	for i := range tc.vms {
		tc.waitFor(waitLimit, "knows the requests", tc.quarantined(i, harmless))
	}
	status, _ := tc.get(1, "/lookup/x", "1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	tc.waitFor(waitLimit, "is tried and answered", func() bool {
		status, _ := tc.get(1, "/lookup/x", "1")
		return status == http.StatusOK
	})
	for i, vm := range tc.vms {
		tc.waitFor(waitLimit, "free", func() bool { return !tc.quarantined(i, harmless)() })
		assert.Assert(t, tc.quarantined(i, killer)(), "it has no rival any more")
		assert.NilError(t, vm.Close())
	}
}
