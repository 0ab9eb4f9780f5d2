package host

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/rest"
)

// rests holds the servers that want no requests from this VM for a time and, on the leader,
// from which other VMs.
type rests struct {
	cfg Config
	hub *poll.Hub
	log *slog.Logger

	mu    sync.Mutex
	own   map[ident.Process]time.Time // until when, on the boot clock
	table rest.Table
}

func newRests(cfg Config, hub *poll.Hub, log *slog.Logger) *rests {
	return &rests{cfg: cfg, hub: hub, log: log, own: map[ident.Process]time.Time{}}
}

// hear records that a server wants no requests for a time. The argument via is the address of
// the VM through which it said so; empty if directly.
func (r *rests) hear(p ident.Process, d time.Duration, via string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if !now.Before(r.own[p]) {
		r.log.Info("server wants rest", "server", p.Server, "born", p.Incarnation, "for", d, "via", via)
	}
	if until := now.Add(d); until.After(r.own[p]) {
		r.own[p] = until
	}
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
