package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

const typical = 10 * time.Millisecond

func newServers(n int) []*Server {
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

func answerAll(all []*Server, now time.Time, latency func(i int) float64, failed func(i int) bool) {
	for i, s := range all {
		for range 10 {
			answer(s, now, latency(i), failed(i))
		}
	}
}

func typicalLatency(int) float64 { return 1 }
func alwaysFails(int) bool       { return true }

// Guards against keeping a bad server: one is slow, one fails and one does not answer. The
// six others must stay.
func TestBadServersAreEjected(t *testing.T) {
	var m Monitor
	all := newServers(9)
	answerAll(all, start, func(i int) float64 {
		if i == 0 {
			return 10
		}
		return 1
	}, func(i int) bool { return i == 1 })
	all[2].Sent(start, typical)
	m.Evaluate(start.Add(MinStall), all)
	for i, s := range all {
		assert.Equal(t, s.State() == Ejected, i < 3, "server %d: %s", i, s.State())
	}
	assert.Equal(t, m.Ejected(), 3)
}

// Guards against ejecting servers one after another when all look bad, which sends the load
// of each to the rest until none is left.
func TestNothingIsEjectedWhenAllLookBad(t *testing.T) {
	var m Monitor
	all := newServers(6)
	answerAll(all, start, typicalLatency, alwaysFails)
	m.Evaluate(start, all)
	assert.Assert(t, m.Panic())
	assert.Equal(t, m.Ejected(), 0)
}

// Guards against ejecting more than a third of the servers at once.
func TestEjectionIsBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var m Monitor
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		all := newServers(n)
		now := start
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			for _, s := range all {
				if s.MaxRunning(1) > 0 && rapid.Bool().Draw(t, "asked") {
					answer(s, now, rapid.Float64Range(0.5, 20).Draw(t, "latency"), rapid.IntRange(0, 2).Draw(t, "fails") == 0)
				}
			}
			m.Evaluate(now, all)
			bound := max(n/ejectionDivisor, 1)
			if n == 1 {
				bound = 0
			}
			assert.Assert(t, m.Ejected() <= bound, "%d of %d out", m.Ejected(), n)
		}
	})
}

// Guards against failed requests every few seconds on a server that answers its probes and
// then fails again: its pauses must grow.
func TestFlappingServerPausesLonger(t *testing.T) {
	var m Monitor
	all := newServers(6)
	now := start
	last := time.Duration(0)
	for range 4 {
		answerAll(all, now, typicalLatency, func(i int) bool { return i == 0 })
		m.Evaluate(now, all)
		assert.Equal(t, all[0].State(), Ejected)
		assert.Assert(t, all[0].ejection > last)
		last = all[0].ejection
		assert.Equal(t, all[0].MaxRunning(5), 0)
		now = now.Add(last)
		m.Evaluate(now, all)
		assert.Equal(t, all[0].MaxRunning(5), 1, "more than one probe at a time")
		for range ProbeAnswers {
			answer(all[0], now, 1, false)
		}
		assert.Equal(t, all[0].State(), Ramping)
	}
}

// Guards against full load on a server that has just started, and against a ramp that never
// ends.
func TestColdServerRampsUp(t *testing.T) {
	var m Monitor
	s := &Server{}
	s.MarkCold(start)
	assert.Equal(t, s.Weight(start), minRampWeight)
	assert.Equal(t, s.Weight(start.Add(RampTime/2)), 0.5)
	m.Evaluate(start.Add(RampTime), []*Server{s, {}, {}})
	assert.Equal(t, s.State(), OK)
	assert.Equal(t, s.Weight(start.Add(RampTime)), 1.0)
}

// Guards against counting a request that was given up as a sign of life. The next request
// to a frozen server would then wait as long as the first.
func TestSilenceLastsUntilAnAnswer(t *testing.T) {
	var s Server
	answer(&s, start, 1, false)
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		s.Sent(now, typical)
		s.Done(now.Add(time.Second/2), 0, true)
	}
	now := start.Add(5 * time.Second)
	assert.Equal(t, s.SilentFor(now), time.Duration(0), "no request is running")
	s.Sent(now, typical)
	assert.Equal(t, s.SilentFor(now), 5*time.Second)
	assert.Assert(t, s.StalledFor(now) > 0)
	s.Done(now, 1, false)
	s.Sent(now, typical)
	assert.Equal(t, s.SilentFor(now), time.Duration(0))
}

// Guards against treating a server that refuses everything as working: it must count as
// failing from the fifth refusal, through its pause and its probes, until it answers.
func TestFailingUntilAnAnswer(t *testing.T) {
	var m Monitor
	all := newServers(4)
	s := all[0]
	answer(s, start, 1, false)
	assert.Assert(t, !s.Failing())
	for range 2 * MinAnswers {
		answer(s, start, 1, true)
	}
	assert.Assert(t, s.Failing())
	m.Evaluate(start, all)
	assert.Equal(t, s.State(), Ejected)
	assert.Assert(t, s.Failing())
	m.Evaluate(start.Add(MinEjection), all)
	assert.Equal(t, s.State(), Probe)
	assert.Assert(t, s.Failing())
	answer(s, start.Add(MinEjection), 1, false)
	assert.Assert(t, !s.Failing())
}
