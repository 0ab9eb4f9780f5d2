package host

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func (t *serverTracker) crowdedLoad(s ident.Server) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crowded[s]
}

// Guards against a VM that sends requests to a server that is crowded, as others know.
func TestALoadThatOneVMHearsOfReachesAllVMs(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.addServer("ledger", "r1")
	for i := range 3 {
		tc.startVM(i)
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "served", func() bool { return tc.served(i, 7) })
	}
	const load, slots = 30, 4
	for _, reporter := range tc.vms {
		counts := reporter.listeners.parts.Poller.parts.Counts
		for i, h := range tc.vms {
			tc.waitFor(waitLimit, "the load is known", func() bool {
				counts.countLoad("l1", load)
				counts.countLoad("r1", slots)
				return h.listeners.parts.Servers.crowdedLoad("l1") == load
			})
			assert.Equal(t, h.listeners.parts.Servers.crowdedLoad("r1"), 0, "VM %d: a server with as many requests as slots is not crowded", i)
		}
		for _, h := range tc.vms {
			tc.waitFor(waitLimit, "it is crowded no more", func() bool { return h.listeners.parts.Servers.crowdedLoad("l1") == 0 })
		}
	}
	for _, h := range tc.vms {
		assert.NilError(t, h.Close())
	}
}
