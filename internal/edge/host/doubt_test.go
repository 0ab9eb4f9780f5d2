package host

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One VM is cut off from the store and from the VM that leads, and the operator adds a
// route, which the store accepts. Callers of it who reach that VM are told 404, by rules
// of which it cannot know whether they still are the newest.
func TestAVMThatCannotKnowTheNewestRulesDoesNotSayThatNothingIsThere(t *testing.T) {
	w := newWorld(t, 1)
	w.cfgs[0].Bounds.RulesApply = 2 * time.Second
	w.rules("/lookup/")
	w.serve("ledger", "r1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	w.within(patient, "sure of its rules", func() bool {
		status, _ := w.get(0, "/nobody/", "")
		return status == http.StatusNotFound
	})
	w.within(patient, "the server is known", func() bool {
		status, _ := w.get(0, "/receipt/1", "")
		return status == http.StatusOK
	})
	w.ways[0].bar(true)
	barred := time.Now()
	w.within(patient, "no final answer any more", func() bool {
		status, _ := w.get(0, "/nobody/", "")
		return status == http.StatusServiceUnavailable
	})
	assert.Assert(t, time.Since(barred) <= w.cfgs[0].Bounds.RulesApply+time.Second, "later than rules are in force elsewhere")
	status, _ := w.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK, "what it has rules for it serves")
	w.ways[0].bar(false)
	w.within(patient, "sure again", func() bool {
		status, _ := w.get(0, "/nobody/", "")
		return status == http.StatusNotFound
	})
	assert.NilError(t, h.Close())
}
