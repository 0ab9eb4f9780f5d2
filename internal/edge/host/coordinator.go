package host

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// tickInterval is how often the election and the assigners get a tick.
const tickInterval = 50 * time.Millisecond

// Delays before a starting VM tries to become leader.
const (
	// maxRandomDelay bounds the random part of the delay. With ten VMs the first one
	// claims after about 10 ms, and a claim takes about as long.
	maxRandomDelay = 100 * time.Millisecond
	// oneCPUDelay is the additional delay of a VM with one processor; a VM with a fifth
	// of a processor waits five times as long. The leader renews thousands of grants per
	// second, which can be too much for a small VM that also serves requests.
	oneCPUDelay = 40 * time.Millisecond
	// defaultCPUs is assumed for a VM that does not know how many processors it may use.
	defaultCPUs = 1
)

// claimDelay returns how long this VM waits before it tries to become leader.
func claimDelay(cpus float64) time.Duration {
	return rand.N(maxRandomDelay) + time.Duration(float64(oneCPUDelay)/cmp.Or(cpus, defaultCPUs))
}

// strongerFactor is how many times the leader's processors another VM must have for the
// leader to step down in its favor.
const strongerFactor = 1.5

// leaseObject is the name of the store object that holds the leader's lease.
const leaseObject = "lead"

// coordinator runs the leader election and, while this VM leads, one assigner for each
// service that is divided by key.
type coordinator struct {
	group    group.Group
	cfg      Config
	plat     Platform
	own      ownObjects
	hub      *poll.Hub
	servers  *serverTracker
	state    *state.State
	counts   *loadCounts
	dialer   *dial.Dialer
	log      *slog.Logger
	election *loop.Loop

	pacer pacer // limits the rate of orders to servers

	mu        sync.Mutex
	assigners map[ident.Service]*loop.Loop
	seq       uint64
	era       object.Era // of the store, as last logged
	failingAt time.Time  // when the first lease call since the last answer was sent; zero if the last was answered
	lostAt    time.Time  // the same for the outage before the store last returned from a copy
}

func newCoordinator(lc fx.Lifecycle, cfg Config, plat Platform, hub *poll.Hub, servers *serverTracker, st *state.State, counts *loadCounts, d *dial.Dialer, log *slog.Logger) *coordinator {
	co := &coordinator{cfg: cfg, plat: plat, own: ownObjects{plat: plat}, hub: hub, servers: servers, state: st, counts: counts, dialer: d, log: log, assigners: map[ident.Service]*loop.Loop{}}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			model := elect.New(clock.Now(), cfg.VM, hub.Incarnation(), cfg.Peers, elect.WithDelay(claimDelay(cfg.CPUs)))
			co.election = loop.New(model, loop.RunnerFunc(co.runCmd), loop.WithClock(clock.Now))
			co.servers.subscribe(co.setServers)
			co.group.Go(co.tickLoop)
			return nil
		},
		OnStop: func(context.Context) error {
			co.resign()
			co.servers.subscribe(nil)
			err := co.group.Close()
			co.stopAssigners()
			if co.election != nil {
				_ = co.election.Close()
			}
			return err
		},
	})
	return co
}

// resign ends this VM's leadership for good, so that another VM takes over at once.
func (c *coordinator) resign() {
	if c.election != nil { // nil if the VM failed to start before the election was created
		c.election.Send(elect.LeaveMsg{})
	}
}

// model returns the current state of the election.
func (c *coordinator) model() elect.Model { return c.election.Model().(elect.Model) }

// term returns the epoch of this VM's term as leader and when the term before it has ended,
// at the earliest now, and false if this VM does not lead.
func (c *coordinator) term(now time.Time) (epoch uint64, oldEnd time.Time, leads bool) {
	m := c.model()
	if m.Role() != elect.Leader || !now.Before(m.Until()) {
		return 0, time.Time{}, false
	}
	oldEnd = now
	if m.OldTermEnd().After(now) {
		oldEnd = m.OldTermEnd()
	}
	return m.Lease().Epoch, oldEnd, true
}

func (c *coordinator) tickLoop(ctx context.Context) error {
	for group.Sleep(ctx, tickInterval) {
		c.noteEra()
		c.election.Send(elect.TickMsg{})
		m := c.model()
		if m.Role() != elect.Leader {
			continue
		}
		c.hub.SetStoreDown(m.RenewOverdue(clock.Now()))
		if c.hub.HasStronger(time.Now(), c.cfg.CPUs*strongerFactor, elect.MinTenure) {
			c.election.Send(elect.StepDownMsg{})
		}
		c.startAssigners()
		auth := assign.Authority{
			Epoch: m.Lease().Epoch, Until: m.Until(), OldTermEnd: m.OldTermEnd(), LongGrants: m.RenewOverdue(clock.Now()),
			Era: m.Era(), Sole: c.hub.HearsAll(time.Now()),
		}
		for _, l := range c.assignerLoops() {
			l.Send(assign.TickMsg{Authority: auth})
		}
		c.sendLocalLoads()
	}
	return nil
}

// sendLocalLoads passes the loads that this VM counted itself to the assigners.
func (c *coordinator) sendLocalLoads() {
	cells, sums := c.counts.drain()
	c.sendLoads(cells, sums)
}

func (c *coordinator) sendLoads(cells map[ident.Service]poll.CellCounts, sums map[ident.Server]assign.LatencySum) {
	if len(cells) == 0 && len(sums) == 0 {
		return
	}
	for svc, l := range c.assignerLoops() {
		l.Send(assign.LoadMsg{Cells: cells[svc], Servers: sums})
	}
}

// onRequest handles what another VM reports in a poll request.
func (c *coordinator) onRequest(req *poll.Request) {
	if req.Lease.Incarnation != "" {
		c.election.Send(elect.LeaseMsg{Lease: req.Lease})
	}
	if _, leads := c.hub.Lease(); leads {
		c.sendLoads(req.Cells, req.LatencySums)
	}
}

func (c *coordinator) assignerLoops() map[ident.Service]*loop.Loop {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[ident.Service]*loop.Loop, len(c.assigners))
	for svc, l := range c.assigners {
		all[svc] = l
	}
	return all
}

// startAssigners starts an assigner for each divided service that has none yet.
func (c *coordinator) startAssigners() {
	for _, svc := range c.servers.dividedServices() {
		c.mu.Lock()
		_, running := c.assigners[svc]
		if !running {
			c.assigners[svc] = loop.New(assign.New(assign.WithMaxGrant(c.cfg.Bounds.MaxGrant)), &assigner{coord: c, svc: svc}, loop.WithClock(clock.Now))
		}
		c.mu.Unlock()
		if !running {
			c.servers.subscribe(c.setServers)
		}
	}
}

// reportStaleEpoch tells the election that another leader has written a service's key
// table, with an epoch that is not below this VM's.
func (c *coordinator) reportStaleEpoch(svc ident.Service, epoch uint64) {
	c.log.Warn("key table was written by another leader", "service", svc, "table", epoch, "epoch", c.model().Lease().Epoch)
	c.election.Send(elect.EpochMsg{Epoch: epoch})
}

func (c *coordinator) stopAssigners() {
	c.mu.Lock()
	stopped := c.assigners
	c.assigners = map[ident.Service]*loop.Loop{}
	c.mu.Unlock()
	for _, l := range stopped {
		_ = l.Close()
	}
}

// setServers passes the list of servers to the assigners.
func (c *coordinator) setServers(list []feed.Server) {
	for svc, l := range c.assignerLoops() {
		var servers []assign.Server
		for _, s := range list {
			if s.Service == svc {
				servers = append(servers, assign.Server{Name: s.Name, Addr: s.Addr, Incarnation: s.Incarnation, Slots: s.Slots, Leaving: s.Leaving, Evacuated: s.Evacuated, Capped: s.Capped, Cold: s.Cold, Shedding: s.Shedding, Limited: s.Notice.Limited, Limit: s.Notice.Rate})
			}
		}
		l.Send(assign.ServersMsg{Servers: servers})
	}
}

// runCmd executes a command of the election.
func (c *coordinator) runCmd(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case elect.ReadCmd:
		c.group.Go(func(ctx context.Context) error { send(c.readLease(ctx)); return nil })
	case elect.WriteCmd:
		c.group.Go(func(ctx context.Context) error { send(c.writeLease(ctx, cmd)); return nil })
	case elect.RoleChangeCmd:
		c.changeRole(cmd)
	}
}

func (c *coordinator) readLease(ctx context.Context) elect.ReadMsg {
	msg := elect.ReadMsg{Asked: clock.Now()}
	o, era, err := c.own.get(ctx, leaseObject)
	msg.Kind, msg.Version, msg.Era = kinds.Of(err), o.Version, era
	c.noteStoreCall(msg.Asked, msg.Kind)
	if err == nil && json.Unmarshal(o.Value, &msg.Lease) != nil {
		msg.Lease = elect.Lease{} // a partly decoded lease could name a leader that never existed
		c.log.Error("lease cannot be decoded; it will be rewritten", "rev", o.Version.Revision())
	}
	if !msg.Lease.Era.Is(era) {
		msg.MaxEpoch, msg.Lease = msg.Lease.Epoch, elect.Lease{}
	}
	if msg.Lease.Incarnation == "" && era > 0 && (err == nil || msg.Kind == kinds.NotFound) {
		msg.MaxEpoch = max(msg.MaxEpoch, c.earlierEpoch(ctx, era))
	}
	return msg
}

// earlierEpoch returns the highest epoch of the leases of earlier eras that the store still
// has. After a return it is at least one: there was a leader before, whether or not the copy
// has its lease.
func (c *coordinator) earlierEpoch(ctx context.Context, era object.Era) uint64 {
	epoch := uint64(min(era, 2) - 1) // the first era is zero or one
	for _, o := range c.own.list(ctx, leaseObject) {
		var l elect.Lease
		if json.Unmarshal(o.Value, &l) == nil {
			epoch = max(epoch, l.Epoch)
		}
	}
	return epoch
}

func (c *coordinator) writeLease(ctx context.Context, cmd elect.WriteCmd) elect.WroteMsg {
	cmd.Lease.Era = object.MarkOf(cmd.Era)
	msg := elect.WroteMsg{Asked: clock.Now(), Lease: cmd.Lease}
	b, err := json.Marshal(cmd.Lease)
	if err != nil {
		msg.Kind = kinds.Internal
		return msg
	}
	msg.Version, err = c.own.put(ctx, leaseObject, b, cmd.Old, cmd.Era)
	msg.Kind = kinds.Of(err)
	c.noteStoreCall(msg.Asked, msg.Kind)
	if err != nil {
		c.log.Warn("lease write failed", "epoch", cmd.Lease.Epoch, "old", cmd.Old.Revision(), "era", cmd.Era, "err", err)
	}
	return msg
}

// changeRole applies a change of the leader or of this VM's role.
func (c *coordinator) changeRole(cmd elect.RoleChangeCmd) {
	leads := cmd.Role == elect.Leader
	c.log.Info("lead", "stage", cmd.Role, "holder", cmd.Lease.Holder, "epoch", cmd.Lease.Epoch, "why", cmd.Reason)
	c.hub.SetLease(cmd.Lease, leads)
	// A leader that has only paused, because the store does not confirm its lease, keeps
	// its state of the grants: it resumes when the store is back unless another VM leads
	// by then.
	if !leads && cmd.Lease.Incarnation != c.hub.Incarnation() {
		c.group.Go(func(context.Context) error { c.stopAssigners(); return nil })
	}
}
