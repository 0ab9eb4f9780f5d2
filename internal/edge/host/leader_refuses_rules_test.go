package host

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// Guards against a leader that cannot decode the newest rules, as during an upgrade, and
// confirms its old ones as the newest: the other VMs would answer 404 for new routes for
// good. They must get the new rules through it, and keep them under the next leader.
func TestLeaderThatCannotDecodeRulesDoesNotHideThem(t *testing.T) {
	tc := newTestCluster(t, 3)
	var refused atomic.Int64
	tc.decoders = map[int]feed.Decoder{0: limitedDecoder{refused: &refused}}
	tc.store.write("config/main", rulesWithExtra(900)) // large enough for VMs to rely on each other
	tc.addServer("ledger", "r1")
	tc.startVM(0)
	tc.waitFor(waitLimit, "leads", func() bool { return tc.leaderIndex() == 0 })
	tc.startVM(1)
	tc.startVM(2)
	served := func(i int, path string) func() bool {
		return func() bool { status, _ := tc.get(i, path, ""); return status == http.StatusOK }
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "served", served(i, "/receipt/1"))
	}
	tc.store.write("config/main", rulesWithExtra(2000))
	tc.waitFor(waitLimit, "refused by the leader", func() bool { return refused.Load() > 0 })
	for i := 1; i < 3; i++ {
		tc.waitFor(waitLimit, "the new rule is served by VMs that can decode it", served(i, "/added-1999/1"))
	}
	status, _ := tc.get(0, "/added-1999/1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable, "the leader lacks the rule and gives no final answer")
	assert.NilError(t, tc.vms[0].Close())
	for i := 1; i < 3; i++ {
		tc.waitFor(waitLimit, "the new rule under another leader", served(i, "/added-1999/1"))
		assert.NilError(t, tc.vms[i].Close())
	}
}
