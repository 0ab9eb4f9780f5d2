package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

func observeBatches(l *Limit, now time.Time, batches int, latency time.Duration) {
	for range batches * BatchSize {
		l.MarkLimited()
		l.Observe(now, latency)
	}
}

func newLimit() *Limit {
	var l Limit
	l.SetBounds(4, 10, 10)
	return &l
}

// Guards against a limit below one, which starves this VM, or above slots+1, which
// overloads the server.
func TestLimitStaysInBounds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		l := &Limit{}
		slots, vms, conns := rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "vms"), rapid.IntRange(1, 20).Draw(t, "conns")
		l.SetBounds(slots, vms, conns)
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.MarkRefused()
			case 1:
				l.Report(now, rapid.Float64Range(0, 30).Draw(t, "load"))
			case 2:
				l.MarkLimited()
			default:
				l.Observe(now, time.Duration(rapid.IntRange(1, 500).Draw(t, "latency"))*time.Millisecond)
			}
			assert.Assert(t, l.Max() >= 1 && l.Max() <= max(min(slots+1, conns), 1))
		}
	})
}

// Guards against a limit that stays low after an overload. Answers that take five times as
// long must cut it to one; quick answers must raise it again.
func TestLimitFallsAndRecovers(t *testing.T) {
	l := newLimit()
	observeBatches(l, start, 5, 8*time.Millisecond)
	observeBatches(l, start, 5, 40*time.Millisecond)
	assert.Equal(t, l.Max(), 1)
	observeBatches(l, start, 3, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2)
	for range 100 {
		l.MarkRefused()
	}
	observeBatches(l, start, 2, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "recovery from many refusals took longer than from a few")
}

// Guards against growing beyond the share on an overloaded server. A VM that starts then
// takes the slow answers for the baseline, and only the report of the server shows the
// overload.
func TestNoGrowthWhenBaselineWasLearnedUnderOverload(t *testing.T) {
	l := newLimit()
	for i := range 50 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		l.Report(now, 7)
		observeBatches(l, now, 1, 60*time.Millisecond)
	}
	assert.Equal(t, l.Max(), 1)
}

// Guards against growing beyond the share on latency alone or on an old report. When
// latency and a recent report both show unused slots, one VM may use the whole server.
func TestLimitExceedsShareOnlyOnBothSignals(t *testing.T) {
	l := newLimit()
	observeBatches(l, start, 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "grew without a report")
	l.Report(start, 0.5)
	observeBatches(l, start.Add(2*ReportMaxAge), 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "grew on an old report")
	observeBatches(l, start, 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 5)
	observeBatches(l, start, 1, 18*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "did not give back")
}

// Guards against a slow recovery after many refusals. If cuts lowered the value below one,
// each would have to be recovered from by itself, and the limit would stay at one for
// minutes.
func TestManyCutsDoNotSlowRecovery(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots, vms := rapid.IntRange(2, 8).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "vms")
		var l Limit
		l.SetBounds(slots, vms, 100)
		share := l.Max()
		observeBatches(&l, start, 1, 8*time.Millisecond)
		for range rapid.IntRange(20, 200).Draw(t, "cuts") {
			if rapid.Bool().Draw(t, "refused") {
				l.MarkRefused()
			} else {
				l.Report(start, OverloadFactor)
			}
			assert.Assert(t, l.value >= minLimit, "%v", l.value)
		}
		assert.Equal(t, l.Max(), 1)
		later := start.Add(2 * ReportMaxAge)
		for want := 2; want <= share; want++ {
			observeBatches(&l, later, 1, 8*time.Millisecond)
			assert.Equal(t, l.Max(), want, "each good batch must raise the limit by one")
		}
	})
}

// Guards against a limit below one before SetBounds is called.
func TestTheZeroLimitAllowsOne(t *testing.T) {
	var l Limit
	assert.Equal(t, l.Max(), 1)
	l.MarkRefused()
	assert.Equal(t, l.Max(), 1)
	l.Report(start, 10)
	assert.Equal(t, l.Max(), 1)
}
