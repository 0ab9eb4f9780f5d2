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
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// tickEvery is how often the decisions are told the time.
const tickEvery = 50 * time.Millisecond

// Delays before a VM that starts claims the lead.
const (
	// mostDelay bounds the part that is left to chance. The first of ten claims after
	// some 10 ms, and that takes as long.
	mostDelay = 100 * time.Millisecond
	// weakDelay is the part that a VM with one processor waits; one with a fifth of it
	// waits five times as long. A VM that leads renews thousands of grants a second,
	// which can be more than a small one does beside its requests.
	weakDelay = 40 * time.Millisecond
	// unknownPower stands for a VM that does not know what it may use.
	unknownPower = 1
)

// delay is how long this VM waits before it claims the lead.
func delay(power float64) time.Duration {
	return rand.N(mostDelay) + time.Duration(float64(weakDelay)/cmp.Or(power, unknownPower))
}

// muchStronger is how many times more a VM must be able to do than the one that leads
// for the lead to change hands.
const muchStronger = 1.5

// leaseName is the object that says who leads.
const leaseName = "lead"

// reign runs the decision who leads and, while this VM does, the deals of all
// divided services.
type reign struct {
	group group.Group
	cfg   Config
	plat  Platform
	board *poll.Hub
	fleet *fleet
	state *state.State
	count *counts
	log   *slog.Logger
	loop  *loop.Loop

	pace pacer // of orders

	mu    sync.Mutex
	deals map[ident.Service]*loop.Loop
	seq   uint64
}

func newReign(lc fx.Lifecycle, cfg Config, p Platform, b *poll.Hub, f *fleet, s *state.State, c *counts, log *slog.Logger) *reign {
	r := &reign{cfg: cfg, plat: p, board: b, fleet: f, state: s, count: c, log: log, deals: map[ident.Service]*loop.Loop{}}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			model := elect.New(clock.Now(), cfg.VM, b.Incarnation(), cfg.Peers, elect.WithDelay(delay(cfg.CPUs)))
			r.loop = loop.New(model, loop.RunnerFunc(r.run), loop.WithClock(clock.Now))
			r.fleet.follow(r.hosts)
			r.group.Go(r.ticks)
			return nil
		},
		OnStop: func(context.Context) error {
			r.leave()
			r.fleet.follow(nil)
			err := r.group.Close()
			r.endDeals()
			if r.loop != nil {
				_ = r.loop.Close()
			}
			return err
		},
	})
	return r
}

// leave stops leading for good, so that another VM takes over at once.
func (r *reign) leave() {
	if r.loop != nil { // it is made as the VM starts, which may have failed before
		r.loop.Send(elect.LeaveMsg{})
	}
}

// model returns the decision's present state.
func (r *reign) model() elect.Model { return r.loop.Model().(elect.Model) }

func (r *reign) ticks(ctx context.Context) error {
	for group.Sleep(ctx, tickEvery) {
		r.loop.Send(elect.TickMsg{})
		m := r.model()
		if m.Role() != elect.Leader {
			continue
		}
		r.board.SetStoreDown(m.RenewOverdue(clock.Now()))
		if r.board.HasStronger(time.Now(), r.cfg.CPUs*muchStronger, elect.MinTenure) {
			r.loop.Send(elect.StepDownMsg{})
		}
		r.begin()
		auth := assign.Authority{
			Epoch: m.Lease().Epoch, Until: m.Until(), OldTermEnd: m.OldTermEnd(), LongGrants: m.RenewOverdue(clock.Now()),
		}
		for _, l := range r.all() {
			l.Send(assign.TickMsg{Authority: auth})
		}
		r.report()
	}
	return nil
}

// report hands what this VM saw itself to the deals.
func (r *reign) report() {
	cells, sums := r.count.take()
	r.loads(cells, sums)
}

func (r *reign) loads(cells map[ident.Service]poll.CellCounts, sums map[ident.Server]assign.LatencySum) {
	if len(cells) == 0 && len(sums) == 0 {
		return
	}
	for svc, l := range r.all() {
		l.Send(assign.LoadMsg{Cells: cells[svc], Servers: sums})
	}
}

// heard takes in what another VM told as it asked.
func (r *reign) heard(a *poll.Request) {
	if a.Lease.Incarnation != "" {
		r.loop.Send(elect.LeaseMsg{Lease: a.Lease})
	}
	if _, leads := r.board.Lease(); leads {
		r.loads(a.Cells, a.LatencySums)
	}
}

func (r *reign) all() map[ident.Service]*loop.Loop {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[ident.Service]*loop.Loop, len(r.deals))
	for svc, l := range r.deals {
		all[svc] = l
	}
	return all
}

// begin starts the deals of divided services that have none yet.
func (r *reign) begin() {
	for _, svc := range r.fleet.divided() {
		r.mu.Lock()
		_, runs := r.deals[svc]
		if !runs {
			r.deals[svc] = loop.New(assign.New(assign.WithMaxGrant(r.cfg.Bounds.MaxGrant)), &dealer{r: r, svc: svc}, loop.WithClock(clock.Now))
		}
		r.mu.Unlock()
		if !runs {
			r.fleet.follow(r.hosts)
		}
	}
}

// behind tells the decision who leads that a key table is another leader's, of an epoch
// that this VM's is not above.
func (r *reign) behind(svc ident.Service, epoch uint64) {
	r.log.Warn("the key table is another leader's", "service", svc, "table", epoch, "epoch", r.model().Lease().Epoch)
	r.loop.Send(elect.EpochMsg{Epoch: epoch})
}

func (r *reign) endDeals() {
	r.mu.Lock()
	ended := r.deals
	r.deals = map[ident.Service]*loop.Loop{}
	r.mu.Unlock()
	for _, l := range ended {
		_ = l.Close()
	}
}

// hosts tells the deals which servers there are.
func (r *reign) hosts(list []feed.Server) {
	for svc, l := range r.all() {
		var hosts []assign.Server
		for _, s := range list {
			if s.Service == svc {
				hosts = append(hosts, assign.Server{Name: s.Name, Addr: s.Addr, Incarnation: s.Incarnation, Slots: s.Slots, Leaving: s.Leaving, Cold: s.Cold})
			}
		}
		l.Send(assign.ServersMsg{Servers: hosts})
	}
}

// run carries out what the decision who leads wants.
func (r *reign) run(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case elect.ReadCmd:
		r.group.Go(func(ctx context.Context) error { send(r.read(ctx)); return nil })
	case elect.WriteCmd:
		r.group.Go(func(ctx context.Context) error { send(r.write(ctx, cmd)); return nil })
	case elect.RoleChangeCmd:
		r.change(cmd)
	}
}

func (r *reign) read(ctx context.Context) elect.ReadMsg {
	msg := elect.ReadMsg{Asked: clock.Now()}
	o, err := r.plat.Store.Get(ctx, r.plat.OwnPrefix+leaseName)
	msg.Kind, msg.Version = kinds.Of(err), o.Version
	if err == nil && json.Unmarshal(o.Value, &msg.Lease) != nil {
		msg.Lease = elect.Lease{} // a part of it would name a leader that there never was
		r.log.Error("the lease cannot be read; it will be written anew", "rev", o.Version)
	}
	return msg
}

func (r *reign) write(ctx context.Context, cmd elect.WriteCmd) elect.WroteMsg {
	msg := elect.WroteMsg{Asked: clock.Now(), Lease: cmd.Lease}
	b, err := json.Marshal(cmd.Lease)
	if err != nil {
		msg.Kind = kinds.Internal
		return msg
	}
	msg.Version, err = r.plat.Store.Put(ctx, r.plat.OwnPrefix+leaseName, b, cmd.Old)
	msg.Kind = kinds.Of(err)
	if err != nil {
		r.log.Warn("lease not written", "epoch", cmd.Lease.Epoch, "old", cmd.Old, "err", err)
	}
	return msg
}

// change takes in who leads now.
func (r *reign) change(cmd elect.RoleChangeCmd) {
	leads := cmd.Role == elect.Leader
	r.log.Info("lead", "stage", cmd.Role, "holder", cmd.Lease.Holder, "epoch", cmd.Lease.Epoch, "why", cmd.Reason)
	r.board.SetLease(cmd.Lease, leads)
	// A leader that only rests, because the store does not confirm it, keeps what it
	// knows of its grants: it goes on when the store is back, if nobody else leads then.
	if !leads && cmd.Lease.Incarnation != r.board.Incarnation() {
		r.group.Go(func(context.Context) error { r.endDeals(); return nil })
	}
}
