// Package world is a discrete-event simulation of everything around the lessors of one
// service: entry VMs with their own clocks, the links between them, the store, and
// backend servers that keep their own record of what they served and when.
//
// It runs in one goroutine and a seed determines the whole run (a history), so
// thousands of histories take seconds and each failing one can be reproduced. It only
// has typed fakes for the commands of packages lessor and commit: there is no cluster
// and there are no processes.
//
// The checks read the backend servers' own records (record.go), never what a VM
// believes.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Service is the only service of a world.
const Service ident.Service = "lookup"

// Options describe a world. The zero value of a field means its default.
type Options struct {
	Seed        uint64
	VMs         int           // default 4
	Servers     int           // default 3
	Slices      int           // default 6; slices and hot keys together at most 64
	Centres     int           // default 3
	FenceChecks bool          // servers refuse orders with a fence below the highest one applied
	MoveDelay   time.Duration // how long a silent server keeps its keys after its lease ended
	Standby     bool          // standby servers serve the keys of lost servers while the store is down
	// NewLessor creates a lessor; tests set a deliberately flawed one here.
	NewLessor func(lessor.Config) loop.Model
	// NewWriter creates the writer that combines the table edits of one VM's lessors; with
	// nil each lessor writes the table itself.
	NewWriter func(commit.Config) loop.Model
	// SkipIdleTables sends new tables only to lessors that hold authority or act as standby,
	// as a VM with many lessors does; the others read the table when they take over.
	SkipIdleTables bool
	// Term replaces the default term of authority; a short one ends within a history.
	Term time.Duration
	// ReassignEvery is the interval at which the lessors are reassigned, each to another VM,
	// which takes over from a healthy holder; zero for never.
	ReassignEvery time.Duration
	// Skew is the largest error of a clock's rate, in parts per thousand.
	Skew int
}

func (o Options) withDefaults() Options {
	set := func(n *int, d int) {
		if *n == 0 {
			*n = d
		}
	}
	set(&o.VMs, 4)
	set(&o.Servers, 3)
	set(&o.Slices, 6)
	set(&o.Centres, 3)
	if o.NewLessor == nil {
		o.NewLessor = func(c lessor.Config) loop.Model { return lessor.New(c) }
	}
	return o
}

// Noise sets the faults of links and VMs. Probabilities are in parts per thousand.
type Noise struct {
	Drop, Duplicate, Delay int           // of a message
	Stall                  int           // of a VM between a decision and its effect
	MaxDelay, MaxStall     time.Duration // upper bounds
}

// World is one simulated history. Create it with New.
type World struct {
	Opt     Options
	Noise   Noise
	Store   *Store
	VMs     []*VM
	Servers []*Server
	// Hot lists the keys that may be moved apart from their slice.
	Hot []ident.Key
	// Errs are the violations noticed during the run; Check adds to them.
	Errs []string
	// Count counts calls by kind, for the table of costs.
	Count Count

	now           time.Duration
	rng           *rand.Rand
	queue         events
	lastSeq       uint64                      // of the events, for the order of simultaneous ones
	cutUntil      map[[2]string]time.Duration // until when a link is cut
	epochHolders  map[string]ident.VM         // server and epoch to holder
	times         lease.Times
	serversByName map[ident.Server]*Server
	lastLive      []bool // liveness of each VM at the last updateVMs
	lastShift     int    // roleShift at the last updateVMs
}

// Count holds the numbers of calls and messages of all lessors and writers.
type Count struct {
	Reads, Writes int // of the store
	Orders        int // to backend servers
	Asks          int // reads of backend servers' leases
	OrderBytes    int
	Peer          int // messages between VMs
	PeerBytes     int
	Moves         int // keys moved
	Joined        int // edits written together with another one
	Forwarded     int // edits sent to a coordinator
}

// startTime is the wall time at the start of a history.
var startTime = time.Date(2026, 9, 21, 6, 0, 0, 0, time.UTC)

// New creates a world and starts its VMs.
func New(o Options) *World {
	o = o.withDefaults()
	w := &World{
		Opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0x68617774)),
		cutUntil: map[[2]string]time.Duration{}, epochHolders: map[string]ident.VM{}, times: lease.Default(),
		serversByName: map[ident.Server]*Server{},
	}
	if o.Term > 0 {
		w.times.Term = o.Term
	}
	names := make([]ident.Server, o.Servers)
	for i := range names {
		names[i] = ident.Server(fmt.Sprintf("s%d", i))
		w.Servers = append(w.Servers, newServer(w, i, names[i]))
		w.serversByName[names[i]] = w.Servers[i]
	}
	t, _ := table.New(Service, uint32(o.Slices), names...)
	for x := range o.Slices {
		t, _ = t.WithAssigned(table.Move{Slice: ident.Slice(x), To: names[x%len(names)]})
	}
	w.Store = newStore(w, t)
	w.Hot = []ident.Key{"scale-1", "scale-2"}
	for i := range o.VMs {
		w.VMs = append(w.VMs, newVM(w, i))
	}
	w.refreshRoles()
	if o.ReassignEvery > 0 {
		w.after(o.ReassignEvery/2, w.takeOverLessors)
	}
	w.resync()
	return w
}

// Now returns the simulated time since the history began.
func (w *World) Now() time.Duration { return w.now }

// Run processes all events up to a simulated time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// At schedules a call for a simulated time, or for now if that has passed.
func (w *World) At(at time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{at: max(at, w.now), seq: w.lastSeq, do: do})
}

func (w *World) after(d time.Duration, do func()) { w.At(w.now+d, do) }

func (w *World) errorf(format string, args ...any) {
	if len(w.Errs) < 20 {
		w.Errs = append(w.Errs, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *World) chance(permille int) bool { return permille > 0 && w.rng.IntN(1000) < permille }

func (w *World) between(lo, hi time.Duration) time.Duration {
	if hi <= lo {
		return lo
	}
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

// randomClockRate draws the rate of a clock: 1 plus or minus up to Options.Skew.
func (w *World) randomClockRate() float64 {
	if w.Opt.Skew == 0 {
		return 1
	}
	return 1 + float64(w.rng.IntN(2*w.Opt.Skew+1)-w.Opt.Skew)/1000
}

// Partition cuts the link between two VMs or servers, or a VM and "store", for d.
func (w *World) Partition(a, b string, d time.Duration) {
	w.cutUntil[link(a, b)] = w.now + d
}

func (w *World) isCut(a, b string) bool { return w.now < w.cutUntil[link(a, b)] }

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send delivers a message; depending on Noise it is dropped, delayed or duplicated.
func (w *World) send(from, to string, do func()) {
	if w.isCut(from, to) || w.chance(w.Noise.Drop) {
		return
	}
	copies := 1
	if w.chance(w.Noise.Duplicate) {
		copies = 2
	}
	for i := range copies {
		d := w.between(700*time.Microsecond, 1500*time.Microsecond)
		if w.chance(w.Noise.Delay) || i > 0 {
			d += w.between(0, w.Noise.MaxDelay)
		}
		w.after(d, do)
	}
}

// call sends a request and returns its answer. done runs once: with the answer, or with
// ok false if wait on the VM's clock ends first.
func (w *World) call(v *VM, to string, wait time.Duration, serve func(reply func(any)), done func(answer any, ok bool)) {
	over := false
	finish := func(a any, ok bool) {
		if !over {
			over = true
			done(a, ok)
		}
	}
	w.after(v.toSimTime(wait), func() { finish(nil, false) })
	name, copies := string(v.ID), request{}
	w.send(name, to, func() {
		copies.serve(serve, func(a any) { w.send(to, name, func() { finish(a, true) }) })
	})
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Heal ends every partition and store outage.
func (w *World) Heal() {
	clear(w.cutUntil)
	w.Store.downUntil = 0
}
