package host

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// cutSettle is the time that VMs have to find another way: the platform's stable window.
	cutSettle = 3 * time.Second
	// cutMeasure is how long requests are counted after it, beyond the longest usual grant.
	cutMeasure = 4 * time.Second
)

var cutModes = map[string]cutMode{"silent": silent, "refused": refused, "closing": closing}

// startCutCluster starts three VMs with two servers of a divided service and one of another.
func startCutCluster(t *testing.T) *testCluster {
	tc := newTestCluster(t, 3)
	tc.paths = map[int]*vmPaths{}
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	tc.addServer("lookup", "l2")
	tc.addServer("ledger", "r1")
	tc.addServer("ledger", "r2")
	for i := range 3 {
		tc.startVM(i)
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "served", func() bool { return tc.served(i, 7) })
	}
	return tc
}

// served sends one request of each service to VM i and reports whether both are served.
func (tc *testCluster) served(i, n int) bool {
	lookup, _ := tc.get(i, "/lookup/7", strconv.Itoa(n*9973%60000))
	receipt, _ := tc.get(i, "/receipt/1", "")
	return lookup == http.StatusOK && receipt == http.StatusOK
}

// minSent is how many requests each VM must get for a share of them to mean something. On a
// machine that is busy otherwise, that takes longer.
const minSent = 40

// tally counts the requests that each VM served.
type tally struct{ served, sent [3]int }

// share returns the share of the requests that a VM served.
func (c tally) share(i int) float64 { return float64(c.served[i]) / float64(max(c.sent[i], 1)) }

// countServed sends requests to each VM for a time, and then counts what is served for a
// time, and until each VM has had minSent requests.
func (tc *testCluster) countServed(settle, measure time.Duration) tally {
	var g group.Group
	var mu sync.Mutex
	var c tally
	start := time.Now()
	done := func(i int) bool {
		mu.Lock()
		defer mu.Unlock()
		elapsed := time.Since(start)
		return elapsed >= settle+measure && (c.sent[i] >= minSent || elapsed >= waitLimit)
	}
	for i := range 3 {
		for caller := range 4 {
			g.Go(func(context.Context) error {
				for n := caller * 1000; !done(i); n++ {
					began := time.Now()
					ok := tc.served(i, n)
					if began.Sub(start) >= settle {
						mu.Lock()
						c.sent[i]++
						if ok {
							c.served[i]++
						}
						mu.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	return c
}

// assertServedAsBefore cuts paths and asserts that each VM serves nine tenths of what it
// served before. On an idle machine that is all.
func (tc *testCluster) assertServedAsBefore(cut func()) {
	tc.t.Helper()
	before := tc.countServed(0, time.Second)
	cut()
	after := tc.countServed(cutSettle, cutMeasure)
	tc.t.Logf("served %v before and %v after", before, after)
	for i := range 3 {
		assert.Assert(tc.t, after.share(i) >= 0.9*before.share(i), "VM %d served %d of %d", i, after.served[i], after.sent[i])
	}
}

// Guards against refusals by a VM that has lost its path to all backend servers while other VMs reach them.
func TestAVMThatIsCutOffFromTheServersServesThroughAnother(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			tc := startCutCluster(t)
			cut := (tc.leaderIndex() + 1) % 3
			tc.assertServedAsBefore(func() { tc.paths[cut].cut(mode, netip.AddrPort{}) })
			tc.paths[cut].cut(whole, netip.AddrPort{})
			tc.waitFor(cutSettle, "served after the cut", func() bool { return tc.served(cut, 1) })
		})
	}
}

// Guards against refusals where most VMs, the leader among them, have lost their paths to the backend servers.
func TestOneVMWithAPathServesForAll(t *testing.T) {
	tc := startCutCluster(t)
	tc.assertServedAsBefore(func() {
		leader := tc.leaderIndex()
		for _, cut := range []int{leader, (leader + 1) % 3} {
			tc.paths[cut].cut(silent, netip.AddrPort{})
		}
	})
}

// Guards against keys without owners while the leader alone has lost its path to the backend servers.
func TestKeysStayServedWhileTheLeaderIsCutOffFromTheServers(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			tc := startCutCluster(t)
			tc.assertServedAsBefore(func() { tc.paths[tc.leaderIndex()].cut(mode, netip.AddrPort{}) })
		})
	}
}

// Guards against a popular request that is quarantined because the network reset its attempts at several servers.
func TestResetsOfLostPathsQuarantineNoRequest(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.paths = map[int]*vmPaths{}
	tc.setRules("/lookup/")
	tc.addServer("ledger", "r1")
	for n := range 6 {
		tc.addServer("lookup", ident.Server("l"+strconv.Itoa(n))).work = 200 * time.Millisecond
	}
	for i := range 3 {
		tc.startVM(i)
	}
	for i := range 3 {
		tc.waitFor(waitLimit, "served", func() bool { return tc.served(i, 7) })
	}
	cut := time.AfterFunc(time.Second, func() {
		for i := range 2 {
			tc.paths[i].cut(refused, netip.AddrPort{})
		}
	})
	defer cut.Stop()
	c := tc.countServed(cutSettle, cutMeasure)
	t.Logf("served %v", c)
	for i := range 3 {
		assert.Assert(t, c.share(i) >= 0.9, "VM %d served %d of %d", i, c.served[i], c.sent[i])
	}
}
