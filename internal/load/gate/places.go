package gate

import (
	"math"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/places"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// This file limits the requests that all VMs together have at one server, for services whose
// full servers answer nothing (package places). A request that any server can take uses a
// server below its limit, and is queued or refused as usual if there is none. A request for a
// key waits if this VM's turn at the owner comes within half of its slack, and is refused at
// once otherwise.

const (
	// rateWindow is the time over which offered requests are averaged, a half-life of 1 s as
	// for the fleet's rates.
	rateWindow = 1443 * time.Millisecond
	// shareWindow is the time over which the rates of this VM and of all VMs are averaged once
	// more before they are compared. Shorter, a VM with a few requests a second would get a
	// share that varies by half.
	shareWindow = 3 * time.Second
)

// minSeen is the least time over which requests are counted: the rate of a single one is
// unknown.
const minSeen = 500 * time.Millisecond

// minBurst is the least number of requests in a row that do not count as more than this VM's
// share: a VM with few requests a second has two at once by chance.
const minBurst = 3

// minShareFactor is the least share of this VM, as a part of an even one: callers that have
// just come to it are not in the average yet.
const minShareFactor = 0.25

// offerRate is a decaying average of offered requests. The zero value has seen none.
type offerRate struct {
	count float64
	at    time.Time
	since time.Time // the first request
}

func (r *offerRate) add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count, r.at = r.decayed(now)+1, now
}

func (r *offerRate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// perSecond returns the rate per second of a count of requests that decays with rateWindow.
func (r *offerRate) perSecond(now time.Time, count float64) float64 {
	if count <= 0 {
		return 0
	}
	seen := 1 - math.Exp(-max(now.Sub(r.since), minSeen).Seconds()/rateWindow.Seconds())
	return count / rateWindow.Seconds() / seen
}

func (r *offerRate) mean(now time.Time) float64 { return r.perSecond(now, r.decayed(now)) }

// atLeast returns a rate that is exceeded with some certainty, one standard deviation below
// the mean. The mean of few requests would give this VM more than its share of a server as
// often as less, and a VM uses the larger of two estimates.
func (r *offerRate) atLeast(now time.Time) float64 {
	n := r.decayed(now)
	return r.perSecond(now, n-math.Sqrt(n))
}

// placeLimits is the gate's state for the limits of all servers.
type placeLimits struct {
	demand places.Demand
	offers offerRate // requests that came to this VM
	own    float64   // their rate per second, averaged over shareWindow
	all    float64   // requests per second offered to all VMs, averaged alike
	asOf   time.Time // of own and all; zero if the fleet has stated no rates
	turnAt time.Time // the next turn at a server; zero if none is due
	turns  float64   // turns per second at all servers together
	phase  float64   // of this VM's turns, 0 to 1
}

// noteOffered counts a request that came to this VM.
func (c *Core) noteOffered(now time.Time, t *Ticket) {
	if t.Job.extraAttempt || !c.silent {
		return
	}
	c.limits.offers.add(now)
	if s := c.byName[t.Job.Server]; s != nil {
		s.offers.add(now)
		if s.placesOn {
			s.places.Offer(now)
		}
	}
	c.limits.demand.Add(now)
	c.takeTurns(now)
}

// ownShare returns this VM's part of the service's demand, an even one if the fleet's rates are
// too old: in a burst, this VM's own rate has grown since, and it would take several times its
// share.
func (c *Core) ownShare(now time.Time) float64 {
	even := 1 / float64(max(c.share.VMs, 1))
	if c.limits.all <= 0 || now.Sub(c.limits.asOf) > places.MaxAge {
		return even
	}
	return min(max(c.limits.own/c.limits.all, minShareFactor*even), 1)
}

// applyPlaces passes what the fleet knows to the limits.
func (c *Core) applyPlaces(now, at time.Time, list []fleet.Entry) {
	c.averageOffered(now, at)
	share := c.ownShare(now)
	for _, e := range list {
		s := c.byName[e.Server]
		if s == nil || s.info.Incarnation != e.Incarnation {
			continue
		}
		if e.LoadAge > 0 {
			s.places.Report(now, e.Load, now.Sub(at)+e.LoadAge)
		}
		all := max(e.Sent, e.Offered)
		s.places.SetShare(at, e.Sent, e.Offered, e.Work, max(share*all, s.offers.atLeast(now)), c.share.VMs)
	}
}

// averageOffered averages the demand of this VM and of all VMs in the same way: their quotient
// is then this VM's share also while the demand changes. With averages over different times,
// all VMs together take more than the servers complete when a burst begins.
func (c *Core) averageOffered(now, at time.Time) {
	l, own, all := &c.limits, c.limits.offers.mean(now), 0.0
	l.demand.SetBase(own)
	for _, s := range c.servers {
		all += max(s.fleet.Sent, s.fleet.Offered)
	}
	if l.asOf.IsZero() {
		l.own, l.all, l.asOf = all/float64(max(c.share.VMs, 1)), all, at
	}
	if l.asOf.Before(at) {
		weight := 1 - math.Exp(-at.Sub(l.asOf).Seconds()/shareWindow.Seconds())
		l.own, l.all, l.asOf = l.own+(own-l.own)*weight, l.all+(all-l.all)*weight, at
	}
}

// refreshPlaces brings the limits up to date with the servers and the number of VMs.
func (c *Core) refreshPlaces(now time.Time) {
	if !c.silent {
		for _, s := range c.servers {
			s.placesOn = false
		}
		return
	}
	rate, free, turns := 0.0, 0.0, 0.0
	for i, s := range c.servers {
		s.placesOn = c.cfg.SilentKeyed || c.ownerLookup == nil && s.ownLanes == nil
		s.places.SetCapacity(s.info.Slots, c.places)
		s.places.SetDefaults(s.workOr(c.typicalLatency(sizes.Short)), c.share.VMs)
		s.places.SetKeyed(s.ownLanes != nil)
		s.places.SetDemand(&c.limits.demand)
		s.places.SetPhase(turnPhase(c.limits.phase, i))
		if !s.info.Drain {
			rate += s.places.Completions()
			free += s.places.Free(now)
			turns += s.places.Rate(now)
		}
	}
	c.limits.turns = turns
	share := c.ownShare(now)
	c.limits.demand.Set(now, share*rate, max(share*free, minBurst))
}

// turnPhase spreads the first turns of a VM over the servers. The phases of VMs are random, as
// a VM does not know its index among them on every platform, so that each server gets their
// turns one after the other and not all at once.
func turnPhase(vm float64, server int) float64 {
	const golden = 0.6180339887498949 // multiples modulo 1 are spread evenly
	_, phase := math.Modf(vm + golden*float64(server))
	return phase
}

// workOr returns the processing time of one request, or a default.
func (s *server) workOr(d time.Duration) time.Duration {
	if s.workTime > 0 {
		return s.workTime
	}
	return d
}

// estimate returns the expected number of requests of all VMs at the server, and the age of
// the report that it comes from, see [places.Server.Estimate].
func (s *server) estimate(now time.Time) (n float64, age time.Duration) {
	return s.places.Estimate(now)
}

// atLimit reports whether a request for a key has to wait for this VM's turn.
func (s *server) atLimit(now time.Time) bool {
	return s.placesOn && s.noteTurn(now, s.places.Delay(now))
}

// atSharedLimit is like atLimit, for a request that may go to any server.
func (s *server) atSharedLimit(now time.Time) bool {
	if !s.placesOn {
		return false
	}
	delay := s.places.DelayShared(now)
	if s.ownLanes != nil {
		return delay > 0 // the next turn is that of the requests for its keys
	}
	return s.noteTurn(now, delay)
}

// crowded reports whether a further request has to wait for a turn.
func (s *server) crowded(now time.Time) bool {
	if s.ownLanes != nil {
		return s.atLimit(now)
	}
	return s.atSharedLimit(now)
}

func (s *server) noteTurn(now time.Time, delay time.Duration) bool {
	s.turnAt = time.Time{}
	if delay > 0 {
		s.turnAt = now.Add(delay)
	}
	return delay > 0
}

// allowed returns how many requests of this VM may run at the server by its adaptive limit,
// or by its places if the load there is known: a VM that has half of the callers needs more
// than the even share that the adaptive limit starts from.
func (s *server) allowed(now time.Time) int {
	n := s.limit[s.limitKind].Max()
	if s.placesOn && s.places.Known(now) {
		n = max(n, s.places.OwnPlaces(now))
	}
	return min(n, s.connsFree(now))
}

// scheduleTurn makes the next tick early enough for the server's next turn.
func (c *Core) scheduleTurn(now time.Time, s *server) {
	if s.turnAt.After(now) && (c.limits.turnAt.IsZero() || s.turnAt.Before(c.limits.turnAt)) {
		c.limits.turnAt = s.turnAt
	}
}

// takeTurns lets servers whose turn has come have requests.
func (c *Core) takeTurns(now time.Time) {
	if c.limits.turnAt.IsZero() || now.Before(c.limits.turnAt) {
		return
	}
	c.limits.turnAt = time.Time{}
	for _, s := range c.servers {
		// A queue without a turn was checked when the server had room again.
		if due := !s.turnAt.IsZero() || s.queued() > 0; due && !now.Before(s.turnAt) {
			c.updateAvailable(now, s)
			c.dispatch(now, s)
		}
		c.scheduleTurn(now, s)
	}
}

// nextTurn returns when a waiting request may get its turn; zero if none waits.
func (c *Core) nextTurn() time.Time {
	if c.waiting == 0 {
		return time.Time{}
	}
	return c.limits.turnAt
}

// turnInterval returns the time between two turns at any server, for requests that may go to
// any of them; zero while they need not take turns.
func (c *Core) turnInterval() time.Duration {
	if !c.silent || c.available.Len() > 0 || c.limits.turns <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / c.limits.turns)
}

// turnWait returns how long a further request for the owner's keys waits for its turn; zero if
// the owner is not at its limit.
func (s *server) turnWait(now time.Time) time.Duration {
	if !s.atLimit(now) {
		return 0
	}
	return s.places.Delay(now) + time.Duration(s.queued())*s.places.Interval(now)
}

// comesTooLate reports whether a wait is more than a request can spare.
func (c *Core) comesTooLate(now time.Time, t *Ticket, wait time.Duration) bool {
	slack := t.Job.Deadline.Sub(now) - deadlineMargin*c.typicalLatency(t.sizeKind)
	return float64(wait) > float64(slack)*maxWaitFraction
}

// refusePlaces refuses a request whose turn comes too late.
func (c *Core) refusePlaces(t *Ticket, wait time.Duration) Verdict {
	c.stats.RefusedPlaces++
	return c.refuse(t, kinds.Busy, c.retryNotBefore(wait))
}
