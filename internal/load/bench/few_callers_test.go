package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A few callers, each sending far more than its fair share, ask for twice the capacity.
// Holding them back would help nobody, so the slots must be as busy as with many
// callers: otherwise a single gateway for all users gets three quarters of the capacity.
func TestFewCallersAtTwiceTheCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 20 s of four services three times")
	}
	forEachService(t, func(t *testing.T, s Service) {
		for _, n := range []int{1, 3, 10} {
			sc := Overload(s)
			sc.Callers, sc.End = n, 23*time.Second
			sc.WindowEnds = []time.Duration{sc.End}
			r := findRow(t, Run(sc, Ours, testSeed), 0, Other)
			t.Logf("%d callers: goodput %.3f, refused within %v", n, r.Goodput, r.RefuseP99)
			assert.Assert(t, r.Goodput >= minGoodput, "%d callers: goodput %.3f", n, r.Goodput)
			assert.Assert(t, r.RefuseP99 < maxRefusalDelay, "%d callers: refused after %v", n, r.RefuseP99)
		}
	})
}
