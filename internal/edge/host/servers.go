package host

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// serverTracker tracks the backend servers and passes them to the gates.
type serverTracker struct {
	group     group.Group
	plat      Platform
	state     *state.State
	hub       *poll.Hub
	log       *slog.Logger
	notices   *notices
	pulse     *pulse
	failing   atomic.Bool // the store does not answer calls for servers
	isListNew func() bool // vouches, as the services get it
	shedders  *shedders

	mu           sync.Mutex
	members      member.Set[feed.Server]
	services     map[ident.Service]feed.Service
	vmCount      int
	onChange     func([]feed.Server)
	onLeft       func(ident.Server)    // called when a server may get no more requests; nil until the VM is wired
	offered      map[ident.Server]bool // servers that may get requests
	rev          uint64
	mismatch     bool                         // the checksum after the last delta did not match that of the leader
	difference   difference                   // between the servers known here and those of the leader
	nextFullList time.Time                    // when the complete list may be requested again
	drain        time.Duration                // how long after its announcement a leaving server may get requests
	leavingSince map[ident.Server]time.Time   // when each leaving server was first seen to leave
	dropped      map[ident.Server]bool        // leaving servers that no longer get requests
	asOf         time.Time                    // the list is at least as new, on the boot clock
	cursor       object.Cursor                // up to which this VM knows the store's changes
	missingSince time.Time                    // while servers are kept that the store no longer lists: when it was last known to list all, on the boot clock
	vouchedAt    time.Time                    // when the leader last said that the store answers it
	statesStart  bool                         // some listed server states when it started
	left         departures                   // processes that announced that they leave
	source       string                       // of the last news, for the log
	news         news                         // when the last news happened
	lastLogged   map[ident.Server]feed.Server // servers at the last log line
	loggedFaults map[ident.Server]bool        // servers whose invalid entry has been logged
	evacuated    evac.Set                     // data centres whose servers must get no requests
	evacuation   time.Duration                // how long after an evacuation was accepted its servers may get requests
	loggedEvacs  map[string]bool              // malformed evacuations that have been logged
	droppedEvacs map[ident.Centre]bool        // evacuated data centres whose servers no longer get requests
	coldEntries  map[ident.Server]coldEntry   // servers that are cold by their entries
	capped       map[ident.Server]bool        // cold servers that may get only few requests
	warmAt       time.Time                    // when the first of them is expected to be warm
	borrowed     []ident.Server               // cold servers that the leader last lent to this VM
	coldOverrun  float64                      // see Bounds.ColdOverrun
	coldSlack    float64                      // see Bounds.ColdSlack
	noticesRev   uint64                       // of the notices that the key assignment knows
	shedding     map[ident.Process]bool       // servers that want no requests from several VMs, on the leader
	rejected     []ident.Server               // listed by the last news, and taken for removed here
}

func newServerTracker(lc fx.Lifecycle, cfg Config, p Platform, s *state.State, hub *poll.Hub, l *notices, r *shedders, pulse *pulse, log *slog.Logger) *serverTracker {
	t := &serverTracker{plat: p, state: s, hub: hub, notices: l, shedders: r, log: log, services: map[ident.Service]feed.Service{}, vmCount: 1, drain: cmp.Or(cfg.Bounds.Drain, defaultDrain), evacuation: cmp.Or(cfg.Bounds.Evacuation, defaultEvacuation), loggedFaults: map[ident.Server]bool{}, dropped: map[ident.Server]bool{}}
	t.pulse, t.isListNew = pulse, t.vouches
	t.coldOverrun, t.coldSlack = coldBounds(cfg.Bounds)
	l.subscribe(t.noticesChanged)
	w := &watcher{
		prefix: p.Servers, hub: hub, fresh: p.Store, stale: p.StaleStore, log: log,
		receivedFromPeer: func() bool { _, servers := hub.Revs(); return servers > 0 },
		confirmed:        reliesOnLeader(hub, poll.Servers, t.drain), freshWait: freshWait(reliance(t.drain)),
		onList: t.replaceAll, onChange: t.applyChanges, onDown: t.storeDown, onUp: t.storeUp, onApplied: t.noteListed,
		onSource:  t.noteSource,
		onCurrent: t.noteCurrent,
	}
	runWhileStarted(lc, &t.group, w.run, t.expireLoop)
	if p.Evacuations != "" {
		runWhileStarted(lc, &t.group, t.evacuationWatcher().run)
	}
	return t
}

func (t *serverTracker) replaceAll(all []object.Object, cursor object.Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.noteMissing()
	var list []member.Entry[feed.Server]
	for _, o := range all {
		if e, ok := t.decode(o); ok {
			list = append(list, t.withKnownRev(e))
		}
	}
	changed := t.members.ReplaceAll(time.Now(), uint64(cursor), list)
	t.noteRejected(list, uint64(cursor))
	switch {
	case changed:
		t.publish(uint64(cursor))
	case t.rev != 0 && object.Version(t.rev).Era() < cursor.Era():
		t.advanceRev(uint64(cursor)) // or the other VMs would take what they list themselves for newer
	}
}

func (t *serverTracker) applyChanges(all []object.Change, cursor object.Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.noteMissing()
	now := time.Now()
	t.members.StoreUp(now)
	changed := false
	var written []member.Entry[feed.Server]
	for _, c := range all {
		e, ok := t.decode(c.Object)
		if c.Version == 0 || !ok {
			changed = t.members.Remove(now, e.Name, t.removedRev(c)) || changed
			written = slices.DeleteFunc(written, func(w member.Entry[feed.Server]) bool { return w.Name == e.Name })
			continue
		}
		changed = t.members.Put(e) || changed
		written = append(written, e)
	}
	t.members.Applied(uint64(cursor))
	t.noteRejected(written, uint64(cursor))
	if changed {
		t.publish(uint64(cursor))
	}
}

// removedRev returns the revision up to which a change removes its server's entry. A removal
// that tells none follows the entry that is known. The caller holds mu.
func (t *serverTracker) removedRev(c object.Change) uint64 {
	if rev := max(uint64(c.Version), uint64(c.At)); rev != 0 {
		return rev
	}
	known, _ := t.members.Has(ident.Server(strings.TrimPrefix(c.Name, t.plat.Servers)))
	return known.Rev
}

// withKnownRev returns an entry under the revision that this VM knows for it, if only the
// store's era differs. Otherwise all entries would count as changed after a return, and the
// leader would send each of them to each VM. The caller holds mu.
func (t *serverTracker) withKnownRev(e member.Entry[feed.Server]) member.Entry[feed.Server] {
	old, ok := t.members.Has(e.Name)
	known := old.Value
	known.Rev = e.Rev
	if !ok || object.Version(old.Rev).Era() >= object.Version(e.Rev).Era() || known != e.Value || t.members.Missing(e.Name) {
		return e
	}
	e.Rev, e.Value.Rev = old.Rev, old.Rev
	return e
}

// decode decodes a server's entry. It returns false for an entry that cannot be read.
func (t *serverTracker) decode(o object.Object) (member.Entry[feed.Server], bool) {
	name := strings.TrimPrefix(o.Name, t.plat.Servers)
	e := member.Entry[feed.Server]{Name: ident.Server(name), Rev: uint64(o.Version)}
	if o.Version == 0 {
		return e, false
	}
	srv, err := t.plat.Decode.Server(name, o.Value)
	fault := srv.InvalidFields
	if err != nil {
		fault = err.Error()
	}
	if fault != "" && !t.loggedFaults[e.Name] {
		t.loggedFaults[e.Name] = true
		t.log.Warn("server entry has a fault", "server", name, "rev", object.Version(e.Rev).Revision(), "taken", err == nil, "fault", fault)
	}
	if err != nil {
		return e, false
	}
	srv.Rev = e.Rev
	e.Value, e.Leaving = srv, srv.Leaving
	return e, true
}

// expireLoop removes servers that are still missing some time after the store is back.
func (t *serverTracker) expireLoop(ctx context.Context) error {
	const interval = 200 * time.Millisecond
	for group.Sleep(ctx, interval) {
		t.expire(time.Now())
	}
	return nil
}

// expire applies what is due at a time.
func (t *serverTracker) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members.Expire(now) {
		t.publishDue()
	} else {
		t.updateDue(now)
	}
	if changed := t.evacuated.Expire(now); len(changed) > 0 {
		t.evacuationsChanged(changed, "store")
	}
}

// publishDue publishes removals of an earlier answer of the store that have become due. Their
// revisions are known to other VMs, which would not be told of them. The caller holds mu.
func (t *serverTracker) publishDue() {
	t.publish(uint64(t.cursor))
	t.noteMissing()
}

// updateDue applies what has changed with time alone. The caller holds mu.
func (t *serverTracker) updateDue(now time.Time) {
	drained, evacuated := t.markDrained(now), t.markEvacuated(now)
	rev, shedding := t.notices.revision(), t.shedders.shedding()
	if rev != t.noticesRev || !maps.Equal(shedding, t.shedding) || t.warmDue(now) {
		t.noticesRev, t.shedding = rev, shedding
		t.distribute(t.list())
		return
	}
	if drained || evacuated {
		t.updateGates(t.list())
	}
}

// publish passes the servers to the gates, the other VMs and the key assignment. The
// caller holds mu.
func (t *serverTracker) publish(rev uint64) {
	t.rev = max(t.rev, rev)
	list := t.list()
	t.trackLeaving(time.Now(), list)
	t.logChanges(list)
	t.notices.retain(list)
	t.hub.SetServers(poll.ServerList{Rev: t.rev, List: list, Since: t.leavingSince})
	t.distribute(list)
}

// noticesChanged passes on that servers have given or ended notices.
func (t *serverTracker) noticesChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.distribute(t.list())
}

// distribute passes the servers to the gates and the key assignment. The caller holds mu.
func (t *serverTracker) distribute(list []feed.Server) {
	t.updateGates(list)
	if t.onChange != nil {
		t.onChange(t.annotate(list))
	}
}

// updateGates passes each service's servers to its gate. The caller holds mu.
func (t *serverTracker) updateGates(list []feed.Server) {
	now := time.Now()
	t.trackLeaving(now, list)
	t.trackCold(now, list)
	t.markCapped(now, list)
	infos := map[ident.Service][]gate.ServerInfo{}
	endpoints := map[ident.Service]map[ident.Server]state.Endpoint{}
	for _, s := range list {
		_, evacuated := t.evacuated.Evacuated(s.Centre)
		if t.drained(now, s) || evacuated && t.evacuationDue(now, s.Centre) {
			continue
		}
		infos[s.Service] = append(infos[s.Service], t.gateInfo(now, s))
		if endpoints[s.Service] == nil {
			endpoints[s.Service] = map[ident.Server]state.Endpoint{}
		}
		endpoints[s.Service][s.Name] = state.Endpoint{Addr: s.Addr, Incarnation: s.Incarnation, Until: t.sendUntil(s)}
	}
	for name := range t.services {
		svc, ok := t.state.Service(name)
		if !ok {
			continue
		}
		svc.SetEndpoints(endpoints[name])
		svc.SetLeaving(t.leavingSince)
		svc.SetVouch(&t.isListNew)
		svc.Gate.SetServers(infos[name])
	}
	t.noteOffered(infos)
}

// noteOffered calls onLeft for the servers that may get no more requests since the last call:
// other VMs may still send them some through this one. The caller holds mu.
func (t *serverTracker) noteOffered(infos map[ident.Service][]gate.ServerInfo) {
	next := map[ident.Server]bool{}
	for _, all := range infos {
		for _, s := range all {
			next[s.Name] = true
		}
	}
	for name := range t.offered {
		if !next[name] && t.onLeft != nil {
			t.onLeft(name)
		}
	}
	t.offered = next
}

// setServices applies the services of the rules in force.
func (t *serverTracker) setServices(all []feed.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range all {
		t.services[s.Name] = s
		if svc, ok := t.state.Service(s.Name); ok {
			svc.Gate.SetShare(t.vmCount, 0)
		}
	}
	t.distribute(t.list())
}

func (t *serverTracker) list() []feed.Server {
	var list []feed.Server
	for _, e := range t.members.All() {
		list = append(list, e.Value)
	}
	return list
}

// hasServers reports whether a service has servers.
func (t *serverTracker) hasServers(svc ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.list(), func(s feed.Server) bool { return s.Service == svc })
}

// setVMCount sets the number of VMs that share the servers.
func (t *serverTracker) setVMCount(vms int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if vms == t.vmCount {
		return
	}
	t.vmCount = vms
	for _, svc := range t.state.Services() {
		svc.Gate.SetShare(vms, 0)
	}
}

// subscribe sets the function that is called with the current servers and after each
// change.
func (t *serverTracker) subscribe(fn func([]feed.Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = fn
	if fn != nil {
		fn(t.annotate(t.list()))
	}
}

// processes returns the listed processes of servers with their services, and their slots.
func (t *serverTracker) processes() (services map[ident.Process]ident.Service, slots map[ident.Process]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services, slots = map[ident.Process]ident.Service{}, map[ident.Process]int{}
	for _, s := range t.list() {
		services[s.Process()], slots[s.Process()] = s.Service, s.Slots
	}
	return services, slots
}

// dividedServices returns the services that are divided by key.
func (t *serverTracker) dividedServices() []ident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []ident.Service
	for name, s := range t.services {
		if s.Divided {
			all = append(all, name)
		}
	}
	return all
}
