package host

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// patient is far beyond what each step takes, for busy machines.
const patient = 20 * time.Second

func (w *world) ready(i int) func() bool { return func() bool { return w.vms[i].Ready() == nil } }

// Two VMs start on a platform that lists servers. Each finds them, one leads and deals
// the keys out, and a caller is served by whichever VM it reaches.
func TestVMsServeWhatThePlatformLists(t *testing.T) {
	w := newWorld(t, 2)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	w.serve("lookup", "l2")
	w.serve("ledger", "r1")
	a, b := w.start(0), w.start(1)
	w.within(patient, "ready", func() bool { return a.Ready() == nil && b.Ready() == nil })
	w.within(patient, "keys served by both", func() bool {
		one, _ := w.get(0, "/lookup/7", "4711")
		two, _ := w.get(1, "/lookup/7", "4711")
		return one == http.StatusOK && two == http.StatusOK
	})
	status, by := w.get(0, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, by, "r1")
	status, _ = w.get(0, "/nobody/", "")
	assert.Equal(t, status, http.StatusNotFound)
	assert.NilError(t, a.Close())
	assert.NilError(t, b.Close())
}

// A VM that has never known any rules must not say of a request that nothing is there
// for it: callers never ask again after that.
func TestAVMWithoutRulesPromisesNothing(t *testing.T) {
	w := newWorld(t, 1)
	h := w.start(0)
	status, _ := w.get(0, "/lookup/7", "1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, h.Ready() != nil)
	assert.NilError(t, h.Close())
}

// The store turns one VM away and the operator changes the rules. The caller who
// reaches that VM gets the new ones all the same, because the leader tells it; and
// when the leader itself is the one turned away, another VM leads.
func TestAVMWithoutTheStoreHearsOfNewRules(t *testing.T) {
	w := newWorld(t, 3)
	w.rules("/old/")
	w.serve("lookup", "l1")
	for i := range 3 {
		w.start(i)
	}
	for i := range 3 {
		w.within(patient, "ready", w.ready(i))
	}
	first := w.leads()
	follower := (first + 1) % 3
	w.ways[follower].bar(true)
	w.rules("/new/")
	w.within(patient, "new rules at the barred VM", func() bool {
		status, _ := w.get(follower, "/new/7", "1")
		return status == http.StatusOK
	})
	status, _ := w.get(follower, "/old/7", "1")
	assert.Equal(t, status, http.StatusNotFound, "the old ones never come back")
	w.ways[follower].bar(false)
	w.ways[first].bar(true)
	w.within(patient, "another leader", func() bool { l := w.leads(); return l >= 0 && l != first })
	for _, h := range w.vms {
		assert.NilError(t, h.Close())
	}
}

// A server says that it leaves. Its keys are served by another one, and every request
// of those seconds is answered.
func TestALeavingServersKeysAreServedByAnother(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	w.serve("lookup", "l2")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	var by string
	w.within(patient, "served", func() bool {
		var status int
		status, by = w.get(0, "/lookup/7", "4711")
		return status == http.StatusOK
	})
	for at, b := range w.back {
		if string(b.name) == by {
			w.store.write("servers/"+by, feed.Server{Name: b.name, Service: "lookup", Addr: at, Slots: 4, Incarnation: 1, Leaving: true})
		}
	}
	w.within(patient, "served by the other", func() bool {
		status, now := w.get(0, "/lookup/7", "4711")
		assert.Equal(t, status, http.StatusOK, "nobody notices")
		return now != by
	})
	assert.NilError(t, h.Close())
}

// The operator adds a service that is divided by key, whose servers are still to come.
// Callers of the other services must not be turned away by all VMs because of it.
func TestANewServiceMakesNoVMUnready(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("ledger", "r1")
	h := w.start(0)
	w.within(patient, "ready without a server of the divided service", w.ready(0))
	w.serve("lookup", "l1")
	w.within(patient, "served", func() bool {
		assert.NilError(t, h.Ready())
		status, _ := w.get(0, "/lookup/7", "1")
		return status == http.StatusOK
	})
	assert.NilError(t, h.Close())
}
