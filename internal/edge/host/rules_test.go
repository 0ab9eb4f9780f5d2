package host

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// rulesWithExtra returns rules with a route for receipts and a number of additional
// routes to the same service.
func rulesWithExtra(more int) feed.Rules {
	to := match.Then{Service: "ledger", Deadline: 5 * time.Second}
	r := feed.Rules{
		List:     []match.Rule{{Name: "receipt", When: match.When{Prefix: "/receipt/"}, Then: to}},
		Services: []feed.Service{{Name: "ledger", Conns: 50}},
	}
	for i := range more {
		name := "added-" + strconv.Itoa(i)
		r.List = append(r.List, match.Rule{Name: name, When: match.When{Prefix: "/" + name + "/"}, Then: to})
	}
	return r
}

// manyRuleCount is more rules than an operator has or one object of the store can hold: a
// megabyte at about 150 bytes per rule.
const manyRuleCount = 7000

// Guards against VMs that refuse rules accepted by the store, because they apply the limit
// for new rules, 4,096, to the complete list again. Beyond it every VM kept the previous
// revision and answered 404 for routes that had just been added.
func TestRulesThatTheStoreAcceptedAreInForceHoweverManyTheyAre(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.store.write("config/main", rulesWithExtra(10))
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	tc.store.write("config/main", rulesWithExtra(manyRuleCount))
	tc.waitFor(waitLimit, "a rule that was added is in force", func() bool {
		status, _ := tc.get(0, "/added-"+strconv.Itoa(manyRuleCount-1)+"/1", "")
		return status == http.StatusOK
	})
	assert.NilError(t, h.Close())
}

// Guards against dropped routes that are still served because the revision without them
// is refused.
func TestARouteThatWasDroppedIsNotServedHoweverManyThereAre(t *testing.T) {
	tc := newTestCluster(t, 1)
	before := rulesWithExtra(10)
	before.List = append(before.List, match.Rule{Name: "dropped", When: match.When{Prefix: "/dropped/"}, Then: match.Then{Service: "ledger"}})
	tc.store.write("config/main", before)
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	status := func() int { s, _ := tc.get(0, "/dropped/1", ""); return s }
	tc.waitFor(waitLimit, "served", func() bool { return status() == http.StatusOK })
	tc.store.write("config/main", rulesWithExtra(manyRuleCount))
	tc.waitFor(waitLimit, "dropped", func() bool { return status() == http.StatusNotFound })
	assert.NilError(t, h.Close())
}

// Guards against a VM that starts with many rules and refuses them. It has no earlier
// revision to keep, so it would turn every caller away.
func TestAVMThatStartsWithManyRulesServes(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.store.write("config/main", rulesWithExtra(manyRuleCount))
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	status, _ := tc.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, h.Close())
}

// Guards against a limit that cannot be read. Without a limit, callers could send more
// than the servers can handle; if the new rules were refused for it, callers of new
// routes would get 404. The earlier limit stays and the other rules apply.
func TestALimitThatCannotBeReadStaysInForce(t *testing.T) {
	tc := newTestCluster(t, 1)
	rules := rulesWithExtra(0)
	rules.Limits.Header = 2000
	tc.store.write("config/main", rules)
	tc.addServer("ledger", "r1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	long := "/receipt/" + strings.Repeat("x", 2000)
	status, _ := tc.get(0, long, "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	rules = rulesWithExtra(1)
	rules.Limits.Header = -1
	tc.store.write("config/main", rules)
	tc.waitFor(waitLimit, "the rule that was added is in force", func() bool {
		status, _ := tc.get(0, "/added-0/1", "")
		return status == http.StatusOK
	})
	status, _ = tc.get(0, long, "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	assert.NilError(t, h.Close())
}
