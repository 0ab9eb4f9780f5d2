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
	"hawthornfield.org/hawthornfield/internal/load/rest"
)

// rests holds the servers that want no requests from this VM for a time and, on the leader,
// from which other VMs.
type rests struct {
	group  group.Group
	cfg    Config
	hub    *poll.Hub
	state  *state.State
	client *poll.Client
	log    *slog.Logger
	onRest func(ident.Server) // called when a server begins to rest; nil until the VM is wired

	mu    sync.Mutex
	own   map[ident.Process]time.Time // until when, on the boot clock
	table rest.Table
}

func newRests(lc fx.Lifecycle, cfg Config, hub *poll.Hub, st *state.State, log *slog.Logger) *rests {
	r := &rests{cfg: cfg, hub: hub, state: st, client: poll.NewClient(), log: log, own: map[ident.Process]time.Time{}}
	closeOnStop(lc, &r.group)
	return r
}

// hear records that a server, in response to a request of this VM, wants no more for a time.
// The argument via is the address of the VM through which the request went, empty if it went
// directly: to the server, that VM has sent it.
func (r *rests) hear(p ident.Process, d time.Duration, via string) {
	r.record(p, d, via)
	at, err := netip.ParseAddrPort(via)
	if err != nil {
		return
	}
	r.group.Go(func(ctx context.Context) error {
		report := rest.Report{Server: p.Server, Incarnation: p.Incarnation, Left: d}
		if err := r.client.TellRest(ctx, at, report); err != nil {
			r.log.Warn("VM does not know that a server wants rest from it", "vm", via, "server", p.Server, "err", err)
		}
		return nil
	})
}

// told records that a server wants no requests from this VM, through which another one had
// sent it one.
func (r *rests) told(report rest.Report) {
	for _, svc := range r.state.Services() {
		if _, listed := svc.Addr(report.Server); listed && svc.Process(report.Server).Is(report.Process()) {
			svc.Gate.Rest(report.Server, report.Left)
			r.record(svc.Process(report.Server), report.Left, "")
		}
	}
}

func (r *rests) record(p ident.Process, d time.Duration, via string) {
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
	r.log.Info("server wants rest", "server", p.Server, "born", p.Incarnation, "for", d, "via", via)
	if r.onRest != nil {
		r.onRest(p.Server)
	}
}

// isResting reports whether a server wants no requests from this VM now.
func (r *rests) isResting(s ident.Server) bool {
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
func (r *rests) report() []rest.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(r.own, func(_ ident.Process, until time.Time) bool { return !now.Before(until) })
	var all []rest.Report
	for p, until := range r.own {
		all = append(all, rest.Report{Server: p.Server, Incarnation: p.Incarnation, Left: until.Sub(now)})
	}
	slices.SortFunc(all, func(x, y rest.Report) int { return cmp.Compare(x.Server, y.Server) })
	return all
}

// add adds what another VM reports to this one, which leads.
func (r *rests) add(vm ident.VM, all []rest.Report) {
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Add(clock.Now(), vm, all)
}

// resting returns the servers that want no requests from several VMs, if this VM leads.
func (r *rests) resting() map[ident.Process]bool {
	if _, leads := r.hub.Lease(); !leads {
		return nil
	}
	r.add(r.cfg.VM, r.report())
	vms := r.hub.VMs(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Resting(clock.Now(), vms)
}
