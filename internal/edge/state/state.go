// Package state holds what the request path reads for every request, as snapshots behind
// atomic pointers: the rules in force, the owner of each key, and the address of each
// backend server.
//
// The component that learns of a change, such as a watch of the object store, a link to
// another VM or a lease manager, replaces the whole snapshot. A request never waits for such a change and never sees
// part of it.
package state

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// State is one entry VM's view of the system. Create one with New.
type State struct {
	Rules    revs.Holder
	services atomic.Pointer[map[ident.Service]*Service]
}

// New returns the state for the services of the settings.
func New(list []config.Service) *State {
	s := &State{}
	all := make(map[ident.Service]*Service, len(list))
	for _, svc := range list {
		all[svc.Name] = newService(svc)
	}
	s.services.Store(&all)
	return s
}

// Put adds a service with its gate while the VM runs, and returns it. If a service with
// that name exists already, that one is kept and returned. The gate is set at the same
// time because a service is used by others as soon as it is listed.
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

// Service returns the service with the given name.
func (s *State) Service(name ident.Service) (*Service, bool) {
	svc, ok := (*s.services.Load())[name]
	return svc, ok
}

// Services returns all services. Treat the map as read-only.
func (s *State) Services() map[ident.Service]*Service { return *s.services.Load() }

// Address returns the address at which a backend server of any service accepts requests.
func (s *State) Address(name ident.Server) (netip.AddrPort, bool) {
	for _, svc := range s.Services() {
		if at, ok := svc.Addr(name); ok {
			return at, true
		}
	}
	return netip.AddrPort{}, false
}

// ServerAt returns the backend server that accepts requests at an address.
func (s *State) ServerAt(at netip.AddrPort) (ident.Server, bool) {
	for _, svc := range s.Services() {
		for name, e := range *svc.endpoints.Load() {
			if e.Addr == at {
				return name, true
			}
		}
	}
	return "", false
}

// Service is one group of backend servers, as seen by the request path.
type Service struct {
	config.Service
	Gate *gate.Gate
	Owners

	divided      atomic.Bool
	endpoints    atomic.Pointer[map[ident.Server]Endpoint]
	leaving      atomic.Pointer[map[ident.Server]time.Time]
	vouch        atomic.Pointer[func() bool]
	unresponsive sync.Map // ident.Server -> struct{}
	attempts     sync.Map // ident.Server -> *attempts
}

// Endpoint is where a backend server accepts requests, and the process that does.
type Endpoint struct {
	Addr        netip.AddrPort
	Incarnation int64 // see ident.Process
	// Until is when the server must get no more requests, zero if it may go on.
	Until time.Time
}

// ErrServerLeft says that a server must get no more requests: it is not listed any more, has
// left, or another server has its address.
var ErrServerLeft = kinds.New(kinds.NoServer, "the server has left")

// attempts counts the attempts at one server since the last TakeAttempts.
type attempts struct{ answered, unanswered atomic.Int64 }

func newService(cfg config.Service) *Service {
	s := &Service{Service: cfg}
	s.divided.Store(cfg.Divided)
	endpoints := make(map[ident.Server]Endpoint, len(cfg.Servers))
	for _, srv := range cfg.Servers {
		endpoints[srv.Name] = Endpoint{Addr: srv.Data}
		s.attempts.Store(srv.Name, &attempts{})
	}
	s.endpoints.Store(&endpoints)
	return s
}

// Divided reports whether the service is currently divided by key. It replaces the field
// of the settings, which is only the initial value: rules that come into force later may
// change it.
func (s *Service) Divided() bool { return s.divided.Load() }

// SetDivided sets whether the service is divided by key.
func (s *Service) SetDivided(on bool) { s.divided.Store(on) }

// Addr returns the address at which a backend server accepts requests.
func (s *Service) Addr(name ident.Server) (netip.AddrPort, bool) {
	e, ok := (*s.endpoints.Load())[name]
	return e.Addr, ok
}

// ErrListTooOld says that a server may have left: this VM's list of servers is too old.
var ErrListTooOld = kinds.New(kinds.NoServer, "the list of servers is too old")

// SetVouch sets the function that reports whether the list of servers is new enough to send
// requests by it. It must not block.
func (s *Service) SetVouch(isNew *func() bool) { s.vouch.Store(isNew) }

// IsListNew reports whether the list of servers is new enough to send requests by it.
func (s *Service) IsListNew() bool {
	isNew := s.vouch.Load()
	return isNew == nil || (*isNew)()
}

// MaySend returns ErrServerLeft if a server at an address must get no more requests, and
// ErrListTooOld if that is not known.
func (s *Service) MaySend(name ident.Server, to netip.AddrPort) error {
	e, ok := (*s.endpoints.Load())[name]
	if !ok || e.Addr != to || !e.Until.IsZero() && !time.Now().Before(e.Until) {
		return ErrServerLeft
	}
	if !s.IsListNew() {
		return ErrListTooOld
	}
	return nil
}

// Process returns the process of a backend server that is known to accept requests.
func (s *Service) Process(name ident.Server) ident.Process {
	return ident.Process{Server: name, Incarnation: (*s.endpoints.Load())[name].Incarnation}
}

// SetAddr changes the address at which a backend server accepts requests.
func (s *Service) SetAddr(name ident.Server, at netip.AddrPort) {
	endpoints := maps.Clone(*s.endpoints.Load())
	endpoints[name] = Endpoint{Addr: at}
	s.endpoints.Store(&endpoints)
}

// SetEndpoints replaces the endpoints of all backend servers, for a service whose set of
// servers changes.
func (s *Service) SetEndpoints(endpoints map[ident.Server]Endpoint) {
	for name := range endpoints {
		s.attempts.LoadOrStore(name, &attempts{})
	}
	s.attempts.Range(func(name, _ any) bool {
		if _, listed := endpoints[name.(ident.Server)]; !listed {
			s.attempts.Delete(name)
		}
		return true
	})
	s.endpoints.Store(&endpoints)
}

// SetLeaving sets since when servers have been leaving, of this service and others.
func (s *Service) SetLeaving(since map[ident.Server]time.Time) { s.leaving.Store(&since) }

// LeavingFor returns how long a server had been leaving at a time, zero if it was not.
func (s *Service) LeavingFor(name ident.Server, at time.Time) time.Duration {
	all := s.leaving.Load()
	if all == nil {
		return 0
	}
	since, leaving := (*all)[name]
	if !leaving {
		return 0
	}
	return max(at.Sub(since), 0)
}

// Unresponsive reports whether a backend server has not answered for some time.
func (s *Service) Unresponsive(name ident.Server) bool {
	_, unresponsive := s.unresponsive.Load(name)
	return unresponsive
}

// SetUnresponsive sets whether a backend server is unresponsive.
func (s *Service) SetUnresponsive(name ident.Server, unresponsive bool) {
	if unresponsive {
		s.unresponsive.Store(name, struct{}{})
		return
	}
	s.unresponsive.Delete(name)
}

// RecordAttempt counts one attempt at a server, and whether any answer came, including a
// refusal or an error. The counts are evidence of the server's health.
func (s *Service) RecordAttempt(name ident.Server, answered bool) {
	c, known := s.attempts.Load(name)
	switch {
	case !known:
	case answered:
		c.(*attempts).answered.Add(1)
	default:
		c.(*attempts).unanswered.Add(1)
	}
}

// TakeAttempts returns how many attempts since the last call were answered, and how many
// were not.
func (s *Service) TakeAttempts(name ident.Server) (answered, unanswered int) {
	c, known := s.attempts.Load(name)
	if !known {
		return 0, 0
	}
	return int(c.(*attempts).answered.Swap(0)), int(c.(*attempts).unanswered.Swap(0))
}

// Owners maps keys to the backend servers that own them, and notifies of changes. The
// zero value knows no owner.
type Owners struct {
	view     atomic.Pointer[table.View]
	finder   atomic.Pointer[Finder]                   // replaces view when set
	standbys atomic.Pointer[map[ident.Server]Standby] // lost server -> its standby; nil if there is none

	mu      sync.Mutex
	changed chan struct{}
}

// Finder finds the owner of a key. It must be fast and safe for concurrent use.
type Finder interface {
	Owner(k ident.Key) (table.Owner, bool)
}

// SetFinder replaces the table of slices by another lookup of owners, and wakes those who
// wait for a change.
func (o *Owners) SetFinder(f Finder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finder.Store(&f)
	o.notify()
}

// Finder returns the lookup that was set, nil if there is none.
func (o *Owners) Finder() Finder {
	if f := o.finder.Load(); f != nil {
		return *f
	}
	return nil
}

// Standby names the server that serves the keys of a lost server, as announced under an
// epoch by the lease manager of the lost server. Seq orders the announcements of one
// epoch.
type Standby struct {
	Epoch ident.Epoch
	Seq   uint16
	To    ident.Server // empty if there is no standby
}

// newer reports whether s was announced after t.
func (s Standby) newer(t Standby) bool {
	return s.Epoch > t.Epoch || s.Epoch == t.Epoch && s.Seq > t.Seq
}

// SetStandby sets the standby of a lost server, and wakes those who wait for a change. It
// holds until a newer announcement replaces it, or the table names a later epoch for the
// lost server's keys, which then have another owner.
func (o *Owners) SetStandby(lost ident.Server, s Standby) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.standbys.Load()
	if old != nil && !s.newer((*old)[lost]) {
		return
	}
	next := map[ident.Server]Standby{lost: s}
	if old != nil {
		next = maps.Clone(*old)
		next[lost] = s
	}
	o.standbys.Store(&next)
	o.notify()
}

// notify wakes those who wait for a change. The caller holds mu.
func (o *Owners) notify() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// View returns the current table, nil before the first.
func (o *Owners) View() *table.View { return o.view.Load() }

// Owner returns the server that serves a key: its owner by the table, or the standby of
// that owner.
func (o *Owners) Owner(k ident.Key) (table.Owner, bool) {
	if f := o.finder.Load(); f != nil {
		return (*f).Owner(k)
	}
	v := o.view.Load()
	if v == nil {
		return table.Owner{}, false
	}
	owner, ok := v.Owner(k)
	if standbys := o.standbys.Load(); standbys != nil {
		if s := (*standbys)[owner.Server]; s.To != "" && s.Epoch == owner.Epoch {
			owner.Server = s.To
		}
	}
	return owner, ok
}

// GateOwner returns the server that serves a key, in the form that the gate needs.
func (o *Owners) GateOwner(k ident.Key) (gate.Owner, bool) {
	owner, ok := o.Owner(k)
	return gate.Owner{Server: owner.Server, Slice: owner.Slice, Epoch: owner.Epoch}, ok
}

// SetView replaces the table by a newer one and wakes those who wait for a change. It
// returns false, and changes nothing, if the table is not newer than the current one.
func (o *Owners) SetView(v *table.View) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.view.Load(); old != nil && old.Rev() >= v.Rev() {
		return false
	}
	o.view.Store(v)
	o.notify()
	return true
}

// Changed returns a channel that is closed at the next change. Get the channel before
// reading the state, or a change in between is missed.
func (o *Owners) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}
