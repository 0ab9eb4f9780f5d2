// Package state holds what the request path reads for every request, as
// snapshots behind atomic pointers: the rules in force, the owner of each key,
// and where each backend server listens.
//
// Whoever learns something new (a watch, a peer, a holder of authority) puts a
// whole new snapshot in place. A request never waits for such a change and
// never sees half of it.
package state

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// State is one entry VM's view of the system. Make one with New.
type State struct {
	Rules    revs.Holder
	services atomic.Pointer[map[ident.Service]*Service]
}

// New makes the state for the services of the settings.
func New(list []config.Service) *State {
	s := &State{}
	all := make(map[ident.Service]*Service, len(list))
	for _, svc := range list {
		all[svc.Name] = newService(svc)
	}
	s.services.Store(&all)
	return s
}

// Put adds a service that became known while running, with its gate, and returns it; a
// service of that name that is there already stays. The gate comes with it because a
// service is used by others from the moment at which it is listed.
func (s *State) Put(cfg config.Service, g *gate.Gate) *Service {
	for {
		old := s.services.Load()
		if svc, ok := (*old)[cfg.Name]; ok {
			return svc
		}
		svc := newService(cfg)
		svc.Gate = g
		next := maps.Clone(*old)
		next[cfg.Name] = svc
		if s.services.CompareAndSwap(old, &next) {
			return svc
		}
	}
}

// Service finds a service by its name.
func (s *State) Service(name ident.Service) (*Service, bool) {
	svc, ok := (*s.services.Load())[name]
	return svc, ok
}

// Services lists all services. Treat the map as read-only.
func (s *State) Services() map[ident.Service]*Service { return *s.services.Load() }

// Service is one group of backend servers, as the request path sees it.
type Service struct {
	config.Service
	Gate *gate.Gate
	Owners

	divided atomic.Bool
	addrs   atomic.Pointer[map[ident.Server]netip.AddrPort]
	silent  sync.Map // ident.Server -> struct{}
	calls   sync.Map // ident.Server -> *calls
}

// calls counts attempts at one server since the last look.
type calls struct{ good, bad atomic.Int64 }

func newService(cfg config.Service) *Service {
	s := &Service{Service: cfg}
	s.divided.Store(cfg.Divided)
	addrs := make(map[ident.Server]netip.AddrPort, len(cfg.Servers))
	for _, srv := range cfg.Servers {
		addrs[srv.Name] = srv.Data
		s.calls.Store(srv.Name, &calls{})
	}
	s.addrs.Store(&addrs)
	return s
}

// Divided reports whether the service is divided by key now. It takes the place of the
// field of the settings, which says how the service began: rules that are put in force
// later may divide it, or no longer.
func (s *Service) Divided() bool { return s.divided.Load() }

// SetDivided notes whether the service is divided by key.
func (s *Service) SetDivided(on bool) { s.divided.Store(on) }

// Addr returns where a backend server takes requests.
func (s *Service) Addr(name ident.Server) (netip.AddrPort, bool) {
	a, ok := (*s.addrs.Load())[name]
	return a, ok
}

// SetAddr changes where a backend server takes requests.
func (s *Service) SetAddr(name ident.Server, at netip.AddrPort) {
	addrs := maps.Clone(*s.addrs.Load())
	addrs[name] = at
	s.addrs.Store(&addrs)
}

// SetAddrs replaces the addresses of all backend servers, for a service whose
// servers come and go.
func (s *Service) SetAddrs(addrs map[ident.Server]netip.AddrPort) {
	for name := range addrs {
		s.calls.LoadOrStore(name, &calls{})
	}
	s.calls.Range(func(name, _ any) bool {
		if _, listed := addrs[name.(ident.Server)]; !listed {
			s.calls.Delete(name)
		}
		return true
	})
	s.addrs.Store(&addrs)
}

// Unresponsive reports whether a backend server has not answered for a while.
func (s *Service) Unresponsive(name ident.Server) bool {
	_, silent := s.silent.Load(name)
	return silent
}

// SetUnresponsive notes whether a backend server answers.
func (s *Service) SetUnresponsive(name ident.Server, silent bool) {
	if silent {
		s.silent.Store(name, struct{}{})
		return
	}
	s.silent.Delete(name)
}

// RecordAttempt notes one attempt at a server: whether any answer came, be it a
// refusal or an error. It is a witness of the server's state.
func (s *Service) RecordAttempt(name ident.Server, answered bool) {
	c, known := s.calls.Load(name)
	switch {
	case !known:
	case answered:
		c.(*calls).good.Add(1)
	default:
		c.(*calls).bad.Add(1)
	}
}

// TakeAttempts returns the attempts noted since the last time.
func (s *Service) TakeAttempts(name ident.Server) (good, bad int) {
	c, known := s.calls.Load(name)
	if !known {
		return 0, 0
	}
	return int(c.(*calls).good.Swap(0)), int(c.(*calls).bad.Swap(0))
}

// Owners says which backend server owns which key, and tells who waits for a
// change. The zero value knows no owner.
type Owners struct {
	view   atomic.Pointer[table.View]
	finder atomic.Pointer[Finder]                   // takes the place of view when set
	stands atomic.Pointer[map[ident.Server]Standby] // nil: no server stands by

	mu      sync.Mutex
	changed chan struct{}
}

// Finder finds the owner of a key. It must be quick and safe for concurrent use.
type Finder interface {
	Owner(k ident.Key) (table.Owner, bool)
}

// SetFinder makes another look-up than the table of slices answer for owners, and
// wakes those who wait for a change.
func (o *Owners) SetFinder(f Finder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finder.Store(&f)
	o.wake()
}

// Finder returns the look-up that was set, nil before the first.
func (o *Owners) Finder() Finder {
	if f := o.finder.Load(); f != nil {
		return *f
	}
	return nil
}

// Standby says that another server has a lost one's keys, as its seat told under
// an epoch; N orders what was told under one.
type Standby struct {
	Epoch ident.Epoch
	Seq   uint16
	To    ident.Server // empty: none has
}

// newer reports whether s was told after t.
func (s Standby) newer(t Standby) bool {
	return s.Epoch > t.Epoch || s.Epoch == t.Epoch && s.Seq > t.Seq
}

// SetStandby notes who stands by for a server, and wakes those who wait for a
// change. It holds until the seat says otherwise, or the table names a later
// epoch of it: then somebody else answers for its keys.
func (o *Owners) SetStandby(lost ident.Server, s Standby) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.stands.Load()
	if old != nil && !s.newer((*old)[lost]) {
		return
	}
	next := map[ident.Server]Standby{lost: s}
	if old != nil {
		next = maps.Clone(*old)
		next[lost] = s
	}
	o.stands.Store(&next)
	o.wake()
}

// wake tells those who wait for a change. The caller holds mu.
func (o *Owners) wake() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// View returns the present table, nil before the first.
func (o *Owners) View() *table.View { return o.view.Load() }

// Owner finds who serves a key: its owner by the table, or the server that
// stands by for it.
func (o *Owners) Owner(k ident.Key) (table.Owner, bool) {
	if f := o.finder.Load(); f != nil {
		return (*f).Owner(k)
	}
	v := o.view.Load()
	if v == nil {
		return table.Owner{}, false
	}
	owner, ok := v.Owner(k)
	if stands := o.stands.Load(); stands != nil {
		if s := (*stands)[owner.Server]; s.To != "" && s.Epoch == owner.Epoch {
			owner.Server = s.To
		}
	}
	return owner, ok
}

// Place is where a key is served, as the gate asks for it.
func (o *Owners) Place(k ident.Key) (gate.Owner, bool) {
	owner, ok := o.Owner(k)
	return gate.Owner{Server: owner.Server, Slice: owner.Slice, Epoch: owner.Epoch}, ok
}

// SetView puts a newer table in place and wakes those who wait for a change.
// An older one than the present is refused.
func (o *Owners) SetView(v *table.View) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.view.Load(); old != nil && old.Rev() >= v.Rev() {
		return false
	}
	o.view.Store(v)
	o.wake()
	return true
}

// Changed returns a channel that closes at the next change. Ask for it before
// looking, or a change in between is missed.
func (o *Owners) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}
