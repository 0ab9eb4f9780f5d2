package host

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/shed"
)

// shedders holds the servers that want no requests from this VM for a time and, on the leader,
// from which other VMs.
type shedders struct {
	group  group.Group
	cfg    Config
	hub    *poll.Hub
	state  *state.State
	client *poll.Client
	log    *slog.Logger
	onShed func(ident.Server) // called when a server begins to shed requests; nil until the VM is wired

	mu    sync.Mutex
	own   map[ident.Process]time.Time // until when, on the boot clock
	table shed.Table
}

func newShedders(lc fx.Lifecycle, cfg Config, hub *poll.Hub, st *state.State, log *slog.Logger) *shedders {
	r := &shedders{cfg: cfg, hub: hub, state: st, client: poll.NewClient(), log: log, own: map[ident.Process]time.Time{}}
	closeOnStop(lc, &r.group)
	return r
}

// hear records that a server, in response to a request of this VM, wants no more for a time.
// The argument via is the address of the VM through which the request went, empty if it went
// directly: to the server, that VM has sent it.
func (r *shedders) hear(p ident.Process, d time.Duration, via string) {
	r.record(p, d, via)
	at, err := netip.ParseAddrPort(via)
	if err != nil {
		return
	}
	r.group.Go(func(ctx context.Context) error {
		report := shed.Report{Server: p.Server, Incarnation: p.Incarnation, Left: d}
		if err := r.client.TellShedding(ctx, at, report); err != nil {
			r.log.Warn("VM does not know that a server sheds its requests", "vm", via, "server", p.Server, "err", err)
		}
		return nil
	})
}

// told records that a server wants no requests from this VM, through which another one had
// sent it one.
func (r *shedders) told(report shed.Report) {
	for _, svc := range r.state.Services() {
		if _, listed := svc.Addr(report.Server); listed && svc.Process(report.Server).Is(report.Process()) {
			svc.Gate.Shed(report.Server, report.Left)
			r.record(svc.Process(report.Server), report.Left, "")
		}
	}
}

func (r *shedders) record(p ident.Process, d time.Duration, via string) {
	r.mu.Lock()
	now := clock.Now()
	begins := !now.Before(r.own[p])
	if until := now.Add(d); until.After(r.own[p]) {
		r.own[p] = until
	}
	r.mu.Unlock()
	if !begins {
		return
	}
	r.log.Info("server sheds requests", "server", p.Server, "born", p.Incarnation, "for", d, "via", via)
	if r.onShed != nil {
		r.onShed(p.Server)
	}
}

// isShedding reports whether a server wants no requests from this VM now.
func (r *shedders) isShedding(s ident.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	for p, until := range r.own {
		if p.Server == s && now.Before(until) {
			return true
		}
	}
	return false
}

// report returns the servers that want no requests from this VM.
func (r *shedders) report() []shed.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(r.own, func(_ ident.Process, until time.Time) bool { return !now.Before(until) })
	var all []shed.Report
	for p, until := range r.own {
		all = append(all, shed.Report{Server: p.Server, Incarnation: p.Incarnation, Left: until.Sub(now)})
	}
	slices.SortFunc(all, func(x, y shed.Report) int { return cmp.Compare(x.Server, y.Server) })
	return all
}

// add adds what another VM reports to this one, which leads.
func (r *shedders) add(vm ident.VM, all []shed.Report) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Add(clock.Now(), vm, all)
}

// shedding returns the servers that want no requests from several VMs, if this VM leads.
func (r *shedders) shedding() map[ident.Process]bool {
	if _, leads := r.hub.Lease(); !leads {
		return nil
	}
	r.add(r.cfg.VM, r.report())
	vms := r.hub.VMs(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Shedding(clock.Now(), vms)
}
