// Package health takes servers out that harm the requests they get, and brings
// them back step by step.
//
// The load pattern: one server is ten times slower, one stops answering while
// its connections stay open, one fails at once, one does this every few
// seconds, one has just started with empty caches. Health endpoints lag or
// mislead, so what counts is what callers observe here. Without ejection, a
// sixteenth of all requests meets the bad server; with hasty ejection, an
// overload that slows all servers takes them out one after another until the
// last one gets everything.
//
// A server is bad when half its recent answers failed, when its average latency
// is several times the median of its peers, or when nothing has come back from
// it for far longer than its answers take. At most a third are ejected at once,
// and when more than half look bad nobody is: then the cause is this VM, its
// network or plain overload, and taking servers out makes it worse. An ejected
// server is tried with one request after a pause, which doubles each time it
// fails again (a flapping server is soon left alone), then ramps up.
//
// Grounds: five answers are enough to tell half from a tenth failing in 9 of 10
// cases; four times the median is beyond what random load on equal servers
// gives with averages of about ten answers. Pauses run from 1 s, the recovery
// time promised elsewhere, to 30 s. The ramp takes 5 s, several times the
// turnover of a server's working set at normal load.
package health

import (
	_ "embed"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

// Settings, with their grounds in the package comment.
const (
	Enough        = 5   // answers before a judgement
	FailShare     = 0.5 // of recent answers
	SlowTimes     = 4.0 // of the peers' median latency
	Frozen        = 10  // of the own latency, without any answer
	MinFrozen     = 100 * time.Millisecond
	FirstOut      = time.Second            // first pause
	LastOut       = 30 * time.Second       // longest pause
	Ramp          = 5 * time.Second        // until full load
	Probes        = 3                      // good answers that end a probe
	CheckInterval = 100 * time.Millisecond // between judgements
	minWeight     = 0.1
	follow        = 0.2
	maxShare      = 3                // one in this many may be ejected
	forgive       = 60 * time.Second // without ejection, until the pause starts afresh
)

//go:embed health.toml
var chartFile []byte

var states = chart.MustParse(chartFile)

// The states of health.toml.
const (
	OK      chart.State = "ok"
	Ejected chart.State = "ejected"
	Probe   chart.State = "probe"
	Ramping chart.State = "ramp"
)

const (
	onBad    chart.Trigger = "bad"
	onCold   chart.Trigger = "cold"
	onDue    chart.Trigger = "due"
	onGood   chart.Trigger = "good"
	onPardon chart.Trigger = "pardon"
	onWarm   chart.Trigger = "warm"
)

// Server is the health of one backend server as this VM observes it. The zero
// value is a healthy server that nothing is known of.
type Server struct {
	state   chart.State
	since   time.Time
	out     time.Duration // last pause
	latency float64
	fails   float64
	n       int
	good    int
	running int
	heard   time.Time     // last answer, or last start with nothing running
	lost    bool          // the last request came to nothing
	expect  time.Duration // longest typical answer among those running
}

// State returns the state of the chart.
func (s *Server) State() chart.State {
	if s.state == "" {
		return OK
	}
	return s.state
}

func (s *Server) fire(now time.Time, on chart.Trigger) {
	if !states.Can(s.State(), on) {
		return
	}
	next, err := states.Fire(s.State(), on)
	if err != nil {
		return
	}
	s.state, s.since = next, now
	s.n, s.good, s.fails = 0, 0, 0
}

// MarkCold notes that the server has just started: it gets load in steps.
func (s *Server) MarkCold(now time.Time) { s.fire(now, onCold) }

// Sent notes that a request was sent to it, and how long a typical answer to
// such a request takes on this service.
func (s *Server) Sent(now time.Time, expect time.Duration) {
	if s.running == 0 {
		if !s.lost {
			s.heard = now
		}
		s.expect = 0
	}
	s.expect = max(s.expect, expect)
	s.running++
}

// Abandoned notes that a request ended without saying anything about the server,
// because the caller went away or a hedge lost.
func (s *Server) Abandoned() { s.running-- }

// Done takes in an answer or a failure. The latency is relative to a typical
// answer of the same kind, so that long and short requests can be judged
// together.
func (s *Server) Done(now time.Time, latency float64, failed bool) {
	s.running--
	s.n++
	s.fails *= 1 - follow
	s.lost = failed
	if failed {
		s.fails += follow
		s.good = 0
	} else {
		s.heard = now
		s.good++
		s.blend(latency)
	}
	if s.State() == Probe {
		s.probed(now, failed)
	}
}

func (s *Server) blend(latency float64) {
	if s.latency == 0 || s.n <= 1 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) * follow
}

func (s *Server) probed(now time.Time, failed bool) {
	switch {
	case failed:
		s.eject(now)
	case s.good >= Probes:
		s.fire(now, onGood)
	}
}

func (s *Server) eject(now time.Time) {
	if s.State() == OK && now.Sub(s.since) > forgive {
		s.out = 0
	}
	s.out = min(max(s.out*2, FirstOut), LastOut)
	s.fire(now, onBad)
}

// Failing reports whether its recent attempts came to nothing, so that the next
// one will too, most likely.
func (s *Server) Failing() bool {
	switch s.State() {
	case Ejected, Probe:
		return s.lost
	default:
		return s.lost && s.n >= Enough && s.fails >= FailShare
	}
}

// SilentFor is for how long nothing has come back from a server that has requests
// to answer.
func (s *Server) SilentFor(now time.Time) time.Duration {
	if s.running == 0 {
		return 0
	}
	return now.Sub(s.heard)
}

// StalledFor is for how long nothing has come back although something should have;
// zero when all is well.
func (s *Server) StalledFor(now time.Time) time.Duration {
	if s.running == 0 {
		return 0
	}
	silent := now.Sub(s.heard)
	if silent < max(MinFrozen, s.expect*Frozen) {
		return 0
	}
	return silent
}

// MaxRunning is how many requests may run there now, given its limit.
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

// Weight is the part of its normal load that the server should get now.
func (s *Server) Weight(now time.Time) float64 {
	if s.State() != Ramping {
		return 1
	}
	return min(max(float64(now.Sub(s.since))/float64(Ramp), minWeight), 1)
}

// bad judges the server against the median latency of all.
func (s *Server) bad(now time.Time, median float64) bool {
	if s.StalledFor(now) > 0 {
		return true
	}
	if s.n < Enough {
		return false
	}
	return s.fails >= FailShare || (median > 0 && s.latency > SlowTimes*median)
}

// Monitor judges the servers of one service together.
type Monitor struct {
	latencies []float64
	ejected   int
	panic     bool
}

// Ejected is how many servers were out after the last judgement.
func (p *Monitor) Ejected() int { return p.ejected }

// Panic reports whether more than half looked bad at the last judgement, so
// that none is ejected.
func (p *Monitor) Panic() bool { return p.panic }

// Evaluate moves every server along its chart: ejects, probes, ramps. Call it
// about every [CheckInterval].
func (p *Monitor) Evaluate(now time.Time, servers []*Server) {
	median := p.median(servers)
	bad, out := p.count(now, servers, median)
	p.panic = len(servers) > 1 && 2*(bad+out) > len(servers)
	room := max(len(servers)/maxShare, 1)
	if len(servers) < 2 {
		room = 0
	}
	for _, s := range servers {
		switch {
		case p.panic:
			s.fire(now, onPardon)
		case s.State() == Ejected:
			s.due(now)
		case s.bad(now, median) && out < room:
			s.eject(now)
			out++
		default:
			s.warm(now)
		}
	}
	p.ejected = p.out(servers)
}

func (p *Monitor) median(servers []*Server) float64 {
	p.latencies = p.latencies[:0]
	for _, s := range servers {
		if s.n > 0 && s.latency > 0 {
			p.latencies = append(p.latencies, s.latency)
		}
	}
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[(len(p.latencies)-1)/2]
}

func (p *Monitor) count(now time.Time, servers []*Server, median float64) (bad, out int) {
	for _, s := range servers {
		switch {
		case s.State() == Ejected || s.State() == Probe:
			out++
		case s.bad(now, median):
			bad++
		}
	}
	return bad, out
}

func (p *Monitor) out(servers []*Server) int {
	n := 0
	for _, s := range servers {
		if s.State() == Ejected {
			n++
		}
	}
	return n
}

func (s *Server) due(now time.Time) {
	if now.Sub(s.since) >= s.out {
		s.fire(now, onDue)
	}
}

func (s *Server) warm(now time.Time) {
	if s.State() == Ramping && now.Sub(s.since) >= Ramp {
		s.fire(now, onWarm)
	}
}
