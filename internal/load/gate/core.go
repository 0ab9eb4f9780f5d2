package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Config holds a gate's settings. The zero value works.
type Config struct {
	Service  ident.Service
	Deadline time.Duration // for jobs without one; zero is DefaultDeadline
	Queue    int           // most waiting requests; zero is DefaultQueue
	Seed     uint64        // of the random choices; zero takes a fresh one
}

// Defaults of Config.
const (
	DefaultDeadline = 2 * time.Second
	DefaultQueue    = 256
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

type state uint8

const (
	idle state = iota
	waiting
	held
	started
	refused
)

// Ticket is one request inside the core.
type Ticket struct {
	Job Job

	wake  chan struct{}
	gen   uint64
	state state
	srv   *server
	at    time.Time
	kind  kinds.Kind
	after time.Duration
}

// Server returns where the request was started.
func (t *Ticket) Server() ident.Server {
	if t.srv == nil {
		return ""
	}
	return t.srv.info.Name
}

// Refusal returns why it was refused, and when to come back.
func (t *Ticket) Refusal() (kinds.Kind, time.Duration) { return t.kind, t.after }

func (t *Ticket) reset() {
	*t = Ticket{wake: t.wake, gen: t.gen + 1}
}

type server struct {
	info    ServerInfo
	running int
	latency time.Duration
}

// Core decides for one service. It is not safe for concurrent use and never
// looks at a clock.
type Core struct {
	cfg     Config
	servers []*server
	next    int
	queue   []*Ticket
	ready   []*Ticket
	holds   []Move
	share   int
	closed  bool
	stats   Stats
}

// NewCore makes a core without servers.
func NewCore(cfg Config) *Core {
	if cfg.Deadline <= 0 {
		cfg.Deadline = DefaultDeadline
	}
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	return &Core{cfg: cfg, share: 1, stats: Stats{Refused: map[kinds.Kind]uint64{}}}
}

// Offer takes in a request.
func (c *Core) Offer(now time.Time, t *Ticket) Verdict {
	if t.Job.Deadline.IsZero() {
		t.Job.Deadline = now.Add(c.cfg.Deadline)
	}
	switch {
	case c.closed:
		return c.refuse(t, kinds.Closing, time.Second)
	case !t.Job.Deadline.After(now):
		return c.refuse(t, kinds.Late, 0)
	case len(c.servers) == 0:
		return c.refuse(t, kinds.NoServer, time.Second)
	case len(c.queue) >= c.cfg.Queue:
		return c.refuse(t, kinds.Busy, time.Second)
	}
	t.state = waiting
	if c.held(t) {
		t.state = held
	}
	c.queue = append(c.queue, t)
	c.dispatch(now)
	if t.state == started {
		c.ready = slices.DeleteFunc(c.ready, func(o *Ticket) bool { return o == t })
		return Start
	}
	c.stats.Queued++
	return Wait
}

func (c *Core) refuse(t *Ticket, k kinds.Kind, after time.Duration) Verdict {
	t.state = refused
	t.kind = k
	t.after = after
	c.stats.Refused[k]++
	return Refuse
}

func (c *Core) held(t *Ticket) bool {
	for _, m := range c.holds {
		if slices.Contains(m.Keys, t.Job.Key) || slices.Contains(m.Slices, t.Job.Slice) {
			return true
		}
	}
	return false
}

// dispatch starts whoever can be started, in order.
func (c *Core) dispatch(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(t *Ticket) bool {
		if t.state != waiting {
			return false
		}
		s := c.choose(t)
		if s == nil {
			return false
		}
		t.state, t.srv, t.at = started, s, now
		s.running++
		c.stats.Started++
		c.ready = append(c.ready, t)
		return true
	})
}

func (c *Core) choose(t *Ticket) *server {
	for i := range c.servers {
		s := c.servers[(c.next+i)%len(c.servers)]
		if s.info.Drain || s.running >= max(s.info.Slots, 1) {
			continue
		}
		if t.Job.Server != "" && t.Job.Server != s.info.Name {
			continue
		}
		if t.Job.Server == "" && t.Job.avoid == s.info.Name && len(c.servers) > 1 {
			continue
		}
		c.next++
		return s
	}
	return nil
}

// Done gives a started request's place back.
func (c *Core) Done(now time.Time, t *Ticket, _ Outcome) {
	if t.state != started {
		return
	}
	t.state = idle
	t.srv.running--
	t.srv.latency = now.Sub(t.at)
	c.dispatch(now)
}

// Abandon takes back a request whose caller went away, whatever its state.
func (c *Core) Abandon(now time.Time, t *Ticket) {
	c.stats.Canceled++
	if t.state == started {
		c.Done(now, t, Cancel())
	}
	drop := func(o *Ticket) bool { return o == t }
	c.queue = slices.DeleteFunc(c.queue, drop)
	c.ready = slices.DeleteFunc(c.ready, drop)
}

// MayRetry reports whether the request may be tried again after o, and takes
// the retry from the budget.
func (c *Core) MayRetry(now time.Time, t *Ticket, o Outcome) bool {
	safe := o.Refused || o.Kind.Answer().Ran == kinds.RanNo || t.Job.Idempotent
	return safe && !t.Job.again && t.Job.Deadline.After(now)
}

// Hedge starts a second attempt if a place is free now.
func (c *Core) Hedge(now time.Time, t *Ticket) bool {
	if !t.Job.Idempotent || t.Job.Server != "" {
		return false
	}
	s := c.choose(t)
	if s == nil {
		return false
	}
	t.state, t.srv, t.at = started, s, now
	s.running++
	c.stats.Hedges++
	return true
}

// Ready returns the tickets decided since the last call, started or refused.
// The slice is valid until the next call into the core.
func (c *Core) Ready() []*Ticket {
	done := c.ready
	c.ready = c.ready[:0]
	return done
}

// Tick refuses those whose deadline has passed.
func (c *Core) Tick(now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(t *Ticket) bool {
		if t.Job.Deadline.After(now) {
			return false
		}
		k := kinds.Late
		if t.state == held {
			k = kinds.Moving
		}
		c.refuse(t, k, time.Second)
		c.ready = append(c.ready, t)
		return true
	})
}

// Next is when Tick has something to do; zero means nothing is pending.
func (c *Core) Next() time.Time {
	var next time.Time
	for _, t := range c.queue {
		if next.IsZero() || t.Job.Deadline.Before(next) {
			next = t.Job.Deadline
		}
	}
	return next
}

// Close refuses all who wait, and all who come later.
func (c *Core) Close(time.Time) {
	c.closed = true
	for _, t := range c.queue {
		c.refuse(t, kinds.Closing, time.Second)
		c.ready = append(c.ready, t)
	}
	c.queue = nil
}

// SetServers replaces the list of servers.
func (c *Core) SetServers(now time.Time, list []ServerInfo) {
	old := c.servers
	c.servers = nil
	for _, info := range list {
		i := slices.IndexFunc(old, func(s *server) bool { return s.info.Name == info.Name })
		s := &server{}
		if i >= 0 {
			s = old[i]
		}
		s.info = info
		c.servers = append(c.servers, s)
	}
	c.dispatch(now)
}

// SetShare says how many entry VMs share the servers.
func (c *Core) SetShare(_ time.Time, n, _ int) { c.share = max(n, 1) }

// Report notes a server's own word on its load.
func (c *Core) Report(time.Time, ident.Server, int, time.Duration) {}

// Hold makes the requests of a move wait.
func (c *Core) Hold(_ time.Time, m Move) { c.holds = append(c.holds, m) }

// Settle ends a move.
func (c *Core) Settle(now time.Time, m Move) {
	c.holds = slices.DeleteFunc(c.holds, func(h Move) bool {
		return slices.Equal(h.Keys, m.Keys) && slices.Equal(h.Slices, m.Slices)
	})
	for _, t := range c.queue {
		if t.state == held && !c.held(t) {
			t.state = waiting
			t.Job.Server = m.To
		}
	}
	c.dispatch(now)
}

// Conns returns this entry VM's share of a server's connections.
func (c *Core) Conns(_ time.Time, s ident.Server) (most, warm int) {
	for _, srv := range c.servers {
		if srv.info.Name == s {
			most = max(srv.info.Conns/c.share, 1)
		}
	}
	return most, most
}

// HedgeAfter is how long to wait before hedging.
func (c *Core) HedgeAfter() time.Duration { return 0 }

// Stats returns counters and gauges.
func (c *Core) Stats(time.Time) Stats {
	s := c.stats
	s.Waiting = len(c.queue)
	for _, srv := range c.servers {
		s.Running += srv.running
		s.Servers = append(s.Servers, ServerStats{
			Name: srv.info.Name, Running: srv.running, Limit: srv.info.Slots, Latency: srv.latency, State: "ok",
		})
	}
	return s
}
