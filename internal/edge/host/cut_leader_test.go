package host

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// laggingStore is a store for calls that may return stale data whose data are from before
// all changes.
type laggingStore struct{ object.Store }

func (laggingStore) List(context.Context, string) ([]object.Object, object.Cursor, error) {
	return nil, 0, nil
}

func (laggingStore) Watch(ctx context.Context, _ string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	const wait = 12 * time.Second
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch")
	}
}

// waitForRenewal waits until the leader has renewed its lease.
func (tc *testCluster) waitForRenewal() {
	before, err := tc.gateways[0].Get(tc.t.Context(), "own/lead")
	assert.NilError(tc.t, err)
	tc.waitFor(waitLimit, "the lease is renewed", func() bool {
		now, err := tc.gateways[0].Get(tc.t.Context(), "own/lead")
		return err == nil && now.Version > before.Version
	})
}

// Guards against VMs that apply new rules only once a leader that lost the store has been
// replaced, because their own store calls return stale data.
func TestRulesAreInForceInTimeWhileTheLeaderIsCutOffFromTheStore(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.lagging = true
	tc.setRules("/old/")
	tc.addServer("lookup", "l1")
	for i := range 3 {
		tc.cfgs[i].Bounds.RulesApply = 2 * time.Second
		tc.startVM(i)
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "ready", tc.ready(i))
	}
	leader := tc.leaderIndex()
	tc.waitForRenewal()
	tc.gateways[leader].setBlocked(true)
	tc.setRules("/new/")
	accepted := time.Now()
	for _, i := range []int{(leader + 1) % 3, (leader + 2) % 3, leader} {
		tc.waitFor(waitLimit, "new rules at VM "+strconv.Itoa(i), func() bool {
			status, _ := tc.get(i, "/new/7", "1")
			return status == http.StatusOK
		})
		took := time.Since(accepted)
		assert.Assert(t, took <= tc.cfgs[i].Bounds.RulesApply, "in force after %v", took)
	}
	for i := range 3 {
		assert.NilError(t, tc.vms[i].Close())
	}
}
