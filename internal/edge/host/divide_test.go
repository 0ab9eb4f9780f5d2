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

// lookups are rules for lookups alone, whose service is divided by key or not.
func lookups(divided bool) feed.Rules {
	then := match.Then{Service: "lookup", Idempotent: true, Retry: 1, Deadline: 5 * time.Second}
	if divided {
		then.Key = "header:" + relay.HeaderKey
	}
	return feed.Rules{
		List:     []match.Rule{{Name: "lookup", When: match.When{Prefix: "/lookup/"}, Then: then}},
		Services: []feed.Service{{Name: "lookup", Divided: divided, Conns: 50}},
	}
}

// all reports whether so many lookups of random keys are answered in a row.
func (w *world) all(n int) bool {
	for range n {
		if status, _ := w.get(0, "/lookup/7", strconv.Itoa(rand.IntN(ranges.KeySpace))); status != http.StatusOK {
			return false
		}
	}
	return true
}

// An operator divides a service by key that was not. A VM went on sending its requests to
// any server, and nine in ten were refused there, for as long as the VM ran.
func TestAServiceThatIsDividedLaterIsServedByItsOwners(t *testing.T) {
	w := newWorld(t, 1)
	w.store.write("config/main", lookups(false))
	for i := range 6 {
		w.serve("lookup", ident.Server("l"+strconv.Itoa(i+1)))
	}
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	w.store.write("config/main", lookups(true))
	w.within(patient, "served by the owners of the keys", func() bool { return w.all(60) })
	assert.NilError(t, h.Close())
}

// An operator takes the division away. Rules read no key any more, and the VM, which
// still took the service for divided, told every caller that nothing is there.
func TestAServiceThatIsNoLongerDividedNeedsNoKey(t *testing.T) {
	w := newWorld(t, 1)
	w.store.write("config/main", lookups(true))
	w.serve("lookup", "l1")
	h := w.start(0)
	w.within(patient, "served", func() bool { return w.all(1) })
	w.store.write("config/main", lookups(false))
	w.within(patient, "served without keys", func() bool {
		status, _ := w.get(0, "/lookup/7", "")
		return status == http.StatusOK && w.all(30)
	})
	assert.NilError(t, h.Close())
}
