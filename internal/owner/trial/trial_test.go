package trial

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
	for _, checks := range []bool{false, true} {
		r := Measure(find(t, "owner lost"), 1, 100, checks)
		t.Logf("%+v", r)
		assert.Equal(t, r.Bad, 0)
		assert.Assert(t, r.P99 <= time.Second, "p99 %v", r.P99)
		assert.Assert(t, r.P50 > 500*time.Millisecond, "too good to be true: %v", r.P50)
	}
}

// The store answers nobody for ten minutes, during the harvest. No key stops
// being served.
func TestStoreOutageAloneCostsNothing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		r := Measure(find(t, "store down 10 min"), 1, 2, checks)
		assert.Equal(t, r.Bad, 0)
		assert.Equal(t, r.Max, time.Duration(0))
	}
}

// The entry VM that renews a server's lease dies, with the store up or down.
// Its deputy goes on within the lease, and callers notice nothing.
func TestLostHolderCostsNothing(t *testing.T) {
	for _, name := range []string{"holder lost", "store down 20 s, holder lost"} {
		r := Measure(find(t, name), 1, 20, false)
		t.Logf("%+v", r)
		assert.Equal(t, r.Bad, 0)
		assert.Equal(t, r.Max, time.Duration(0))
	}
}
