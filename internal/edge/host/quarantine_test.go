package host

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// fingerprintOf is the fingerprint of a lookup that [testCluster.get] sends to VM i.
func (tc *testCluster) fingerprintOf(i int, path string) poison.Fingerprint {
	at := url.URL{Host: tc.cfgs[i].Callers.String()}
	return poison.HeadOf(http.MethodGet, at.Host, path).Fingerprint("127.0.0.1", poison.BodyOf(nil))
}

func (tc *testCluster) quarantined(i int, p poison.Fingerprint) func() bool {
	return func() bool { return tc.vms[i].listeners.parts.Quarantine.QuarantineLeft(p) > 0 }
}

// Guards against a crashing request of which each VM knows only the crashes that it saw
// itself.
func TestEachVMKnowsTheCrashesThatOthersSaw(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	p := tc.fingerprintOf(2, "/lookup/x")
	for i := range 3 {
		tc.startVM(i)
		tc.waitFor(waitLimit, "ready", tc.ready(i))
	}
	for i, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		tc.vms[i].listeners.parts.Quarantine.ReportCrash(attemptOf(p, s))
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "knows the request", tc.quarantined(i, p))
	}
	status, _ := tc.get(2, "/lookup/x", "1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = tc.get(2, "/lookup/y", "1")
	assert.Equal(t, status, http.StatusOK)
	for _, vm := range tc.vms {
		assert.NilError(t, vm.Close())
	}
}

// Guards against a quarantine that ends because every VM was restarted.
func TestAQuarantineOutlastsAllVMs(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.startVM(0)
	tc.waitFor(waitLimit, "leads", func() bool { return tc.leaderIndex() == 0 })
	p := tc.fingerprintOf(0, "/lookup/x")
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		tc.vms[0].listeners.parts.Quarantine.ReportCrash(attemptOf(p, s))
	}
	tc.waitFor(waitLimit, "kept", func() bool {
		tc.store.mu.Lock()
		defer tc.store.mu.Unlock()
		_, ok := tc.store.objects["own/quarantine"]
		return ok
	})
	assert.NilError(t, tc.vms[0].Close())
	tc.startVM(1)
	tc.waitFor(waitLimit, "knows the request", tc.quarantined(1, p))
	assert.NilError(t, tc.vms[1].Close())
}

// Guards against a quarantine that an operator cannot lift.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	p := tc.fingerprintOf(0, "/lookup/x")
	for i := range 2 {
		tc.startVM(i)
		tc.waitFor(waitLimit, "ready", tc.ready(i))
	}
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		tc.vms[0].listeners.parts.Quarantine.ReportCrash(attemptOf(p, s))
	}
	for i := range 2 {
		tc.waitFor(waitLimit, "knows the request", tc.quarantined(i, p))
	}
	lift := func(i int, name string) int {
		at := "http://" + tc.cfgs[i].Metrics.String() + quarantinePath + "/" + name
		r, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, at, nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, lift(1, "nonsense"), http.StatusBadRequest)
	assert.Equal(t, lift(1, p.String()), http.StatusNoContent)
	assert.Equal(t, lift(1, p.String()), http.StatusNotFound)
	for i := range 2 {
		tc.waitFor(waitLimit, "lifted everywhere", func() bool { return !tc.quarantined(i, p)() })
	}
	time.Sleep(2 * reconcileInterval)
	for i, vm := range tc.vms {
		assert.Assert(t, !tc.quarantined(i, p)(), "it does not come back")
		assert.NilError(t, vm.Close())
	}
}

// Guards against a crashing request that each newly started VM lets through.
func TestAVMThatStartsKnowsTheQuarantineBeforeItServes(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	p := tc.fingerprintOf(0, "/lookup/x")
	crasher := poison.NewTable()
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		crasher.RecordCrash(clock.Now(), p, ident.Process{Server: s})
	}
	tc.store.write("own/quarantine", storedCases{At: time.Now(), Cases: crasher.Quarantine(clock.Now())})
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "serves", func() bool { return h.listeners.parts.State.Rules.State() == revs.Serve })
	assert.Assert(t, tc.quarantined(0, p)())
	assert.NilError(t, h.Close())
}
