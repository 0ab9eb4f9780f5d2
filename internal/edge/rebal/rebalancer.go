// Package rebal balances load over the servers of a service: it counts the
// requests for each slice and each hot key, merges the counts of all entry VMs on
// one of them, asks owner/place for a plan and passes the moves to the lessors of
// the servers concerned.
//
// Requests are counted from decision records, off the request path. One VM per
// service plans, chosen in the same way as the preferred holders of lessors. When
// two VMs both consider themselves the planner, both plans are safe, since only a
// lessor's holder can carry out moves, and it checks each of them against the table.
package rebal

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/place"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Periods and limits of reporting and planning. Hot keys change within minutes, so
// a report every 5 seconds is soon enough; it costs under a kilobyte a second for
// each service.
const (
	reportPeriod = 5 * time.Second // of reports to the planning VM
	planPeriod   = time.Second
	reportTTL    = 4 * reportPeriod // how long another VM's report is used
	// moveTimeout is how long the next plan waits for the moves of the one before.
	moveTimeout = 10 * time.Second
	// minWeight is the weight below which no plan is made: 1,000 requests within the
	// half-life. Fewer say too little about load, and keys would move because of
	// noise.
	minWeight = 1000
)

// Sender sends reports and moves to other entry VMs.
type Sender interface {
	Send(to ident.VM, body []byte)
}

// Lessors carry out moves, as *leases.Manager does. Pair names the VMs that should
// hold a lessor and be its deputy.
type Lessors interface {
	Move(svc ident.Service, from ident.Server, moves []table.Move)
	Pair(svc ident.Service, srv ident.Server) leases.Pair
}

// Deps are what a Rebalancer needs for planning.
type Deps struct {
	Lessors Lessors
	Peers   Sender
	// Accepting reports whether a server may be given keys.
	Accepting func(ident.Server) bool
}

// Rebalancer counts requests and plans moves. Create one with New; it is a
// record.Sink.
type Rebalancer struct {
	Deps
	vm    ident.VM
	log   *slog.Logger
	group group.Group

	mu       sync.Mutex
	live     []vmlist.VM
	services map[ident.Service]*serviceLoad
}

// serviceLoad is what is known about the load of one service.
type serviceLoad struct {
	svc        *state.Service
	own        *loadCounts
	reports    map[ident.VM]peerReport
	plannedAt  time.Time
	plannedRev ident.Revision // table revision of the last plan that had moves
}

// peerReport is another VM's report and when it was received.
type peerReport struct {
	report
	received time.Time
}

// New returns a Rebalancer that counts; Start begins planning. A nil log means
// [slog.Default].
func New(vm ident.VM, st *state.State, log *slog.Logger) *Rebalancer {
	if log == nil {
		log = slog.Default()
	}
	r := &Rebalancer{vm: vm, log: log, services: map[ident.Service]*serviceLoad{}}
	for name, svc := range st.Services() {
		if svc.Divided() {
			r.services[name] = &serviceLoad{svc: svc, own: newLoadCounts(svc.Slices), reports: map[ident.VM]peerReport{}}
		}
	}
	return r
}

// Start begins reporting and planning.
func (r *Rebalancer) Start(deps Deps) {
	r.Deps = deps
	r.group.Go(func(ctx context.Context) error { return every(ctx, reportPeriod, r.sendReports) })
	r.group.Go(func(ctx context.Context) error { return every(ctx, planPeriod, r.plan) })
}

// Close stops reporting and planning, and waits.
func (r *Rebalancer) Close() error { return r.group.Close() }

// SetVMs sets the list of entry VMs.
func (r *Rebalancer) SetVMs(list []vmlist.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live = slices.DeleteFunc(slices.Clone(list), func(vm vmlist.VM) bool { return vm.State != vmlist.Live })
}

// Append counts a routed request.
func (r *Rebalancer) Append(d record.Decision) {
	if d.Action != record.Route || d.Key == "" || d.Server == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if load, ok := r.services[d.Service]; ok {
		load.own.add(d.At, d.Slice, d.Key)
	}
}

// message is what entry VMs send each other: a report, or moves for a lessor.
type message struct {
	Svc  ident.Service `cbor:"svc"`
	Load *report       `cbor:"load,omitempty"`
	From ident.Server  `cbor:"from,omitempty"`
	Move []table.Move  `cbor:"move,omitempty"`
}

// Handle takes a message from another entry VM. The caller passes as sender the VM
// that the peer's certificate names.
func (r *Rebalancer) Handle(from ident.VM, body []byte) error {
	var msg message
	if err := wire.Decode(body, &msg); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.services[msg.Svc]
	switch {
	case !ok:
		return kinds.New(kinds.NotFound, "no such service on this VM")
	case msg.Load != nil && msg.Load.valid(load.svc.Slices):
		load.reports[from] = peerReport{*msg.Load, time.Now()}
	case msg.Load == nil && msg.From != "" && len(msg.Move) > 0 && len(msg.Move) <= int(load.svc.Slices):
		r.Lessors.Move(msg.Svc, msg.From, msg.Move)
	default:
		return kinds.New(kinds.Malformed, "message contains neither a valid report nor moves")
	}
	return nil
}

// planner returns the VM that plans for a service. The caller holds the lock.
func (r *Rebalancer) planner(svc ident.Service) ident.VM {
	vm, _ := leases.Assign(svc, "", "", r.live)
	return vm
}

// sendReports sends this VM's counts to the planning VM of each service.
func (r *Rebalancer) sendReports(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, load := range r.services {
		to := r.planner(name)
		if to == "" || to == r.vm {
			continue
		}
		rep := load.own.report(time.Now())
		r.send(to, message{Svc: name, Load: &rep})
	}
}

func (r *Rebalancer) send(to ident.VM, msg message) {
	b, err := wire.Encode(msg)
	if err != nil {
		r.log.Error("cannot encode rebalancing message", "err", err)
		return
	}
	r.Peers.Send(to, b)
}

// plan plans moves for the services that this VM plans, and sends them out.
func (r *Rebalancer) plan(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, load := range r.services {
		if r.planner(name) != r.vm || !load.due(now) {
			continue
		}
		weights, hot, total := load.merged(now)
		if total < minWeight {
			continue
		}
		v := load.svc.View()
		moves := place.Plan(load.input(v.Table(), weights, hot, r.Accepting))
		if len(moves) == 0 {
			continue
		}
		load.plannedAt, load.plannedRev = now, v.Rev()
		r.log.Info("plan", "service", name, "moves", len(moves), "rev", v.Rev())
		r.sendMoves(load.svc, moves)
	}
}

// due reports whether a new plan may be made: the moves of the last plan have been
// made, or moveTimeout has passed.
func (l *serviceLoad) due(now time.Time) bool {
	v := l.svc.View()
	return v != nil && (v.Rev() != l.plannedRev || now.Sub(l.plannedAt) >= moveTimeout) && now.Sub(l.plannedAt) >= planPeriod
}

// sendMoves passes the moves to the VMs that may hold the lessors concerned. A VM
// that does not hold a lessor ignores its moves.
func (r *Rebalancer) sendMoves(svc *state.Service, moves []place.Move) {
	byServer := map[ident.Server][]table.Move{}
	for _, mv := range moves {
		if mv.From != "" {
			byServer[mv.From] = append(byServer[mv.From], table.Move{Slice: mv.Slice, Key: mv.Key, To: mv.To})
		}
	}
	for _, srv := range svc.Servers {
		list := byServer[srv.Name]
		if len(list) == 0 {
			continue
		}
		r.Lessors.Move(svc.Name, srv.Name, list)
		pair := r.Lessors.Pair(svc.Name, srv.Name)
		for _, vm := range []ident.VM{pair.Preferred, pair.Deputy} {
			if vm != "" && vm != r.vm {
				r.send(vm, message{Svc: svc.Name, From: srv.Name, Move: list})
			}
		}
	}
}

// Plan plans where the keys of a server that is lost or leaves should go. It is a
// leases.Planner.
func (r *Rebalancer) Plan(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move {
	r.mu.Lock()
	load, ok := r.services[svc.Name]
	var weights []float64
	var hot []place.Hot
	if ok {
		var total float64
		if weights, hot, total = load.merged(time.Now()); total < minWeight {
			weights = nil
		}
	}
	r.mu.Unlock()
	if !ok || len(usable) == 0 {
		return nil
	}
	in := load.input(tab, weights, hot, func(s ident.Server) bool { return s != from && slices.Contains(usable, s) })
	in.Band.Budget = 0
	var out []table.Move
	for _, mv := range place.Plan(in) {
		if mv.From == from {
			out = append(out, table.Move{Slice: mv.Slice, Key: mv.Key, To: mv.To})
		}
	}
	return out
}

// every calls do once per period until ctx ends.
func every(ctx context.Context, period time.Duration, do func(context.Context)) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			do(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}
