package host

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// limitedDecoder refuses more than 1,000 rules, like a VM of another version that cannot
// read the newest rules. It counts the refusals.
type limitedDecoder struct {
	jsonDecoder
	refused *atomic.Int64
}

func (c limitedDecoder) Rules(rev ident.Revision, b []byte) (feed.Rules, error) {
	r, err := c.jsonDecoder.Rules(rev, b)
	if err == nil && len(r.List) > 1000 {
		c.refused.Add(1)
		return feed.Rules{}, kinds.New(kinds.Malformed, "a field of a later version")
	}
	return r, err
}

// Guards against rules that are sent fifty times a second to a VM that cannot decode them,
// which delays all other news of the leader. The VM must fetch them a few times at most,
// offer them to other VMs, and serve callers by its current rules.
func TestRulesThatOneVMCannotReadAreNotSentToItForEver(t *testing.T) {
	const mostRefusals = 5
	tc := newTestCluster(t, 2)
	tc.store.write("config/main", rulesWithExtra(10))
	tc.addServer("ledger", "r1")
	tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	var refused atomic.Int64
	gw := &gateway{memStore: tc.store}
	cfg := tc.cfgs[1]
	cfg.Seeds = append(cfg.Seeds, tc.cfgs[0].Peers)
	other := New(cfg, Platform{
		Store: gw, StaleStore: staleGateway{gw}, Decode: limitedDecoder{refused: &refused}, Orders: tc, Headers: relay.DefaultHeaders(),
		Servers: "servers/", Rules: "config/main", OwnPrefix: "own/",
	}, slog.New(slog.DiscardHandler))
	assert.NilError(t, other.Start(t.Context()))
	tc.vms = append(tc.vms, other)
	tc.waitFor(waitLimit, "ready", tc.ready(1))
	tc.store.write("config/main", rulesWithExtra(3000))
	tc.waitFor(waitLimit, "refused", func() bool { return refused.Load() > 0 })
	time.Sleep(3 * time.Second)
	assert.Assert(t, refused.Load() <= mostRefusals, "refused %d times in 3 s", refused.Load())
	otherRev, _ := other.listeners.parts.Hub.Revs()
	firstRev, _ := tc.vms[0].listeners.parts.Hub.Revs()
	assert.Equal(t, otherRev, firstRev, "other VMs can fetch the rules from here")
	status, _ := tc.get(1, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	for _, h := range tc.vms {
		assert.NilError(t, h.Close())
	}
}
