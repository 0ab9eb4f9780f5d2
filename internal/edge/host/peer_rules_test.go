package host

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against sending every revision, up to a megabyte, to each VM from the store and
// from other VMs: over a slow link callers wait a second and more behind it. Only the
// leader may read the store, and rules must still arrive after it is gone.
func TestAVMDoesNotReadFromTheStoreWhatOtherVMsDeliver(t *testing.T) {
	tc := newTestCluster(t, 3)
	long := rulesWithExtra(minPeerRulesSize / 100) // each rule takes more than 100 bytes
	write := func(prefix string) {
		next := lookupRules(true)
		next.List[0].When.Prefix = prefix
		next.List = append(next.List, long.List...)
		next.Services = append(next.Services, long.Services...)
		tc.store.write("config/main", next)
	}
	write("/old/")
	tc.addServer("lookup", "l1")
	for i := range 3 {
		tc.startVM(i)
	}
	inForce := func(prefix string, vms ...int) {
		t.Helper()
		for _, i := range vms {
			tc.waitFor(waitLimit, prefix+" at VM "+strconv.Itoa(i), func() bool {
				status, _ := tc.get(i, prefix+"7", "1")
				return status == http.StatusOK
			})
		}
	}
	inForce("/old/", 0, 1, 2)
	first := tc.leaderIndex()
	followers := []int{(first + 1) % 3, (first + 2) % 3}
	relies := func(i int) func() bool {
		return func() bool {
			h := tc.vms[i]
			_, ok := h.listeners.parts.Rules.reliesOnPeers(time.Now())
			return ok
		}
	}
	for _, i := range followers {
		tc.waitFor(waitLimit, "relies on the leader", relies(i))
	}
	before := []int{tc.gateways[followers[0]].rulesVersionsRead(), tc.gateways[followers[1]].rulesVersionsRead()}
	for i := range 3 {
		prefix := "/new-" + strconv.Itoa(i) + "/"
		write(prefix)
		inForce(prefix, 0, 1, 2)
	}
	for n, i := range followers {
		assert.Equal(t, tc.gateways[i].rulesVersionsRead(), before[n], "VM %d read the rules from the store", i)
	}
	assert.NilError(t, tc.vms[first].Close())
	write("/last/")
	inForce("/last/", followers...)
	for _, i := range followers {
		assert.NilError(t, tc.vms[i].Close())
	}
}

// Guards against a watch that skips a revision. The leader's cursor counts only once this
// VM has the leader's revision: a watch that continued from the cursor before that would
// never deliver the revision.
func TestLeadersCursorCountsOnceItsRulesHaveArrived(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	c, far := h.listeners.parts.Poller, object.Cursor(1_000_000)
	rev, _ := h.listeners.parts.Hub.Revs()
	c.updateRulesFresh(clock.Now(), poll.Response{IsLeader: true, RulesRev: rev + 1, RulesFreshFor: time.Minute, RulesCursor: far})
	assert.Assert(t, h.listeners.parts.Hub.RulesCursor() < far)
	c.updateRulesFresh(clock.Now(), poll.Response{IsLeader: true, RulesRev: rev, RulesFreshFor: time.Minute, RulesCursor: far})
	assert.Equal(t, h.listeners.parts.Hub.RulesCursor(), far)
	assert.NilError(t, h.Close())
}

// Guards against a VM that waits for other VMs for too long. If none delivers the
// revision that the leader announced, the VM must read it from the store.
func TestAVMReliesOnOthersForAShortTimeOnly(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.store.write("config/main", rulesWithExtra(900))
	tc.addServer("ledger", "r1")
	tc.startVM(0)
	tc.waitFor(waitLimit, "leads", func() bool { return tc.leaderIndex() == 0 })
	h := tc.startVM(1)
	relies := func() bool { _, ok := h.listeners.parts.Rules.reliesOnPeers(time.Now()); return ok }
	tc.waitFor(waitLimit, "relies", relies)
	rev, _ := h.listeners.parts.Hub.Revs()
	h.listeners.parts.Rules.notePeerRevision(ident.Revision(rev + 1000))
	tc.waitFor(waitLimit, "relies no longer", func() bool { return !relies() })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, !relies())
	}
	for _, vm := range tc.vms {
		assert.NilError(t, vm.Close())
	}
}

// Guards against trust in a stale store. The leader confirms its contact with the store, so
// this VM watches one that may lag by seconds, but it confirms no rules, so those of this VM
// must not count as the newest.
func TestStaleStoreDoesNotMakeRulesFresh(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	leader := tc.startThrottledLeader(1_000_000)
	leader.assignAllKeys("l1")
	leader.SetConfirmed(clock.Now().Add(time.Hour))
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	tc.waitFor(waitLimit, "rules are not confirmed as the newest", func() bool { return !h.listeners.parts.State.Rules.Fresh(clock.Now()) })
	assert.NilError(t, h.Close())
}
