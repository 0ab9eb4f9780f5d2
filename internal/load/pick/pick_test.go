package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

// Guards against choosing a server that is not in the set, or the one to skip although
// there are others.
func TestSetAgreesWithAMap(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var s Set
		model := map[int]bool{}
		r := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			i, room := rapid.IntRange(0, 12).Draw(t, "server"), rapid.Bool().Draw(t, "room")
			s.Put(i, room)
			delete(model, i)
			if room {
				model[i] = true
			}
			assert.Equal(t, s.Len(), len(model))
			skip := rapid.IntRange(-1, 12).Draw(t, "skip")
			got := s.Choose(r, skip, func(i int) float64 { return float64(i % 3) })
			if len(model) == 0 {
				assert.Equal(t, got, -1)
				continue
			}
			assert.Assert(t, model[got])
			assert.Assert(t, got != skip || len(model) == 1)
		}
	})
}

// Guards against preferring a server that fails at once, so that no request is ever in
// flight there, to a healthy one that is busy.
func TestFastFailureDoesNotLookIdle(t *testing.T) {
	good, bad := Load{Slots: 4, Running: 3}, Load{Slots: 4}
	for range 10 {
		good.Observe(start, 8*time.Millisecond, false)
		bad.Observe(start, time.Millisecond, true)
	}
	assert.Assert(t, bad.Score(start, 8e-3) > good.Score(start, 8e-3))
}

// Guards against preferring a server that reports to be idle while its answers are slow.
func TestFalseReportsLoseTrust(t *testing.T) {
	liar, honest := Load{Slots: 4}, Load{Slots: 4}
	for range 20 {
		liar.Observe(start, 30*time.Millisecond, false)
		honest.Observe(start, 10*time.Millisecond, false)
		liar.Report(start, 0, 0, 12*time.Millisecond)
		honest.Report(start, 4, 0, 12*time.Millisecond)
	}
	assert.Assert(t, liar.distrust > 0.9)
	assert.Assert(t, honest.Score(start, 12e-3) < liar.Score(start, 12e-3))
}

// Guards against avoiding a server because of an old report of overload.
func TestOldReportsFade(t *testing.T) {
	l := Load{Slots: 4}
	l.Observe(start, 10*time.Millisecond, false)
	unloaded := l.Score(start, 10e-3)
	l.Report(start, 100, 0, 10*time.Millisecond)
	assert.Assert(t, l.Score(start, 10e-3) > 2*unloaded)
	assert.Assert(t, l.Score(start.Add(time.Hour), 10e-3) < 1.01*unloaded)
}

// Guards against a latency that grows tenfold with each failure in a row. A server that
// refused a hundred requests would be avoided for minutes after it answers again.
func TestFailuresDoNotAddUp(t *testing.T) {
	var l Load
	now := time.Unix(1000, 0)
	l.Observe(now, 8*time.Millisecond, false)
	for range 100 {
		l.Observe(now, time.Millisecond, true)
	}
	assert.Equal(t, l.AnswerLatency(), 8*time.Millisecond)
	assert.Assert(t, l.Latency() <= FailurePenalty*8*time.Millisecond, "%v", l.Latency())
	for range 20 {
		l.Observe(now, 8*time.Millisecond, false)
	}
	assert.Assert(t, l.Latency() <= 9*time.Millisecond, "%v", l.Latency())
}

// Guards against thirty VMs that start together and send their first requests to the same
// server, which would queue them for seconds or refuse them.
func TestVMsThatStartTogetherSpread(t *testing.T) {
	firstChoices := map[int]int{}
	for vm := range uint64(30) {
		var s Set
		for i := range 25 {
			s.Put(i, true)
		}
		r := rand.New(rand.NewPCG(vm, vm))
		firstChoices[s.Choose(r, -1, func(int) float64 { return 1 })]++
	}
	most := 0
	for _, n := range firstChoices {
		most = max(most, n)
	}
	assert.Assert(t, most <= 6, "%v", firstChoices)
}
