package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
	"hawthornfield.org/hawthornfield/internal/load/stall"
)

// This file handles attempts that a full server will not answer, see package stall. The
// verdict is asked for by whoever sends the request, which also decides what becomes of it;
// the gate supplies the inputs, the budget, and the slot.

const (
	// minHighFactor is the least ratio of the 95th percentile of service times to their mean.
	// The running estimate of the percentile starts at the first latency and rises by a
	// twentieth with each answer above it.
	minHighFactor = 2
	// unknownHighFactor is that ratio where no percentile is known, as for exponentially
	// distributed times.
	unknownHighFactor = 3
	// meanWorkInterval is how often the mean of the servers' service times is computed, as
	// often as fleet data changes.
	meanWorkInterval = 200 * time.Millisecond
)

// sentLoad is the load of a server when a request was sent there. The zero value is unknown.
type sentLoad struct {
	load  int
	age   time.Duration
	known bool
}

// meanWork is the mean service time at all servers of which fleet data is fresh.
type meanWork struct {
	mean time.Duration // zero if unknown
	at   time.Time     // when it was computed
}

// Stall returns what package stall needs to judge the attempt, which was sent at a time. The
// third result is false if the service's full servers are not known to be silent, or the
// permit was given back.
func (p Permit) Stall(sentAt time.Time) (stall.Attempt, stall.Server, bool) {
	if !p.silent {
		return stall.Attempt{}, stall.Server{}, false
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if !p.g.core.silent || !p.active() {
		return stall.Attempt{}, stall.Server{}, false
	}
	a, s := p.g.core.stallInputs(time.Now(), p.t, sentAt)
	return a, s, true
}

// MayStall reports whether the service's full servers were silent when the permit was given.
// It takes no lock.
func (p Permit) MayStall() bool { return p.silent }

// watches reports whether a started request is watched for an answer that will not come.
func (c *Core) watches(t *Ticket) bool {
	return c.silent && (c.cfg.SilentKeyed || t.Job.Server == "")
}

// Stalled records that the attempt is stalled and reports whether it may be ended now and
// repeated with [Permit.Retry], whose retry it charges. If not, or if mayRepeat is false, the
// attempt goes on without its slot, so that other requests can start; Done must still be
// called. Only the first call counts.
func (p Permit) Stalled(mayRepeat bool) (giveUp bool) {
	if p.g == nil {
		return false
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if !p.active() {
		return false
	}
	giveUp = p.g.core.Stalled(time.Now(), p.t, mayRepeat)
	p.g.notifyDecided()
	return giveUp
}

// Stalled handles a stalled attempt, see [Permit.Stalled].
func (c *Core) Stalled(now time.Time, t *Ticket, mayRepeat bool) (giveUp bool) {
	if t.state != stateStarted || t.stalled {
		return false
	}
	t.stalled = true
	c.stats.Stalled++
	if mayRepeat && c.MayRetry(now, t, Outcome{Kind: kinds.Unknown, Stalled: true}) {
		t.retryReserved = true
		return true
	}
	c.stats.StalledLeft++
	c.freeSlot(now, t)
	return false
}

// freeSlot counts an attempt as gone from its server, although it still has a connection.
func (c *Core) freeSlot(now time.Time, t *Ticket) {
	s := t.srv
	t.givenUp = true
	c.running--
	s.leave(now, t.sizeKind)
	s.givenUp++
	s.health.Abandoned()
	if s.removed {
		return
	}
	c.updateAvailable(now, s)
	c.dispatch(now, s)
}

// endGivenUp handles the end of an attempt whose slot was freed before. A late answer shows
// that the request was served, but its latency is that of a queue which nobody saw.
func (c *Core) endGivenUp(now time.Time, t *Ticket, o Outcome) {
	t.srv.givenUp--
	t.srv.connPool.Release(now)
	if o.Kind == kinds.None {
		t.srv.noteServed(t)
	}
}

// useReservedRetry reports whether the retry that was charged for a stalled attempt may be
// made after o.
func (c *Core) useReservedRetry(t *Ticket, o Outcome) bool {
	if o.Kind == kinds.None || o.Kind == kinds.Canceled {
		return false // Done refunds it
	}
	t.retryReserved = false
	c.stats.StalledRetried++
	return true
}

// refundRetry returns a retry that was charged for a stalled attempt and not made.
func (c *Core) refundRetry(t *Ticket) {
	if !t.retryReserved {
		return
	}
	t.retryReserved = false
	c.retryBudget.Refund()
	c.stats.Retries--
}

// connsFree returns how many connections to the server are not held by attempts that were
// given up. Without this, a request that starts in their place would wait for a connection.
func (s *server) connsFree(now time.Time) int { return max(s.connPool.Max(now)-s.givenUp, 0) }

// noteServed records that the server answered a request.
func (s *server) noteServed(t *Ticket) {
	if t.startedAt.After(s.newestServed) {
		s.newestServed = t.startedAt
	}
}

// freshEntry returns the fleet's entry of the server's current process and its age, and false
// if there is none that may be used.
func (s *server) freshEntry(now time.Time) (e fleet.Entry, age time.Duration, ok bool) {
	e, age, ok = s.fleet.fresh(now)
	return e, age, ok && e.Incarnation == s.info.Incarnation
}

// newestAnswer returns when the newest request was sent that the server's current process is
// known to have answered, to this VM or to another one. That stays true however old the
// fleet's entry is.
func (s *server) newestAnswer() time.Time {
	e := s.fleet.Entry
	if s.fleet.at.IsZero() || e.ServedAge <= 0 || e.Incarnation != s.info.Incarnation {
		return s.newestServed
	}
	if at := s.fleet.at.Add(-e.ServedAge); at.After(s.newestServed) {
		return at
	}
	return s.newestServed
}

// loadNow returns the newest load figure of the server: the fleet's if it is fresh, otherwise
// what the server last reported to this VM.
func (s *server) loadNow(now time.Time) sentLoad {
	var l sentLoad
	e, age, ok := s.freshEntry(now)
	switch {
	case ok && e.LoadAge > 0:
		l.load, l.age, l.known = e.Load, e.LoadAge+age, true
	case !s.reportedAt.IsZero():
		l.load, l.age, l.known = s.reportedLoad, now.Sub(s.reportedAt), true
	}
	l.load = max(l.load, s.running)
	return l
}

// stallInputs returns what is known of an attempt that was sent at a time, and of its server.
// Only facts about the process that it was sent to are used.
func (c *Core) stallInputs(now time.Time, t *Ticket, sentAt time.Time) (stall.Attempt, stall.Server) {
	c.detectPause(now)
	srv := t.srv
	inFlight := now.Sub(sentAt)
	a := stall.Attempt{
		InFlight: inFlight, Paused: inFlight - c.lastPause.activeTime(inFlight, sentAt), Left: t.Job.Deadline.Sub(now),
		LoadKnown: t.sentLoad.known, Load: t.sentLoad.load, LoadAge: t.sentLoad.age,
	}
	a.Mean, a.High = c.serviceTime(now, t)
	s := stall.Server{Slots: srv.info.Slots, Places: c.places}
	if t.incarnation != srv.info.Incarnation {
		return a, s
	}
	if e, _, ok := srv.freshEntry(now); ok {
		s.Fresh, s.Rate, s.Speed = true, e.Sent, c.speed(now, srv)
	}
	if served := srv.newestAnswer(); !served.IsZero() {
		s.ServedAge = max(now.Sub(served), 1)
	}
	return a, s
}

// SilentEvidence reports whether an attempt that ends with o shows that full servers do not
// answer, see [stall.Evidence]. It must be called before Done.
func (c *Core) SilentEvidence(now time.Time, t *Ticket, o Outcome) bool {
	if t.state != stateStarted || o.Kind != kinds.Unknown || o.Refused || o.PathLost {
		return false
	}
	return stall.Evidence(c.stallInputs(now, t, t.startedAt))
}

// serviceTime returns the expected service time of a request at normal speed, and a high
// value of it; zero if neither this VM nor the fleet knows enough answers.
func (c *Core) serviceTime(now time.Time, t *Ticket) (mean, high time.Duration) {
	if e := c.costOf(t); e.N >= minLatencySamples {
		return e.Mean, max(e.High, minHighFactor*e.Mean)
	}
	if c.answers[t.sizeKind] < minLatencySamples {
		mean = max(c.meanWork(now), time.Duration(c.avgLatency[t.sizeKind]*float64(time.Second)))
		if c.meanWork(now) == 0 {
			return 0, 0
		}
		return mean, unknownHighFactor * mean
	}
	mean = c.typicalLatency(t.sizeKind)
	if t.sizeKind != sizes.Short { // the running percentile is that of short requests
		return mean, unknownHighFactor * mean
	}
	return mean, max(c.retryBudget.HedgeAfter(), minHighFactor*mean)
}

// meanWork returns the mean service time at all servers, zero if unknown.
func (c *Core) meanWork(now time.Time) time.Duration {
	if !c.work.at.IsZero() && now.Sub(c.work.at) < meanWorkInterval {
		return c.work.mean
	}
	sum, n := time.Duration(0), 0
	for _, s := range c.servers {
		if e, _, ok := s.freshEntry(now); ok && e.Work > 0 {
			sum, n = sum+e.Work, n+1
		}
	}
	c.work = meanWork{at: now}
	if n > 0 {
		c.work.mean = sum / time.Duration(n)
	}
	return c.work.mean
}
