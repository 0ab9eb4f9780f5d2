package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
)

const (
	// fleetInterval is how often the leader makes a list of the servers' load, and each VM
	// decides whether the full servers of its services are silent.
	fleetInterval = 200 * time.Millisecond
	// fleetGaugeAge is the greatest age of the entries that the gauges count.
	fleetGaugeAge = time.Second
)

// fleetLoad exchanges with the other VMs what each has seen of the load of servers, and
// passes it to the gates of the services whose full servers are silent.
type fleetLoad struct {
	group     group.Group
	mode      fleet.Mode
	hub       *poll.Hub
	state     *state.State
	servers   *serverTracker
	log       *slog.Logger
	collector fleet.Collector

	mu        sync.Mutex
	processes map[ident.Process]ident.Service // listed servers, as of the last tick
	slots     map[ident.Process]int           // of processes
	index     poll.FleetIndex                 // of processes
	modes     map[ident.Service]serviceMode
	book      fleet.Book
	sent      int64 // samples sent to a leader

	// As the leader. All times of this struct are of the boot clock.
	table    fleet.Table
	evidence fleet.Evidence
	places   map[ident.Service]*fleet.Places
	names    poll.FleetNames
	lists    map[uint64]packedList // lists made at madeAt, by the revision since which they hold changes
	madeAt   time.Time
	ownRev   uint64 // of the table when this VM last applied its own list

	// Of the leader that this VM polls.
	leader      string // incarnation
	leaderNames poll.FleetNames
	listRev     uint64
	stateRev    uint64
}

// serviceMode is what was decided for a service.
type serviceMode struct {
	silent bool
	why    string
	places int
}

// packedList is a list as it is sent to several VMs.
type packedList struct {
	rev    uint64
	packed []byte
}

func newFleetLoad(lc fx.Lifecycle, cfg Config, hub *poll.Hub, st *state.State, servers *serverTracker, log *slog.Logger) *fleetLoad {
	f := &fleetLoad{mode: cfg.FullServers, hub: hub, state: st, servers: servers, log: log, modes: map[ident.Service]serviceMode{}}
	hub.SetFleet(f)
	runWhileStarted(lc, &f.group, f.run)
	return f
}

func (f *fleetLoad) run(ctx context.Context) error {
	for group.Sleep(ctx, fleetInterval) {
		f.tick()
	}
	return nil
}

// tick decides on the services and, on the leader, merges what this VM itself has seen.
func (f *fleetLoad) tick() {
	processes, slots := f.servers.processes()
	_, leads := f.hub.Lease()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.setProcesses(processes)
	f.slots = slots
	f.book.Learn(f.collector.Observed())
	f.book.Retain(f.isListed)
	if leads {
		f.table.Retain(now, f.isListed)
		f.merge(now, f.collector.Take(now, f.isOn).Samples)
		f.applyOwn(now)
	}
	f.decide()
}

func (f *fleetLoad) setProcesses(all map[ident.Process]ident.Service) {
	f.processes, f.index = all, make(poll.FleetIndex, len(all))
	for p := range all {
		f.index.Add(p)
	}
}

func (f *fleetLoad) isListed(p ident.Process) bool {
	_, ok := f.processes[p]
	return ok
}

// isOn reports whether the full servers of a service are treated as silent. This and the
// following methods require the caller to hold mu, unless they take it.
func (f *fleetLoad) isOn(svc ident.Service) bool { return f.modes[svc].silent }

func (f *fleetLoad) anyOn() bool {
	for _, m := range f.modes {
		if m.silent {
			return true
		}
	}
	return false
}

// decide decides for each service whether its full servers are treated as silent.
func (f *fleetLoad) decide() {
	for name, svc := range f.state.Services() {
		known := f.book.State(name)
		silent, why := f.mode.Decide(known.Full)
		next := serviceMode{silent: silent, why: why, places: known.Places}
		old, decided := f.modes[name]
		if decided && next == old {
			continue
		}
		f.modes[name] = next
		if !decided || next.silent != old.silent || next.why != old.why {
			f.log.Info("full servers", "service", name, "mode", f.mode.String(), "silent", silent, "why", why, "places", known.Places)
		}
		if next.silent != old.silent {
			svc.Gate.SetSilent(silent)
		}
		if silent {
			svc.Gate.ApplyFleet(time.Now(), nil, next.places)
		}
	}
}

// merge adds samples on the leader.
func (f *fleetLoad) merge(now time.Time, all []fleet.Sample) {
	listed := all[:0:0]
	for _, s := range all {
		svc, ok := f.processes[s.Process()]
		if !ok {
			continue
		}
		listed = append(listed, s)
		f.learnPlaces(svc, s)
		if s.Refused > 0 {
			f.book.Learn(map[ident.Service]fleet.State{svc: {Full: fleet.FullAnswers}})
		}
		if f.evidence.Add(now, svc, s.Server, s.Silent) {
			f.book.Learn(map[ident.Service]fleet.State{svc: {Full: fleet.FullSilent}})
		}
	}
	f.table.Merge(now, listed)
}

// learnPlaces learns from the load in a sample how many requests the servers of a service hold.
func (f *fleetLoad) learnPlaces(svc ident.Service, s fleet.Sample) {
	if s.LoadAge <= 0 {
		return
	}
	if f.places == nil {
		f.places = map[ident.Service]*fleet.Places{}
	}
	if f.places[svc] == nil {
		f.places[svc] = &fleet.Places{}
	}
	f.places[svc].Add(s.Load, f.slots[s.Process()])
	if n := f.places[svc].Value(); n > 0 {
		f.book.Learn(map[ident.Service]fleet.State{svc: {Places: n}})
	}
}

// mergeReport adds what another VM reports to this one, which leads. The latencies of the
// servers with a number are not stated again in the request: it adds them there.
func (f *fleetLoad) mergeReport(req *poll.Request) {
	if req.Samples == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Learn(req.Samples.States)
	samples, packed := f.names.Samples(req.Samples, req.Incarnation == f.hub.Incarnation(), f.index)
	f.merge(clock.Now(), samples)
	for _, s := range samples[:packed] {
		if s.Answered <= 0 {
			continue
		}
		if req.LatencySums == nil {
			req.LatencySums = map[ident.Server]assign.LatencySum{}
		}
		req.LatencySums[s.Server] = assign.LatencySum{N: uint32(s.Answered), Total: s.Work}
	}
}

// applyOwn applies the leader's list on the leader itself.
func (f *fleetLoad) applyOwn(now time.Time) {
	if !f.anyOn() {
		return
	}
	list, rev := f.table.Since(now, f.ownRev)
	f.ownRev = rev
	f.apply(now, list)
}

// apply passes a list whose ages held at a time to the gates of the services that use it.
func (f *fleetLoad) apply(at time.Time, list []fleet.Entry) {
	byService := map[ident.Service][]fleet.Entry{}
	for _, e := range f.book.Apply(at, list) {
		if svc, ok := f.processes[e.Process()]; ok && f.isOn(svc) {
			byService[svc] = append(byService[svc], e)
		}
	}
	gateAt := time.Now().Add(at.Sub(clock.Now()))
	for name, entries := range byService {
		if svc, ok := f.state.Service(name); ok {
			svc.Gate.ApplyFleet(gateAt, entries, f.modes[name].places)
		}
	}
}

// List implements [poll.FleetSource].
func (f *fleetLoad) List(r *poll.FleetReport, knows bool) *poll.FleetList {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r == nil {
		r = &poll.FleetReport{}
	}
	now := clock.Now()
	l := &poll.FleetList{}
	states, stateRev := f.book.States()
	news := stateRev > 0 && (!knows || r.StateRev != stateRev)
	if news {
		l.States, l.StateRev = states, stateRev
	}
	if r.Wants {
		f.addEntries(now, l, r, knows)
		news = news || l.Rev > 0
	}
	if !news {
		return nil
	}
	return l
}

// addEntries adds the entries that the sender of a report does not know.
func (f *fleetLoad) addEntries(now time.Time, l *poll.FleetList, r *poll.FleetReport, knows bool) {
	if f.lists == nil || now.Sub(f.madeAt) >= fleetInterval {
		f.lists, f.madeAt = map[uint64]packedList{}, now
	}
	since := uint64(0)
	if knows {
		since = r.Rev
	}
	p, ok := f.lists[since]
	if !ok {
		entries, rev := f.table.Since(f.madeAt, since)
		p = packedList{rev: rev, packed: f.names.Pack(entries)}
		f.lists[since] = p
	}
	l.Rev, l.Packed = p.rev, p.packed
	l.Age = (now.Sub(f.madeAt) + time.Millisecond - 1).Truncate(time.Millisecond)
	f.names.AddNames(l, r, knows)
}

// report adds to a poll what this VM reports of the load of servers, and returns the samples
// to restore if it does not arrive. It leaves out the latencies that samples state.
func (f *fleetLoad) report(req *poll.Request) fleet.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLeader(req.Incarnation)
	r := &poll.FleetReport{StateRev: f.stateRev}
	if f.mode == fleet.Answer {
		req.Samples = r.OrNil()
		return fleet.Batch{}
	}
	batch := f.collector.Take(clock.Now(), f.isOn)
	r.States = f.book.Unknown()
	if f.anyOn() {
		r.Wants, r.Rev = true, f.listRev
	}
	for _, s := range f.leaderNames.Report(r, batch.Samples) {
		if s.Answered > 0 {
			delete(req.LatencySums, s.Server)
		}
	}
	f.sent += int64(len(batch.Samples))
	req.Samples = r.OrNil()
	return batch
}

// setLeader prepares for another leader, whose numbers and revisions are others.
func (f *fleetLoad) setLeader(incarnation string) {
	if incarnation == f.leader {
		return
	}
	f.leader, f.leaderNames, f.listRev, f.stateRev = incarnation, poll.FleetNames{}, 0, 0
	f.book.LeaderChanged()
}

// applyLeader applies the leader's list in the response to a poll, which was sent at a time
// and contained samples.
func (f *fleetLoad) applyLeader(asked time.Time, req *poll.Request, resp *poll.Response, samples fleet.Batch) {
	if resp.Lease.Incarnation != req.Incarnation && req.Samples != nil && len(req.Samples.Packed) > 0 {
		f.collector.Restore(samples) // their numbers were those of another leader
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLeader(resp.Lease.Incarnation)
	l := resp.Fleet
	if l == nil {
		return
	}
	if l.StateRev > 0 {
		f.book.LearnFromLeader(l.States)
		f.stateRev = l.StateRev
	}
	if l.Rev == 0 {
		return
	}
	f.listRev = l.Rev
	// The leader got the poll after it was sent, and answered it as much later as it says. So
	// the ages are not below the true ones, however long the response was on its way.
	at := asked.Add(l.Held - l.Age)
	if now := clock.Now(); at.After(now) {
		at = now
	}
	f.apply(at, f.leaderNames.Entries(l, f.index))
}

// fleetStats are figures for the gauges.
type fleetStats struct {
	entries     int
	meanAge     time.Duration
	samplesSent int64
	silent      map[ident.Service]bool
}

func (f *fleetLoad) stats(now time.Time) fleetStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := fleetStats{samplesSent: f.sent, silent: make(map[ident.Service]bool, len(f.modes))}
	s.entries, s.meanAge = f.book.Count(now, fleetGaugeAge)
	for svc, m := range f.modes {
		s.silent[svc] = m.silent
	}
	return s
}
