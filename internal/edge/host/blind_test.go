package host

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// During an upgrade the VM that leads cannot read the newest rules, and the others can.
// It must not vouch for the rules that it has: the others would rely on that, never hear of
// the new ones, and answer 404 for good where they know the rule. They have it from the
// leader all the same, and keep it when another VM leads.
func TestALeaderThatCannotReadTheNewestRulesHidesThemFromNobody(t *testing.T) {
	w := newWorld(t, 3)
	var refused atomic.Int64
	w.decoders = map[int]feed.Decoder{0: choosy{refused: &refused}}
	w.store.write("config/main", grown(900)) // large enough to be left to the others
	w.serve("ledger", "r1")
	w.start(0)
	w.within(patient, "leads", func() bool { return w.leads() == 0 })
	w.start(1)
	w.start(2)
	served := func(i int, path string) func() bool {
		return func() bool { status, _ := w.get(i, path, ""); return status == http.StatusOK }
	}
	for i := range 3 {
		w.within(patient, "served", served(i, "/receipt/1"))
	}
	w.store.write("config/main", grown(2000))
	w.within(patient, "refused by the leader", func() bool { return refused.Load() > 0 })
	for i := 1; i < 3; i++ {
		w.within(patient, "the new rule at those who can read it", served(i, "/added-1999/1"))
	}
	status, _ := w.get(0, "/added-1999/1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable, "the leader does not know it, and says so")
	assert.NilError(t, w.vms[0].Close())
	for i := 1; i < 3; i++ {
		w.within(patient, "the new rule under another leader", served(i, "/added-1999/1"))
		assert.NilError(t, w.vms[i].Close())
	}
}
