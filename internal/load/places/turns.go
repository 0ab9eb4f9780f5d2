package places

import (
	"math"
	"time"
)

// This file handles turns: at a crowded server, and without data of the fleet, each VM starts
// requests at its share of what the server completes. Turns that nobody used are kept up to
// one, and a start uses one up. All VMs together start as many requests as the server
// completes, plus what the load is below the target.

// creditTolerance makes up for rounding: a check at the time of the turn must not find that it
// is a nanosecond too early.
const creditTolerance = 1e-6

// turns counts the turns of a VM that are due. The zero value has counted none.
type turns struct {
	credit float64   // turns that are due, as of at
	at     time.Time // zero while starts are free
	until  time.Time // until then the credit is kept while starts are free
	phase  float64   // credit to begin with, 0 to 1
	due    time.Time // since when a turn is due; zero if none is
}

// begin begins to count. A VM that took turns a short time ago goes on with the credit that it
// had: free starts in between must not earn it another one.
func (c *turns) begin(now time.Time, phase float64) {
	if c.at.IsZero() {
		c.at = now
		if !now.Before(c.until) {
			c.credit = phase
		}
	}
	c.until = now.Add(MaxStarve)
}

// end ends the counting, because starts are free.
func (c *turns) end() { c.at = time.Time{} }

// restart takes back all credit beyond that with which turns begin.
func (c *turns) restart() {
	if c.credit > c.phase {
		c.credit, c.due = c.phase, time.Time{}
	}
}

// accrue adds the turns that have come due at a rate per second.
func (c *turns) accrue(now time.Time, rate float64) {
	if c.at.IsZero() || !c.at.Before(now) {
		return
	}
	c.add(now, rate*now.Sub(c.at).Seconds())
	c.at = now
}

func (c *turns) add(now time.Time, n float64) {
	c.credit = min(c.credit+n, maxCredit)
	c.mark(now)
}

// mark notes since when a turn is due.
func (c *turns) mark(now time.Time) {
	switch {
	case c.credit < 1-creditTolerance:
		c.due = time.Time{}
	case c.due.IsZero():
		c.due = now
	}
}

// pass gives up a turn that has been due for longer than keptTurn.
func (c *turns) pass(now time.Time) {
	c.mark(now)
	if !c.due.IsZero() && now.Sub(c.due) > keptTurn {
		c.use(now)
	}
}

func (c *turns) use(now time.Time) {
	c.credit, c.due = max(c.credit-1, 0), time.Time{}
	c.mark(now)
}

// wait returns the time until a start is due at a rate per second.
func (c *turns) wait(rate float64) time.Duration {
	if c.credit >= 1-creditTolerance {
		return 0
	}
	return max(time.Duration((1-c.credit)*float64(interval(rate))), time.Millisecond)
}

const (
	// correctionTime is the time in which turns make up for the difference between load and
	// target. Much shorter than a list's interval and age together, they would overshoot.
	correctionTime = 800 * time.Millisecond
	// successorShare is the part of a turn that an answer is worth to its VM, for requests
	// that may go to any server. Answers come as places become free, so with most turns tied
	// to them the load keeps still between two lists. The rest goes by share, so that shares
	// are kept over some ten answers.
	successorShare = 0.9
	// successorGain is what each request that the load is below the target adds to that.
	successorGain = 0.15
	// offeredShare is the part of the turns for keys that requests earn when they come; the
	// rest is earned by time. A VM with a request for an owner every few seconds would
	// otherwise keep turns that other VMs need.
	offeredShare = 0.75
	// answerAge is the age up to which a report is taken to have come with the answer that
	// has just ended.
	answerAge = 50 * time.Millisecond
	// maxCredit bounds the unused turns that a VM keeps for the keys of a server. With more,
	// VMs without requests for a while would together fill the server at once.
	maxCredit = 2.0
	// keptTurn is how long a VM keeps a turn for requests that may go to any server. It has
	// turns at the other servers meanwhile, and a VM that kept one at each of them would use
	// them all at the beginning of a burst.
	keptTurn = 100 * time.Millisecond
)

// turn returns how long it takes until this VM's turn, for a request for one of the server's
// keys or for one that may go to any server.
func (s *Server) turn(now time.Time, keyed bool) time.Duration {
	phase := s.turns.phase
	if !s.Known(now) && !s.demand.Exceeded(now) {
		phase = 1
	}
	s.turns.begin(now, phase)
	s.accrue(now)
	rate := s.rate(now, keyed)
	if !keyed && !s.keyed && (s.Known(now) || s.demand.Exceeded(now)) {
		s.turns.pass(now)
	}
	wait := s.turns.wait(rate)
	if age := s.age(now); age <= MaxAge && s.expected(now, age)+1 > float64(s.Held()-1) {
		return max(wait, interval(s.Completions()))
	}
	return wait
}

// earn adds what an answer is worth as a turn: the server has a place less, and this VM is the
// only one that knows already.
func (s *Server) earn(now time.Time) {
	if s.keyed || s.turns.at.IsZero() || s.age(now) > answerAge {
		return
	}
	s.accrue(now)
	s.turns.add(now, max(successorShare+successorGain*(s.target()-float64(s.load)), 0))
}

func (s *Server) accrue(now time.Time) {
	if !s.turns.at.IsZero() {
		s.turns.accrue(now, s.rate(now, !s.shared))
	}
}

// rate returns the turns per second of this VM: its share of the completions, and of what
// moves the load towards the target.
func (s *Server) rate(now time.Time, least bool) float64 {
	out := s.Completions()
	age := s.age(now)
	if age > MaxAge {
		even := out / float64(max(s.vms, 1))
		if least {
			even = max(even, 1/MaxStarve.Seconds())
		}
		return even
	}
	part := 1 - successorShare
	if s.keyed {
		part = 1
		if s.ratesKnown(now) {
			part = 1 - offeredShare
		}
	}
	return s.evenOrShare(now) * max(part*out+part*s.missing()/correctionTime.Seconds(), 0)
}

// missing returns how far the load is below the target, by the newest report and this VM's
// own requests since.
func (s *Server) missing() float64 {
	return s.target() - s.others - float64(max(s.inFlight-s.phantom, 0))
}

// interval returns the time between two events of a rate, at most MaxStarve.
func interval(rate float64) time.Duration {
	if rate*MaxStarve.Seconds() <= 1 {
		return MaxStarve
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}
