package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Guards against retries beyond the burst plus a tenth of the first attempts, and against
// retrying a request that may have run and is not idempotent: a receipt would be credited
// twice.
func TestRetriesAreSafeAndBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		b := New()
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			first++
			b.Earn()
			attempt := Attempt{
				Kind:       rapid.SampledFrom(kinds.All()).Draw(t, "kind"),
				Refused:    rapid.Bool().Draw(t, "refused"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Left:       time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond,
				Needed:     10 * time.Millisecond,
				Overload:   rapid.IntRange(0, 3).Draw(t, "overload") == 0,
			}
			if !b.Allow(attempt) {
				continue
			}
			retries++
			assert.Assert(t, !attempt.Overload && attempt.Left > attempt.Needed)
			ran := !attempt.Refused && attempt.Kind.Answer().Ran != kinds.RanNo
			assert.Assert(t, !ran || attempt.Idempotent, "retried %v", attempt.Kind)
			assert.Assert(t, attempt.Kind != kinds.Canceled && attempt.Kind != kinds.None)
		}
		assert.Assert(t, float64(retries) <= Burst+RetryShare*float64(first)+1e-9)
	})
}

// Guards against ignoring the retries of callers: both layers together would then retry
// more than the budget of either.
func TestRepeatsOfCallersCount(t *testing.T) {
	b := New()
	for range Burst {
		b.ChargeRepeat()
	}
	assert.Assert(t, !b.Allow(Attempt{Kind: kinds.Busy, Refused: true, Left: time.Second}))
}

// Guards against hedging before about the 95th percentile of latency, which would double
// the load.
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

// Guards against ten VMs that together exceed the platform's limit on retries in any ten
// seconds, although each stays within its own part of the budget.
func TestBudgetsOfAllVMsStayWithinThePlatformsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, burst, vms = 0.16, 46.0, 10
		all := make([]Budget, vms)
		for i := range all {
			all[i] = New()
			all[i].SetLimits(share, burst/vms)
		}
		first, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			b := &all[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "first") {
				b.Earn()
				first++
				continue
			}
			if b.ChargeSafe() {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= burst+share*float64(first), "%d of %d", retries, first)
	})
}
