package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func faultNamed(t *testing.T, name string) Fault {
	for _, f := range Faults {
		if f.Name == name {
			return f
		}
	}
	t.Fatalf("no fault %q", name)
	return Fault{}
}

// A server dies. Its keys must be served again once its lease has expired and
// the next owner is granted; in 99 of 100 cases that is under a second.
func TestLostOwnerIsReplacedWithinASecond(t *testing.T) {
	for _, m := range Modes {
		r := Measure(faultNamed(t, "owner lost"), 1, 100, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Assert(t, r.P99 <= time.Second, "p99 %v", r.P99)
		assert.Assert(t, r.P50 > 500*time.Millisecond, "implausibly short: %v", r.P50)
	}
}

// The store fails for ten minutes. No key may become unavailable.
func TestStoreOutageAloneCostsNothing(t *testing.T) {
	for _, m := range Modes {
		r := Measure(faultNamed(t, "store down 10 min"), 1, 2, m)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.Max, time.Duration(0))
	}
}

// The VM that renews a server's lease dies, with the store up or down. Its
// deputy must go on within the lease, so that no key becomes unavailable.
func TestLostHolderCostsNothing(t *testing.T) {
	for _, name := range []string{"holder lost", "holder restarts", "store down 20 s, holder lost"} {
		for _, m := range Modes {
			r := Measure(faultNamed(t, name), 1, 20, m)
			t.Logf("%+v", r)
			assert.Equal(t, r.Violations, 0)
			assert.Equal(t, r.Max, time.Duration(0))
		}
	}
}

// A server dies a second into a store outage. No new owner can be recorded, so
// without a standby its keys are unavailable for the rest of the outage.
func TestOwnerLostInAnOutageIsReplacedByAStandby(t *testing.T) {
	for _, m := range Modes {
		r := Measure(faultNamed(t, "store down 20 s, owner lost"), 1, 20, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.P99 < 1500*time.Millisecond, m.Standby, "p99 %v", r.P99)
	}
}

// The VM that renews a server's lease and its deputy die at once. Where
// standbys are allowed, no VM is left that can rule one out, and the keys wait
// until the platform lists the holder as gone: the price of standbys.
func TestHolderAndDeputyLostCostThePlatformLagWithStandbys(t *testing.T) {
	for _, m := range Modes {
		r := Measure(faultNamed(t, "holder and deputy lost together"), 1, 20, m)
		t.Logf("%+v", r)
		assert.Equal(t, r.Violations, 0)
		assert.Equal(t, r.Max > 0, m.Standby, "max %v", r.Max)
		assert.Assert(t, r.Max < platformLag+time.Second, "max %v", r.Max)
	}
}
