package gate

import (
	"math"
	"time"
)

// Settings of the servers' speeds.
const (
	// paceInterval is how often the speeds are computed anew: as often as the fleet's list
	// changes.
	paceInterval = 200 * time.Millisecond
	// paceAnswers is how many answers the lasting slowness of a server is averaged over; its
	// error is then about a seventh. It begins as if priorAnswers had shown a server of the
	// mean speed.
	paceAnswers  = 40
	priorAnswers = 5
	// ownSmoothing is the weight of one own answer, whose error is about the mean.
	ownSmoothing = 0.05
	// A server can become three times slower for 0.4 s. An own answer that took slowRatio
	// times what was expected there, or more, shows such a time; less is as often chance, and
	// one request in a hundred takes as long anywhere. So it makes the server count as half as
	// fast and not as a third, and counts half after slowHalfLife: on average, half of the
	// time is over when the answer comes.
	slowRatio    = 3.0
	slowFactor   = 2.0
	slowHalfLife = 150 * time.Millisecond
	// Bounds of a speed, relative to the mean of the service.
	minSpeed = 0.35
	maxSpeed = 2.0
)

// serverPace is how fast a server works. The zero value is the speed of the service.
type serverPace struct {
	slowness float64   // lasting service time over that of the service; zero means 1
	answers  float64   // that slowness is based on, up to paceAnswers
	fleetAt  time.Time // when the newest fleet entry used held; zero if there was none
	// usualBacklog is the mean number of requests at the servers of which the fleet knows it.
	// A server that has not answered for a while would otherwise look idle.
	usualBacklog float64
	slowAt       time.Time // when the last own answer came, if it was slow; otherwise zero
}

// servicePace is what the servers of a service have in common.
type servicePace struct {
	updatedAt time.Time
	mean      float64 // of the servers' slowness; zero before the first update
	known     bool    // the fleet knows the load of half of the servers or more
}

func (p *serverPace) lasting() float64 {
	if p.slowness == 0 {
		return 1
	}
	return p.slowness
}

// observe records an own answer, by its service time over the one expected on a server of
// speed 1. The argument mean is that of the service's servers.
func (p *serverPace) observe(now time.Time, ratio, mean float64) {
	ratio *= max(mean, minSpeed)
	over := ratio / p.lasting()
	p.slowAt = time.Time{}
	if over >= slowRatio {
		p.slowAt = now
	}
	if now.Sub(p.fleetAt) > maxFleetAge {
		p.slowness = p.lasting() * (1 + (min(over, slowRatio)-1)*ownSmoothing)
	}
}

// current returns the slowness now.
func (p *serverPace) current(now time.Time) float64 {
	if p.slowAt.IsZero() {
		return p.lasting()
	}
	left := math.Exp2(-now.Sub(p.slowAt).Seconds() / slowHalfLife.Seconds())
	return p.lasting() * (1 + (slowFactor-1)*left)
}

// speed returns the speed of a server, relative to the mean of the service.
func (c *Core) speed(now time.Time, s *server) float64 {
	mean := c.completion.paces.mean
	if mean == 0 {
		mean = 1
	}
	return min(max(mean/s.pace.current(now), minSpeed), maxSpeed)
}

// updatePaces takes the servers' service times from the fleet's entries.
func (c *Core) updatePaces(now time.Time) {
	p := &c.completion.paces
	if !p.updatedAt.IsZero() && now.Sub(p.updatedAt) < paceInterval {
		return
	}
	p.updatedAt = now
	mean := c.meanFleetWork(now)
	sum, known, backlog := 0.0, 0, 0.0
	for _, s := range c.servers {
		if _, ok := s.fleetLoad(now); ok {
			known++
			backlog += s.backlog(now)
		}
		if e, _, ok := s.fleet.fresh(now); ok && e.Work > 0 && s.fleet.at.After(s.pace.fleetAt) {
			s.pace.apply(s.fleet.at, e.Work.Seconds()/mean, min(e.Sent, 100)*paceInterval.Seconds())
		}
		sum += s.pace.lasting()
	}
	p.mean = sum / float64(max(len(c.servers), 1))
	p.known = known*2 >= len(c.servers)
	for _, s := range c.servers {
		s.pace.usualBacklog = backlog / float64(max(known, 1))
	}
}

// apply records the service time of a server, over the mean of all servers, that the fleet
// knows.
func (p *serverPace) apply(at time.Time, ratio, n float64) {
	p.fleetAt = at
	p.answers = min(max(p.answers, priorAnswers)+n, paceAnswers)
	p.slowness = p.lasting() + (ratio-p.lasting())*n/p.answers
}

// meanFleetWork returns the mean over the servers of the service time that the fleet knows, in
// seconds; zero if it knows none.
func (c *Core) meanFleetWork(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, s := range c.servers {
		if e, _, ok := s.fleet.fresh(now); ok && e.Work > 0 {
			sum += e.Work.Seconds()
			n++
		}
	}
	return sum / float64(max(n, 1))
}
