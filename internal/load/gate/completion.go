package gate

import (
	"math"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/cost"
	"hawthornfield.org/hawthornfield/internal/load/pick"
)

// This file chooses servers by expected completion time for services whose full servers answer
// nothing, see docs/design/cost.md.

// Network delays added to the expected time of completion.
const (
	remoteDelay  = 2 * time.Millisecond // to another data centre: 1 to 3 ms
	connectDelay = time.Millisecond     // to open a connection
)

// remoteSavings is the part of the latency target that a server in another data centre must
// save. Its bytes are paid for, and a tenth of the target is about the time that one request
// less in a queue saves.
const remoteSavings = 10

// Expectation is the expected completion of a request on the server that was chosen for it.
type Expectation struct {
	Time time.Duration // until the answer; zero if the server was not chosen by it
	// BasisAge is the age of the report of the server's load that it is based on; zero if
	// there was none, and only the requests of this VM are known.
	BasisAge time.Duration
}

// completion holds what the choice by expected completion time needs of a service.
type completion struct {
	costs    cost.Book
	paces    servicePace
	maxSlots int

	// Of the request being placed; fields so that the functions below do not allocate.
	now        time.Time
	cost, mean float64 // in seconds
	candidates int
	// weight is the relative probability of a server to be compared: its slots, and the part of
	// its normal load that it should get. Its speed is left to the comparison: weighted by
	// speed as well, VMs that have the same data hung more requests at the fast servers.
	weight   func(i int) float64
	expected func(i int) float64 // time until the request is completed there, in seconds
}

func (p *completion) init(c *Core) {
	p.candidates = pick.Candidates
	p.weight = func(i int) float64 {
		s := c.servers[i]
		slots := float64(max(s.info.Slots, 1))
		if s.load.Weight > 0 {
			return slots * s.load.Weight
		}
		return slots
	}
	p.expected = func(i int) float64 {
		s := c.servers[i]
		return c.expectedSeconds(s, math.Sqrt(c.speed(p.now, s)))
	}
}

// knowsFleet reports whether the fleet knows the load of half of the servers or more. If not,
// servers are chosen as for other services: what this VM has seen itself is too old to tell
// where slots are free, and a server that it has not heard of lately would look idle.
func (c *Core) knowsFleet(now time.Time) bool {
	c.updatePaces(now)
	return c.completion.paces.known
}

// chooseCompletion returns the index of the available server on which the request is expected
// to be completed first. A server of this data centre is taken unless another one saves
// enough.
func (c *Core) chooseCompletion(now time.Time, t *Ticket, skip int) int {
	p := &c.completion
	p.now = now
	p.cost, p.mean = c.costOf(t).Mean.Seconds(), p.costs.Service().Mean.Seconds()
	most := float64(max(p.maxSlots, 1))
	best, took := c.available.ChooseFirst(c.rng, p.candidates, skip, most, p.weight, p.expected)
	if c.cfg.Centre != "" && c.isRemote(best) {
		local, localTook := c.availableLocal.ChooseFirst(c.rng, p.candidates, skip, most, p.weight, p.expected)
		if local >= 0 && local != skip && !t.Job.paysToLeave(localTook, took) {
			best = local
		}
	}
	if best >= 0 {
		s := c.servers[best]
		expected := c.expectedSeconds(s, c.speed(now, s))
		t.expect = Expectation{time.Duration(expected * float64(time.Second)), s.backlogAge(now)}
	}
	return best
}

// paysToLeave reports whether the time to completion, in seconds, is so much shorter in
// another data centre that the request is sent there. Large bodies and requests without a
// latency target go by the factors that hold for other services.
func (j *Job) paysToLeave(local, remote float64) bool {
	if j.LatencyTarget <= 0 || j.Bytes >= bulkBytes {
		return local > remote*localPreferenceFor(j.Bytes)
	}
	return local-remote >= j.LatencyTarget.Seconds()/remoteSavings
}

func (c *Core) isRemote(i int) bool { return i >= 0 && c.servers[i].info.Centre != c.cfg.Centre }

// expectedSeconds returns the expected time until the request being placed is completed on a
// server of a speed. Failures count as in [pick.Load.Score]: a server that fails at once has no backlog.
func (c *Core) expectedSeconds(s *server, speed float64) float64 {
	p := &c.completion
	delay := time.Duration(0)
	if c.cfg.Centre != "" && s.info.Centre != c.cfg.Centre {
		delay += remoteDelay
	}
	if c.isCold(p.now, s.idx) {
		delay += connectDelay
	}
	done := pick.Completion{
		Backlog: s.backlog(p.now), Mean: p.mean, Cost: p.cost,
		Slots: s.info.Slots, Speed: speed, Delay: delay.Seconds(),
	}
	return done.Seconds() * (1 + pick.FailurePenalty*s.load.FailureRate())
}

// costOf returns the estimated service time of a request on a server of speed 1.
func (c *Core) costOf(t *Ticket) cost.Estimate {
	return c.completion.costs.EstimateRequest(t.Job.costRequest())
}

func (j *Job) costRequest() cost.Request {
	return cost.Request{Rule: j.Rule, Key: j.Key, Size: j.Size, Caller: j.Caller}
}

// observeCost records the service time of an answered request; without an estimate of it, its
// latency.
func (c *Core) observeCost(now time.Time, s *server, t *Ticket, work, took time.Duration) {
	if work <= 0 {
		work = took
	}
	c.updatePaces(now)
	expected := c.costOf(t)
	if expected.N > 0 {
		s.pace.observe(now, work.Seconds()/expected.Mean.Seconds(), c.completion.paces.mean)
	}
	c.completion.costs.ObserveRequest(now, t.Job.costRequest(), work, c.speed(now, s))
}
