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
		"its timers are late":                               {Lateness: 300 * time.Millisecond},
		"the store has answered other calls":                {Answered: true, Behind: 1700 * time.Millisecond},
		"its timers are late, and calls for servers failed": {Answered: true, Lateness: 300 * time.Millisecond, Failed: true},
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
		l := List{Age: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")), Bound: 2 * time.Second, Failed: rapid.Bool().Draw(t, "failed")}
		if l.Failed {
			l.Lateness = time.Second
		}
		assert.Assert(t, l.MaySend())
		// The list of a VM that is not late is relied on for half of the bound, and asked for then.
		l.Answered, l.Lateness, l.Behind = true, 0, time.Duration(rapid.Int64Range(0, int64(1250*time.Millisecond)).Draw(t, "behind"))
		assert.Assert(t, l.MaySend())
	})
}

// Guards against VMs that serve nobody because the store answers all calls but those for servers.
func TestCallsForServersThatFailForGoodKeepNoVMFromServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := List{Age: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")), Bound: 2 * time.Second, Failed: true, Answered: true}
		l.Behind = l.Age
		assert.Assert(t, l.MaySend())
		l.Lateness = time.Second
		assert.Assert(t, l.MaySend() || l.Age < 8*time.Second)
	})
}
