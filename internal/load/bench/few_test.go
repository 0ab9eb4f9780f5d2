package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Few callers, each of whom sends far more than its share, ask for twice as much
// as the slots can do. Nobody else is there whom holding them back would help,
// so the slots must be used as with many callers: a single gateway behind which
// all the users stand would otherwise get three quarters of what it paid for.
func TestFewCallersAtTwiceTheCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 20 s of four services three times")
	}
	eachService(t, func(t *testing.T, s Service) {
		for _, n := range []int{1, 3, 10} {
			sc := Overload(s)
			sc.Callers, sc.Last = n, 23*time.Second
			sc.Marks = []time.Duration{sc.Last}
			r := find(t, Run(sc, Ours, seed), 0, Other)
			t.Logf("%d callers: goodput %.3f, refused within %v", n, r.Goodput, r.RefuseP99)
			assert.Assert(t, r.Goodput >= leastGoodput, "%d callers: goodput %.3f", n, r.Goodput)
			assert.Assert(t, r.RefuseP99 < early, "%d callers: refused after %v", n, r.RefuseP99)
		}
	})
}
