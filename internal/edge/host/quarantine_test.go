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

// printOf is the print of a lookup that [world.get] sends VM i.
func (w *world) printOf(i int, path string) poison.Fingerprint {
	at := url.URL{Host: w.cfgs[i].Callers.String()}
	return poison.HeadOf(http.MethodGet, at.Host, path).Fingerprint("127.0.0.1", poison.BodyOf(nil))
}

func (w *world) barred(i int, p poison.Fingerprint) func() bool {
	return func() bool { return w.vms[i].d.p.Guard.QuarantineLeft(p) > 0 }
}

// Guards against a crashing request of which each VM knows only its own crashes.
func TestEachVMKnowsTheCrashesThatOthersSaw(t *testing.T) {
	w := newWorld(t, 3)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	p := w.printOf(2, "/lookup/x")
	for i := range 3 {
		w.start(i)
		w.within(patient, "ready", w.ready(i))
	}
	for i, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		w.vms[i].d.p.Guard.ReportCrash(p, s, "r")
	}
	for i := range 3 {
		w.within(patient, "knows the request", w.barred(i, p))
	}
	status, _ := w.get(2, "/lookup/x", "1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = w.get(2, "/lookup/y", "1")
	assert.Equal(t, status, http.StatusOK)
	for _, vm := range w.vms {
		assert.NilError(t, vm.Close())
	}
}

// Guards against a quarantine that ends because every VM was restarted.
func TestAQuarantineOutlastsAllVMs(t *testing.T) {
	w := newWorld(t, 2)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	w.start(0)
	w.within(patient, "leads", func() bool { return w.leads() == 0 })
	p := w.printOf(0, "/lookup/x")
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		w.vms[0].d.p.Guard.ReportCrash(p, s, "r")
	}
	w.within(patient, "kept", func() bool {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		_, ok := w.store.objects["own/quarantine"]
		return ok
	})
	assert.NilError(t, w.vms[0].Close())
	w.start(1)
	w.within(patient, "knows the request", w.barred(1, p))
	assert.NilError(t, w.vms[1].Close())
}

// Guards against a quarantine that no operator can end.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	w := newWorld(t, 2)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	p := w.printOf(0, "/lookup/x")
	for i := range 2 {
		w.start(i)
		w.within(patient, "ready", w.ready(i))
	}
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		w.vms[0].d.p.Guard.ReportCrash(p, s, "r")
	}
	for i := range 2 {
		w.within(patient, "knows the request", w.barred(i, p))
	}
	lift := func(i int, name string) int {
		at := "http://" + w.cfgs[i].Metrics.String() + quarantinePath + "/" + name
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
		w.within(patient, "lifted everywhere", func() bool { return !w.barred(i, p)() })
	}
	time.Sleep(2 * settleEvery)
	for i, vm := range w.vms {
		assert.Assert(t, !w.barred(i, p)(), "it does not come back")
		assert.NilError(t, vm.Close())
	}
}

// Guards against a crashing request that gets through each VM that starts.
func TestAVMThatStartsKnowsTheQuarantineBeforeItServes(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	p := w.printOf(0, "/lookup/x")
	crasher := poison.NewTable()
	for _, s := range []ident.Server{"gone-1", "gone-2", "gone-3"} {
		crasher.RecordCrash(clock.Now(), p, s)
	}
	w.store.write("own/quarantine", keptCases{At: time.Now(), Cases: crasher.Quarantine(clock.Now())})
	h := w.start(0)
	w.within(patient, "serves", func() bool { return h.d.p.State.Rules.State() == revs.Serve })
	assert.Assert(t, w.barred(0, p)())
	assert.NilError(t, h.Close())
}
