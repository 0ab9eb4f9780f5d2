package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/conns"
	"hawthornfield.org/hawthornfield/internal/load/health"
	"hawthornfield.org/hawthornfield/internal/load/limit"
	"hawthornfield.org/hawthornfield/internal/load/pick"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// endedFor is how long a server whose address answered for another one is not chosen:
// its entry lapses within a few seconds. Without it each VM sends a part of its
// requests to where they are turned away, and spends the budget for repeats on them.
const endedFor = 5 * time.Second

// paceFollow averages about ten answers, as the health judgement does.
const paceFollow = 0.1

// server is what the gate knows of one backend server.
type server struct {
	info    ServerInfo
	idx     int
	gone    bool // no longer listed
	running int
	long    int
	kind    sizes.Kind // which kind's latency the limit follows now

	limit   [sizes.KindCount]limit.Limit
	load    pick.Load
	health  health.Server
	pool    conns.Pool
	fault   kinds.Kind // of the last attempt that came to nothing, as callers are told
	told    int        // load in the last report
	toldAt  time.Time
	turn    turn
	own     *lanes        // requests for the keys it owns
	work    time.Duration // of one request, without the wait for others
	usedAt  time.Time     // a request was last sent there
	endedTo time.Time     // its address answered for another server; not chosen until then
	asks    asks          // of requests that are held
}

// lanes returns the queues for the server's keys, made at the first use.
func (s *server) lanes(limit int) *lanes {
	if s.own == nil {
		s.own = &lanes{}
		s.own.init(limit)
	}
	return s.own
}

// most is how many requests this VM may have there now, for keys it owns. An
// ejected owner still gets one at a time: nobody else can answer for its keys.
func (s *server) most(now time.Time) int {
	allowed := min(s.limit[s.kind].Max(), s.pool.Max(now))
	return max(s.health.MaxRunning(allowed), 1)
}

// roomKeyed reports whether another request for a key that it owns may start
// there. Its long requests do not count with its short ones: this VM often has
// but one place there, and its own upload would keep its lookups out for as long
// as it takes. How many long ones there may be is decided by longRoom.
func (s *server) roomKeyed(now time.Time) bool {
	running := s.running
	if s.kind == sizes.Short {
		running -= s.long
	}
	return !s.gone && running < s.most(now) && s.running < s.pool.Max(now)
}

// room reports whether a request that may go anywhere may go here.
func (s *server) room(now time.Time) bool {
	if s.gone || s.info.Drain || now.Before(s.endedTo) {
		return false
	}
	allowed := min(s.limit[s.kind].Max(), s.pool.Max(now))
	return s.running < s.health.MaxRunning(allowed)
}

func (s *server) start(now time.Time, k sizes.Kind, expect time.Duration) {
	s.running++
	s.usedAt = now
	s.load.Running = s.running
	if k == sizes.Long {
		s.long++
	}
	s.health.Sent(now, expect)
	s.pool.Acquire(now)
}

// learn takes in what became of an attempt.
func (c *Core) learn(now time.Time, t *Ticket, o Outcome) {
	s := t.srv
	s.running--
	s.load.Running = s.running
	if t.long == sizes.Long {
		s.long--
	}
	s.pool.Release(now)
	took := o.Latency
	if took <= 0 {
		took = now.Sub(t.at)
	}
	took = c.paused.awake(took, t.at)
	switch {
	case o.Kind == kinds.Misrouted && t.Job.Server == "":
		s.endedTo = now.Add(endedFor)
		s.health.Abandoned()
	case o.Kind == kinds.Canceled, o.Kind == kinds.Misrouted:
		s.health.Abandoned()
	case o.Refused:
		s.fault = kinds.Busy
		if !s.hasRoom(t) {
			c.paceOut(now, s, t)
		}
		c.learnRefused(now, s, t, took)
	case o.Kind == kinds.None:
		c.learnAnswer(now, s, t, took)
	default:
		c.paceOut(now, s, t)
		s.fault = kinds.NoServer
		s.load.Observe(now, took, true)
		s.health.Done(now, 0, true)
	}
}

// learnRefused lowers the limit. A server that refuses even a single request of
// this VM is counted as failing, so that others are preferred.
func (c *Core) learnRefused(now time.Time, s *server, t *Ticket, took time.Duration) {
	least := s.limit[s.kind].Max() == 1
	s.limit[s.kind].MarkRefused()
	s.load.Observe(now, took, true)
	if least {
		s.health.Done(now, 0, true)
		return
	}
	s.health.Done(now, took.Seconds()/c.typical(t.long).Seconds(), false)
}

func (c *Core) learnAnswer(now time.Time, s *server, t *Ticket, took time.Duration) {
	typical := c.typical(t.long).Seconds()
	s.learnWork(t, took)
	c.paceBy(now, s, t)
	c.seen[t.long]++
	c.mix.Observe(t.Job.Size, uint8(t.Job.Class), took)
	s.limit[t.long].Observe(now, took)
	s.health.Done(now, took.Seconds()/typical, false)
	if t.long == sizes.Short {
		s.load.Observe(now, took, false)
		c.budget.Observe(took)
	}
	if c.pace[t.long] == 0 {
		c.pace[t.long] = took.Seconds()
		return
	}
	c.pace[t.long] += (took.Seconds() - c.pace[t.long]) * paceFollow
}

// SetServers replaces the list of servers. Requests waiting for a server that
// is gone are refused: their key has no owner now.
func (c *Core) SetServers(now time.Time, list []ServerInfo) {
	old := c.byName
	c.byName = make(map[ident.Server]*server, len(list))
	c.servers = c.servers[:0:0]
	for _, info := range list {
		s := old[info.Name]
		delete(old, info.Name)
		if s == nil {
			s = &server{}
		}
		c.adopt(now, s, info)
	}
	for _, s := range old {
		c.retire(now, s)
	}
	c.refresh(now)
}

func (c *Core) adopt(now time.Time, s *server, info ServerInfo) {
	if info.Cold && !s.info.Cold {
		s.health.MarkCold(now)
	}
	s.info = info
	s.idx = len(c.servers)
	s.load.Slots = info.Slots
	s.pool.SetShare(now, info.Conns, c.share.VMs)
	c.byName[info.Name] = s
	c.servers = append(c.servers, s)
}

func (c *Core) retire(now time.Time, s *server) {
	s.gone = true
	if s.own == nil {
		return
	}
	for k := range s.own.by {
		l := &s.own.by[k]
		for it := l.q.Pop(now); it != nil; it = l.q.Pop(now) {
			c.waiting--
			c.decide(it.Value, kinds.NoOwner, c.hint(0))
		}
	}
}

// SetShare says how many entry VMs share the servers, and which this one is.
func (c *Core) SetShare(now time.Time, n, index int) {
	c.share = sizes.Share{VMs: max(n, 1), Index: max(index, 0)}
	if x := c.cfg.RetryBudget; x.Burst > 0 {
		c.budget.SetLimits(x.Share, x.Burst/float64(c.share.VMs))
	}
	for _, s := range c.servers {
		s.pool.SetShare(now, s.info.Conns, c.share.VMs)
	}
	c.refresh(now)
}

// Report notes a server's own word on its load.
func (c *Core) Report(now time.Time, name ident.Server, load int, age time.Duration) {
	c.rouse(now)
	if s := c.byName[name]; s != nil {
		s.told, s.toldAt = load, now.Add(-age)
		s.load.Report(now, load, age, c.typical(sizes.Short))
		s.limit[s.kind].Report(now, float64(load)/float64(max(s.info.Slots, 1)))
	}
}

// Conns returns this VM's share of a server's connections, and how many of
// them to keep warm.
func (c *Core) Conns(now time.Time, name ident.Server) (most, warm int) {
	s := c.byName[name]
	if s == nil {
		return 0, 0
	}
	return s.pool.Max(now), s.pool.MaxIdle(now)
}

// refresh recomputes what follows from the servers' states: bounds, room and
// width; then it starts whoever can start.
func (c *Core) refresh(now time.Time) {
	c.open.Clear()
	c.near.Clear()
	c.warm.Clear()
	c.width = [sizes.KindCount]float64{}
	kind := sizes.Short
	if c.mix.Only(now, sizes.Long) {
		kind = sizes.Long
	}
	mixed := c.mix.Mixed(now)
	for _, s := range c.servers {
		s.kind = kind
		for k := range s.limit {
			s.limit[k].SetBounds(s.info.Slots, c.share.VMs, s.pool.Max(now))
		}
		s.load.Weight = s.health.Weight(now)
		c.setOpen(now, s)
		c.widen(now, s, mixed)
	}
	for _, s := range c.servers {
		if c.waiting == 0 {
			return
		}
		c.dispatch(now, s)
	}
}

func (c *Core) widen(now time.Time, s *server, mixed bool) {
	if s.info.Drain {
		return
	}
	most := s.health.MaxRunning(min(s.limit[s.kind].Max(), s.pool.Max(now)))
	c.width[sizes.Short] += float64(most)
	if mixed {
		most = min(most, c.share.Long(s.idx, len(c.servers), s.info.Slots))
	}
	c.width[sizes.Long] += float64(most)
}

// Tick refuses those whose deadline can no longer be met and, about every
// [health.Every], judges the servers.
func (c *Core) Tick(now time.Time) {
	c.rouse(now)
	c.expire(now)
	c.ask(now)
	c.rethink(now)
	if c.judgeAt.IsZero() || now.Before(c.judgeAt) {
		return
	}
	if again := c.paused.to.Add(health.CheckInterval); now.Before(again) {
		c.judgeAt = again // when the answers that lie unread have been read
		return
	}
	c.judge(now)
	c.refresh(now)
	c.eachLanes(func(ls *lanes) {
		for k := range ls.by {
			ls.by[k].q.ClearStanding(now)
		}
	})
	c.judgeAt = time.Time{}
	if c.running > 0 || c.waiting > 0 || c.unsettled() {
		c.judgeAt = now.Add(health.CheckInterval)
	}
}

func (c *Core) judge(now time.Time) {
	c.checked = c.checked[:0]
	for _, s := range c.servers {
		c.checked = append(c.checked, &s.health)
	}
	c.panel.Evaluate(now, c.checked)
}

// unsettled reports whether time alone will change some server's state, or a
// queue is still called standing. A probed server waits for requests, not for
// the clock.
func (c *Core) unsettled() bool {
	for _, s := range c.servers {
		if st := s.health.State(); st == health.Ejected || st == health.Ramping {
			return true
		}
	}
	return c.Overload()
}

func (c *Core) expire(now time.Time) {
	if c.soonest.IsZero() || now.Before(c.soonest) {
		return
	}
	c.soonest = c.holds.expire(now, c.expireHeld)
	c.eachLanes(func(ls *lanes) {
		for k := range ls.by {
			c.expireLane(now, &ls.by[k])
		}
	})
}

func (c *Core) expireLane(now time.Time, l *lane) {
	l.q.Expire(now, func(t *Ticket) {
		l.q.MarkFull(now)
		l.refund(t)
		c.waiting--
		c.decide(t, kinds.DeadlineMissed, c.hint(0))
	})
	if at := l.q.NextExpiry(); !at.IsZero() && (c.soonest.IsZero() || at.Before(c.soonest)) {
		c.soonest = at
	}
}
