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

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/tick"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/query"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/deal"
	"hawthornfield.org/hawthornfield/internal/owner/lead"
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
	board *query.Board
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

func newReign(lc fx.Lifecycle, cfg Config, p Platform, b *query.Board, f *fleet, s *state.State, c *counts, log *slog.Logger) *reign {
	r := &reign{cfg: cfg, plat: p, board: b, fleet: f, state: s, count: c, log: log, deals: map[ident.Service]*loop.Loop{}}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			model := lead.New(tick.Now(), cfg.VM, b.Life(), cfg.Peers, lead.WithDelay(delay(cfg.Power)))
			r.loop = loop.New(model, loop.RunnerFunc(r.run), loop.WithClock(tick.Now))
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
		r.loop.Send(lead.LeaveMsg{})
	}
}

// model returns the decision's present state.
func (r *reign) model() lead.Model { return r.loop.Model().(lead.Model) }

func (r *reign) ticks(ctx context.Context) error {
	for group.Sleep(ctx, tickEvery) {
		r.loop.Send(lead.TickMsg{})
		m := r.model()
		if m.Stage() != lead.Lead {
			continue
		}
		r.board.SetAway(m.Troubled(tick.Now()))
		if r.board.Stronger(time.Now(), r.cfg.Power*muchStronger, lead.Reign) {
			r.loop.Send(lead.YieldMsg{})
		}
		r.begin()
		auth := deal.Authority{
			Epoch: m.Lease().Epoch, Until: m.Until(), Bar: m.Bar(), Long: m.Troubled(tick.Now()),
		}
		for _, l := range r.all() {
			l.Send(deal.TickMsg{Authority: auth})
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

func (r *reign) loads(cells map[ident.Service]query.Cells, sums map[ident.Server]deal.Sum) {
	if len(cells) == 0 && len(sums) == 0 {
		return
	}
	for svc, l := range r.all() {
		l.Send(deal.LoadMsg{Cells: cells[svc], Servers: sums})
	}
}

// heard takes in what another VM told as it asked.
func (r *reign) heard(a *query.Ask) {
	if a.Lease.Life != "" {
		r.loop.Send(lead.SeeMsg{Lease: a.Lease})
	}
	if _, leads := r.board.Lease(); leads {
		r.loads(a.Cells, a.Sums)
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
			r.deals[svc] = loop.New(deal.New(deal.WithMost(r.cfg.Bounds.HoldMax)), &dealer{r: r, svc: svc}, loop.WithClock(tick.Now))
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
	r.loop.Send(lead.RaiseMsg{Epoch: epoch})
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
		var hosts []deal.Host
		for _, s := range list {
			if s.Service == svc {
				hosts = append(hosts, deal.Host{Name: s.Name, Addr: s.Addr, Born: s.Born, Slots: s.Slots, Leaving: s.Leaving, Cold: s.Cold})
			}
		}
		l.Send(deal.HostsMsg{Hosts: hosts})
	}
}

// run carries out what the decision who leads wants.
func (r *reign) run(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case lead.ReadCmd:
		r.group.Go(func(ctx context.Context) error { send(r.read(ctx)); return nil })
	case lead.WriteCmd:
		r.group.Go(func(ctx context.Context) error { send(r.write(ctx, cmd)); return nil })
	case lead.ChangeCmd:
		r.change(cmd)
	}
}

func (r *reign) read(ctx context.Context) lead.ReadMsg {
	msg := lead.ReadMsg{Asked: tick.Now()}
	o, err := r.plat.Store.Get(ctx, r.plat.Own+leaseName)
	msg.Kind, msg.Version = kinds.Of(err), o.Version
	if err == nil && json.Unmarshal(o.Value, &msg.Lease) != nil {
		msg.Lease = lead.Lease{} // a part of it would name a leader that there never was
		r.log.Error("the lease cannot be read; it will be written anew", "rev", o.Version)
	}
	return msg
}

func (r *reign) write(ctx context.Context, cmd lead.WriteCmd) lead.WroteMsg {
	msg := lead.WroteMsg{Asked: tick.Now(), Lease: cmd.Lease}
	b, err := json.Marshal(cmd.Lease)
	if err != nil {
		msg.Kind = kinds.Internal
		return msg
	}
	msg.Version, err = r.plat.Store.Put(ctx, r.plat.Own+leaseName, b, cmd.Old)
	msg.Kind = kinds.Of(err)
	if err != nil {
		r.log.Warn("lease not written", "epoch", cmd.Lease.Epoch, "old", cmd.Old, "err", err)
	}
	return msg
}

// change takes in who leads now.
func (r *reign) change(cmd lead.ChangeCmd) {
	leads := cmd.Stage == lead.Lead
	r.log.Info("lead", "stage", cmd.Stage, "holder", cmd.Lease.Holder, "epoch", cmd.Lease.Epoch, "why", cmd.Why)
	r.board.SetLease(cmd.Lease, leads)
	// A leader that only rests, because the store does not confirm it, keeps what it
	// knows of its grants: it goes on when the store is back, if nobody else leads then.
	if !leads && cmd.Lease.Life != r.board.Life() {
		r.group.Go(func(context.Context) error { r.endDeals(); return nil })
	}
}
