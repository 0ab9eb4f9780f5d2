package host

import (
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readRetryAfter reads for how long a backend of a testCluster sheds requests.
func readRetryAfter(status int, h http.Header) (time.Duration, string) {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || status != http.StatusServiceUnavailable {
		return 0, ""
	}
	return time.Duration(s) * time.Second, ""
}

func (b *backend) setShedding(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedFor = d
}

func (b *backend) arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.came
}

// Guards against a VM that sends requests to a server that wants none from it, because another VM heard that through it.
func TestAVMInBetweenKnowsThatItsRequestsAreShed(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.paths = map[int]*vmPaths{}
	tc.setRules("/lookup/")
	r1 := tc.addServer("ledger", "r1")
	tc.addServer("lookup", "l1")
	for i := range 2 {
		tc.startVM(i)
	}
	for i := range 2 {
		tc.waitFor(waitLimit, "served", func() bool { return tc.served(i, 7) })
	}
	tc.paths[1].cut(refused, netip.AddrPort{})
	tc.waitFor(waitLimit, "served through the other VM", func() bool { return tc.served(1, 7) })
	r1.setShedding(3 * time.Second)
	tc.get(1, "/receipt/1", "")
	asked := time.Now()
	time.Sleep(500 * time.Millisecond)
	before := r1.arrivals()
	for time.Since(asked) < 2800*time.Millisecond {
		status, _ := tc.get(0, "/receipt/1", "")
		assert.Assert(t, status != http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, r1.arrivals()-before, 0)
	r1.setShedding(0)
	tc.waitFor(waitLimit, "served again", func() bool { return tc.served(0, 7) && tc.served(1, 7) })
}
