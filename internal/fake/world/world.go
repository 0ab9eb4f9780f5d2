// Package world is a small discrete-event stand-in for everything around the
// seats of one service: entry VMs with their own clocks, the links between
// them, the store, and backend servers that keep their own record of what they
// served and when.
//
// It runs in one goroutine and one seed gives one history, so thousands of
// histories take seconds and each failing one can be kept. It holds typed fakes
// for the commands of package seat and nothing else: no cluster, no processes.
//
// The judge reads the backend servers' own records (record.go), never what a
// VM believes.
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
	VMs         int // default 4
	Servers     int // default 3
	Slices      int // default 6; slices and hot keys together at most 64
	Centres     int // default 3
	FenceChecks bool
	Patience    time.Duration
	Standby     bool // stand-bys serve for lost servers while the store is down
	// NewLessor makes a seat; tests put a flawed one here.
	NewLessor func(lessor.Config) loop.Model
	// NewWriter makes the writer that joins the table's edits of one VM's seats; nil
	// lets each seat write for itself.
	NewWriter func(commit.Config) loop.Model
	// SkipIdleTables spares seats that neither hold nor stand by the news of each table, as
	// a runner of many seats would; they read it when they take over.
	SkipIdleTables bool
	// Term shortens the authority's term, so that a history outlasts it.
	Term time.Duration
	// ReassignEvery is how often the seats are dealt out anew, each to another VM, which
	// takes them over from holders that are well; zero for never.
	ReassignEvery time.Duration
	// Skew is how far a clock's rate may be off, in parts of a thousand.
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

// Noise says how badly links behave. Probabilities are in parts of a thousand.
type Noise struct {
	Drop, Duplicate, Delay int           // of a message
	Stall                  int           // of a VM between a decision and its effect
	MaxDelay, MaxStall     time.Duration // how long at most
}

// World is one history. Make it with New.
type World struct {
	Opt     Options
	Noise   Noise
	Store   *Store
	VMs     []*VM
	Servers []*Server
	// Hot are the keys that moves may override.
	Hot []ident.Key
	// Errs are the violations noticed on the way; Judge adds to them.
	Errs []string
	// Count counts calls by kind, for the cost table.
	Count Count

	now     time.Duration
	rng     *rand.Rand
	queue   events
	order   uint64
	cuts    map[[2]string]time.Duration // until when a link is cut
	held    map[string]ident.VM         // server and epoch to holder
	times   lease.Times
	names   map[ident.Server]*Server
	lives   []bool // whom the roster believed live when it last looked
	shifted int    // the roster's shift at the last look
}

// Count is what the seats did.
type Count struct {
	Reads, Writes int // of the store
	Orders        int // to backend servers
	Asks          int // questions to backend servers
	OrderBytes    int
	Peer          int // messages between VMs
	PeerBytes     int
	Moves         int // keys moved
	Joined        int // edits that needed no write of their own
	Forwarded     int // edits sent to the hub
}

var start = time.Date(2026, 9, 21, 6, 0, 0, 0, time.UTC)

// New makes a world and starts its VMs.
func New(o Options) *World {
	o = o.withDefaults()
	w := &World{
		Opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0x68617774)),
		cuts: map[[2]string]time.Duration{}, held: map[string]ident.VM{}, times: lease.Default(),
		names: map[ident.Server]*Server{},
	}
	if o.Term > 0 {
		w.times.Term = o.Term
	}
	names := make([]ident.Server, o.Servers)
	for i := range names {
		names[i] = ident.Server(fmt.Sprintf("s%d", i))
		w.Servers = append(w.Servers, newServer(w, i, names[i]))
		w.names[names[i]] = w.Servers[i]
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
	w.roster()
	if o.ReassignEvery > 0 {
		w.after(o.ReassignEvery/2, w.level)
	}
	w.resync()
	return w
}

// Now returns the time since the history began.
func (w *World) Now() time.Duration { return w.now }

// Run goes on until a moment of the history.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// At plans something for a moment of the history.
func (w *World) At(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(at, w.now), order: w.order, do: do})
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

// rate draws how fast a clock runs.
func (w *World) rate() float64 {
	if w.Opt.Skew == 0 {
		return 1
	}
	return 1 + float64(w.rng.IntN(2*w.Opt.Skew+1)-w.Opt.Skew)/1000
}

// Partition breaks the link between two names ("store" is one) for a while.
func (w *World) Partition(a, b string, d time.Duration) {
	w.cuts[link(a, b)] = w.now + d
}

func (w *World) isCut(a, b string) bool { return w.now < w.cuts[link(a, b)] }

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// message delivers once, never, late or twice, as the noise has it.
func (w *World) message(from, to string, do func()) {
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

// call is a request and its answer. done runs once: with the answer, or with ok
// false when the VM's patience ends first.
func (w *World) call(v *VM, to string, wait time.Duration, serve func(reply func(any)), done func(answer any, ok bool)) {
	over := false
	finish := func(a any, ok bool) {
		if !over {
			over = true
			done(a, ok)
		}
	}
	w.after(v.real(wait), func() { finish(nil, false) })
	name, copies := string(v.ID), request{}
	w.message(name, to, func() {
		copies.serve(serve, func(a any) { w.message(to, name, func() { finish(a, true) }) })
	})
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
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

// Heal ends every cut, outage and freeze.
func (w *World) Heal() {
	clear(w.cuts)
	w.Store.downTo = 0
}
