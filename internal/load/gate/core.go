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

// Config holds a gate's settings. The zero value works.
type Config struct {
	Service  ident.Service
	Deadline time.Duration // for jobs without one; zero is DefaultDeadline
	Queue    int           // most requests waiting in one queue; zero is the queue's default
	MaxHeld  int           // most requests waiting for moves; zero is DefaultHeld
	Seed     uint64        // of the random choices; zero takes a fresh one
	// RetryBudget bounds the attempts beyond the first of all VMs together: a share of the
	// requests, and a burst that the VMs divide. Zero leaves it to package retry.
	RetryBudget RetryBudget
	// ProbeInterval is the pause between two requests that go and ask whether the owner of a
	// key takes them yet. Zero suits backend servers that are asked for nothing, see
	// firstAsk; where each attempt is counted and owners are told at once, more.
	ProbeInterval time.Duration
	// Centre is this VM's data centre. A server there is preferred to others; empty
	// means no preference.
	Centre ident.Centre
}

// RetryBudget is a bound on attempts beyond the first.
type RetryBudget struct {
	Share float64
	Burst float64
}

// Defaults of Config.
const (
	// DefaultDeadline is for callers that name none: as long as a driver at the
	// scale waits before trying again.
	DefaultDeadline = 2 * time.Second
	// DefaultHeld bounds the requests of keys between owners: 1 s of one
	// server's throughput in lookups, the time a move may take.
	DefaultHeld = 800
)

// Verdict is the answer to an offered request.
type Verdict uint8

// The verdicts. Wait is followed by exactly one later decision, see
// [Core.Ready].
const (
	Wait Verdict = iota
	Start
	Refuse
)

// Core decides for one service. It is not safe for concurrent use and never
// looks at a clock: every method is told the time, which must not go back.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	seed   maphash.Seed
	closed bool

	servers []*server
	byName  map[ident.Server]*server
	open    pick.Set
	near    pick.Set // those of open in this VM's data centre
	warm    pick.Set // those of open, near if any are, that were used a moment ago
	panel   health.Monitor
	checked []*health.Server // argument of panel.Judge, kept for reuse
	score   func(int) float64
	scoreAt time.Time

	any     lanes // requests that may go to any server
	pace    [sizes.KindCount]float64
	seen    [sizes.KindCount]int // answers of each kind
	width   [sizes.KindCount]float64
	holds   holds
	spaced  spacings                      // keys for which their owner was crowded
	owner   func(ident.Key) (Owner, bool) // nil when owners are not followed
	askAt   time.Time                     // when a request that is held goes and asks
	mix     sizes.Classifier
	share   sizes.Share
	budget  retry.Budget
	press   float64 // recent share of requests refused
	soonest time.Time
	thinkAt time.Time // when waits are estimated again
	judgeAt time.Time

	calledAt time.Time // the last call that something happened
	paused   pause     // the last one
	running  int
	waiting  int
	sent     float64 // requests sent lately, as of sentAt; see recent
	sentAt   time.Time

	ready []*Ticket
	stats Stats
}

// NewCore makes a core without servers.
func NewCore(cfg Config) *Core {
	if cfg.Deadline <= 0 {
		cfg.Deadline = DefaultDeadline
	}
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = DefaultHeld
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	c := &Core{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		seed:   maphash.MakeSeed(),
		byName: map[ident.Server]*server{},
		share:  sizes.Share{VMs: 1},
		budget: retry.New(),
		stats:  Stats{Refused: map[kinds.Kind]uint64{}},
	}
	c.score = func(i int) float64 {
		return c.servers[i].load.Score(c.scoreAt, c.pace[sizes.Short])
	}
	c.any.init(cfg.Queue)
	return c
}

// Offer takes in a request and decides at once whether it starts, waits or is
// refused.
func (c *Core) Offer(now time.Time, t *Ticket) Verdict {
	c.accept(now, t)
	switch {
	case c.closed:
		return c.refuse(t, kinds.Closing, time.Second)
	case len(c.servers) == 0:
		return c.refuse(t, kinds.NoServer, c.hint(0))
	}
	if h := c.holds.find(&t.Job); h != nil {
		return c.meet(now, h, t)
	}
	return c.route(now, t)
}

// accept notes what is known of a request at its arrival.
func (c *Core) accept(now time.Time, t *Ticket) {
	c.rouse(now)
	c.earn(t)
	if t.Job.Deadline.IsZero() {
		t.Job.Deadline = now.Add(c.cfg.Deadline)
	}
	if t.Job.asked.IsZero() {
		t.Job.asked = now
	}
	t.long = c.mix.Kind(t.Job.Size, uint8(t.Job.Class))
	c.mix.Seen(now, t.long)
}

func (c *Core) earn(t *Ticket) {
	switch {
	case t.Job.again:
	case t.Job.Repeat:
		c.budget.ChargeRepeat()
	default:
		c.budget.Earn()
	}
}

// route sends a request to the lane of its owner, or to the common one.
func (c *Core) route(now time.Time, t *Ticket) Verdict {
	if t.Job.Server == "" && c.width[sizes.Short] == 0 {
		return c.refuse(t, kinds.NoServer, c.hint(0))
	}
	if t.Job.Server == "" {
		return c.enter(now, &c.any, nil, t)
	}
	s := c.byName[t.Job.Server]
	if s == nil {
		return c.refuse(t, kinds.NoOwner, c.hint(0))
	}
	return c.enter(now, s.lanes(c.cfg.Queue), s, t)
}

// enter starts the request if there is room and nobody waits before it, and
// else admits it to the queue or refuses it. A hot flow is refused while the
// queue is standing, even if a place happens to be free: half of those who ask
// at that moment are the hot one, and it would get half of the service. Only when
// there is nobody else whom that could harm does it get a free place.
func (c *Core) enter(now time.Time, ls *lanes, owner *server, t *Ticket) Verdict {
	t.in = ls
	l := &ls.by[t.long]
	t.caller, t.key = c.flow(string(t.Job.Caller)), c.flow(string(t.Job.Key))
	// A request's own failed attempt must not delay its retry.
	if owner != nil && t.Job.avoid != owner.info.Name {
		if closed := c.spaced.closed(now, t.key); closed > 0 {
			return c.refuse(t, kinds.Busy, c.hint(closed))
		}
	}
	debt := 0.0
	if l.q.Standing() || l.q.Len() > 0 {
		debt = l.debt(now, t)
	}
	if l.q.Standing() {
		l.see(debt)
	}
	if l.q.Standing() && debt > fair.HotDebt && !c.spare(now, l, owner) {
		l.heldOff(now)
		return c.refuse(t, kinds.Busy, c.hint(l.callers.Delay(debt)))
	}
	if l.q.Len() == 0 && t.Job.Deadline.After(now) {
		if s := c.place(now, owner, t); s != nil {
			l.charge(now, t)
			c.start(now, t, s)
			return Start
		}
	}
	return c.admit(now, l, owner, t, debt)
}

// spare reports whether a place is free that nobody within a share would want:
// nobody waits, and hardly anybody comes who owes nothing.
func (c *Core) spare(now time.Time, l *lane, owner *server) bool {
	switch {
	case l.q.Len() > 0 || l.modest >= fewModest:
		return false
	case owner != nil:
		return owner.roomKeyed(now)
	default:
		return c.open.Len() > 0
	}
}

func (c *Core) start(now time.Time, t *Ticket, s *server) {
	t.state, t.srv, t.at = started, s, now
	if t.long == sizes.Long && t.Job.Server != "" {
		c.useTurn(now, s)
	}
	c.sent, c.sentAt = c.recent(now)+1, now
	s.start(now, t.long, c.expected(t.long))
	c.spaced.started(now, t.key)
	c.running++
	c.stats.Started++
	c.press -= c.press * pressFollow
	c.setOpen(now, s)
	if c.judgeAt.IsZero() {
		c.judgeAt = now.Add(health.CheckInterval)
	}
}

// Done gives a started request's place back and starts whoever can follow.
func (c *Core) Done(now time.Time, t *Ticket, o Outcome) {
	if t.state != started {
		return
	}
	c.rouse(now)
	s := t.srv
	t.state = idle
	c.running--
	c.learn(now, t, o)
	c.taken(now, t, o)
	if s.gone {
		return
	}
	c.setOpen(now, s)
	c.dispatch(now, s)
}

// Abandon takes back a request whose caller went away, whatever its state.
func (c *Core) Abandon(now time.Time, t *Ticket) {
	c.stats.Canceled++
	switch t.state {
	case started:
		c.Done(now, t, Cancel())
	case waiting:
		c.unqueue(t)
	case held:
		c.holds.remove(t)
	default:
	}
	t.state = idle
}

// dispatch starts the requests that may follow on a server that has room: the
// keys it owns first, then those that may go anywhere.
func (c *Core) dispatch(now time.Time, s *server) {
	for s.own != nil && s.roomKeyed(now) {
		if !c.next(now, s.own, s, c.longRoom(now, s)) {
			break
		}
	}
	for c.any.len() > 0 && s.room(now) {
		if !c.next(now, &c.any, s, c.ownsLong(now, s)) {
			return
		}
	}
}

// next starts one waiting request of the lanes on the server. One that has too
// little time left by what is known now is refused: it was let in when answers
// were taken to be quicker, as by a VM that has seen none yet, and sent now it
// would end as unknown at its deadline and hold the place until then.
func (c *Core) next(now time.Time, ls *lanes, s *server, long bool) bool {
	kind, ok := ls.turn(long)
	if !ok {
		return false
	}
	l := &ls.by[kind]
	t := l.q.Pop(now).Value
	l.popped(now)
	c.waiting--
	if t.Job.Deadline.Sub(now) < margin*c.typical(kind) {
		l.q.MarkFull(now)
		l.refund(t)
		c.decide(t, kinds.DeadlineMissed, c.hint(c.each(now, owned(ls, s), kind)))
		return true
	}
	s.limit[s.kind].MarkLimited() // it waited for a place here
	ls.spend(kind, c.typical(kind).Seconds())
	c.start(now, t, s)
	c.ready = append(c.ready, t)
	return true
}

// owned returns the server if the lanes are those of its own keys.
func owned(ls *lanes, s *server) *server {
	if ls == s.own {
		return s
	}
	return nil
}

// Ready returns the tickets decided since the last call, started or refused.
// The slice is valid until the next call into the core.
func (c *Core) Ready() []*Ticket {
	done := c.ready
	c.ready = c.ready[:0]
	return done
}

// Next is when Tick has something to do; zero means nothing is pending.
func (c *Core) Next() time.Time {
	var next time.Time
	for _, at := range [...]time.Time{c.soonest, c.judgeAt, c.askAt, c.thinkAt} {
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// Close refuses all who wait, and all who come later.
func (c *Core) Close(now time.Time) {
	c.closed = true
	c.eachLanes(func(ls *lanes) {
		for k := range ls.by {
			l := &ls.by[k]
			for it := l.q.Pop(now); it != nil; it = l.q.Pop(now) {
				c.waiting--
				c.decide(it.Value, kinds.Closing, time.Second)
			}
		}
	})
	c.holds.each(func(h *hold) bool {
		for _, t := range c.empty(h) {
			c.decide(t, kinds.Closing, time.Second)
		}
		return false
	})
}

func (c *Core) eachLanes(do func(*lanes)) {
	do(&c.any)
	for _, s := range c.servers {
		if s.own != nil {
			do(s.own)
		}
	}
}
