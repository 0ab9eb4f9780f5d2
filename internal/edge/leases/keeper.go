// Package leases runs the authority over backend servers on one entry VM: a
// seat for each server of each divided service, joined to the object API, to
// the servers' control side and to the other entry VMs.
//
// The decisions are owner/seat's. What is added here are the effects, and one
// rule about them: the authority behind an order is checked once more on this
// process's clock immediately before the order is sent. A process that was
// paused between deciding and sending would otherwise give an order that its
// successor knows nothing of.
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

// Sender carries seat messages to other entry VMs. It never waits; a message
// may be lost.
type Sender interface {
	// Send is for messages that should arrive, Cast for those that are stale
	// when they are late.
	Send(to ident.VM, body []byte)
	Cast(to ident.VM, body []byte)
}

// Planner says where the keys of a server should go. It is asked off the
// request path and may take tens of milliseconds.
type Planner func(svc *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move

// Recorder takes placement decisions, as *record.Writer does.
type Recorder interface {
	Record(d record.Decision) bool
}

// Options are what a keeper needs. VM, State, Store, Control and Peers are
// required.
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

// Manager runs the seats of one VM. Make one with New.
type Manager struct {
	Options
	group  group.Group
	effect group.Group

	answered atomic.Pointer[Answered]
	told     atomic.Pointer[TableHooks]

	seats map[seatName]*chair
	books map[ident.Service]*book

	mu    sync.Mutex
	alive map[ident.Server]bool // servers that may be given keys
	gone  map[ident.VM]bool
	left  sync.WaitGroup

	piles piles // share.go
	looks looks // looks.go
	dealt dealt // level.go
	desks desks // form.go

	places []Target // all seats that are dealt out
}

type seatName struct {
	svc ident.Service
	srv ident.Server
}

// chair is one seat at work.
type chair struct {
	seatName
	svc  *state.Service
	cfg  *serverAt
	loop *loop.Loop
	once sync.Once // for left

	lends  atomic.Uint32                  // hints given: lend.go
	answer atomic.Pointer[func(loop.Msg)] // takes the outcome of a write: commit.go
}

// New starts the seats. Nothing is sent before SetVMs says who leads which.
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
	k := &Manager{
		Options: o,
		seats:   map[seatName]*chair{},
		books:   map[ident.Service]*book{},
		alive:   map[ident.Server]bool{},
		gone:    map[ident.VM]bool{},
	}
	for name, svc := range o.State.Services() {
		if svc.Divided() {
			k.addService(name, svc)
		}
	}
	for _, c := range k.seats {
		k.places = append(k.places, c.place())
	}
	for name, b := range k.books {
		k.group.Go(func(ctx context.Context) error { return k.bootstrap(ctx, name, b) })
	}
	k.group.Go(k.level)
	return k
}

func (k *Manager) addService(name ident.Service, svc *state.Service) {
	k.books[name] = &book{svc: svc}
	k.startWriter(name, k.books[name])
	for i := range svc.Servers {
		cfg := &svc.Servers[i]
		at := &serverAt{name: cfg.Name, control: cfg.Control, centre: cfg.Centre}
		c := &chair{seatName: seatName{name, cfg.Name}, svc: svc, cfg: at}
		model := lessor.New(lessor.Config{
			Self: k.VM, Service: name, Server: cfg.Name, FenceChecks: svc.FenceChecks, Times: k.Times, Standby: svc.Standby,
		})
		k.left.Add(1)
		c.loop = loop.New(model, loop.RunnerFunc(func(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
			k.run(ctx, c, cmd, send)
		}))
		k.seats[c.seatName] = c
	}
}

// Close stops all seats without handing over: call Leave first.
func (k *Manager) Close() error {
	err := k.group.Close()
	for _, c := range k.seats {
		if e := c.loop.Close(); err == nil {
			err = e
		}
	}
	for _, b := range k.books {
		if e := b.writer.Close(); err == nil {
			err = e
		}
	}
	if e := k.effect.Close(); err == nil {
		err = e
	}
	return err
}

// Leave hands every seat over and waits for it, at most until ctx ends.
func (k *Manager) Leave(ctx context.Context) {
	k.tell(lessor.LeaveMsg{})
	done := make(chan struct{})
	k.effect.Go(func(context.Context) error {
		k.left.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
		// The seats that have not answered are closed with the loops; their
		// waiting duty must end with them.
		for _, c := range k.seats {
			c.once.Do(k.left.Done)
		}
	}
}

func (k *Manager) tell(msg loop.Msg) {
	for _, c := range k.seats {
		c.loop.Send(msg)
	}
}

// SetVMs assigns the seats to the live VMs, and passes on which VMs are gone.
func (k *Manager) SetVMs(list []vmlist.VM) {
	var live []vmlist.VM
	for _, vm := range list {
		switch vm.State {
		case vmlist.Live:
			live = append(live, vm)
		case vmlist.Gone:
			k.markGone(vm.ID)
		}
	}
	for name, b := range k.books {
		b.writer.Send(commit.CoordinatorsMsg{VMs: hubs(name, live)})
	}
	pairs := k.deal(live)
	for _, c := range k.seats {
		lead, deputy := pairs[c.place()].Leader, pairs[c.place()].Deputy
		if deputy == k.VM {
			deputy = lead // for a seat that this VM still holds from before
		}
		c.loop.Send(lessor.RoleMsg{Lead: lead == k.VM, Deputy: deputy})
	}
}

func (k *Manager) markGone(vm ident.VM) {
	k.mu.Lock()
	known := k.gone[vm]
	k.gone[vm] = true
	k.mu.Unlock()
	if !known {
		k.tell(lessor.VMGoneMsg{VM: vm})
	}
}

// Suspect passes on that a VM seems frozen, cut off or lost.
func (k *Manager) Suspect(vm ident.VM) {
	for _, b := range k.books {
		b.writer.Send(commit.SuspectMsg{VM: vm})
	}
	k.tell(lessor.SuspectMsg{VM: vm})
}

// Drain moves all keys away from a backend server, or takes that back.
func (k *Manager) Drain(svc ident.Service, srv ident.Server, on bool) {
	c, ok := k.seats[seatName{svc, srv}]
	if !ok {
		return
	}
	if on {
		c.loop.Send(lessor.DrainMsg{})
		return
	}
	c.loop.Send(lessor.UndrainMsg{})
}

// Answered is told of each answer of a backend server: its own word, nil if the
// answer had none, and how long the call took.
type Answered func(srv ident.Server, word *server.Status, took time.Duration)

// OnAnswer says who is told.
func (k *Manager) OnAnswer(f Answered) { k.answered.Store(&f) }

// ServerGone passes on that the platform lists a backend server as gone: no
// lease of it can exist.
func (k *Manager) ServerGone(svc ident.Service, srv ident.Server) {
	if c, ok := k.seats[seatName{svc, srv}]; ok {
		c.loop.Send(lessor.ServerGoneMsg{})
	}
}

// Move asks the holder of a server's seat to give keys away. Other VMs ignore
// it, so any VM may be told.
func (k *Manager) Move(svc ident.Service, from ident.Server, moves []table.Move) {
	if c, ok := k.seats[seatName{svc, from}]; ok {
		c.loop.Send(lessor.MoveMsg{Moves: moves})
	}
}

// SetAlive says whether a server may be given keys: it answers, and does not
// leave.
func (k *Manager) SetAlive(srv ident.Server, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.alive[srv] = ok
}

// Accepting reports whether a server may be given keys. One that was not looked at
// yet may.
func (k *Manager) Accepting(srv ident.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	up, known := k.alive[srv]
	return up || !known
}

// usable lists the servers of a service that may be given keys, without one. The
// seats that this VM holds know of a silent server long before the roster does.
func (k *Manager) usable(svc *state.Service, not ident.Server) []ident.Server {
	var all []ident.Server
	for _, s := range svc.Servers {
		if s.Name != not && k.Accepting(s.Name) && !k.silent(seatName{svc.Name, s.Name}) {
			all = append(all, s.Name)
		}
	}
	return all
}

func (k *Manager) silent(name seatName) bool {
	c, ok := k.seats[name]
	return ok && c.loop.Model().(lessor.Lessor).Unresponsive()
}

// Status is one seat's state, for operators.
type Status struct {
	Service ident.Service `json:"service"`
	Server  ident.Server  `json:"server"`
	lessor.Status
}

// Status lists the seats of this VM.
func (k *Manager) Status() []Status {
	all := make([]Status, 0, len(k.seats))
	for _, c := range k.seats {
		m := c.loop.Model().(lessor.Lessor)
		all = append(all, Status{Service: c.seatName.svc, Server: c.srv, Status: m.Status()})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return strings.Compare(string(a.Service)+"/"+string(a.Server), string(b.Service)+"/"+string(b.Server))
	})
	return all
}

// Held lists the servers whose seats this VM holds.
func (k *Manager) Held() map[ident.Server]bool {
	held := map[ident.Server]bool{}
	for _, c := range k.seats {
		if _, ok := c.loop.Model().(lessor.Lessor).Holds(time.Now()); ok {
			held[c.srv] = true
		}
	}
	return held
}
