// Package gate is the admission point of one service on one entry VM: every
// request enters here, is started on a backend server at once, waits in a
// bounded queue, or is refused with the time at which to come back.
//
// The load pattern it answers is a service that is asked for more than its few
// slots can do, by callers who are not equally polite, on servers that are not
// equally fast. Without it, requests pile up on the backend servers until every
// answer comes after its caller has gone: the servers stay busy and nobody is
// served.
//
// [Core] decides. It is a single-threaded state machine that is told the time,
// and composes the pure modules limit, queue, fair, pick, retry, health, sizes
// and conns. [Gate] is the goroutine-safe shell around it: it locks, waits on
// the runtime's clock and notices callers who go away.
//
//	g := gate.New(gate.Config{Service: "lookup"})
//	defer g.Close()
//	g.SetServers([]gate.ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
//	pass, err := g.Enter(ctx, gate.Job{Caller: "weighbridge", Deadline: by})
//	if err != nil {
//		return err // kinds.Of(err), gate.RetryAfter(err)
//	}
//	outcome := forward(pass.Server())
//	pass.Done(outcome)
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

// Gate admits the requests of one service. Make one with [New]; all methods
// may be called from any goroutine.
type Gate struct {
	group group.Group
	kick  chan struct{}

	mu     sync.Mutex
	core   *Core
	armed  time.Time
	free   []*Ticket
	closed bool
}

// New makes a gate without backend servers: until [Gate.SetServers] every
// request is refused with kind NoServer.
func New(cfg Config) *Gate {
	g := &Gate{core: NewCore(cfg), kick: make(chan struct{}, 1)}
	g.group.Go(g.run)
	return g
}

// Close refuses whoever waits with kind Closing and waits for the gate's
// timer. Requests that were started keep their place until Done.
func (g *Gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.core.Close(time.Now())
	g.wake()
	g.mu.Unlock()
	return g.group.Close()
}

// Enter asks for a place on a backend server and waits for it within the job's
// deadline. The error is a [*Refusal]: kind Busy (full or over a fair share),
// Late (the deadline cannot be met), Moving (the key is between owners),
// NoServer, Closing, or Canceled when ctx ended first. In each case nothing was
// sent. A caller that goes away frees its place at once.
func (g *Gate) Enter(ctx context.Context, j Job) (Permit, error) {
	return g.enter(ctx, j, g.core.Offer)
}

// WaitOwner asks for a place like [Gate.Enter], for a request whose key is between
// owners: the server of the job said that it is not the owner, or could not be
// reached, or none is known. It waits, bounded, behind those of the key who were
// asked before, until the key's owner takes requests or the deadline or the
// patience of the job can no longer be kept (kind Moving).
func (g *Gate) WaitOwner(ctx context.Context, j Job) (Permit, error) {
	return g.enter(ctx, j, g.core.Await)
}

func (g *Gate) enter(ctx context.Context, j Job, offer func(time.Time, *Ticket) Verdict) (Permit, error) {
	g.mu.Lock()
	t := g.ticket(j)
	gen := t.gen
	verdict := offer(time.Now(), t)
	g.wake()
	g.arm()
	if verdict != Wait {
		return g.settle(t, gen)
	}
	g.mu.Unlock()
	return g.await(ctx, t, gen)
}

// await waits until the core has decided, or the caller goes away.
func (g *Gate) await(ctx context.Context, t *Ticket, gen uint64) (Permit, error) {
	select {
	case <-t.wake:
		g.mu.Lock()
		return g.settle(t, gen)
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.core.Abandon(time.Now(), t)
	g.wake()
	select {
	case <-t.wake: // decided in the same moment: the ticket is reused, its signal is not
	default:
	}
	g.recycle(t)
	g.mu.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Permit{}, refusal(kinds.DeadlineMissed, 0)
	}
	return Permit{}, refusal(kinds.Canceled, 0)
}

// settle turns a decided ticket into the answer for the caller. It is called
// with the lock held and releases it.
func (g *Gate) settle(t *Ticket, gen uint64) (Permit, error) {
	defer g.mu.Unlock()
	if t.state == started {
		return Permit{g: g, t: t, gen: gen, server: t.Server()}, nil
	}
	err := refusal(t.kind, t.after)
	g.recycle(t)
	return Permit{}, err
}

// SetServers replaces the list of backend servers. A server that is no longer
// listed, or drains, is given nothing new; what runs there keeps its place.
func (g *Gate) SetServers(list []ServerInfo) {
	g.change(func(now time.Time) { g.core.SetServers(now, list) })
}

// SetShare says how many entry VMs share the backend servers, and which of them
// this is, from zero. Connections and long jobs are divided by it.
func (g *Gate) SetShare(n, index int) {
	g.change(func(now time.Time) { g.core.SetShare(now, n, index) })
}

// Report notes a backend server's own word on its load: the requests it runs
// and queues, as of age ago. It can lag or mislead, so it only ever tips the
// choice between servers that look alike.
func (g *Gate) Report(s ident.Server, load int, age time.Duration) {
	g.change(func(now time.Time) { g.core.Report(now, s, load, age) })
}

// SetOwnerLookup sets how the owner of a key is looked up, which must be quick and must
// not call the gate. Call [Gate.OwnersChanged] whenever its answers have changed.
func (g *Gate) SetOwnerLookup(owner func(ident.Key) (Owner, bool)) {
	g.change(func(now time.Time) { g.core.Follow(now, owner) })
}

// OwnersChanged says that owners have changed: requests whose key has another one now
// go there at once.
func (g *Gate) OwnersChanged() { g.change(g.core.Moved) }

// Conns returns how many connections this entry VM may hold open to a server,
// and how many of them to keep warm while idle.
func (g *Gate) Conns(s ident.Server) (most, warm int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Conns(time.Now(), s)
}

// HedgeAfter is how long to wait for an answer before [Pass.Hedge] is worth
// trying, from the latencies seen lately. Zero means not at all.
func (g *Gate) HedgeAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.HedgeAfter()
}

// Snapshot is what the gate sees of where a request was to go: of its key's owner, or of
// all servers together.
type Snapshot struct {
	Running int           // requests of this VM there
	Limit   int           // as many may run there
	Waiting int           // requests of this VM that wait for a place there
	Load    int           // the server's last word on requests running and waiting there
	LoadAge time.Duration // of that word; zero if there was none
	Remote  bool          // it is in another data centre
	Slots   int           // requests that it works on at once
}

// Inspect returns what decides about requests for a server's keys now, or, for the empty
// name, about those that may go anywhere.
func (g *Gate) Inspect(s ident.Server) Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Look(time.Now(), s)
}

// Stats returns the gate's counters and gauges.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats(time.Now())
}

func (g *Gate) change(do func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(time.Now())
	g.wake()
	g.arm()
}

// run is the gate's timer: it refuses those whose deadline can no longer be
// met, and moves health and limits along while nothing else happens.
func (g *Gate) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.kick:
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
	g.wake()
	next := g.core.Next()
	if next.IsZero() {
		g.armed = time.Time{}
		return time.Hour
	}
	g.armed = next
	return max(next.Sub(now), 0)
}

// arm wakes the timer when the core now wants an earlier tick than it was set
// for. It is called with the lock held.
func (g *Gate) arm() {
	next := g.core.Next()
	if next.IsZero() || (!g.armed.IsZero() && !next.Before(g.armed)) {
		return
	}
	g.armed = next
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// wake tells the waiting callers whose tickets were decided.
func (g *Gate) wake() {
	for _, t := range g.core.Ready() {
		t.wake <- struct{}{}
	}
}

// maxFree bounds the tickets kept for reuse; more than this are only in use at
// once during a burst, and the garbage collector takes them after it.
const maxFree = 4096

func (g *Gate) ticket(j Job) *Ticket {
	if n := len(g.free); n > 0 {
		t := g.free[n-1]
		g.free = g.free[:n-1]
		t.Job = j
		return t
	}
	return &Ticket{Job: j, wake: make(chan struct{}, 1)}
}

// recycle gives the ticket a new generation, so that a Pass that is used once
// more after Done finds nothing to release twice.
func (g *Gate) recycle(t *Ticket) {
	t.reset()
	if len(g.free) < maxFree {
		g.free = append(g.free, t)
	}
}
