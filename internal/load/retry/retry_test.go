package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Any mix of failures, of any kinds: retries never exceed the burst plus a
// tenth of the first attempts, and what may have run is never tried again
// unless it is idempotent. A receipt would otherwise be credited twice.
func TestRetriesAreSafeAndBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		b := New()
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			first++
			b.Earn()
			try := Attempt{
				Kind:       rapid.SampledFrom(kinds.All()).Draw(t, "kind"),
				Refused:    rapid.Bool().Draw(t, "refused"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Left:       time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond,
				Needed:     10 * time.Millisecond,
				Overload:   rapid.IntRange(0, 3).Draw(t, "overload") == 0,
			}
			if !b.Allow(try) {
				continue
			}
			retries++
			assert.Assert(t, !try.Overload && try.Left > try.Needed)
			ran := !try.Refused && try.Kind.Answer().Ran != kinds.RanNo
			assert.Assert(t, !ran || try.Idempotent, "tried %v again", try.Kind)
			assert.Assert(t, try.Kind != kinds.Canceled && try.Kind != kinds.None)
		}
		assert.Assert(t, float64(retries) <= Burst+Share*float64(first)+1e-9)
	})
}

// Callers repeat by themselves. Their repeats must use up the budget, or both
// layers together retry more than either was allowed.
func TestRepeatsOfCallersCount(t *testing.T) {
	b := New()
	for range Burst {
		b.ChargeRepeat()
	}
	assert.Assert(t, !b.Allow(Attempt{Kind: kinds.Busy, Refused: true, Left: time.Second}))
}

// Hedging starts after about the 95th percentile, or it doubles the load.
func TestHedgeDelayIsAHighPercentile(t *testing.T) {
	b := New()
	for i := range 20_000 {
		b.Observe(time.Duration(1+i*37%100) * time.Millisecond)
	}
	assert.Assert(t, b.HedgeAfter() > 85*time.Millisecond && b.HedgeAfter() < 105*time.Millisecond, "%v", b.HedgeAfter())
	allowed := 0
	for range 1000 {
		b.Earn()
		if b.AllowHedge(true, false, time.Second) {
			allowed++
		}
	}
	assert.Assert(t, allowed <= Burst+50)
	assert.Assert(t, !b.AllowHedge(false, false, time.Second))
}

// Ten VMs repeat what was lost, each within its own count, and a platform counts all of
// them together in any ten seconds. More than it allows breaks its rule, however
// well each VM behaved.
func TestABudgetIsSharedByWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, burst, vms = 0.16, 46.0, 10
		all := make([]Budget, vms)
		for i := range all {
			all[i] = New()
			all[i].SetLimits(share, burst/vms)
		}
		asked, again := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			b := &all[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "first") {
				b.Earn()
				asked++
				continue
			}
			if b.ChargeSafe() {
				again++
			}
		}
		assert.Assert(t, float64(again) <= burst+share*float64(asked), "%d of %d", again, asked)
	})
}
