// Package stall detects attempts whose response will not arrive.
//
// The load pattern: a server with 2 slots and 8 queue places never answers a request that it
// has no place for. Its caller then waits for the whole timeout, and the request occupies a
// slot of this VM, although other servers are free. A server that is slow or has a long queue
// looks the same from outside. But a server works its queue in order of arrival: if it has
// answered a request that was sent later, this one is either running or lost, and it does not
// run for much longer than its service time.
//
// The functions here are pure: they are passed what is known of one attempt and its server.
package stall

import "time"

// Settings of the verdict.
const (
	// LaterBy is how much later a request must have been sent to prove that its server has
	// passed over an earlier one. It covers different times on the network and the transit of
	// fleet data, which lets an age appear too short.
	LaterBy = 50 * time.Millisecond
	// HighFactor is how many times the high value (95th percentile) of the service time an
	// attempt may run. 1 to 3 in 100 requests take 3 to 7 times the mean, and servers are
	// three times as slow at times.
	HighFactor = 3
	// MaxLoadAge is the greatest age of a load figure that is used; a queue of 8 places fills
	// and drains within about a second.
	MaxLoadAge = time.Second
	// slowFactor and slowTime bound how a server's speed varies: it can fall to a third for
	// 0.4 s.
	slowFactor = 3
	slowTime   = 400 * time.Millisecond
	// unknownSpeed is assumed of a server whose speed is not known: the slowest servers have
	// half of the usual speed.
	unknownSpeed = 0.5
	// recheckInterval is the time between checks of an attempt that is overdue but not
	// stalled. Fleet data changes every 200 ms.
	recheckInterval = 100 * time.Millisecond
)

// Verdict says whether to keep waiting for a response.
type Verdict uint8

// The verdicts.
const (
	Waiting Verdict = iota // the response may still arrive
	Stall                  // it will not arrive
)

// Attempt is one unanswered attempt.
type Attempt struct {
	InFlight time.Duration // since it was sent
	Paused   time.Duration // part of InFlight in which this VM did not run and read no responses
	Left     time.Duration // until the deadline that the server was told
	// LoadKnown says that Load requests ran and waited at the server when the attempt was
	// sent, according to a figure that was LoadAge old then.
	LoadKnown bool
	Load      int
	LoadAge   time.Duration
	Mean      time.Duration // expected service time at normal speed; zero if unknown
	High      time.Duration // its 95th percentile
}

// Server is what is known of the server of an attempt. The zero value is a server of which
// nothing is known.
type Server struct {
	Slots  int     // requests that it processes concurrently
	Places int     // requests that it holds, running and waiting; zero if unknown
	Speed  float64 // relative to the service's mean; zero if unknown
	Rate   float64 // requests per second sent to it by all VMs; zero if unknown
	Fresh  bool    // fleet data of the server is fresh
	// ServedAge is the time since the newest answered request was sent; zero if none is known.
	ServedAge time.Duration
}

// Stalled decides whether the response of an attempt will not arrive. Otherwise it returns
// when to check again.
func Stalled(a Attempt, s Server) (verdict Verdict, again time.Duration) {
	limit, known := a.limit(s)
	active := a.InFlight - a.Paused
	switch {
	case !known:
		return Waiting, recheckInterval
	case active <= limit:
		return Waiting, limit - active + time.Millisecond
	case s.servedLater(a), !s.Fresh && s.Places > 0 && active > a.overdueAfter(s, s.Places-1):
		return Stall, 0
	}
	return Waiting, recheckInterval
}

// Evidence reports whether an attempt that ended shows that full servers do not answer: it
// was unanswered at the deadline that its server was told, although the server answered a
// request that was sent later. A server that runs or queues a request answers by then.
func Evidence(a Attempt, s Server) bool {
	return a.Left <= 0 && s.servedLater(a)
}

// servedLater reports whether the server has answered a request that was sent later.
func (s Server) servedLater(a Attempt) bool {
	return s.ServedAge > 0 && a.InFlight-s.ServedAge >= LaterBy
}

// limit returns how long the attempt can take, and false if that is not known.
func (a Attempt) limit(s Server) (time.Duration, bool) {
	switch {
	case a.Mean <= 0 || s.Places <= 0 && !a.LoadKnown:
		return 0, false
	case !a.LoadKnown || a.LoadAge > MaxLoadAge:
		return a.overdueAfter(s, s.Places-1), s.Places > 0
	}
	// All requests that were sent since the load was reported may be ahead of this one.
	ahead := a.Load + int(s.Rate*a.LoadAge.Seconds()+1)
	if s.Places > 0 {
		ahead = min(ahead, s.Places-1)
	}
	return a.overdueAfter(s, ahead), true
}

// overdueAfter returns how long the attempt can take with that many requests ahead of it.
func (a Attempt) overdueAfter(s Server, ahead int) time.Duration {
	slots, speed := max(s.Slots, 1), s.Speed
	if speed <= 0 {
		speed = unknownSpeed
	}
	turns := max(ahead, 0) / slots // how often each slot must be freed, rounded up
	wait := time.Duration(float64(turns) * float64(a.Mean) / speed)
	return slowed(wait) + time.Duration(HighFactor*float64(a.High)/speed)
}

// slowed returns the longest time that takes d at normal speed.
func slowed(d time.Duration) time.Duration {
	return min(slowFactor*d, d+slowTime-slowTime/slowFactor)
}
