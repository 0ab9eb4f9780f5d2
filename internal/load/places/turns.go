package places

import (
	"math"
	"time"
)

// This file handles turns: at a crowded server, and without data of the fleet, each VM starts
// requests at its share of what the server completes. Turns that nobody used are kept up to
// one, and a start uses one up. All VMs together start as many requests as the server
// completes, plus what the load is below the target.

// maxCredit bounds the unused turns that a VM keeps. With more, VMs without requests for a
// while would together fill the server at once.
const maxCredit = 1.0

// turn returns how long it takes until this VM's turn. The argument least asks for the least
// rate of a VM that knows nothing.
func (s *Server) turn(now time.Time, least bool) time.Duration {
	s.begin(now)
	s.accrue(now)
	s.turnsUntil = now.Add(MaxStarve)
	age := s.age(now)
	if age <= MaxAge && s.expected(now, age)+1 > float64(s.held()-1) {
		return max(s.waitFor(now, least), interval(s.completions()))
	}
	return s.waitFor(now, least)
}

// waitFor returns the time until the credit suffices for a start.
func (s *Server) waitFor(now time.Time, least bool) time.Duration {
	if s.credit >= 1-creditTolerance {
		return 0
	}
	return max(time.Duration((1-s.credit)*float64(interval(s.rate(now, least)))), time.Millisecond)
}

// creditTolerance makes up for rounding: a check at the time of the turn must not find that it
// is a nanosecond too early.
const creditTolerance = 1e-6

// begin sets the credit with which turns begin. A VM that has some already, from turns a short
// time ago, goes on with it.
func (s *Server) begin(now time.Time) {
	if now.Before(s.turnsUntil) {
		return
	}
	s.credit, s.creditAt = s.phase, now
	if s.age(now) > MaxAge && !s.demand.Exceeded(now) {
		s.credit = 1
	}
	s.turnsUntil = now.Add(MaxStarve)
}

// accrue adds the turns that have come due.
func (s *Server) accrue(now time.Time) {
	if now.Before(s.turnsUntil) && s.creditAt.Before(now) {
		s.credit = min(s.credit+s.rate(now, true)*now.Sub(s.creditAt).Seconds(), maxCredit)
	}
	if s.creditAt.Before(now) {
		s.creditAt = now
	}
}

// rate returns the turns per second of this VM: its share of the completions, and of what
// moves the load towards the target.
func (s *Server) rate(now time.Time, least bool) float64 {
	out := s.completions()
	age := s.age(now)
	if age > MaxAge {
		even := out / float64(max(s.vms, 1))
		if least {
			even = max(even, 1/MaxStarve.Seconds())
		}
		return even
	}
	missing := s.target() - s.expected(now, age)
	return s.evenOrShare(now) * max(out+missing/correctionTime.Seconds(), 0)
}

// interval returns the time between two events of a rate, at most MaxStarve.
func interval(rate float64) time.Duration {
	if rate*MaxStarve.Seconds() <= 1 {
		return MaxStarve
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}
