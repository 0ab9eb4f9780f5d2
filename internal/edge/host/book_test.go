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

// grown are rules as an operator has them who has added many: receipts, and so many
// more prefixes of the same service.
func grown(more int) feed.Rules {
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

// manyRules is beyond what any of the operators has, and what one value of the store
// holds: a megabyte, at some 150 bytes a rule.
const manyRules = 7000

// An operator adds routes for years. The store accepts each version, but from some
// number of rules on every VM keeps the version before: callers of the routes that were
// just added are told 404, "no rule matches", a final answer, by all VMs and for good.
//
// The VMs checked the whole list again as if they were to accept it, with the bounds
// that help an author: 4,096 rules. The evidence was one line on each VM, "rules
// refused: more than 4096 rules", after which every decision named the revision before.
func TestRulesThatTheStoreAcceptedAreInForceHoweverManyTheyAre(t *testing.T) {
	w := newWorld(t, 1)
	w.store.write("config/main", grown(10))
	w.serve("ledger", "r1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	w.store.write("config/main", grown(manyRules))
	w.within(patient, "a rule that was added is in force", func() bool {
		status, _ := w.get(0, "/added-"+strconv.Itoa(manyRules-1)+"/1", "")
		return status == http.StatusOK
	})
	assert.NilError(t, h.Close())
}

// Guards against dropped routes that are served on because the version without them is refused.
func TestARouteThatWasDroppedIsNotServedHoweverManyThereAre(t *testing.T) {
	w := newWorld(t, 1)
	before := grown(10)
	before.List = append(before.List, match.Rule{Name: "dropped", When: match.When{Prefix: "/dropped/"}, Then: match.Then{Service: "ledger"}})
	w.store.write("config/main", before)
	w.serve("ledger", "r1")
	h := w.start(0)
	status := func() int { s, _ := w.get(0, "/dropped/1", ""); return s }
	w.within(patient, "served", func() bool { return status() == http.StatusOK })
	w.store.write("config/main", grown(manyRules))
	w.within(patient, "dropped", func() bool { return status() == http.StatusNotFound })
	assert.NilError(t, h.Close())
}

// A VM is replaced after the operator has added many rules. It knows none before, so it
// keeps none: it turns every caller away, and nobody can say until when.
func TestAVMThatStartsWithManyRulesServes(t *testing.T) {
	w := newWorld(t, 1)
	w.store.write("config/main", grown(manyRules))
	w.serve("ledger", "r1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	status, _ := w.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, h.Close())
}

// A limit of newer rules cannot be read. Taken for none, callers would send what the
// backend servers cannot bear; taken for a reason to keep the rules before, callers of the
// new ones would be told 404. It stays as it was, and the rest is in force.
func TestALimitThatCannotBeReadStaysInForce(t *testing.T) {
	w := newWorld(t, 1)
	rules := grown(0)
	rules.Limits.Header = 2000
	w.store.write("config/main", rules)
	w.serve("ledger", "r1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	long := "/receipt/" + strings.Repeat("x", 2000)
	status, _ := w.get(0, long, "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	rules = grown(1)
	rules.Limits.Header = -1
	w.store.write("config/main", rules)
	w.within(patient, "the rule that was added is in force", func() bool {
		status, _ := w.get(0, "/added-0/1", "")
		return status == http.StatusOK
	})
	status, _ = w.get(0, long, "")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	assert.NilError(t, h.Close())
}
