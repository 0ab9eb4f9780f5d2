package vouch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests that reach a server later than it may get them, from a VM that reads the news late.
func TestALateVMSendsNothingByAListThatIsTooOld(t *testing.T) {
	l := List{Age: 2001 * time.Millisecond, Bound: 2500 * time.Millisecond, Lateness: 300 * time.Millisecond}
	assert.Assert(t, !MaySend(l))
	l.Age = 2 * time.Second
	assert.Assert(t, MaySend(l))
}

// Guards against VMs that serve nobody while the store is down, or because nothing has happened.
func TestAListIsUsedWhereThisVMIsNotLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := List{Age: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")), Bound: 2 * time.Second, Failing: rapid.Bool().Draw(t, "failing")}
		if l.Failing {
			l.Lateness = time.Second
		}
		assert.Assert(t, MaySend(l))
	})
}
