package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/conns"
	"hawthornfield.org/hawthornfield/internal/load/health"
	"hawthornfield.org/hawthornfield/internal/load/limit"
	"hawthornfield.org/hawthornfield/internal/load/pick"
	"hawthornfield.org/hawthornfield/internal/load/places"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// wrongServerAvoidTime is how long a server whose address answered for another one is
// not chosen: its entry expires within a few seconds. Without it each VM sends part of
// its requests to where they are refused, and spends the retry budget on them.
const wrongServerAvoidTime = 5 * time.Second

// latencySmoothing averages about ten answers, as the health checks do.
const latencySmoothing = 0.1

// ServerInfo describes a backend server.
type ServerInfo struct {
	Name   ident.Server
	Centre ident.Centre
	// Incarnation tells the processes of a server apart, see [ident.Process].
	Incarnation int64
	Slots       int  // requests that it processes concurrently
	Conns       int  // connections that it accepts from all entry VMs together
	Cold        bool // just started: its load is raised in steps
	Drain       bool // shutting down: it gets no new requests
	// Capped says that the server is cold and tolerates only a few requests from all VMs:
	// this VM may start at most StartCap within a [warmup.Window], and only while the server
	// is lent to it, see [Gate.Lend].
	Capped   bool
	StartCap int
	// CappedFor is how long the server is expected to stay cold.
	CappedFor time.Duration
	// Limited says that the server limits the requests that it takes from all VMs: each
	// needs a permit, see [Core.TakeAsks].
	Limited bool
}

// server is the gate's state of one backend server.
type server struct {
	info        ServerInfo
	idx         int
	removed     bool // no longer listed
	running     int
	runningLong int
	limitKind   sizes.Kind // the kind whose latency the limit follows now

	limit        [sizes.KindCount]limit.Limit
	load         pick.Load
	health       health.Server
	connPool     conns.Pool
	lastFailure  kinds.Kind // reported to callers while the server is failing
	reportedLoad int        // requests running and queued there, by its last report
	reportedAt   time.Time
	tokenUse     tokenUse
	ownLanes     *lanePair     // requests for keys that it owns
	workTime     time.Duration // processing time of one request, without waiting for others
	lastStart    time.Time     // when a request was last sent there
	avoidUntil   time.Time     // set when its address answered for another server
	cap          startCap      // bounds the starts while the server is cold
	shedUntil    time.Time     // until then it wants no requests from this VM
	permits      permitState   // bounds the starts while the server limits them
	probes       probePacer    // limits the probes sent from move queues
	fleet        fleetView     // what all VMs together know of it
	newestServed time.Time     // when the newest request was sent that it answered to this VM
	givenUp      int           // stalled attempts that hold a connection but no slot, see Core.Stalled
	pace         serverPace    // how fast it works
	sent         sentTimes     // when requests were sent there
	places       places.Server // estimates and limits the requests of all VMs there
	placesOn     bool          // full servers answer nothing, so places limits the starts
	turnAt       time.Time     // when places lets the next request start; zero if one may start now
	offers       offerRate     // requests for its keys that came to this VM
}

// lanes returns the queues for the server's keys, created on first use.
func (s *server) lanes(limit int) *lanePair {
	if s.ownLanes == nil {
		s.ownLanes = &lanePair{}
		s.ownLanes.init(limit)
	}
	return s.ownLanes
}

// maxRunning returns how many requests for keys that it owns this VM may run there now.
// An ejected owner still gets one at a time: no other server can answer for its keys.
func (s *server) maxRunning(now time.Time) int {
	return max(s.health.MaxRunning(s.allowed(now)), 1)
}

// hasRoomKeyed reports whether another request for a key that it owns may start there.
// Long requests are not counted against short ones: this VM often has only one slot
// there, and its own upload would block its lookups for as long as it takes. The number
// of long ones is limited by mayStartLongKeyed.
func (s *server) hasRoomKeyed(now time.Time) bool {
	running := s.running
	if s.limitKind == sizes.Short {
		running -= s.runningLong
	}
	return !s.removed && s.shedding(now) == 0 && running < s.maxRunning(now) && s.running < s.connsFree(now) && s.cap.delay(now) == 0 && s.permits.allows(now) && !s.atLimit(now)
}

// hasRoom reports whether a request that may go to any server may start here.
func (s *server) hasRoom(now time.Time) bool {
	if s.removed || s.info.Drain || now.Before(s.avoidUntil) || s.shedding(now) > 0 {
		return false
	}
	return s.running < s.health.MaxRunning(s.allowed(now)) && s.cap.delay(now) == 0 && s.permits.allows(now) && !s.atSharedLimit(now)
}

func (s *server) start(now time.Time, k sizes.Kind, expect time.Duration) {
	s.running++
	s.lastStart = now
	s.sent.add(now)
	s.cap.noteStart(now)
	s.permits.use(now)
	s.places.Start(now)
	s.load.Running = s.running
	if k == sizes.Long {
		s.runningLong++
	}
	s.health.Sent(now, expect)
	s.connPool.Acquire(now)
}

// leave counts a request as gone from the server.
func (s *server) leave(now time.Time, k sizes.Kind) {
	s.running--
	s.places.Done(now)
	s.load.Running = s.running
	if k == sizes.Long {
		s.runningLong--
	}
}

// observe updates the server's state with the outcome of an attempt.
func (c *Core) observe(now time.Time, t *Ticket, o Outcome) {
	s := t.srv
	s.leave(now, t.sizeKind)
	s.connPool.Release(now)
	took := o.Latency
	if took <= 0 {
		took = now.Sub(t.startedAt)
	}
	took = c.lastPause.activeTime(took, t.startedAt)
	switch {
	case o.Kind == kinds.Misrouted && t.Job.Server == "":
		s.avoidUntil = now.Add(wrongServerAvoidTime)
		s.health.Abandoned()
	case o.Kind == kinds.Canceled, o.Kind == kinds.Misrouted, o.PathLost, o.Stalled, o.Withdrawn:
		s.health.Abandoned()
	case o.Refused && s.shedding(now) > 0: // it says when it is back, and nothing about the requests after that
		s.health.Abandoned()
	case o.Refused:
		s.lastFailure = kinds.Busy
		if !s.reportedFreeSlot(t) {
			c.paceAtEvenShare(now, s, t)
		}
		c.observeRefusal(now, s, t, took)
	case o.Kind == kinds.None:
		c.observeAnswer(now, s, t, took, o)
	default:
		c.paceAtEvenShare(now, s, t)
		s.lastFailure = kinds.NoServer
		s.load.Observe(now, took, true)
		s.health.Done(now, 0, true)
	}
}

// observeRefusal lowers the limit. A server that refuses even a single request of this
// VM counts as failing, so that others are preferred.
func (c *Core) observeRefusal(now time.Time, s *server, t *Ticket, took time.Duration) {
	atMinimum := s.limit[s.limitKind].Max() == 1
	s.limit[s.limitKind].MarkRefused()
	s.load.Observe(now, took, true)
	if atMinimum {
		s.health.Done(now, 0, true)
		return
	}
	s.health.Done(now, took.Seconds()/c.typicalLatency(t.sizeKind).Seconds(), false)
}

func (c *Core) observeAnswer(now time.Time, s *server, t *Ticket, took time.Duration, o Outcome) {
	typical := c.typicalLatency(t.sizeKind).Seconds()
	s.noteServed(t)
	s.observeWork(t, took)
	c.observeCost(now, s, t, o.Work, took)
	c.adjustPace(now, s, t)
	c.answers[t.sizeKind]++
	c.classifier.Observe(t.Job.Size, uint8(t.Job.Class), took)
	s.limit[t.sizeKind].Observe(now, took)
	s.health.Done(now, took.Seconds()/typical, false)
	if t.sizeKind == sizes.Short {
		s.load.Observe(now, took, false)
		c.retryBudget.Observe(took)
	}
	if c.avgLatency[t.sizeKind] == 0 {
		c.avgLatency[t.sizeKind] = took.Seconds()
		return
	}
	c.avgLatency[t.sizeKind] += (took.Seconds() - c.avgLatency[t.sizeKind]) * latencySmoothing
}

// SetServers replaces the list of servers. Requests queued for a server that is removed
// are refused: their key has no owner now.
func (c *Core) SetServers(now time.Time, list []ServerInfo) {
	old := c.byName
	c.byName = make(map[ident.Server]*server, len(list))
	c.servers, c.limitedCount = c.servers[:0:0], 0
	for _, info := range list {
		s := old[info.Name]
		delete(old, info.Name)
		if s == nil {
			s = &server{}
		}
		c.addServer(now, s, info)
	}
	for _, s := range old {
		c.removeServer(now, s)
	}
	c.refresh(now)
}

func (c *Core) addServer(now time.Time, s *server, info ServerInfo) {
	if info.Cold && !s.info.Cold {
		s.health.MarkCold(now)
	}
	if info.Incarnation != s.info.Incarnation {
		s.shedUntil, s.permits, s.fleet = time.Time{}, permitState{}, fleetView{}
		s.newestServed = time.Time{}
		s.pace, s.sent = serverPace{}, sentTimes{}
		s.places.Restart()
	}
	s.cap.set(now, info)
	if info.Capped && !s.info.Capped {
		c.refuseQueued(now, s, kinds.Busy, s.cap.delay(now))
	}
	s.info = info
	c.setLimited(now, s, info.Limited)
	s.idx = len(c.servers)
	s.load.Slots = info.Slots
	c.completion.maxSlots = max(c.completion.maxSlots, info.Slots)
	s.connPool.SetShare(now, info.Conns, c.share.VMs)
	c.byName[info.Name] = s
	c.servers = append(c.servers, s)
	if info.Limited {
		c.limitedCount++
	}
}

func (c *Core) removeServer(now time.Time, s *server) {
	s.removed = true
	c.refuseQueued(now, s, kinds.NoOwner, 0)
}

// refuseQueued refuses the requests that wait for a server's keys.
func (c *Core) refuseQueued(now time.Time, s *server, kind kinds.Kind, after time.Duration) {
	if s.ownLanes != nil {
		c.refuseLanes(now, s.ownLanes, kind, func() time.Duration { return c.retryAfter(after) })
	}
}

// refuseLanes refuses the requests that wait in a pair of queues. The function after returns
// when the next of their callers should retry.
func (c *Core) refuseLanes(now time.Time, ls *lanePair, kind kinds.Kind, after func() time.Duration) {
	for k := range ls.bySize {
		l := &ls.bySize[k]
		for it := l.q.Pop(now); it != nil; it = l.q.Pop(now) {
			c.waiting--
			c.refuseWaiting(it.Value, kind, after())
		}
	}
}

// SetShare sets how many entry VMs share the servers, and the index of this one.
func (c *Core) SetShare(now time.Time, n, index int) {
	c.share = sizes.Share{VMs: max(n, 1), Index: max(index, 0)}
	if budget := c.cfg.RetryBudget; budget.Burst > 0 {
		c.retryBudget.SetLimits(budget.Share, budget.Burst/float64(c.share.VMs))
	}
	for _, s := range c.servers {
		s.connPool.SetShare(now, s.info.Conns, c.share.VMs)
	}
	c.refresh(now)
}

// Report records the load that a server reports.
func (c *Core) Report(now time.Time, name ident.Server, load int, age time.Duration) {
	c.detectPause(now)
	if s := c.byName[name]; s != nil {
		s.reportedLoad, s.reportedAt = load, now.Add(-age)
		s.places.Report(now, load, age)
		s.load.Report(now, load, age, c.typicalLatency(sizes.Short))
		s.limit[s.limitKind].Report(now, float64(load)/float64(max(s.info.Slots, 1)))
	}
}

// Conns returns this VM's share of a server's connections, and how many of them to keep
// open while idle.
func (c *Core) Conns(now time.Time, name ident.Server) (limit, idle int) {
	s := c.byName[name]
	if s == nil {
		return 0, 0
	}
	return s.connPool.Max(now), s.connPool.MaxIdle(now)
}

// refresh recomputes what depends on the servers' states (bounds, room and concurrency)
// and starts the requests that can start.
func (c *Core) refresh(now time.Time) {
	c.available.Clear()
	c.availableLocal.Clear()
	c.availableWarm.Clear()
	c.concurrency = [sizes.KindCount]float64{}
	c.refreshPlaces(now)
	kind := sizes.Short
	if c.classifier.Only(now, sizes.Long) {
		kind = sizes.Long
	}
	mixed := c.classifier.Mixed(now)
	for _, s := range c.servers {
		s.limitKind = kind
		for k := range s.limit {
			s.limit[k].SetBounds(s.info.Slots, c.share.VMs, s.connPool.Max(now))
		}
		s.load.Weight = s.health.Weight(now)
		c.updateAvailable(now, s)
		c.addConcurrency(now, s, mixed)
	}
	for _, s := range c.servers {
		if c.waiting == 0 {
			return
		}
		c.dispatch(now, s)
	}
}

func (c *Core) addConcurrency(now time.Time, s *server, mixed bool) {
	if s.info.Drain || s.cap.closed(now) || s.shedding(now) > 0 {
		return
	}
	most := s.health.MaxRunning(min(s.limit[s.limitKind].Max(), s.connPool.Max(now)))
	c.concurrency[sizes.Short] += float64(most)
	if mixed {
		most = min(most, c.share.LongSlots(s.idx, len(c.servers), s.info.Slots))
	}
	c.concurrency[sizes.Long] += float64(most)
}
