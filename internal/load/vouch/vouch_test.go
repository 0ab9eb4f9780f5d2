package vouch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests that reach a server later than it may get them, from a VM that reads the news late.
func TestALateVMSendsNothingByAListThatIsTooOld(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for name, late := range map[string]List{
		"its timers are late":                    {Lateness: 300 * time.Millisecond},
		"the store has answered other calls":     {Behind: 1700 * time.Millisecond},
		"the same, and calls for servers failed": {Behind: 1700 * time.Millisecond, Failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			late.Age, late.Bound = 2001*time.Millisecond, bound
			assert.Assert(t, !late.MaySend())
			late.Age = 2 * time.Second
			assert.Assert(t, late.MaySend())
		})
	}
}

// Guards against VMs that serve nobody while the store is down, or because nothing has happened.
func TestAListIsUsedWhereThisVMIsNotLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := List{Age: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")), Bound: 2 * time.Second, Failing: rapid.Bool().Draw(t, "failing")}
		// The list of a VM that is not late is relied on for half of the bound, and asked for then.
		l.Behind = time.Duration(rapid.Int64Range(0, int64(1250*time.Millisecond)).Draw(t, "behind"))
		if l.Failing {
			l.Lateness = time.Second
		}
		assert.Assert(t, l.MaySend())
	})
}
