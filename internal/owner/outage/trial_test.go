package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func find(t *testing.T, name string) Fault {
	for _, f := range Faults {
		if f.Name == name {
			return f
		}
	}
	t.Fatalf("no fault %q", name)
	return Fault{}
}

// A backend server dies. A driver at the scale waits until its lease has run
// out and the next owner is granted; in 99 of 100 cases that is under a second.
func TestLostOwnerIsReplacedWithinASecond(t *testing.T) {
	for _, m := range Modes {
		r := Measure(find(t, "owner lost"), 1, 100, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Assert(t, r.P99 <= time.Second, "p99 %v", r.P99)
		assert.Assert(t, r.P50 > 500*time.Millisecond, "too good to be true: %v", r.P50)
	}
}

// The store answers nobody for ten minutes, during the harvest. No key stops
// being served.
func TestStoreOutageAloneCostsNothing(t *testing.T) {
	for _, m := range Modes {
		r := Measure(find(t, "store down 10 min"), 1, 2, m)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.Max, time.Duration(0))
	}
}

// The entry VM that renews a server's lease dies, with the store up or down.
// Its deputy goes on within the lease, and callers notice nothing.
func TestLostHolderCostsNothing(t *testing.T) {
	for _, name := range []string{"holder lost", "holder restarts", "store down 20 s, holder lost"} {
		for _, m := range Modes {
			r := Measure(find(t, name), 1, 20, m)
			t.Logf("%+v", r)
			assert.Equal(t, r.Violations, 0)
			assert.Equal(t, r.Max, time.Duration(0))
		}
	}
}

// A backend server dies a second into a store outage. Nobody can write down who
// has its keys next, and without a stand-by a driver at the scale would wait for
// the rest of the outage.
func TestOwnerLostInAnOutageIsStoodByFor(t *testing.T) {
	for _, m := range Modes {
		r := Measure(find(t, "store down 20 s, owner lost"), 1, 20, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.P99 < 1500*time.Millisecond, m.Standby, "p99 %v", r.P99)
	}
}

// Two entry VMs die at once, the one that renews a server's lease and its deputy.
// Where stand-bys are allowed, nobody is left who knows that there is none, and
// the keys wait until the platform lists the holder as gone. This is their price.
func TestHolderAndDeputyLostCostTheListsLagWithStandBys(t *testing.T) {
	for _, m := range Modes {
		r := Measure(find(t, "holder and deputy lost together"), 1, 20, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.Max > 0, m.Standby, "max %v", r.Max)
		assert.Assert(t, r.Max < lag+time.Second, "max %v", r.Max)
	}
}
