package fair

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

// Guards against unbounded memory when a million callers come and go.
func TestMemoryStaysBounded(t *testing.T) {
	d := Debts{Max: 64}
	d.LowerRate(1)
	for i := range 1_000_000 {
		d.Charge(start.Add(time.Duration(i)*time.Millisecond), Flow(i+1), 1)
		assert.Assert(t, d.Len() <= 64)
	}
	assert.Assert(t, len(d.flows.slots) <= 128)
}

// Guards against refusing all callers alike. One caller sends ten times the common rate and
// must be over its share; the others send less than the rate and must not be.
func TestOnlyTheHotFlowIsOverItsShare(t *testing.T) {
	var d Debts
	const hot = Flow(1)
	d.rate = 10
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		d.Charge(now, hot, 1)
		d.Charge(now, Flow(100+i%20), 1) // five a second each
		if i < 100 {
			continue
		}
		assert.Assert(t, d.Delay(d.Debt(now, hot)) > 0)
		assert.Equal(t, d.Delay(d.Debt(now, Flow(100+i%20))), time.Duration(0))
	}
}

// Guards against refusing a caller long after it has slowed down: its debt must be bounded
// and be paid at the common rate.
func TestDebtIsPaidAndBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var d Debts
		d.rate = rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			d.Charge(now, 7, rapid.Float64Range(0.5, 4).Draw(t, "cost"))
			assert.Assert(t, d.Debt(now, 7) <= MaxDebt+1e-6)
		}
		assert.Assert(t, d.Delay(d.Debt(now, 7)) <= time.Duration((MaxDebt-FreeDebt)/d.rate*1e9)+1)
		now = now.Add(time.Duration(MaxDebt/d.rate*1e9) + time.Millisecond)
		assert.Equal(t, d.Debt(now, 7), 0.0)
	})
}

// Guards against a refund that leaves another debt than before the charge.
func TestRefundUndoesACharge(t *testing.T) {
	var d Debts
	d.rate = 1
	d.Charge(start, 7, 1)
	before := d.Debt(start, 7)
	d.Charge(start, 7, 1)
	d.Refund(7, 1)
	assert.Equal(t, d.Debt(start, 7), before)
}

// Guards against a common rate below an equal share of the recent flows or below
// MinRateShare: two callers would both be held to a fiftieth of an idle server.
func TestRateIsNotBelowAnEqualShare(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var d Debts
		n := rapid.IntRange(1, 200).Draw(t, "flows")
		maxFlowRate := rapid.Float64Range(1, 1000).Draw(t, "most")
		for i := range n {
			d.Charge(start, Flow(i+1), 1)
		}
		for range 500 {
			d.LowerRate(maxFlowRate)
		}
		want := maxFlowRate * max(MinRateShare, 1/float64(n))
		assert.Assert(t, d.rate >= want*0.999 && d.rate <= want*1.001, "%v, want %v", d.rate, want)
	})
}
