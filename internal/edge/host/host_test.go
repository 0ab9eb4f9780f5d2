package host

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// waitLimit is far longer than any step takes, to allow for busy machines.
const waitLimit = 20 * time.Second

func (tc *testCluster) ready(i int) func() bool {
	return func() bool { return tc.vms[i].Ready() == nil }
}

// Two VMs find the servers that the platform lists, one becomes leader and assigns the
// keys, and callers are served by either VM.
func TestVMsServeWhatThePlatformLists(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.addServer("lookup", "l2")
	tc.addServer("ledger", "r1")
	a, b := tc.startVM(0), tc.startVM(1)
	tc.waitFor(waitLimit, "ready", func() bool { return a.Ready() == nil && b.Ready() == nil })
	tc.waitFor(waitLimit, "keys served by both", func() bool {
		first, _ := tc.get(0, "/lookup/7", "4711")
		second, _ := tc.get(1, "/lookup/7", "4711")
		return first == http.StatusOK && second == http.StatusOK
	})
	status, by := tc.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, by, "r1")
	status, _ = tc.get(0, "/nobody/", "")
	assert.Equal(t, status, http.StatusNotFound)
	assert.NilError(t, a.Close())
	assert.NilError(t, b.Close())
}

// Guards against a final "no rule matches" from a VM that has not read any rules yet:
// callers would not retry after it.
func TestAVMWithoutRulesGivesNoFinalAnswer(t *testing.T) {
	tc := newTestCluster(t, 1)
	h := tc.startVM(0)
	status, _ := tc.get(0, "/lookup/7", "1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, h.Ready() != nil)
	assert.NilError(t, h.Close())
}

// Guards against a VM that misses new rules because it cannot reach the store: the leader
// announces them. If the leader itself is cut off, another VM must take over.
func TestAVMWithoutTheStoreGetsNewRules(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.setRules("/old/")
	tc.addServer("lookup", "l1")
	for i := range 3 {
		tc.startVM(i)
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "ready", tc.ready(i))
	}
	first := tc.leaderIndex()
	follower := (first + 1) % 3
	tc.gateways[follower].setBlocked(true)
	tc.setRules("/new/")
	tc.waitFor(waitLimit, "new rules on the VM without the store", func() bool {
		status, _ := tc.get(follower, "/new/7", "1")
		return status == http.StatusOK
	})
	status, _ := tc.get(follower, "/old/7", "1")
	assert.Equal(t, status, http.StatusNotFound, "the old rules no longer apply")
	tc.gateways[follower].setBlocked(false)
	tc.gateways[first].setBlocked(true)
	tc.waitFor(waitLimit, "another leader", func() bool { l := tc.leaderIndex(); return l >= 0 && l != first })
	for _, h := range tc.vms {
		assert.NilError(t, h.Close())
	}
}

// Guards against requests that fail while the keys of a leaving server move to another
// one.
func TestALeavingServersKeysAreServedByAnother(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.addServer("lookup", "l2")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	var by string
	tc.waitFor(waitLimit, "served", func() bool {
		var status int
		status, by = tc.get(0, "/lookup/7", "4711")
		return status == http.StatusOK
	})
	for at, b := range tc.backends {
		if string(b.name) == by {
			tc.store.write("servers/"+by, feed.Server{Name: b.name, Service: "lookup", Addr: at, Slots: 4, Incarnation: 1, Leaving: true})
		}
	}
	tc.waitFor(waitLimit, "served by the other", func() bool {
		status, now := tc.get(0, "/lookup/7", "4711")
		assert.Equal(t, status, http.StatusOK, "no request fails during the move")
		return now != by
	})
	assert.NilError(t, h.Close())
}

// Guards against VMs that all become unready when the operator adds a divided service
// whose servers are not there yet.
func TestANewServiceMakesNoVMUnready(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready without a server of the divided service", tc.ready(0))
	tc.addServer("lookup", "l1")
	tc.waitFor(waitLimit, "served", func() bool {
		assert.NilError(t, h.Ready())
		status, _ := tc.get(0, "/lookup/7", "1")
		return status == http.StatusOK
	})
	assert.NilError(t, h.Close())
}
