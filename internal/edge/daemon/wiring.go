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

// constructors lists the constructors of all parts. fx stops the parts in the reverse
// of the order in which it builds them, which follows from their dependencies: the
// callers' listener stops first, the journal among the last.
func constructors() []any {
	return []any{
		newLog, newStore, newVMs, newControl, newMeter, newJournal, newFilter, newHistories, newRecorder, newClaims,
		newState, newRebalancer, newRelay, newPeers, newLeases, newSyncer, newMonitor, newFront, newListeners,
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
	closeOnStop(lc, c)
	return c
}

// closer is a part that is closed when the daemon stops.
type closer interface{ Close() error }

func closeOnStop(lc fx.Lifecycle, c closer) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
}

func newMeter(lc fx.Lifecycle, cfg config.Config) *meter.Meter {
	m := meter.New(cfg.VM)
	closeOnStop(lc, m)
	return m
}

func newClaims(lc fx.Lifecycle, cfg config.Config, store object.Store, log *slog.Logger) *dedup.Guard {
	g := dedup.New(store, cfg.VM, log)
	closeOnStop(lc, g)
	return g
}

func newState(lc fx.Lifecycle, cfg config.Config) *state.State {
	s := state.New(cfg.Services)
	for name, svc := range s.Services() {
		svc.Gate = gate.New(gate.Config{Service: name, Queue: cfg.Limit.Queue, MaxHeld: cfg.Limit.Queue, Deadline: cfg.Limit.Request.Duration})
		svc.Gate.SetServers(serverInfos(svc))
		closeOnStop(lc, svc.Gate)
	}
	return s
}

func newRelay(lc fx.Lifecycle, cfg config.Config) *relay.Relay {
	r := relay.New(relay.Config{Dial: cfg.Limit.Dial.Duration, Idle: cfg.Limit.Idle.Duration})
	closeOnStop(lc, r)
	return r
}

// leaveTimeout is how long handing over the lessors may take.
const leaveTimeout = 3 * time.Second

// commonParts are the parts that the lessors, the syncer and the monitor use.
type commonParts struct {
	fx.In
	State   *state.State
	Store   object.Store
	Control server.Control
	Peers   *peers
	Record  *record.Writer
	Log     *slog.Logger
}

func newRebalancer(cfg config.Config, s *state.State, log *slog.Logger) *rebal.Rebalancer {
	return rebal.New(cfg.VM, s, log)
}

func newLeases(lc fx.Lifecycle, cfg config.Config, o *options, p commonParts, reb *rebal.Rebalancer) (*leases.Manager, error) {
	times := leaseTimes(cfg.Lease)
	if err := times.Check(); err != nil {
		return nil, err
	}
	plan := o.planner
	if plan == nil {
		plan = reb.Plan
	}
	mgr := leases.New(leases.Options{
		VM: cfg.VM, State: p.State, Store: p.Store, Control: p.Control, Peers: kindSender{p.Peers, link.Lessor}, Times: times,
		Plan: plan, Record: p.Record, Log: p.Log,
	})
	p.Peers.setHandler(link.Lessor, mgr.Handle)
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		mgr.Leave(ctx)
		return mgr.Close()
	}})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			reb.Start(rebal.Deps{Lessors: mgr, Peers: kindSender{p.Peers, link.Load}, Accepting: mgr.Accepting})
			p.Peers.setHandler(link.Load, reb.Handle)
			return nil
		},
		OnStop: func(context.Context) error { return reb.Close() },
	})
	return mgr, nil
}

func leaseTimes(l config.Lease) lease.Times {
	const perMille = 1000
	t := lease.Default()
	t.TTL, t.Renew, t.Heartbeat = l.TTL.Duration, l.Renew.Duration, l.Heartbeat.Duration
	t.SilenceTimeout, t.Margin, t.Term = l.SilenceTimeout.Duration, l.Margin.Duration, l.Term.Duration
	t.Drift = int(l.Drift*perMille + 0.5)
	return t
}

// serverInfos describes a service's servers to its gate before their state is known.
func serverInfos(svc *state.Service) []gate.ServerInfo {
	all := make([]gate.ServerInfo, len(svc.Servers))
	for i, s := range svc.Servers {
		all[i] = gate.ServerInfo{Name: s.Name, Centre: s.Centre, Slots: s.Slots, Conns: s.Conns}
	}
	return all
}

// monitorParts are the further parts that the monitor uses.
type monitorParts struct {
	fx.In
	VMs        vmlist.Lister
	Leases     *leases.Manager
	Syncer     *syncer.Syncer
	Relay      *relay.Relay
	Journal    *ledger.Journal
	Rebalancer *rebal.Rebalancer
}

func newMonitor(lc fx.Lifecycle, cfg config.Config, p commonParts, mp monitorParts) *monit.Monitor {
	m := monit.New(monit.Options{
		VM: cfg.VM, Centre: cfg.Centre, Addr: p.Peers.addr, State: p.State, VMs: mp.VMs, Control: p.Control,
		Leases: mp.Leases, Syncer: mp.Syncer, Relay: mp.Relay, Peers: kindSender{p.Peers, link.Heartbeat},
		OnListChange: func(list []vmlist.VM, live int) {
			p.Peers.setVMs(list)
			mp.Journal.SetVMCount(live)
			mp.Rebalancer.SetVMs(list)
		},
		Timeout: cfg.Platform.Timeout.Duration, Log: p.Log,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.Start()
			p.Peers.setHandler(link.Heartbeat, m.Handle)
			p.Peers.onMessage.Store(new(m.Heard))
			mp.Leases.OnAnswer(m.Answered)
			mp.Syncer.OnViews(m.ApplyViews)
			mp.Syncer.OnList(m.ReadList)
			return nil
		},
		OnStop: func(context.Context) error { return m.Close() },
	})
	return m
}

func newSyncer(lc fx.Lifecycle, cfg config.Config, p commonParts, mgr *leases.Manager) *syncer.Syncer {
	s := syncer.New(syncer.Options{
		Self:  gossip.Peer{VM: cfg.VM, Centre: cfg.Centre},
		Store: p.Store, Rules: &p.State.Rules, Peers: kindSender{p.Peers, link.Gossip}, ApplyTable: mgr.ApplyTable, ApplyStandby: mgr.ApplyStandby,
		ApplyLoads: func(rows []gossip.LoadRow) { reportLoads(p.State, rows) },
		Confirm:    kindSender{p.Peers, link.Rules},
		Timeout:    cfg.Platform.Timeout.Duration, Log: p.Log,
	})
	p.Peers.setHandler(link.Gossip, s.Handle)
	p.Peers.setHandler(link.Rules, s.HandleConfirm)
	mgr.OnTable(leases.TableHooks{Newer: s.PublishTable, Moved: s.Notify, Standby: s.PublishStandby})
	closeOnStop(lc, s)
	return s
}

// reportLoads passes loads that peers read to the gates. There they only decide between
// servers that look alike.
func reportLoads(s *state.State, rows []gossip.LoadRow) {
	for _, r := range rows {
		for _, svc := range s.Services() {
			if _, ok := svc.Addr(r.Server); ok {
				svc.Gate.Report(r.Server, r.Busy+r.Queue, r.Age)
			}
		}
	}
}
