package host

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// fleet keeps which backend servers there are, and tells the gates.
type fleet struct {
	group group.Group
	plat  Platform
	state *state.State
	board *poll.Hub
	log   *slog.Logger

	mu       sync.Mutex
	census   member.Set[feed.Server]
	services map[ident.Service]feed.Service
	vms      int
	onChange func([]feed.Server)
	rev      uint64
	doubt    bool                       // another VM has other servers as of this place
	wholeAt  time.Time                  // all servers may be asked for again
	drain    time.Duration              // a leaving server may get requests for as long
	leaves   map[ident.Server]time.Time // since when servers are known to leave
	dropped  map[ident.Server]bool      // of those, the ones that get nothing any more
	noted    map[ident.Server]bool      // servers as they were last logged, and whether they leave
	logged   map[ident.Server]bool      // entries with a fault that were named
}

func newFleet(lc fx.Lifecycle, cfg Config, p Platform, s *state.State, b *poll.Hub, log *slog.Logger) *fleet {
	f := &fleet{plat: p, state: s, board: b, log: log, services: map[ident.Service]feed.Service{}, vms: 1, drain: cfg.Bounds.Drain, logged: map[ident.Server]bool{}, dropped: map[ident.Server]bool{}}
	w := &watcher{
		prefix: p.Servers, board: b, fresh: p.Store, stale: p.StaleStore, log: log,
		told:   func() bool { _, servers := b.Revs(); return servers > 0 },
		listed: f.listed, changed: f.changed, down: f.down, up: f.up,
	}
	duties(lc, &f.group, w.run, f.expire)
	return f
}

func (f *fleet) down() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.census.StoreDown()
}

// up notes that the store answered.
func (f *fleet) up() {
	now := time.Now()
	f.board.SetStoreContact(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.census.StoreUp(now)
}

// witness takes in for how long the store has answered another VM without a break.
func (f *fleet) witness(steady time.Duration) {
	if steady <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.census.StoreSeenByPeer(now, now.Add(-steady)) {
		f.log.Info("the store was there while this VM did not reach it", "rev", f.rev, "steady", steady)
		f.publish(f.rev)
	}
}

func (f *fleet) listed(all []object.Object, at object.Cursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []member.Entry[feed.Server]
	for _, o := range all {
		if e, ok := f.decode(o); ok {
			list = append(list, e)
		}
	}
	if f.census.ReplaceAll(time.Now(), uint64(at), list) {
		f.publish(uint64(at))
	}
}

func (f *fleet) changed(all []object.Change, at object.Cursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.census.StoreUp(now)
	news := false
	for _, c := range all {
		e, ok := f.decode(c.Object)
		if c.Version == 0 || !ok {
			news = f.census.Remove(now, e.Name, uint64(at)) || news
			continue
		}
		news = f.census.Put(e) || news
	}
	if news {
		f.publish(uint64(at))
	}
}

// decode reads an entry. One that cannot be read names no server.
func (f *fleet) decode(o object.Object) (member.Entry[feed.Server], bool) {
	name := strings.TrimPrefix(o.Name, f.plat.Servers)
	e := member.Entry[feed.Server]{Name: ident.Server(name), Rev: uint64(o.Version)}
	if o.Version == 0 {
		return e, false
	}
	srv, err := f.plat.Decode.Server(name, o.Value)
	fault := srv.InvalidFields
	if err != nil {
		fault = err.Error()
	}
	if fault != "" && !f.logged[e.Name] {
		f.logged[e.Name] = true
		f.log.Warn("entry has a fault", "server", name, "rev", e.Rev, "taken", err == nil, "fault", fault)
	}
	if err != nil {
		return e, false
	}
	srv.Rev = e.Rev
	e.Value, e.Leaving = srv, srv.Leaving
	return e, true
}

// expire drops what stayed missing after the store's return.
func (f *fleet) expire(ctx context.Context) error {
	const every = 200 * time.Millisecond
	for group.Sleep(ctx, every) {
		f.mu.Lock()
		now := time.Now()
		if f.census.Expire(now) {
			f.publish(f.rev)
		} else if f.due(now) {
			f.spread(f.list())
		}
		f.mu.Unlock()
	}
	return nil
}

// publish hands the servers to the gates, the other VMs and the leader's deal. The
// caller holds mu.
func (f *fleet) publish(rev uint64) {
	f.rev = max(f.rev, rev)
	var list []feed.Server
	for _, e := range f.census.All() {
		list = append(list, e.Value)
	}
	f.note(list)
	f.board.SetServers(poll.ServerList{Rev: f.rev, List: list})
	f.spread(list)
	if f.onChange != nil {
		f.onChange(list)
	}
}

// note logs what changed: who came, who leaves and who is gone. The caller holds mu.
func (f *fleet) note(list []feed.Server) {
	now := make(map[ident.Server]bool, len(list))
	var came, leave, gone []ident.Server
	for _, s := range list {
		leaves, known := f.noted[s.Name]
		switch {
		case !known:
			came = append(came, s.Name)
		case s.Leaving && !leaves:
			leave = append(leave, s.Name)
		}
		now[s.Name] = s.Leaving
	}
	for name := range f.noted {
		if _, here := now[name]; !here {
			gone = append(gone, name)
		}
	}
	f.noted = now
	if len(came)+len(leave)+len(gone) > 0 {
		f.log.Info("servers", "rev", f.rev, "count", len(list), "came", came, "leave", leave, "gone", gone)
	}
}

// spread tells each gate its servers. The caller holds mu.
func (f *fleet) spread(list []feed.Server) {
	now := time.Now()
	f.time(now, list)
	infos := map[ident.Service][]gate.ServerInfo{}
	addrs := map[ident.Service]map[ident.Server]netip.AddrPort{}
	for _, s := range list {
		if f.left(now, s) {
			continue
		}
		svc := f.services[s.Service]
		infos[s.Service] = append(infos[s.Service], gate.ServerInfo{
			Name: s.Name, Centre: s.Centre, Slots: s.Slots, Conns: svc.Conns, Cold: s.Cold > 0, Drain: s.Leaving,
		})
		if addrs[s.Service] == nil {
			addrs[s.Service] = map[ident.Server]netip.AddrPort{}
		}
		addrs[s.Service][s.Name] = s.Addr
	}
	for name := range f.services {
		svc, ok := f.state.Service(name)
		if !ok {
			continue
		}
		if addrs[name] == nil {
			addrs[name] = map[ident.Server]netip.AddrPort{}
		}
		svc.SetAddrs(addrs[name])
		svc.Gate.SetServers(infos[name])
	}
}

// leavePart is the part of the time in which a leaving server may get requests for
// keys that it still has; the rest covers their way, and the time until this VM knew.
const leavePart = 0.55

// time notes when each server was first seen to leave. The caller holds mu.
func (f *fleet) time(now time.Time, list []feed.Server) {
	next := make(map[ident.Server]time.Time)
	for _, s := range list {
		if !s.Leaving {
			continue
		}
		next[s.Name] = now
		if at, known := f.leaves[s.Name]; known {
			next[s.Name] = at
		}
	}
	f.leaves = next
}

// left reports whether a server said so long ago that it leaves that nothing may
// reach it any more. Its keys have other owners by then, or their requests wait for
// one: the platform counts what it gets later as sent to a server that has gone.
func (f *fleet) left(now time.Time, s feed.Server) bool {
	at, leaves := f.leaves[s.Name]
	return leaves && now.Sub(at) >= time.Duration(leavePart*float64(f.drain))
}

// due reports whether a server's time has ended since the gates were last told.
func (f *fleet) due(now time.Time) bool {
	due := false
	for name, at := range f.leaves {
		if !f.dropped[name] && now.Sub(at) >= time.Duration(leavePart*float64(f.drain)) {
			f.dropped[name], due = true, true
		}
	}
	return due
}

// apply takes in the services of the rules in force.
func (f *fleet) apply(all []feed.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range all {
		f.services[s.Name] = s
		if svc, ok := f.state.Service(s.Name); ok {
			svc.Gate.SetShare(f.vms, 0)
		}
	}
	f.spread(f.list())
	if f.onChange != nil {
		f.onChange(f.list())
	}
}

func (f *fleet) list() []feed.Server {
	var list []feed.Server
	for _, e := range f.census.All() {
		list = append(list, e.Value)
	}
	return list
}

// lists reports whether a service has servers.
func (f *fleet) lists(svc ident.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.list(), func(s feed.Server) bool { return s.Service == svc })
}

// life tells what is known of a server, and whether it says that it leaves.
func (f *fleet) life(s ident.Server) (life poison.Liveness, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, listed := f.census.Has(s)
	switch {
	case f.census.Uncertain(time.Now()):
		return poison.Unknown, e.Leaving
	case listed:
		return poison.Alive, e.Leaving
	}
	return poison.Gone, false
}

// share notes how many VMs share the servers.
func (f *fleet) share(vms int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vms == f.vms {
		return
	}
	f.vms = vms
	for _, svc := range f.state.Services() {
		svc.Gate.SetShare(vms, 0)
	}
}

// follow sets who hears of each change of the servers, beginning with those known.
func (f *fleet) follow(on func([]feed.Server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = on
	if on != nil {
		on(f.list())
	}
}

// divided lists the services that are divided by key.
func (f *fleet) divided() []ident.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ident.Service
	for name, s := range f.services {
		if s.Divided {
			all = append(all, name)
		}
	}
	return all
}
