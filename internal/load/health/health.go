// Package health ejects backend servers that harm the requests they get, and brings them
// back step by step.
//
// The load pattern: one server is ten times slower, one stops answering while its
// connections stay open, one fails at once, one does this every few seconds, one has just
// started with empty caches. Health endpoints lag or mislead, so servers are judged by what
// this VM observes. Without ejection, a sixteenth of all requests meets the bad server. If
// ejection is hasty, an overload that slows all servers ejects one after another until the
// last one gets everything.
//
// A server is bad when half of its recent answers failed, when its average latency is
// several times the median of its peers, or when it has not answered for far longer than
// its answers take. At most a third of the servers are ejected at once. When more than half
// look bad, none is ejected: then the cause is this VM, its network or plain overload, and
// ejection would make it worse. After a pause an ejected server is probed with one request
// at a time. The pause doubles each time the server fails again, so that a flapping server
// soon gets few probes. A server that answers its probes gets its load back gradually.
package health

import (
	_ "embed"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

// Settings of the health checks.
const (
	// MinAnswers is the number of answers before a server is judged. Five are enough to
	// tell a failure rate of a half from one of a tenth in 9 of 10 cases.
	MinAnswers = 5
	// FailureThreshold is the part of recent answers whose failure makes a server bad.
	FailureThreshold = 0.5
	// SlowFactor is the multiple of the median latency of its peers that makes a server
	// bad. Four is more than random load on equal servers causes in averages of about ten
	// answers.
	SlowFactor = 4.0
	// StallFactor is the multiple of the expected latency without any answer after which a
	// server is stalled.
	StallFactor = 10
	// MinStall is the shortest time without any answer after which a server is stalled.
	MinStall = 100 * time.Millisecond
	// MinEjection is the first pause of an ejected server: the recovery time of 1 s that is
	// promised elsewhere.
	MinEjection = time.Second
	// MaxEjection is the longest pause of an ejected server.
	MaxEjection = 30 * time.Second
	// RampTime is how long a ramping server takes to reach its full load. 5 s is several
	// times the turnover of a server's working set at normal load.
	RampTime = 5 * time.Second
	// ProbeAnswers is the number of successive good answers that end the probing of a
	// server.
	ProbeAnswers = 3
	// CheckInterval is the time between two calls of [Monitor.Evaluate].
	CheckInterval = 100 * time.Millisecond
	// minRampWeight is the part of its normal load with which a server starts to ramp.
	minRampWeight = 0.1
	// smoothing is the weight of a new answer in the moving averages.
	smoothing = 0.2
	// ejectionDivisor bounds ejection: at most one in this many servers is ejected at once,
	// or one of two.
	ejectionDivisor = 3
	// ejectionReset is how long a server must be healthy until its next pause is
	// MinEjection again.
	ejectionReset = 60 * time.Second
)

//go:embed health.toml
var chartFile []byte

var states = chart.MustParse(chartFile)

// The states of a server, as in health.toml.
const (
	OK      chart.State = "ok"
	Ejected chart.State = "ejected"
	Probe   chart.State = "probe"
	Ramping chart.State = "ramp"
)

const (
	onBad    chart.Trigger = "bad"    // the server is judged bad, or fails a probe
	onCold   chart.Trigger = "cold"   // the server has just started
	onDue    chart.Trigger = "due"    // the pause of an ejected server is over
	onGood   chart.Trigger = "good"   // the server has answered its probes
	onPardon chart.Trigger = "pardon" // too many servers look bad for ejection
	onWarm   chart.Trigger = "warm"   // the ramp is over
)

// Server is the health of one backend server as this VM observes it. The zero value is a
// healthy server without any answers.
type Server struct {
	state           chart.State   // empty for OK
	since           time.Time     // when state was entered
	ejection        time.Duration // last pause
	latency         float64       // moving average, relative to a typical answer
	failureRate     float64       // moving average since state was entered
	attempts        int           // answers and failures since state was entered
	answersInRow    int           // since the last failure
	inFlight        int           // requests running there
	lastAnswer      time.Time     // last answer, or last request sent while none was running
	lastFailed      bool          // the last request failed
	expectedLatency time.Duration // longest typical latency of the running requests
}

// State returns the state of the server.
func (s *Server) State() chart.State {
	if s.state == "" {
		return OK
	}
	return s.state
}

// fire applies a trigger if the current state has a transition for it.
func (s *Server) fire(now time.Time, trigger chart.Trigger) {
	if !states.Can(s.State(), trigger) {
		return
	}
	next, err := states.Fire(s.State(), trigger)
	if err != nil {
		return
	}
	s.state, s.since = next, now
	s.attempts, s.answersInRow, s.failureRate = 0, 0, 0
}

// MarkCold records that the server has just started, so that its load ramps up.
func (s *Server) MarkCold(now time.Time) { s.fire(now, onCold) }

// Sent records that a request was sent to the server. The argument expect is how long a
// typical answer to such a request takes in this service.
func (s *Server) Sent(now time.Time, expect time.Duration) {
	if s.inFlight == 0 {
		if !s.lastFailed {
			s.lastAnswer = now
		}
		s.expectedLatency = 0
	}
	s.expectedLatency = max(s.expectedLatency, expect)
	s.inFlight++
}

// Abandoned records that a request ended without information about the server, because the
// caller canceled it or it was a hedge whose other attempt answered first.
func (s *Server) Abandoned() { s.inFlight-- }

// Done records an answer or a failure. The latency is relative to a typical answer of the
// same kind, so that long and short requests are judged together.
func (s *Server) Done(now time.Time, latency float64, failed bool) {
	s.inFlight--
	s.attempts++
	s.failureRate *= 1 - smoothing
	s.lastFailed = failed
	if failed {
		s.failureRate += smoothing
		s.answersInRow = 0
	} else {
		s.lastAnswer = now
		s.answersInRow++
		s.updateLatency(latency)
	}
	if s.State() == Probe {
		s.updateProbe(now, failed)
	}
}

func (s *Server) updateLatency(latency float64) {
	if s.latency == 0 || s.attempts <= 1 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) * smoothing
}

func (s *Server) updateProbe(now time.Time, failed bool) {
	switch {
	case failed:
		s.eject(now)
	case s.answersInRow >= ProbeAnswers:
		s.fire(now, onGood)
	}
}

// eject ejects the server for twice its last pause, or for MinEjection if it was healthy for
// ejectionReset.
func (s *Server) eject(now time.Time) {
	if s.State() == OK && now.Sub(s.since) > ejectionReset {
		s.ejection = 0
	}
	s.ejection = min(max(s.ejection*2, MinEjection), MaxEjection)
	s.fire(now, onBad)
}

// Failing reports whether recent attempts failed, so that the next one most likely will.
func (s *Server) Failing() bool {
	switch s.State() {
	case Ejected, Probe:
		return s.lastFailed
	default:
		return s.lastFailed && s.attempts >= MinAnswers && s.failureRate >= FailureThreshold
	}
}

// SilentFor returns how long a server with running requests has not answered; zero if none
// is running.
func (s *Server) SilentFor(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.lastAnswer)
}

// StalledFor returns how long a server has not answered if that is far longer than its
// answers take; zero otherwise.
func (s *Server) StalledFor(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	silent := now.Sub(s.lastAnswer)
	if silent < max(MinStall, s.expectedLatency*StallFactor) {
		return 0
	}
	return silent
}

// MaxRunning returns how many requests may run on the server now. The limit applies to a
// server that is neither ejected nor probed.
func (s *Server) MaxRunning(limit int) int {
	switch s.State() {
	case Ejected:
		return 0
	case Probe:
		return 1
	default:
		return limit
	}
}

// Weight returns the part of its normal load that the server should get now.
func (s *Server) Weight(now time.Time) float64 {
	if s.State() != Ramping {
		return 1
	}
	return min(max(float64(now.Sub(s.since))/float64(RampTime), minRampWeight), 1)
}

// isBad judges the server against the median latency of all servers.
func (s *Server) isBad(now time.Time, median float64) bool {
	if s.StalledFor(now) > 0 {
		return true
	}
	if s.attempts < MinAnswers {
		return false
	}
	return s.failureRate >= FailureThreshold || (median > 0 && s.latency > SlowFactor*median)
}

// Monitor judges the servers of one service together.
type Monitor struct {
	latencies []float64 // buffer of median
	ejected   int       // result of Ejected
	panic     bool      // result of Panic
}

// Ejected returns how many servers were ejected after the last call of Evaluate.
func (m *Monitor) Ejected() int { return m.ejected }

// Panic reports whether more than half of the servers looked bad in the last call of
// Evaluate, so that none is ejected.
func (m *Monitor) Panic() bool { return m.panic }

// Evaluate updates the states of all servers: it ejects, probes and ramps them. Call it
// about every [CheckInterval].
func (m *Monitor) Evaluate(now time.Time, servers []*Server) {
	median := m.median(servers)
	bad, ejected := m.countBad(now, servers, median)
	m.panic = len(servers) > 1 && 2*(bad+ejected) > len(servers)
	allowed := max(len(servers)/ejectionDivisor, 1)
	if len(servers) < 2 {
		allowed = 0
	}
	for _, s := range servers {
		switch {
		case m.panic:
			s.fire(now, onPardon)
		case s.State() == Ejected:
			s.probeIfDue(now)
		case s.isBad(now, median) && ejected < allowed:
			s.eject(now)
			ejected++
		default:
			s.endRampIfDue(now)
		}
	}
	m.ejected = m.countEjected(servers)
}

func (m *Monitor) median(servers []*Server) float64 {
	m.latencies = m.latencies[:0]
	for _, s := range servers {
		if s.attempts > 0 && s.latency > 0 {
			m.latencies = append(m.latencies, s.latency)
		}
	}
	if len(m.latencies) == 0 {
		return 0
	}
	slices.Sort(m.latencies)
	return m.latencies[(len(m.latencies)-1)/2]
}

func (m *Monitor) countBad(now time.Time, servers []*Server, median float64) (bad, ejected int) {
	for _, s := range servers {
		switch {
		case s.State() == Ejected || s.State() == Probe:
			ejected++
		case s.isBad(now, median):
			bad++
		}
	}
	return bad, ejected
}

func (m *Monitor) countEjected(servers []*Server) int {
	n := 0
	for _, s := range servers {
		if s.State() == Ejected {
			n++
		}
	}
	return n
}

// probeIfDue starts to probe an ejected server whose pause is over.
func (s *Server) probeIfDue(now time.Time) {
	if now.Sub(s.since) >= s.ejection {
		s.fire(now, onDue)
	}
}

func (s *Server) endRampIfDue(now time.Time) {
	if s.State() == Ramping && now.Sub(s.since) >= RampTime {
		s.fire(now, onWarm)
	}
}
