package host

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// lookupRules returns rules with one service for lookups, which is divided by key or not.
func lookupRules(divided bool) feed.Rules {
	then := match.Then{Service: "lookup", Idempotent: true, Retry: 1, Deadline: 5 * time.Second}
	if divided {
		then.Key = "header:" + relay.HeaderKey
	}
	return feed.Rules{
		List:     []match.Rule{{Name: "lookup", When: match.When{Prefix: "/lookup/"}, Then: then}},
		Services: []feed.Service{{Name: "lookup", Divided: divided, Conns: 50}},
	}
}

// lookupsServed reports whether n lookups of random keys in a row succeed.
func (tc *testCluster) lookupsServed(n int) bool {
	for range n {
		if status, _ := tc.get(0, "/lookup/7", strconv.Itoa(rand.IntN(ranges.KeySpace))); status != http.StatusOK {
			return false
		}
	}
	return true
}

// Guards against a VM that does not notice that a service is now divided by key. It sent
// requests to any server, and nine in ten were refused there for as long as the VM ran.
func TestAServiceThatIsDividedLaterIsServedByItsOwners(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.store.write("config/main", lookupRules(false))
	for i := range 6 {
		tc.addServer("lookup", ident.Server("l"+strconv.Itoa(i+1)))
	}
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	tc.store.write("config/main", lookupRules(true))
	tc.waitFor(waitLimit, "served by the owners of the keys", func() bool { return tc.lookupsServed(60) })
	assert.NilError(t, h.Close())
}

// Guards against a VM that does not notice that a service is no longer divided by key.
// The new rules extract no key, and the VM told every caller that no rule matches.
func TestAServiceThatIsNoLongerDividedNeedsNoKey(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.store.write("config/main", lookupRules(true))
	tc.addServer("lookup", "l1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "served", func() bool { return tc.lookupsServed(1) })
	tc.store.write("config/main", lookupRules(false))
	tc.waitFor(waitLimit, "served without keys", func() bool {
		status, _ := tc.get(0, "/lookup/7", "")
		return status == http.StatusOK && tc.lookupsServed(30)
	})
	assert.NilError(t, h.Close())
}
