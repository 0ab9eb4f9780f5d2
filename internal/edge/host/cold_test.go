package host

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func newColdTracker() *serverTracker {
	tr := newOrderTracker()
	tr.coldOverrun, tr.coldSlack, tr.evacuation = 1.5, 8, testEvacuation
	tr.services["ledger"] = feed.Service{Name: "ledger", ColdRate: 5}
	tr.services["lookup"] = feed.Service{Name: "lookup"}
	return tr
}

func (t *serverTracker) cappedNames() (all []ident.Server) {
	for _, s := range t.cappedServers() {
		all = append(all, s.Name)
	}
	return all
}

// waitDue lets time pass as the tracker's loop does.
func (t *serverTracker) waitDue(d time.Duration) {
	time.Sleep(d)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateDue(time.Now())
}

// Guards against a server that counts as warm although its entry says that it is cold, or as cold for good.
func TestAServerIsCappedWhileItsEntrySaysThatItIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newColdTracker()
		cold := `,"Service":"ledger","Cold":3000000000`
		tr.replaceAll([]object.Object{entryOf("s1", 3, cold), entryOf("s2", 3, `,"Service":"lookup","Cold":3000000000`), entryOf("s3", 3, `,"Service":"ledger"`)}, 4)
		assert.DeepEqual(t, tr.cappedNames(), []ident.Server{"s1"})
		tr.waitDue(3 * time.Second)
		assert.DeepEqual(t, tr.cappedNames(), []ident.Server{"s1"})
		tr.waitDue(coldGrace)
		assert.Equal(t, len(tr.cappedNames()), 0)
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 9, cold)}}, 9)
		assert.DeepEqual(t, tr.cappedNames(), []ident.Server{"s1"})
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 10, `,"Service":"ledger"`)}}, 10)
		assert.Equal(t, len(tr.cappedNames()), 0, "it says that it is warm")
	})
}

// Guards against a flood of requests to the cold servers of a data centre that returns, before their entries say that they are cold.
func TestServersOfADataCentreThatReturnsCountAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newColdTracker()
		tr.replaceAll([]object.Object{entryOf("s1", 3, `,"Service":"ledger","Centre":"north"`), entryOf("s2", 3, `,"Service":"ledger"`)}, 4)
		tr.applyEvacuations(evac.List{Rev: 5, Centres: []ident.Centre{"north"}}, "store", 0)
		assert.Equal(t, len(tr.cappedNames()), 0)
		tr.applyEvacuations(evac.List{Rev: 6}, "store", 0)
		assert.DeepEqual(t, tr.cappedNames(), []ident.Server{"s1"})
		tr.waitDue(returnedColdTime)
		assert.Equal(t, len(tr.cappedNames()), 0)
	})
}
