package daemon

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/dedup"
	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/monit"
	"hawthornfield.org/hawthornfield/internal/edge/rebal"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/syncer"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/peer/link"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// provided lists the parts. fx stops them in the reverse of the order in which
// they are made, which follows from who needs whom: the callers' door closes
// first, the journal among the last.
func provided() []any {
	return []any{
		newLog, newStore, newVMs, newControl, newMeter, newJournal, newSieve, newHistories, newRecord, newClaims,
		newState, newMover, newRelay, newPeers, newKeeper, newNews, newWarden, newFront, newDoors,
	}
}

func newLog(o *options) *slog.Logger { return o.log }

func newStore(o *options, cfg config.Config) object.Store {
	if o.store != nil {
		return o.store
	}
	return objcli.New(cfg.Platform.Objects)
}

func newVMs(o *options, cfg config.Config) vmlist.Lister {
	if o.vms != nil {
		return o.vms
	}
	return vmcli.New(cfg.Platform.VMs)
}

func newControl(lc fx.Lifecycle, o *options) server.Control {
	if o.control != nil {
		return o.control
	}
	c := &srvcli.Client{}
	closes(lc, c)
	return c
}

// closer is a part that is closed when the daemon stops.
type closer interface{ Close() error }

func closes(lc fx.Lifecycle, c closer) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
}

func newMeter(lc fx.Lifecycle, cfg config.Config) *meter.Meter {
	m := meter.New(cfg.VM)
	closes(lc, m)
	return m
}

func newClaims(lc fx.Lifecycle, cfg config.Config, store object.Store, log *slog.Logger) *dedup.Guard {
	g := dedup.New(store, cfg.VM, log)
	closes(lc, g)
	return g
}

func newState(lc fx.Lifecycle, cfg config.Config) *state.State {
	s := state.New(cfg.Services)
	for name, svc := range s.Services() {
		svc.Gate = gate.New(gate.Config{Service: name, Queue: cfg.Limit.Queue, MaxHeld: cfg.Limit.Queue, Deadline: cfg.Limit.Request.Duration})
		svc.Gate.SetServers(infos(svc))
		closes(lc, svc.Gate)
	}
	return s
}

func newRelay(lc fx.Lifecycle, cfg config.Config) *relay.Relay {
	r := relay.New(relay.Config{Dial: cfg.Limit.Dial.Duration, Idle: cfg.Limit.Idle.Duration})
	closes(lc, r)
	return r
}

// leaveWait is how long handing over the seats may take.
const leaveWait = 3 * time.Second

// hands are the parts that the keeper works with.
type hands struct {
	fx.In
	State   *state.State
	Store   object.Store
	Control server.Control
	Peers   *peers
	Record  *record.Writer
	Log     *slog.Logger
}

func newMover(cfg config.Config, s *state.State, log *slog.Logger) *rebal.Rebalancer {
	return rebal.New(cfg.VM, s, log)
}

func newKeeper(lc fx.Lifecycle, cfg config.Config, o *options, a hands, m *rebal.Rebalancer) (*leases.Manager, error) {
	times := timesOf(cfg.Lease)
	if err := times.Check(); err != nil {
		return nil, err
	}
	plan := o.plan
	if plan == nil {
		plan = m.Plan
	}
	k := leases.New(leases.Options{
		VM: cfg.VM, State: a.State, Store: a.Store, Control: a.Control, Peers: mail{a.Peers, link.Lessor}, Times: times,
		Plan: plan, Record: a.Record, Log: a.Log,
	})
	a.Peers.on(link.Lessor, k.Handle)
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, leaveWait)
		defer cancel()
		k.Leave(ctx)
		return k.Close()
	}})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.Start(rebal.Deps{Lessors: k, Peers: mail{a.Peers, link.Load}, Accepting: k.Accepting})
			a.Peers.on(link.Load, m.Handle)
			return nil
		},
		OnStop: func(context.Context) error { return m.Close() },
	})
	return k, nil
}

func timesOf(l config.Lease) lease.Times {
	const perMille = 1000
	t := lease.Default()
	t.TTL, t.Renew, t.Heartbeat = l.TTL.Duration, l.Renew.Duration, l.Heartbeat.Duration
	t.SilenceTimeout, t.Margin, t.Term = l.SilenceTimeout.Duration, l.Margin.Duration, l.Term.Duration
	t.Drift = int(l.Drift*perMille + 0.5)
	return t
}

// infos describes a service's servers to its gate before anything is known of
// them.
func infos(svc *state.Service) []gate.ServerInfo {
	all := make([]gate.ServerInfo, len(svc.Servers))
	for i, s := range svc.Servers {
		all[i] = gate.ServerInfo{Name: s.Name, Centre: s.Centre, Slots: s.Slots, Conns: s.Conns}
	}
	return all
}

// surroundings are the parts that the warden looks at and talks to.
type surroundings struct {
	fx.In
	VMs     vmlist.Lister
	Keeper  *leases.Manager
	News    *syncer.Syncer
	Relay   *relay.Relay
	Journal *ledger.Journal
	Mover   *rebal.Rebalancer
}

func newWarden(lc fx.Lifecycle, cfg config.Config, h hands, a surroundings) *monit.Monitor {
	w := monit.New(monit.Options{
		VM: cfg.VM, Centre: cfg.Centre, Addr: h.Peers.addr, State: h.State, VMs: a.VMs, Control: h.Control,
		Leases: a.Keeper, Syncer: a.News, Relay: a.Relay, Peers: mail{h.Peers, link.Heartbeat},
		Listed: func(list []vmlist.VM, live int) {
			h.Peers.set(list)
			a.Journal.SetVMCount(live)
			a.Mover.SetVMs(list)
		},
		Timeout: cfg.Platform.Timeout.Duration, Log: h.Log,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			w.Start()
			h.Peers.on(link.Heartbeat, w.Handle)
			h.Peers.heard.Store(new(w.Heard))
			a.Keeper.OnAnswer(w.Answered)
			a.News.OnViews(w.Views)
			a.News.OnList(w.ReadList)
			return nil
		},
		OnStop: func(context.Context) error { return w.Close() },
	})
	return w
}

func newNews(lc fx.Lifecycle, cfg config.Config, a hands, k *leases.Manager) *syncer.Syncer {
	n := syncer.New(syncer.Options{
		Self:  gossip.Peer{VM: cfg.VM, Centre: cfg.Centre},
		Store: a.Store, Rules: &a.State.Rules, Peers: mail{a.Peers, link.Gossip}, Tables: k.Table, Standbys: k.ApplyStandby,
		Loads:   func(rows []gossip.LoadRow) { weigh(a.State, rows) },
		Confirm: mail{a.Peers, link.Rules},
		Timeout: cfg.Platform.Timeout.Duration, Log: a.Log,
	})
	a.Peers.on(link.Gossip, n.Handle)
	a.Peers.on(link.Rules, n.HandleConfirm)
	k.OnTable(leases.TableHooks{Newer: n.PublishTable, Moved: n.Notify, Standby: n.PublishStandby})
	closes(lc, n)
	return n
}

// weigh hands loads that peers read to the gates. They only tip the choice
// between servers that look alike.
func weigh(s *state.State, rows []gossip.LoadRow) {
	for _, r := range rows {
		for _, svc := range s.Services() {
			if _, ok := svc.Addr(r.Server); ok {
				svc.Gate.Report(r.Server, r.Busy+r.Queue, r.Age)
			}
		}
	}
}
