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

// The operator changes rules of a megabyte. Each VM got them twice, whole from the store
// and from the other VMs, and its callers waited behind that for a second and more where
// its link is thin. It gets them once, from the other VMs; only the one that leads reads
// each version from the store. When the leader goes, the rules come all the same.
func TestAVMDoesNotReadFromTheStoreWhatOtherVMsBring(t *testing.T) {
	w := newWorld(t, 3)
	long := grown(relyFrom / 100) // a rule takes more than that
	write := func(prefix string) {
		next := lookups(true)
		next.List[0].When.Prefix = prefix
		next.List = append(next.List, long.List...)
		next.Services = append(next.Services, long.Services...)
		w.store.write("config/main", next)
	}
	write("/old/")
	w.serve("lookup", "l1")
	for i := range 3 {
		w.start(i)
	}
	inForce := func(prefix string, vms ...int) {
		t.Helper()
		for _, i := range vms {
			w.within(patient, prefix+" at VM "+strconv.Itoa(i), func() bool {
				status, _ := w.get(i, prefix+"7", "1")
				return status == http.StatusOK
			})
		}
	}
	inForce("/old/", 0, 1, 2)
	first := w.leads()
	followers := []int{(first + 1) % 3, (first + 2) % 3}
	relies := func(i int) func() bool {
		return func() bool {
			h := w.vms[i]
			_, ok := h.d.p.Book.relies(time.Now())
			return ok
		}
	}
	for _, i := range followers {
		w.within(patient, "relies on the leader", relies(i))
	}
	before := []int{w.ways[followers[0]].versions(), w.ways[followers[1]].versions()}
	for i := range 3 {
		prefix := "/new-" + strconv.Itoa(i) + "/"
		write(prefix)
		inForce(prefix, 0, 1, 2)
	}
	for n, i := range followers {
		assert.Equal(t, w.ways[i].versions(), before[n], "VM %d read the rules from the store", i)
	}
	assert.NilError(t, w.vms[first].Close())
	write("/last/")
	inForce("/last/", followers...)
	for _, i := range followers {
		assert.NilError(t, w.vms[i].Close())
	}
}

// The leader has a version of the rules that this VM has still to get. What it says of how
// far it has seen the store's changes does not hold here yet: a watch that went on from
// there would never bring that version.
func TestTheLeadersPlaceCountsOnceItsRulesAreHere(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	c, far := h.d.p.Courier, object.Cursor(1_000_000)
	rev, _ := h.d.p.Board.Revs()
	c.sure(clock.Now(), poll.Response{IsLeader: true, RulesRev: rev + 1, RulesFreshFor: time.Minute, RulesCursor: far})
	assert.Assert(t, h.d.p.Board.RulesCursor() < far)
	c.sure(clock.Now(), poll.Response{IsLeader: true, RulesRev: rev, RulesFreshFor: time.Minute, RulesCursor: far})
	assert.Equal(t, h.d.p.Board.RulesCursor(), far)
	assert.NilError(t, h.Close())
}

// The leader names a version that no VM brings. A VM that went on relying on them would
// keep the rules before, though the store would give it the new ones at once.
func TestAVMReliesOnOthersForAShortTimeOnly(t *testing.T) {
	w := newWorld(t, 2)
	w.store.write("config/main", grown(900))
	w.serve("ledger", "r1")
	w.start(0)
	w.within(patient, "leads", func() bool { return w.leads() == 0 })
	h := w.start(1)
	relies := func() bool { _, ok := h.d.p.Book.relies(time.Now()); return ok }
	w.within(patient, "relies", relies)
	rev, _ := h.d.p.Board.Revs()
	h.d.p.Book.named(ident.Revision(rev + 1000))
	w.within(patient, "relies no longer", func() bool { return !relies() })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, !relies())
	}
	for _, vm := range w.vms {
		assert.NilError(t, vm.Close())
	}
}

// The leader is one of an earlier version, which vouches for no rules, and this VM watches
// a store that may lag by seconds. Its word proves nothing of what is newest.
func TestAStoreThatMayLagVouchesForNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	leader := w.lead(1_000_000)
	leader.move("l1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	w.within(patient, "nobody vouches", func() bool { return !h.d.p.State.Rules.Fresh(clock.Now()) })
	assert.NilError(t, h.Close())
}
