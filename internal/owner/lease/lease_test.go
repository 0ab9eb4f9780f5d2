package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func TestDefaultTimesAreConsistentAndFitIntoASecond(t *testing.T) {
	d := Default()
	assert.NilError(t, d.Check())
	assert.Equal(t, d.MaxRemaining(), 727*time.Millisecond)
	d.Renew = d.TTL
	assert.Equal(t, kinds.Of(d.Check()), kinds.BadRequest)
}

// Clocks run at slightly different rates, and an order can be delayed for any time before it
// is sent or read. Whoever waits for a lease to end must never stop waiting while the server
// still considers it valid.
func TestWaitOutlastsEveryLease(t *testing.T) {
	d := Default()
	rate := func(rt *rapid.T, name string) float64 {
		return 1 + float64(rapid.IntRange(-5, 5).Draw(rt, name))/1000
	}
	seeds.Check(t, func(rt *rapid.T) {
		ours, theirs := rate(rt, "ours"), rate(rt, "theirs")
		travel := time.Duration(rapid.IntRange(0, 1000).Draw(rt, "travel")) * time.Millisecond
		// The server reads its clock at real time 0; the answer takes travel.
		leaseEnds := time.Duration(float64(d.TTL) / theirs)
		waitEnds := travel + time.Duration(float64(d.MaxRemaining())/ours)
		assert.Assert(rt, leaseEnds < waitEnds)
		// The same for an authority: requested at 0, written and read later.
		start := time.Unix(0, 0)
		used := time.Duration(float64(d.AuthorityEnd(start, d.Term).Sub(start)) / ours)
		waited := travel + time.Duration(float64(d.PriorAuthorityEnd(start, d.Term).Sub(start))/theirs)
		assert.Assert(rt, used < waited)
	})
}
