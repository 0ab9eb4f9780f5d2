// Package leases runs the lessors of one entry VM: one for each backend server of
// each service whose keys are divided among its servers. It connects them to the
// object API, to the control API of the backend servers and to the other entry
// VMs.
//
// A lessor has three roles for VMs: the preferred holder should have its authority,
// the holder has it at present, and the deputy renews its leases while the holder
// is silent.
//
// The decisions are made by owner/lessor; this package carries them out. It adds
// one rule: the authority behind an order is checked again on this process's
// clock immediately before the order is sent. A process that was paused between
// deciding and sending would otherwise send an order that its successor does not
// know about.
package leases

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Sender sends lessor messages to other entry VMs. It never blocks; a message may
// be lost.
type Sender interface {
	// Send is for messages that should arrive; Cast is for messages that are
	// useless when they are late.
	Send(to ident.VM, body []byte)
	Cast(to ident.VM, body []byte)
}

// Planner decides where the keys of a server should go. It is called off the
// request path and may take tens of milliseconds.
type Planner func(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move

// Recorder records placement decisions, as *record.Writer does.
type Recorder interface {
	Record(d record.Decision) bool
}

// Options configure a Manager. VM, State, Store, Control and Peers are required.
type Options struct {
	VM      ident.VM
	State   *state.State
	Store   object.Store
	Control server.Control
	Peers   Sender
	Times   lease.Times // zero: lease.Default()
	Plan    Planner     // nil: Spread
	Record  Recorder
	Log     *slog.Logger
}

// Manager runs the lessors of one VM. Create one with New.
type Manager struct {
	Options
	group   group.Group // periodic work
	effects group.Group // calls that commands started

	onAnswer atomic.Pointer[AnswerFunc]
	hooks    atomic.Pointer[TableHooks]

	lessors map[lessorID]*hostedLessor
	tables  map[ident.Service]*tableState

	mu      sync.Mutex
	alive   map[ident.Server]bool // servers that may be given keys
	gone    map[ident.VM]bool
	leaving sync.WaitGroup // lessors that have not handed over

	batches  castBatches
	reads    recordReads
	assigned assignment
	index    lessorIndex

	targets []Target // all lessors that are assigned
}

// lessorID names a lessor by the service and the backend server that it leases
// keys to.
type lessorID struct {
	svc ident.Service
	srv ident.Server
}

// hostedLessor is one lessor that runs on this VM.
type hostedLessor struct {
	lessorID
	svc      *state.Service
	cfg      *serverConfig
	loop     *loop.Loop
	leftOnce sync.Once // guards the call of leaving.Done

	standbySeq atomic.Uint32                  // number of the last Standby hint
	editReply  atomic.Pointer[func(loop.Msg)] // takes the outcome of an edit
}

// New starts the lessors. They send nothing before SetVMs assigns their roles.
func New(o Options) *Manager {
	if o.Times == (lease.Times{}) {
		o.Times = lease.Default()
	}
	if o.Plan == nil {
		o.Plan = Spread
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	mgr := &Manager{
		Options: o,
		lessors: map[lessorID]*hostedLessor{},
		tables:  map[ident.Service]*tableState{},
		alive:   map[ident.Server]bool{},
		gone:    map[ident.VM]bool{},
	}
	for name, svc := range o.State.Services() {
		if svc.Divided() {
			mgr.addService(name, svc)
		}
	}
	for _, h := range mgr.lessors {
		mgr.targets = append(mgr.targets, h.target())
	}
	for name, ts := range mgr.tables {
		mgr.group.Go(func(ctx context.Context) error { return mgr.bootstrap(ctx, name, ts) })
	}
	mgr.group.Go(mgr.balance)
	return mgr
}

// addService starts the table writer and the lessors of a service.
func (mgr *Manager) addService(name ident.Service, svc *state.Service) {
	mgr.tables[name] = &tableState{svc: svc}
	mgr.startWriter(name, mgr.tables[name])
	for i := range svc.Servers {
		cfg := &svc.Servers[i]
		srvCfg := &serverConfig{name: cfg.Name, control: cfg.Control, centre: cfg.Centre}
		h := &hostedLessor{lessorID: lessorID{name, cfg.Name}, svc: svc, cfg: srvCfg}
		model := lessor.New(lessor.Config{
			Self: mgr.VM, Service: name, Server: cfg.Name, FenceChecks: svc.FenceChecks, Times: mgr.Times, Standby: svc.Standby,
		})
		mgr.leaving.Add(1)
		h.loop = loop.New(model, loop.RunnerFunc(func(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
			mgr.run(ctx, h, cmd, send)
		}))
		mgr.lessors[h.lessorID] = h
	}
}

// Close stops all lessors without a handover; call Leave first.
func (mgr *Manager) Close() error {
	err := mgr.group.Close()
	for _, h := range mgr.lessors {
		if e := h.loop.Close(); err == nil {
			err = e
		}
	}
	for _, ts := range mgr.tables {
		if e := ts.writer.Close(); err == nil {
			err = e
		}
	}
	if e := mgr.effects.Close(); err == nil {
		err = e
	}
	return err
}

// Leave hands every lessor over to another VM and waits until that is done or ctx
// ends.
func (mgr *Manager) Leave(ctx context.Context) {
	mgr.broadcast(lessor.LeaveMsg{})
	done := make(chan struct{})
	mgr.effects.Go(func(context.Context) error {
		mgr.leaving.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
		// Lessors that have not handed over are stopped with their loops. They
		// are marked as done, so that the goroutine above ends too.
		for _, h := range mgr.lessors {
			h.leftOnce.Do(mgr.leaving.Done)
		}
	}
}

// broadcast sends a message to all lessors of this VM.
func (mgr *Manager) broadcast(msg loop.Msg) {
	for _, h := range mgr.lessors {
		h.loop.Send(msg)
	}
}

// SetVMs assigns the lessors to the live VMs and tells them which VMs are gone.
func (mgr *Manager) SetVMs(list []vmlist.VM) {
	var live []vmlist.VM
	for _, vm := range list {
		switch vm.State {
		case vmlist.Live:
			live = append(live, vm)
		case vmlist.Gone:
			mgr.markGone(vm.ID)
		}
	}
	for name, ts := range mgr.tables {
		ts.writer.Send(commit.CoordinatorsMsg{VMs: coordinators(name, live)})
	}
	pairs := mgr.assignLive(live)
	for _, h := range mgr.lessors {
		preferred, deputy := pairs[h.target()].Preferred, pairs[h.target()].Deputy
		if deputy == mgr.VM {
			deputy = preferred // this VM may still hold the lessor from before
		}
		h.loop.Send(lessor.RoleMsg{Preferred: preferred == mgr.VM, Deputy: deputy})
	}
}

func (mgr *Manager) markGone(vm ident.VM) {
	mgr.mu.Lock()
	known := mgr.gone[vm]
	mgr.gone[vm] = true
	mgr.mu.Unlock()
	if !known {
		mgr.broadcast(lessor.VMGoneMsg{VM: vm})
	}
}

// Suspect tells the lessors that a VM seems frozen, cut off or lost.
func (mgr *Manager) Suspect(vm ident.VM) {
	for _, ts := range mgr.tables {
		ts.writer.Send(commit.SuspectMsg{VM: vm})
	}
	mgr.broadcast(lessor.SuspectMsg{VM: vm})
}

// Drain starts moving all keys away from a backend server, or cancels that.
func (mgr *Manager) Drain(svc ident.Service, srv ident.Server, on bool) {
	h, ok := mgr.lessors[lessorID{svc, srv}]
	if !ok {
		return
	}
	if on {
		h.loop.Send(lessor.DrainMsg{})
		return
	}
	h.loop.Send(lessor.UndrainMsg{})
}

// AnswerFunc is called with each answer of a backend server: the status that the
// server reported, nil if the answer had none, and how long the call took.
type AnswerFunc func(srv ident.Server, status *server.Status, took time.Duration)

// OnAnswer sets the function that is called with each answer.
func (mgr *Manager) OnAnswer(f AnswerFunc) { mgr.onAnswer.Store(&f) }

// ServerGone reports that the platform lists a backend server as gone, so that no
// lease of it can exist.
func (mgr *Manager) ServerGone(svc ident.Service, srv ident.Server) {
	if h, ok := mgr.lessors[lessorID{svc, srv}]; ok {
		h.loop.Send(lessor.ServerGoneMsg{})
	}
}

// Move asks the holder of a server's lessor to give keys away. VMs that do not hold
// it ignore the request, so it may be sent to any VM.
func (mgr *Manager) Move(svc ident.Service, from ident.Server, moves []table.Move) {
	if h, ok := mgr.lessors[lessorID{svc, from}]; ok {
		h.loop.Send(lessor.MoveMsg{Moves: moves})
	}
}

// SetAlive sets whether a server may be given keys: it answers and is not leaving.
func (mgr *Manager) SetAlive(srv ident.Server, ok bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.alive[srv] = ok
}

// Accepting reports whether a server may be given keys. A server whose state is not
// known yet may.
func (mgr *Manager) Accepting(srv ident.Server) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	up, known := mgr.alive[srv]
	return up || !known
}

// usable lists the servers of a service that may be given keys, apart from one. The
// lessors that this VM holds detect an unresponsive server long before SetAlive is
// called for it.
func (mgr *Manager) usable(svc *state.Service, except ident.Server) []ident.Server {
	var all []ident.Server
	for _, s := range svc.Servers {
		if s.Name != except && mgr.Accepting(s.Name) && !mgr.unresponsive(lessorID{svc.Name, s.Name}) {
			all = append(all, s.Name)
		}
	}
	return all
}

func (mgr *Manager) unresponsive(id lessorID) bool {
	h, ok := mgr.lessors[id]
	return ok && h.loop.Model().(lessor.Lessor).Unresponsive()
}

// Status is the state of one lessor, for operators.
type Status struct {
	Service ident.Service `json:"service"`
	Server  ident.Server  `json:"server"`
	lessor.Status
}

// Status lists the lessors of this VM, sorted by service and server.
func (mgr *Manager) Status() []Status {
	all := make([]Status, 0, len(mgr.lessors))
	for _, h := range mgr.lessors {
		m := h.loop.Model().(lessor.Lessor)
		all = append(all, Status{Service: h.lessorID.svc, Server: h.srv, Status: m.Status()})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return strings.Compare(string(a.Service)+"/"+string(a.Server), string(b.Service)+"/"+string(b.Server))
	})
	return all
}

// Held returns the servers whose lessors this VM holds.
func (mgr *Manager) Held() map[ident.Server]bool {
	held := map[ident.Server]bool{}
	for _, h := range mgr.lessors {
		if _, ok := h.loop.Model().(lessor.Lessor).Holds(time.Now()); ok {
			held[h.srv] = true
		}
	}
	return held
}
