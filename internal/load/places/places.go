// Package places limits how many requests all entry VMs together have in flight at one
// backend server.
//
// The load pattern: a server has 2 to 4 slots and 8 to 16 queue places, and never answers a
// request that finds neither free. Sixty VMs send to it, each of them one request every 3 to
// 20 s, so no VM's own view shows that the server is filling up, and in a burst they overfill
// it together while other servers have free slots.
//
// [Server] estimates how many requests are at a server now: the newest load report, this VM's
// own requests since then, which are known exactly, and what the other VMs are expected to
// have sent, less what the server has completed. While the estimate is below the places less
// a reserve and the fleet's demand is below what the server completes, requests start freely.
// Otherwise each VM starts requests at its share of the completion rate, raised or lowered so
// that the load approaches a target. [Demand] notices a burst before the fleet's data shows
// it, from the requests of this VM at all servers.
package places

import (
	"math"
	"time"
)

// Settings of the limit.
const (
	// MaxAge is the age from which a report and the fleet's rates are not used any more: a
	// server with 4 slots completes some 30 requests a second, and so turns over all its
	// places twice in that time.
	MaxAge = time.Second
	// MaxStarve is the longest interval between two starts of a VM that knows nothing of the
	// server's load.
	MaxStarve = 2 * time.Second
	// unknownQueueFactor is the number of queue places per slot assumed if the places are
	// not known; the known deployments have 2 to 4.
	unknownQueueFactor = 2
	// reserveFactor is the reserve in standard deviations of the number of requests that can
	// have arrived since the report.
	reserveFactor = 1.0
	// keyedReserve multiplies the reserve of the target for servers that own keys: their turns
	// do not follow answers, so their load varies more.
	keyedReserve = 1.5
	// usualAge is the age for which the target of a crowded server holds a reserve: lists
	// come every 0.3 to 0.5 s, and the reports in them are some 0.1 s old.
	usualAge = 500 * time.Millisecond
	// contendedShare is the part of the completion rate from which the offered requests count
	// as more than the server can take. VMs then hold queued requests, which would all be
	// started on the same report of a free place.
	contendedShare = 0.9
	// minShareFactor is the least share of a VM, as a part of an even one: a VM whose first
	// callers have just come has no measured share yet.
	minShareFactor = 0.25
	// defaultWork is the service time assumed until one is known.
	defaultWork = 100 * time.Millisecond
)

// Server is the limit of one server. The zero value knows nothing and allows one request.
// It is not safe for concurrent use, and times must not go back.
type Server struct {
	slots, places int
	keyed         bool // it serves requests for keys that it owns
	shared        bool // it serves none of these, so the least rate does not hold
	demand        *Demand

	load       int       // requests there, by the newest report
	reportedAt time.Time // when the server wrote it; zero if there was none
	others     float64   // part of load that other VMs sent
	phantom    int       // own requests in flight that the server does not hold

	offered  float64       // requests per second that all VMs offer
	share    float64       // this VM's part of them
	work     time.Duration // mean service time
	vms      int
	sharedAt time.Time // when the rates held; zero if never

	inFlight      int
	starts, dones history

	turns turns
}

// SetCapacity sets what the server holds; zero places are unknown. Places are learned from
// load reports, and the highest one may be low until the server was full once. A server is
// taken to queue at least one request for each slot.
func (s *Server) SetCapacity(slots, places int) {
	s.slots = max(slots, 1)
	s.places = max(places, 2*s.slots)
	if places <= 0 {
		s.places = s.slots * (1 + unknownQueueFactor)
	}
}

// SetPhase sets how much of its first turn at a crowded server this VM has already waited
// for, 0 to 1. With the VMs spread evenly, their turns follow each other instead of coming
// together.
func (s *Server) SetPhase(phase float64) { s.turns.phase = phase }

// SetKeyed sets whether the server gets requests for keys that it owns, which cannot go
// elsewhere.
func (s *Server) SetKeyed(keyed bool) { s.keyed, s.shared = keyed, !keyed }

// SetDemand sets the demand of the service, which all its servers share.
func (s *Server) SetDemand(d *Demand) { s.demand = d }

// Report handles a load report that is this old: this VM's own or the fleet's. Of two
// reports the newer one holds, whichever comes first.
func (s *Server) Report(now time.Time, load int, age time.Duration) {
	at := now.Add(-age)
	if !s.reportedAt.IsZero() && at.Before(s.reportedAt) {
		return
	}
	s.accrue(now)
	own := max(s.inFlight+s.dones.after(at)-s.starts.notBefore(at), 0)
	s.load, s.reportedAt = load, at
	s.others = float64(max(load-own, 0))
	s.phantom = max(own-load, 0)
}

// SetShare sets the rates of all VMs at the server in requests per second, the mean service
// time there, the rate that this VM offers, and the number of VMs. The time is when the rates
// held.
func (s *Server) SetShare(at time.Time, sent, offered float64, work time.Duration, own float64, vms int) {
	s.accrue(at)
	if !s.ratesKnown(at) {
		s.turns.restart() // all VMs learn of the load at once, and may all hold a turn
	}
	s.vms, s.sharedAt = max(vms, 1), at
	s.offered = max(sent, offered, own)
	if work > 0 {
		s.work = work
	}
	even := 1 / float64(s.vms)
	s.share = even
	if s.offered > 0 {
		s.share = min(max(own/s.offered, minShareFactor*even), 1)
	}
}

// SetDefaults sets the number of VMs and the service time to assume without data of the
// fleet.
func (s *Server) SetDefaults(work time.Duration, vms int) {
	s.vms = max(vms, 1)
	if s.work == 0 || s.sharedAt.IsZero() && work > 0 {
		s.work = work
	}
}

// Restart forgets what is known of the server's load, because another process answers for it.
func (s *Server) Restart() {
	s.reportedAt, s.sharedAt, s.others, s.phantom = time.Time{}, time.Time{}, 0, 0
	s.turns = turns{phase: s.turns.phase}
}

// Offer records that a request for one of the server's keys came to this VM. While VMs take
// turns, it earns a part of one.
func (s *Server) Offer(now time.Time) {
	if s.turns.at.IsZero() || !s.Known(now) || !s.ratesKnown(now) || s.offered <= 0 {
		return
	}
	s.accrue(now)
	s.turns.add(now, min(offeredShare*max(s.Completions()+s.missing()/correctionTime.Seconds(), 0)/(s.offered*s.demand.surge(now)), 1))
}

// Start records that a request was sent.
func (s *Server) Start(now time.Time) {
	s.turns.use(now)
	s.inFlight++
	s.starts.add(now)
}

// Done records that a response was received, or that the connection was closed.
func (s *Server) Done(now time.Time) {
	s.inFlight = max(s.inFlight-1, 0)
	s.phantom = min(s.phantom, s.inFlight)
	s.dones.add(now)
	s.earn(now)
}

// Estimate returns the expected number of requests of all VMs at the server, and the age of
// the report that it comes from. With an age beyond [MaxAge], it is the number of this VM's
// own requests.
func (s *Server) Estimate(now time.Time) (n float64, age time.Duration) {
	age = s.age(now)
	if age > MaxAge {
		return float64(s.inFlight), age
	}
	return s.expected(now, age), age
}

// age returns the age of the newest report.
func (s *Server) age(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(s.reportedAt), 0)
}

// Known reports whether the load of the server is known.
func (s *Server) Known(now time.Time) bool { return s.age(now) <= MaxAge }

// Rate returns the turns of this VM per second: its share of the completions, and of what the
// load is below the target.
func (s *Server) Rate(now time.Time) float64 {
	age := s.age(now)
	if age > MaxAge {
		return s.rate(now, s.keyed)
	}
	return s.evenOrShare(now) * max(s.Completions()+s.missing()/correctionTime.Seconds(), 0)
}

// Free returns how far the estimate is below the load at which turns keep the server.
func (s *Server) Free(now time.Time) float64 {
	n, _ := s.Estimate(now)
	return max(s.target()-n, 0)
}

// Delay returns zero if a request for one of the server's keys may start now, and otherwise
// the time until the next check.
func (s *Server) Delay(now time.Time) time.Duration {
	if s.free(now) {
		return 0
	}
	return s.turn(now, true)
}

// DelayShared is like Delay for a request that other servers can take as well: a VM that
// knows nothing of the fleet starts these at its even share, without a least rate, because
// the least rates of all VMs at all servers can exceed what the servers complete.
func (s *Server) DelayShared(now time.Time) time.Duration {
	if s.free(now) || s.freeShared(now) {
		return 0
	}
	return s.turn(now, false)
}

// free reports whether requests may start without taking turns.
func (s *Server) free(now time.Time) bool {
	age := s.age(now)
	if age > MaxAge || s.contended(now) {
		return false
	}
	if s.expected(now, age)+1 > s.limit(s.arrivals(now), age) {
		return false
	}
	s.turns.end()
	return true
}

// freeShared reports whether a request that other servers can take as well may start without
// taking turns. Such requests go where the load is low, so they need no turns, not even without
// data of the fleet, unless more requests come to this VM than its share.
func (s *Server) freeShared(now time.Time) bool {
	if s.demand.Exceeded(now) {
		return false
	}
	age := s.age(now)
	return age > MaxAge || s.expected(now, age)+1 <= s.limit(s.arrivals(now), age)
}

// Interval returns the time between two turns of this VM.
func (s *Server) Interval(now time.Time) time.Duration {
	return interval(s.Rate(now))
}

// contended reports whether the demand exceeds what the server completes: by the requests at
// this VM, or by the fleet's rates while the server's slots are taken. Then it lasts until the
// demand falls, because the VMs hold queued requests for it and would all start them on the
// same report of a free slot.
func (s *Server) contended(now time.Time) bool {
	if s.demand.Exceeded(now) {
		return true
	}
	return s.ratesKnown(now) && (s.load >= s.slots || now.Before(s.turns.until)) && s.offered*s.demand.surge(now) > contendedShare*s.Completions()
}

func (s *Server) ratesKnown(now time.Time) bool {
	return !s.sharedAt.IsZero() && now.Sub(s.sharedAt) <= MaxAge
}

// Completions returns the requests per second that the server completes while its slots are
// taken.
func (s *Server) Completions() float64 {
	work := s.work
	if work <= 0 {
		work = defaultWork
	}
	return float64(max(s.slots, 1)) / work.Seconds()
}

// arrivals returns the requests per second that other VMs send while they need not take
// turns. Without rates, they are taken to send what the server completes at its load.
func (s *Server) arrivals(now time.Time) float64 {
	if !s.ratesKnown(now) {
		return min(s.others/float64(max(s.slots, 1)), 1) * s.Completions()
	}
	return s.offered * (1 - s.share) * s.demand.surge(now)
}

// expected returns the expected number of requests at the server, by a report of this age.
func (s *Server) expected(now time.Time, age time.Duration) float64 {
	own := float64(max(s.inFlight-s.phantom, 0))
	t := age.Seconds()
	if s.contended(now) {
		// The other VMs take turns as well, which moves the load to the target.
		target := s.target() * (1 - s.evenOrShare(now))
		return own + target + (s.others-target)*math.Exp(-t/correctionTime.Seconds())
	}
	in, out := s.arrivals(now), s.Completions()
	settled := in * float64(max(s.slots, 1)) / out
	switch total := s.others + own; {
	case in >= out || !s.ratesKnown(now):
		return own + max(s.others+(in-out*min(total/float64(max(s.slots, 1)), 1)*s.others/max(total, 1))*t, 0)
	case total > float64(s.slots):
		return own + max(s.others+(in-out*s.others/total)*t, min(settled, s.others))
	default:
		return own + settled + (s.others-settled)*math.Exp(-t*out/float64(max(s.slots, 1)))
	}
}

// limit returns the number of requests up to which requests start freely: the places less a
// reserve for what can have arrived since a report of this age, and at least one place.
func (s *Server) limit(arrivals float64, age time.Duration) float64 {
	reserve := max(reserveFactor*math.Sqrt(arrivals*age.Seconds()), 1)
	return max(float64(s.Held())-reserve, 1)
}

// Held returns the number of requests that the server holds.
func (s *Server) Held() int {
	if s.places == 0 {
		return max(s.slots, 1) * (1 + unknownQueueFactor)
	}
	return s.places
}

// OwnPlaces returns this VM's share of the places, rounded up.
func (s *Server) OwnPlaces(now time.Time) int {
	return int(math.Ceil(float64(s.Held()) * s.evenOrShare(now)))
}

// target returns the load at which turns keep a crowded server.
func (s *Server) target() float64 {
	reserve := max(reserveFactor*math.Sqrt(s.Completions()*usualAge.Seconds()), 1)
	if s.keyed {
		reserve *= keyedReserve
	}
	return max(float64(s.Held())-reserve, float64(s.slots))
}

func (s *Server) evenOrShare(now time.Time) float64 {
	if s.ratesKnown(now) {
		return s.share
	}
	return 1 / float64(max(s.vms, 1))
}
