// Package rebal keeps the load of a service's servers even: it counts what each
// slice and each hot key gets, joins the counts of all entry VMs on one of them,
// asks owner/place for a plan and hands the moves to the seats.
//
// Counting rides on the records of decisions, off the request path. One VM per
// service plans, chosen like the leads of seats; when two VMs take themselves
// for it, both plans are sound, since only a seat's holder can carry moves out,
// and it checks each against the table.
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

// Periods. A hot key changes within minutes; a report every five seconds costs
// under a kilobyte a second for each service.
const (
	tellEvery = 5 * time.Second // counts, to the planning VM
	planEvery = time.Second
	fresh     = 4 * tellEvery // how long another VM's counts are used
	// settled is how long a plan waits for the moves of the one before.
	settled = 10 * time.Second
	// enough is the weight below which counts say nothing: 1,000 requests within
	// the half-life. Fewer would move keys for noise.
	enough = 1000
)

// Sender carries reports and moves to other entry VMs.
type Sender interface {
	Send(to ident.VM, body []byte)
}

// Lessors are what carries moves out, as *keeper.Keeper does. Pair names the VMs
// that should hold a seat and be its deputy.
type Lessors interface {
	Move(svc ident.Service, from ident.Server, moves []table.Move)
	Pair(svc ident.Service, srv ident.Server) leases.Pair
}

// Deps are what a mover plans with.
type Deps struct {
	Lessors Lessors
	Peers   Sender
	// Accepting says whether a server may be given keys.
	Accepting func(ident.Server) bool
}

// Rebalancer counts and plans. Make one with New; it is a record.Sink.
type Rebalancer struct {
	Deps
	vm    ident.VM
	log   *slog.Logger
	group group.Group

	mu    sync.Mutex
	live  []vmlist.VM
	books map[ident.Service]*book
}

// book is what is known of one service's load.
type book struct {
	svc     *state.Service
	own     *counts
	parts   map[ident.VM]part
	planned time.Time
	rev     ident.Revision // table of the last plan that moved something
}

// part is another VM's report and when it came.
type part struct {
	report
	at time.Time
}

// New makes a mover that counts; Start begins to plan. A nil log uses
// [slog.Default].
func New(vm ident.VM, st *state.State, log *slog.Logger) *Rebalancer {
	if log == nil {
		log = slog.Default()
	}
	m := &Rebalancer{vm: vm, log: log, books: map[ident.Service]*book{}}
	for name, svc := range st.Services() {
		if svc.Divided() {
			m.books[name] = &book{svc: svc, own: newCounts(svc.Slices), parts: map[ident.VM]part{}}
		}
	}
	return m
}

// Start begins to tell and to plan.
func (m *Rebalancer) Start(h Deps) {
	m.Deps = h
	m.group.Go(func(ctx context.Context) error { return every(ctx, tellEvery, m.tell) })
	m.group.Go(func(ctx context.Context) error { return every(ctx, planEvery, m.plan) })
}

// Close ends planning and waits.
func (m *Rebalancer) Close() error { return m.group.Close() }

// SetVMs says which entry VMs there are.
func (m *Rebalancer) SetVMs(list []vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = slices.DeleteFunc(slices.Clone(list), func(vm vmlist.VM) bool { return vm.State != vmlist.Live })
}

// Append counts a routed request.
func (m *Rebalancer) Append(d record.Decision) {
	if d.Action != record.Route || d.Key == "" || d.Server == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if b, ok := m.books[d.Service]; ok {
		b.own.add(d.At, d.Slice, d.Key)
	}
}

// letter is what movers send each other: a report, or moves for a seat.
type letter struct {
	Svc  ident.Service `cbor:"svc"`
	Load *report       `cbor:"load,omitempty"`
	From ident.Server  `cbor:"from,omitempty"`
	Move []table.Move  `cbor:"move,omitempty"`
}

// Handle takes a letter of a peer, whom its certificate names.
func (m *Rebalancer) Handle(from ident.VM, body []byte) error {
	var l letter
	if err := wire.Decode(body, &l); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.books[l.Svc]
	switch {
	case !ok:
		return kinds.New(kinds.NotFound, "no such service here")
	case l.Load != nil && l.Load.sane(b.svc.Slices):
		b.parts[from] = part{*l.Load, time.Now()}
	case l.Load == nil && l.From != "" && len(l.Move) > 0 && len(l.Move) <= int(b.svc.Slices):
		m.Lessors.Move(l.Svc, l.From, l.Move)
	default:
		return kinds.New(kinds.Malformed, "neither a report nor moves")
	}
	return nil
}

// planner is the VM that plans for a service.
func (m *Rebalancer) planner(svc ident.Service) ident.VM {
	lead, _ := leases.Assign(svc, "", "", m.live)
	return lead
}

// tell sends this VM's counts to the planning VM.
func (m *Rebalancer) tell(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, b := range m.books {
		to := m.planner(name)
		if to == "" || to == m.vm {
			continue
		}
		r := b.own.report(time.Now())
		m.send(to, letter{Svc: name, Load: &r})
	}
}

func (m *Rebalancer) send(to ident.VM, l letter) {
	b, err := wire.Encode(l)
	if err != nil {
		m.log.Error("letter of the mover", "err", err)
		return
	}
	m.Peers.Send(to, b)
}

// plan makes and hands out moves for the services that this VM plans.
func (m *Rebalancer) plan(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, b := range m.books {
		if m.planner(name) != m.vm || !b.due(now) {
			continue
		}
		load, hot, total := b.joined(now)
		if total < enough {
			continue
		}
		v := b.svc.View()
		moves := place.Plan(b.input(v.Table(), load, hot, m.Accepting))
		if len(moves) == 0 {
			continue
		}
		b.planned, b.rev = now, v.Rev()
		m.log.Info("plan", "service", name, "moves", len(moves), "rev", v.Rev())
		m.hand(b.svc, moves)
	}
}

// due reports whether the last plan's moves have been made, or have had their
// time.
func (b *book) due(now time.Time) bool {
	v := b.svc.View()
	return v != nil && (v.Rev() != b.rev || now.Sub(b.planned) >= settled) && now.Sub(b.planned) >= planEvery
}

// hand gives the moves to whoever may hold the seats that they concern. A VM
// that holds none of them ignores them.
func (m *Rebalancer) hand(svc *state.Service, moves []place.Move) {
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
		m.Lessors.Move(svc.Name, srv.Name, list)
		to := m.Lessors.Pair(svc.Name, srv.Name)
		for _, vm := range []ident.VM{to.Leader, to.Deputy} {
			if vm != "" && vm != m.vm {
				m.send(vm, letter{Svc: svc.Name, From: srv.Name, Move: list})
			}
		}
	}
}

// Plan says where the keys of a server that is lost or leaves should go. It is
// a keeper.Planner.
func (m *Rebalancer) Plan(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move {
	m.mu.Lock()
	b, ok := m.books[svc.Name]
	var load []float64
	var hot []place.Hot
	if ok {
		var total float64
		if load, hot, total = b.joined(time.Now()); total < enough {
			load = nil
		}
	}
	m.mu.Unlock()
	if !ok || len(usable) == 0 {
		return nil
	}
	in := b.input(tab, load, hot, func(s ident.Server) bool { return s != from && slices.Contains(usable, s) })
	in.Band.Budget = 0
	var out []table.Move
	for _, mv := range place.Plan(in) {
		if mv.From == from {
			out = append(out, table.Move{Slice: mv.Slice, Key: mv.Key, To: mv.To})
		}
	}
	return out
}

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
