package gate

import (
	"hash/maphash"
	"math/rand/v2"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fair"
	"hawthornfield.org/hawthornfield/internal/load/health"
	"hawthornfield.org/hawthornfield/internal/load/pick"
	"hawthornfield.org/hawthornfield/internal/load/retry"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Config holds a gate's settings. The zero value is valid.
type Config struct {
	Service  ident.Service
	Deadline time.Duration // for jobs without one; zero means DefaultDeadline
	Queue    int           // most requests in one queue; zero means the queue's default
	MaxHeld  int           // most requests in all move queues, waiting for an owner; zero means DefaultMaxHeld
	Seed     uint64        // for random choices; zero means a random seed
	// RetryBudget bounds the attempts beyond the first of all VMs together: a share of
	// the requests, and a burst that the VMs divide among them. Zero means the defaults
	// of package retry.
	RetryBudget RetryBudget
	// ProbeInterval is the least time between two requests that probe whether the owner
	// of a key accepts requests yet. Zero means firstProbeDelay, rising to maxProbeDelay;
	// it suits services where an extra attempt costs nothing. Use a longer interval
	// where each attempt is counted and changes of owners are announced at once.
	ProbeInterval time.Duration
	// Centre is this VM's data centre. Servers there are preferred; empty means no
	// preference.
	Centre ident.Centre
	// SilentKeyed lets what is done for services whose full servers answer nothing hold for
	// requests for keys too, which can go nowhere else: the limit of all VMs at a server, and
	// the end of stalled attempts. Without it, it holds for requests that any server can take.
	SilentKeyed bool
	// OnPermitsWanted, if set, is called when there are permits to ask for. It must not block
	// and must not call the gate. Without it, servers that limit their requests get none.
	OnPermitsWanted func()
}

// RetryBudget bounds the attempts beyond the first: Share per request, plus Burst.
type RetryBudget struct {
	Share float64
	Burst float64
}

// Default settings.
const (
	// DefaultDeadline is for callers that set none: as long as a driver at the
	// weighbridge waits before trying again.
	DefaultDeadline = 2 * time.Second
	// DefaultMaxHeld is one second of one server's throughput in lookups; a move of a key
	// may take that long.
	DefaultMaxHeld = 800
)

// Verdict is the immediate result for an offered request.
type Verdict uint8

// The verdicts. Wait is followed by exactly one later decision, see [Core.TakeDecided].
const (
	Wait Verdict = iota
	Start
	Refuse
)

// Core makes the decisions for one service. It is not safe for concurrent use and never
// reads a clock: every method is passed the time, which must not go back.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	seed   maphash.Seed // of flowOf
	closed bool

	servers        []*server
	byName         map[ident.Server]*server
	available      pick.Set // servers with room for a request that is not keyed
	availableLocal pick.Set // servers of available in this VM's data centre
	availableWarm  pick.Set // servers of available that were used recently; only local ones if Centre is set
	limitedCount   int      // servers that limit their requests
	silent         bool     // full servers answer nothing, see SetSilent
	completion     completion
	places         int // requests that one server holds, running and waiting; zero if unknown
	limits         placeLimits
	monitor        health.Monitor
	healthScratch  []*health.Server  // argument of monitor.Evaluate, reused
	score          func(int) float64 // of a server by index, as of scoreTime
	scoreTime      time.Time

	shared        lanePair                 // requests that may go to any server
	avgLatency    [sizes.KindCount]float64 // in seconds; zero before the first answer
	answers       [sizes.KindCount]int     // number of answers of each kind
	concurrency   [sizes.KindCount]float64 // requests of each kind that may run at once on all servers
	moveQueues    moveQueueSet
	keyPaces      keyPaceSet                    // paces of the keys whose owner was crowded
	ownerLookup   func(ident.Key) (Owner, bool) // nil if owners are not known
	probeAt       time.Time                     // next time that a waiting request probes an owner
	classifier    sizes.Classifier
	share         sizes.Share
	retryBudget   retry.Budget
	refusalRate   float64   // recent share of requests refused
	nextExpiry    time.Time // next deadline of a waiting request; may be too early
	work          meanWork
	reestimateAt  time.Time // next time that queue waits are estimated again
	healthCheckAt time.Time // next time that the servers' health is checked; zero if none is due
	shedEnd       time.Time // next time that a server takes requests again; zero if none sheds any

	lastEvent    time.Time // last call to detectPause
	lastPause    vmPause   // the most recent pause
	running      int       // requests on backend servers
	waiting      int       // requests in lanes, without those in move queues
	startCount   float64   // decaying count of requests sent, as of startCountAt; see recentStarts
	startCountAt time.Time

	decided []*Ticket // since the last call of TakeDecided
	stats   Stats
}

// NewCore returns a core without servers.
func NewCore(cfg Config) *Core {
	if cfg.Deadline <= 0 {
		cfg.Deadline = DefaultDeadline
	}
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = DefaultMaxHeld
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	c := &Core{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		seed:        maphash.MakeSeed(),
		byName:      map[ident.Server]*server{},
		share:       sizes.Share{VMs: 1},
		retryBudget: retry.New(),
		stats:       Stats{Refused: map[kinds.Kind]uint64{}},
	}
	c.limits.phase = c.rng.Float64()
	c.score = func(i int) float64 {
		return c.servers[i].load.Score(c.scoreTime, c.avgLatency[sizes.Short])
	}
	c.completion.init(c)
	c.shared.init(cfg.Queue)
	return c
}

// Offer handles a new request: it starts it, queues it or refuses it.
func (c *Core) Offer(now time.Time, t *Ticket) Verdict {
	c.prepare(now, t)
	switch {
	case c.closed:
		return c.refuse(t, kinds.Closing, time.Second)
	case len(c.servers) == 0:
		return c.refuse(t, kinds.NoServer, c.retryAfter(0))
	}
	if q := c.moveQueues.find(&t.Job); q != nil {
		return c.joinMove(now, q, t)
	}
	return c.route(now, t)
}

// prepare charges the retry budget and fills in the fields that later decisions use.
func (c *Core) prepare(now time.Time, t *Ticket) {
	c.detectPause(now)
	c.updateRetryBudget(t)
	if t.Job.Deadline.IsZero() {
		t.Job.Deadline = now.Add(c.cfg.Deadline)
	}
	if t.Job.arrivedAt.IsZero() {
		t.Job.arrivedAt = now
	}
	t.sizeKind = c.classifier.Kind(t.Job.Size, uint8(t.Job.Class))
	c.classifier.Seen(now, t.sizeKind)
	c.noteOffered(now, t)
}

func (c *Core) updateRetryBudget(t *Ticket) {
	switch {
	case t.Job.extraAttempt:
	case t.Job.Repeat:
		c.retryBudget.ChargeRepeat()
	default:
		c.retryBudget.Earn()
	}
}

// route passes a request to the queues of its key's owner, or to the shared ones.
func (c *Core) route(now time.Time, t *Ticket) Verdict {
	if t.Job.Server == "" && c.concurrency[sizes.Short] == 0 {
		if left := c.allShedding(now); left > 0 {
			return c.refuseShedding(t, left)
		}
		return c.refuse(t, kinds.NoServer, c.retryAfter(c.capDelay(now)))
	}
	if t.Job.Server == "" {
		c.wantShare(now)
		return c.enterLane(now, &c.shared, nil, t)
	}
	s := c.byName[t.Job.Server]
	if s == nil {
		return c.refuse(t, kinds.NoOwner, c.retryAfter(0))
	}
	return c.enterLane(now, s.lanes(c.cfg.Queue), s, t)
}

// enterLane starts the request if there is room and nobody is queued before it;
// otherwise it queues or refuses the request. A hot flow is refused while the queue is
// standing, even if a slot happens to be free: half of the requests that arrive at such
// a moment are of the hot flow, and it would get half of the service. It gets a free
// slot only if there is hardly anyone else whom this could harm.
func (c *Core) enterLane(now time.Time, ls *lanePair, owner *server, t *Ticket) Verdict {
	t.lanes = ls
	l := &ls.bySize[t.sizeKind]
	if owner != nil && owner.shedding(now) > 0 {
		return c.refuseShedding(t, owner.shedding(now))
	}
	t.callerFlow, t.keyFlow = c.flowOf(string(t.Job.Caller)), c.flowOf(string(t.Job.Key))
	// A request's own failed attempt must not delay its retry.
	if owner != nil && t.Job.avoid != owner.info.Name {
		if delay := c.keyPaces.delay(now, t.keyFlow); delay > 0 {
			return c.refuse(t, kinds.Busy, c.retryAfter(delay))
		}
	}
	debt := 0.0
	if l.q.Standing() || l.q.Len() > 0 {
		debt = l.debt(now, t)
	}
	if l.q.Standing() {
		l.observeArrival(debt)
	}
	if l.q.Standing() && debt > fair.HotDebt && !c.hasSpareRoom(now, l, owner) {
		l.noteOverShare(now)
		return c.refuse(t, kinds.Busy, c.retryAfter(l.callerDebts.Delay(debt)))
	}
	if l.q.Len() == 0 && t.Job.Deadline.After(now) {
		if s := c.chooseServer(now, owner, t); s != nil {
			l.charge(now, t)
			c.start(now, t, s)
			return Start
		}
	}
	if owner != nil {
		if delay := owner.cap.delay(now); delay > 0 {
			c.stats.RefusedCold++
			return c.refuse(t, kinds.Busy, c.retryAfter(delay))
		}
	}
	if delay := c.limitedDelay(now, owner); delay > 0 {
		c.stats.RefusedLimited++
		return c.refuse(t, kinds.Busy, c.retryNotBefore(delay))
	}
	if owner != nil {
		if wait := owner.turnWait(now); c.comesTooLate(now, t, wait) && wait > 0 {
			return c.refusePlaces(t, wait)
		}
		c.scheduleTurn(now, owner)
	}
	verdict := c.admit(now, l, owner, t, debt)
	c.wantPermits(now, owner)
	return verdict
}

// hasSpareRoom reports whether a slot is free that no flow within its fair share needs:
// the queue is empty and hardly any arrivals are of flows without debt.
func (c *Core) hasSpareRoom(now time.Time, l *lane, owner *server) bool {
	switch {
	case l.q.Len() > 0 || l.debtFreeShare >= minDebtFreeShare:
		return false
	case owner != nil:
		return owner.hasRoomKeyed(now)
	default:
		return c.available.Len() > 0
	}
}

func (c *Core) start(now time.Time, t *Ticket, s *server) {
	t.state, t.srv, t.startedAt, t.incarnation = stateStarted, s, now, s.info.Incarnation
	if t.sizeKind == sizes.Long && t.Job.Server != "" {
		c.useToken(now, s)
	}
	c.startCount, c.startCountAt = c.recentStarts(now)+1, now
	if c.silent {
		t.sentLoad = s.loadNow(now)
	}
	s.start(now, t.sizeKind, c.expectedLatency(t.sizeKind))
	c.keyPaces.noteStart(now, t.keyFlow)
	c.running++
	c.stats.Started++
	c.refusalRate -= c.refusalRate * refusalRateSmoothing
	c.updateAvailable(now, s)
	if c.healthCheckAt.IsZero() {
		c.healthCheckAt = now.Add(health.CheckInterval)
	}
}

// Done ends a started request, frees its slot and starts the requests that can follow.
func (c *Core) Done(now time.Time, t *Ticket, o Outcome) {
	if t.state != stateStarted {
		return
	}
	c.detectPause(now)
	s := t.srv
	t.state = stateIdle
	c.refundRetry(t)
	if t.givenUp {
		c.endGivenUp(now, t, o)
	} else {
		c.running--
		c.observe(now, t, o)
	}
	c.endMove(now, t, o)
	if s.removed {
		return
	}
	c.updateAvailable(now, s)
	c.dispatch(now, s)
}

// Abandon removes a request whose caller went away, whatever its state.
func (c *Core) Abandon(now time.Time, t *Ticket) {
	c.stats.Canceled++
	switch t.state {
	case stateStarted:
		c.Done(now, t, Cancel())
	case stateQueued:
		c.dequeue(t)
	case stateAwaitingOwner:
		c.moveQueues.remove(t)
	default:
	}
	t.state = stateIdle
}

// dispatch starts queued requests on a server that has room: those for keys it owns
// first, then the shared ones.
func (c *Core) dispatch(now time.Time, s *server) {
	for s.ownLanes != nil && s.hasRoomKeyed(now) {
		if !c.startNext(now, s.ownLanes, s, c.mayStartLongKeyed(now, s)) {
			break
		}
	}
	c.scheduleTurn(now, s)
	for c.shared.len() > 0 && s.hasRoom(now) {
		if !c.startNext(now, &c.shared, s, c.mayStartLongShared(now, s)) {
			return
		}
	}
	c.scheduleTurn(now, s)
}

// startNext starts one queued request on the server. A request with too little time
// left by the current latency estimate is refused: it was admitted when answers were
// expected to be faster, for example by a VM that had seen none yet. Sent now, it would
// end at its deadline with an unknown result and hold the slot until then.
func (c *Core) startNext(now time.Time, ls *lanePair, s *server, longAllowed bool) bool {
	kind, ok := ls.nextKind(longAllowed)
	if !ok {
		return false
	}
	l := &ls.bySize[kind]
	t := l.q.Pop(now).Value
	l.observeStart(now)
	c.waiting--
	if t.Job.Deadline.Sub(now) < deadlineMargin*c.typicalLatency(kind) {
		l.q.MarkFull(now)
		l.refund(t)
		c.refuseWaiting(t, kinds.DeadlineMissed, c.retryAfter(c.startInterval(now, ownerOf(ls, s), kind)))
		return true
	}
	s.limit[s.limitKind].MarkLimited() // the request had to queue for a slot here
	ls.chargeSlotTime(kind, c.typicalLatency(kind).Seconds())
	c.start(now, t, s)
	c.decided = append(c.decided, t)
	return true
}

// ownerOf returns s if the lanes are those of its own keys, else nil.
func ownerOf(ls *lanePair, s *server) *server {
	if ls == s.ownLanes {
		return s
	}
	return nil
}

// TakeDecided returns the tickets decided since the last call, started or refused. The slice
// is valid until the next call into the core.
func (c *Core) TakeDecided() []*Ticket {
	done := c.decided
	c.decided = c.decided[:0]
	return done
}

// Next returns when Tick has work to do; zero means nothing is pending.
func (c *Core) Next() time.Time {
	var next time.Time
	for _, at := range [...]time.Time{c.nextExpiry, c.healthCheckAt, c.probeAt, c.reestimateAt, c.shedEnd, c.nextTurn()} {
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// Close refuses all waiting requests, and all later ones.
func (c *Core) Close(now time.Time) {
	c.closed = true
	c.forEachLanes(func(ls *lanePair) {
		for k := range ls.bySize {
			l := &ls.bySize[k]
			for it := l.q.Pop(now); it != nil; it = l.q.Pop(now) {
				c.waiting--
				c.refuseWaiting(it.Value, kinds.Closing, time.Second)
			}
		}
	})
	c.moveQueues.retain(func(q *moveQueue) bool {
		for _, t := range c.takeAll(q) {
			c.refuseWaiting(t, kinds.Closing, time.Second)
		}
		return false
	})
}

func (c *Core) forEachLanes(do func(*lanePair)) {
	do(&c.shared)
	for _, s := range c.servers {
		if s.ownLanes != nil {
			do(s.ownLanes)
		}
	}
}
