// Package gate is the admission control of one service on one entry VM: every
// request is started on a backend server at once, waits in a bounded queue, or is
// refused with the time after which to retry.
//
// It protects a service that gets more requests than its few slots can process, from
// callers of very different rates, on servers of different speed. Without admission
// control, requests pile up on the backend servers until every answer comes after its
// caller has gone: the servers stay busy and nobody is served.
//
// [Core] makes the decisions. It is a single-threaded state machine that is passed the
// time, and is composed of the packages limit, queue, fair, pick, retry, health, sizes
// and conns. [Gate] makes it safe for concurrent use: it locks, runs the timer and
// handles callers that go away.
//
//	g := gate.New(gate.Config{Service: "lookup"})
//	defer g.Close()
//	g.SetServers([]gate.ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
//	permit, err := g.Enter(ctx, gate.Job{Caller: "weighbridge", Deadline: by})
//	if err != nil {
//		return err // kinds.Of(err), gate.RetryAfter(err)
//	}
//	outcome := forward(permit.Server())
//	permit.Done(outcome)
//
// In this package, a request is keyed if it must go to the owner of its key. It waits in
// a queue of that owner; other requests wait in shared queues. A move is the change of a
// key's owner. A flow is all requests of one caller, or all for one key. A flow that
// sends more than its fair share has a debt, and is hot if the debt is large (package
// fair). A queue is standing when waits have been long for some time, which is overload
// and not a burst (package queue).
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Gate admits the requests of one service. Create one with [New]; its methods are safe
// for concurrent use.
type Gate struct {
	group group.Group
	rearm chan struct{}

	mu          sync.Mutex
	core        *Core
	nextTick    time.Time
	freeTickets []*Ticket
	closed      bool
}

// New returns a gate without backend servers: until [Gate.SetServers] is called every
// request is refused with kind NoServer.
func New(cfg Config) *Gate {
	g := &Gate{core: NewCore(cfg), rearm: make(chan struct{}, 1)}
	g.group.Go(g.run)
	return g
}

// Close refuses all waiting requests with kind Closing and waits for the timer
// goroutine to end. Started requests keep their permits until Done.
func (g *Gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.core.Close(time.Now())
	g.notifyDecided()
	g.mu.Unlock()
	return g.group.Close()
}

// Enter requests a permit for a backend server and waits for it within the job's
// deadline. The error is a [*Refusal] of one of the kinds Busy (full, or over a fair
// share), DeadlineMissed (the deadline cannot be met), Moving (the key is changing
// owners), NoOwner (the key's owner is not a listed server), NoServer, Closing, or
// Canceled if ctx ended first. In each case nothing was sent. A caller that goes away
// gives up its place in the queue at once.
func (g *Gate) Enter(ctx context.Context, j Job) (Permit, error) {
	return g.enter(ctx, j, g.core.Offer)
}

// WaitOwner requests a permit like [Gate.Enter], for a request whose key is between
// owners: the job's server said that it is not the owner, could not be reached, or is
// unknown. The request waits, behind earlier requests for the same key, until the key's
// owner accepts requests. It is refused with kind Moving once the deadline or
// MaxOwnerWait of the job can no longer be met.
func (g *Gate) WaitOwner(ctx context.Context, j Job) (Permit, error) {
	return g.enter(ctx, j, g.core.WaitOwner)
}

func (g *Gate) enter(ctx context.Context, j Job, offer func(time.Time, *Ticket) Verdict) (Permit, error) {
	g.mu.Lock()
	t := g.newTicket(j)
	gen := t.gen
	verdict := offer(time.Now(), t)
	g.notifyDecided()
	g.scheduleTick()
	if verdict != Wait {
		return g.finish(t, gen)
	}
	g.mu.Unlock()
	return g.awaitDecision(ctx, t, gen)
}

// awaitDecision waits until the core has decided or ctx ends.
func (g *Gate) awaitDecision(ctx context.Context, t *Ticket, gen uint64) (Permit, error) {
	select {
	case <-t.wake:
		g.mu.Lock()
		return g.finish(t, gen)
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.core.Abandon(time.Now(), t)
	g.notifyDecided()
	select {
	case <-t.wake: // the decision raced with ctx: drain the signal before the ticket is reused
	default:
	}
	g.recycle(t)
	g.mu.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Permit{}, refusal(kinds.DeadlineMissed, 0)
	}
	return Permit{}, refusal(kinds.Canceled, 0)
}

// finish converts a decided ticket into the caller's result. It is called with g.mu
// held and releases it.
func (g *Gate) finish(t *Ticket, gen uint64) (Permit, error) {
	defer g.mu.Unlock()
	if t.state == stateStarted {
		return Permit{g: g, t: t, gen: gen, server: t.Server(), silent: g.core.watches(t), expect: t.expect}, nil
	}
	err := refusal(t.refusalKind, t.retryAfter)
	g.recycle(t)
	return Permit{}, err
}

// SetServers replaces the list of backend servers. A server that is no longer listed,
// or drains, gets no new requests; those it is running go on.
func (g *Gate) SetServers(list []ServerInfo) {
	g.update(func(now time.Time) { g.core.SetServers(now, list) })
}

// SetShare sets how many entry VMs share the backend servers and the index of this one,
// from zero. The VMs divide connections and the slots for long requests accordingly.
func (g *Gate) SetShare(n, index int) {
	g.update(func(now time.Time) { g.core.SetShare(now, n, index) })
}

// Lend lets this VM send requests to cold servers until a time, within their caps. Other
// VMs send them none meanwhile.
func (g *Gate) Lend(servers []ident.Server, until time.Time) {
	g.update(func(now time.Time) { g.core.Lend(now, servers, until) })
}

// TakePermitAsks returns the permits to ask for since the last call, see
// [Config.OnPermitsWanted]. Each must be answered with [Gate.Permit].
func (g *Gate) TakePermitAsks() []PermitAsk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.TakeAsks()
}

// Permit handles the answer to an ask for permits.
func (g *Gate) Permit(a PermitAnswer) {
	g.update(func(now time.Time) { g.core.Permit(now, a) })
}

// Shed records that a server turned a request away and wants no further ones from this VM for
// a time. It gets none until then.
func (g *Gate) Shed(s ident.Server, d time.Duration) {
	g.update(func(now time.Time) { g.core.Shed(now, s, d) })
}

// Report records the load that a backend server reports: the requests it runs and
// queues, as of age ago. Reports can lag or mislead, so between servers they only break
// near ties.
func (g *Gate) Report(s ident.Server, load int, age time.Duration) {
	g.update(func(now time.Time) { g.core.Report(now, s, load, age) })
}

// SetOwnerLookup sets the function that returns the owner of a key. It must be fast and
// must not call the gate. Call [Gate.OwnersChanged] whenever its results have changed.
func (g *Gate) SetOwnerLookup(owner func(ident.Key) (Owner, bool)) {
	g.update(func(now time.Time) { g.core.SetOwnerLookup(now, owner) })
}

// OwnersChanged tells the gate that owners have changed: waiting requests whose key has
// a new owner are sent there at once.
func (g *Gate) OwnersChanged() { g.update(g.core.OwnersChanged) }

// Conns returns how many connections this entry VM may hold open to a server, and how
// many of them to keep open while idle.
func (g *Gate) Conns(s ident.Server) (limit, idle int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Conns(time.Now(), s)
}

// HedgeAfter returns how long to wait for an answer before trying [Permit.Hedge],
// derived from recent latencies. Zero means not to hedge.
func (g *Gate) HedgeAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.HedgeAfter()
}

// Snapshot is the state of a request's destination as the gate sees it: of its key's
// owner, or of all servers together.
type Snapshot struct {
	Running int           // requests of this VM running there
	Limit   int           // most requests of this VM that may run there
	Waiting int           // requests of this VM queued for it
	Load    int           // requests running and queued there as last reported by the server
	LoadAge time.Duration // age of that report; zero if there was none
	Remote  bool          // it is in another data centre
	Cold    bool          // it is cold and gets only few requests
	Limited bool          // it limits the requests that it takes from all VMs
	// Shedding is how long it wants no requests from this VM; zero if it takes them.
	Shedding time.Duration
	Slots    int // requests that it processes concurrently
	// Places is how many requests it holds, running and waiting, and Estimate how many of all
	// VMs are there, by a report of EstimateAge. Zero unless full servers answer nothing.
	Places      int
	Estimate    float64
	EstimateAge time.Duration
}

// Inspect returns the current state of the named server, or of all servers together if
// the name is empty or not listed.
func (g *Gate) Inspect(s ident.Server) Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Inspect(time.Now(), s)
}

// Stats returns the gate's counters and gauges.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats(time.Now())
}

func (g *Gate) update(fn func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(time.Now())
	g.notifyDecided()
	g.scheduleTick()
}

// run is the gate's timer goroutine: it calls [Core.Tick] when it is due, also while no
// other calls come in.
func (g *Gate) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.rearm:
		case <-timer.C:
		}
		timer.Reset(g.tick())
	}
}

func (g *Gate) tick() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.core.Tick(now)
	g.notifyDecided()
	next := g.core.Next()
	if next.IsZero() {
		g.nextTick = time.Time{}
		return time.Hour
	}
	g.nextTick = next
	return max(next.Sub(now), 0)
}

// scheduleTick resets the timer if the core needs a tick earlier than the timer is set
// for. It is called with g.mu held.
func (g *Gate) scheduleTick() {
	next := g.core.Next()
	if next.IsZero() || (!g.nextTick.IsZero() && !next.Before(g.nextTick)) {
		return
	}
	g.nextTick = next
	select {
	case g.rearm <- struct{}{}:
	default:
	}
}

// notifyDecided signals the callers whose tickets were decided.
func (g *Gate) notifyDecided() {
	for _, t := range g.core.TakeDecided() {
		t.wake <- struct{}{}
	}
	if g.core.limitedCount > 0 && g.core.cfg.OnPermitsWanted != nil && g.core.wantsPermits() {
		g.core.cfg.OnPermitsWanted()
	}
}

// maxFreeTickets bounds the tickets kept for reuse. Only a burst uses more at once; the
// garbage collector frees the rest after it.
const maxFreeTickets = 4096

func (g *Gate) newTicket(j Job) *Ticket {
	if n := len(g.freeTickets); n > 0 {
		t := g.freeTickets[n-1]
		g.freeTickets = g.freeTickets[:n-1]
		t.Job = j
		return t
	}
	return &Ticket{Job: j, wake: make(chan struct{}, 1)}
}

// recycle resets the ticket and increments its generation, so that a Permit used again
// after Done releases nothing twice.
func (g *Gate) recycle(t *Ticket) {
	t.reset()
	if len(g.freeTickets) < maxFreeTickets {
		g.freeTickets = append(g.freeTickets, t)
	}
}
