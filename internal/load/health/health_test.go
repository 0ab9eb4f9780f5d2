package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

const typical = 10 * time.Millisecond

func fleet(n int) []*Server {
	all := make([]*Server, n)
	for i := range all {
		all[i] = &Server{}
	}
	return all
}

func answer(s *Server, now time.Time, latency float64, failed bool) {
	s.Sent(now, typical)
	s.Done(now, latency, failed)
}

func round(all []*Server, now time.Time, latency func(i int) float64, failed func(i int) bool) {
	for i, s := range all {
		for range 10 {
			answer(s, now, latency(i), failed(i))
		}
	}
}

func even(int) float64 { return 1 }
func always(int) bool  { return true }

// One of six servers is slow, one fails, one goes silent: each is taken out, and
// the rest stay.
func TestBadServersAreEjected(t *testing.T) {
	var p Monitor
	all := fleet(9)
	round(all, begin, func(i int) float64 {
		if i == 0 {
			return 10
		}
		return 1
	}, func(i int) bool { return i == 1 })
	all[2].Sent(begin, typical)
	p.Evaluate(begin.Add(MinFrozen), all)
	for i, s := range all {
		assert.Equal(t, s.State() == Ejected, i < 3, "server %d: %s", i, s.State())
	}
	assert.Equal(t, p.Ejected(), 3)
}

// Everything looks bad at once: then it is our side, or plain overload. Taking
// servers out would send their load to the rest until none is left.
func TestNothingIsEjectedWhenAllLookBad(t *testing.T) {
	var p Monitor
	all := fleet(6)
	round(all, begin, even, always)
	p.Evaluate(begin, all)
	assert.Assert(t, p.Panic())
	assert.Equal(t, p.Ejected(), 0)
}

// Whatever servers do, at most a third are out at once.
func TestEjectionIsBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var p Monitor
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		all := fleet(n)
		now := begin
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			for _, s := range all {
				if s.MaxRunning(1) > 0 && rapid.Bool().Draw(t, "asked") {
					answer(s, now, rapid.Float64Range(0.5, 20).Draw(t, "latency"), rapid.IntRange(0, 2).Draw(t, "fails") == 0)
				}
			}
			p.Evaluate(now, all)
			bound := max(n/maxShare, 1)
			if n == 1 {
				bound = 0
			}
			assert.Assert(t, p.Ejected() <= bound, "%d of %d out", p.Ejected(), n)
		}
	})
}

// A server flaps: it answers its probes and fails again. Its pauses must grow,
// or every few seconds a part of the requests fails there.
func TestFlappingServerPausesLonger(t *testing.T) {
	var p Monitor
	all := fleet(6)
	now := begin
	last := time.Duration(0)
	for range 4 {
		round(all, now, even, func(i int) bool { return i == 0 })
		p.Evaluate(now, all)
		assert.Equal(t, all[0].State(), Ejected)
		assert.Assert(t, all[0].out > last)
		last = all[0].out
		assert.Equal(t, all[0].MaxRunning(5), 0)
		now = now.Add(last)
		p.Evaluate(now, all)
		assert.Equal(t, all[0].MaxRunning(5), 1, "one probe at a time")
		for range Probes {
			answer(all[0], now, 1, false)
		}
		assert.Equal(t, all[0].State(), Ramping)
	}
}

// A server that has just started is cold. It must get little at first, and all
// of its part in the end.
func TestColdServerRampsUp(t *testing.T) {
	var p Monitor
	s := &Server{}
	s.MarkCold(begin)
	assert.Equal(t, s.Weight(begin), minWeight)
	assert.Equal(t, s.Weight(begin.Add(Ramp/2)), 0.5)
	p.Evaluate(begin.Add(Ramp), []*Server{s, {}, {}})
	assert.Equal(t, s.State(), OK)
	assert.Equal(t, s.Weight(begin.Add(Ramp)), 1.0)
}

// A frozen server gets one request after another, and none comes back. Each one
// that is given up must not make it look as if it had just been heard of: the
// next would be kept waiting for as long again.
func TestSilenceLastsUntilAnAnswer(t *testing.T) {
	var s Server
	answer(&s, begin, 1, false)
	for i := range 5 {
		now := begin.Add(time.Duration(i) * time.Second)
		s.Sent(now, typical)
		s.Done(now.Add(time.Second/2), 0, true)
	}
	now := begin.Add(5 * time.Second)
	assert.Equal(t, s.SilentFor(now), time.Duration(0), "nothing is asked of it")
	s.Sent(now, typical)
	assert.Equal(t, s.SilentFor(now), 5*time.Second)
	assert.Assert(t, s.StalledFor(now) > 0)
	s.Done(now, 1, false)
	s.Sent(now, typical)
	assert.Equal(t, s.SilentFor(now), time.Duration(0))
}

// A server refuses everything. It is failing from the fifth refusal on, through
// its pause and its probes, until it answers one.
func TestFailingUntilAnAnswer(t *testing.T) {
	var p Monitor
	all := fleet(4)
	s := all[0]
	answer(s, begin, 1, false)
	assert.Assert(t, !s.Failing())
	for range 2 * Enough {
		answer(s, begin, 1, true)
	}
	assert.Assert(t, s.Failing())
	p.Evaluate(begin, all)
	assert.Equal(t, s.State(), Ejected)
	assert.Assert(t, s.Failing())
	p.Evaluate(begin.Add(FirstOut), all)
	assert.Equal(t, s.State(), Probe)
	assert.Assert(t, s.Failing())
	answer(s, begin.Add(FirstOut), 1, false)
	assert.Assert(t, !s.Failing())
}
