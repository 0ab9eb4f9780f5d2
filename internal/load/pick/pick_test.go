package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

// The set agrees with a plain map, and a choice is always a member, and never
// the one to skip unless it is the only one.
func TestSetAgreesWithAMap(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var s Set
		naive := map[int]bool{}
		r := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			i, room := rapid.IntRange(0, 12).Draw(t, "server"), rapid.Bool().Draw(t, "room")
			s.Put(i, room)
			delete(naive, i)
			if room {
				naive[i] = true
			}
			assert.Equal(t, s.Len(), len(naive))
			skip := rapid.IntRange(-1, 12).Draw(t, "skip")
			got := s.Choose(r, skip, func(i int) float64 { return float64(i % 3) })
			if len(naive) == 0 {
				assert.Equal(t, got, -1)
				continue
			}
			assert.Assert(t, naive[got])
			assert.Assert(t, got != skip || len(naive) == 1)
		}
	})
}

// A server fails at once, so that nothing is ever in flight there. It must not
// look better than a healthy one that is busy.
func TestFastFailureDoesNotLookIdle(t *testing.T) {
	good, bad := Load{Slots: 4, Running: 3}, Load{Slots: 4}
	for range 10 {
		good.Observe(begin, 8*time.Millisecond, false)
		bad.Observe(begin, time.Millisecond, true)
	}
	assert.Assert(t, bad.Score(begin, 8e-3) > good.Score(begin, 8e-3))
}

// A server reports that it is idle while its answers are slow. Its word must
// lose its weight, and an honest busy server must win.
func TestLiarIsBelievedLess(t *testing.T) {
	liar, honest := Load{Slots: 4}, Load{Slots: 4}
	for range 20 {
		liar.Observe(begin, 30*time.Millisecond, false)
		honest.Observe(begin, 10*time.Millisecond, false)
		liar.Report(begin, 0, 0, 12*time.Millisecond)
		honest.Report(begin, 4, 0, 12*time.Millisecond)
	}
	assert.Assert(t, liar.trust > 0.9)
	assert.Assert(t, honest.Score(begin, 12e-3) < liar.Score(begin, 12e-3))
}

// A report of a crowd is an hour old. It must not keep load away any more.
func TestOldReportsFade(t *testing.T) {
	l := Load{Slots: 4}
	l.Observe(begin, 10*time.Millisecond, false)
	quiet := l.Score(begin, 10e-3)
	l.Report(begin, 100, 0, 10*time.Millisecond)
	assert.Assert(t, l.Score(begin, 10e-3) > 2*quiet)
	assert.Assert(t, l.Score(begin.Add(time.Hour), 10e-3) < 1.01*quiet)
}

// A server refuses a hundred requests in a row and then answers again. Each
// failure counting ten times the one before would leave it shunned for minutes
// of good answers.
func TestFailuresDoNotAddUp(t *testing.T) {
	var l Load
	now := time.Unix(1000, 0)
	l.Observe(now, 8*time.Millisecond, false)
	for range 100 {
		l.Observe(now, time.Millisecond, true)
	}
	assert.Equal(t, l.AnswerLatency(), 8*time.Millisecond)
	assert.Assert(t, l.Latency() <= Penalty*8*time.Millisecond, "%v", l.Latency())
	for range 20 {
		l.Observe(now, 8*time.Millisecond, false)
	}
	assert.Assert(t, l.Latency() <= 9*time.Millisecond, "%v", l.Latency())
}

// Thirty VMs start together and each gets its first few requests. If all began their
// turns at the same server, it would get thirty at once, queue them for seconds or turn
// them away, and then the next one would.
func TestVMsThatStartTogetherSpread(t *testing.T) {
	went := map[int]int{}
	for vm := range uint64(30) {
		var s Set
		for i := range 25 {
			s.Put(i, true)
		}
		r := rand.New(rand.NewPCG(vm, vm))
		went[s.Choose(r, -1, func(int) float64 { return 1 })]++
	}
	most := 0
	for _, n := range went {
		most = max(most, n)
	}
	assert.Assert(t, most <= 6, "%v", went)
}
