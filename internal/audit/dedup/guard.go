package dedup

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/ring"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Limits of a Guard.
const (
	// finalizeQueueSize is the number of claims that may wait to be finalized: at 100
	// requests a second, enough for a store outage of 40 s.
	finalizeQueueSize = 4096
	// retryDelay is the pause after the store did not answer.
	retryDelay = time.Second
	// doneRate is the largest number of requests a second that one VM marks as done.
	// The mark is a second write for each request, and only makes the answer to a
	// repeated request clearer, so it is dropped under load. With ten VMs the marks take
	// at most 50 of the several hundred writes a second that the store handles.
	doneRate  = 5
	doneBurst = 5
	// finalizeTimeout is the timeout of one try to finalize a claim.
	finalizeTimeout = 2 * time.Second
)

// Guard claims request ids. Create one for each entry VM with New.
//
//	t, err := guard.Claim(ctx, dedup.Request{Service: "ledger", ID: id, Rule: rule})
//	if err != nil {
//		return err // Repeated or NotDurable: do not forward the request
//	}
//	answer, err := forward(ctx)
//	if certainlyNotRun(err) {
//		t.Release(ctx) // before the caller gets its answer and may repeat the request
//	} else if err == nil {
//		t.Done(answer.Status)
//	} // otherwise it may have run, and the claim stays as it is
type Guard struct {
	store       object.Store
	vm          ident.VM
	log         *slog.Logger
	queue       *ring.Ring[task]
	doneLimiter *rate.Limiter
	group       group.Group
	stuck       atomic.Uint64 // claims not finalized because the queue was full
}

// task is a claim to be finalized outside the request path.
type task struct {
	name       string
	doneRecord *Record // if set, written unchanged; otherwise release is run
	old        object.Version
	release    Release
}

// Request identifies the request to be claimed.
type Request struct {
	Service ident.Service
	ID      ident.Request
	Rule    string
}

// Ticket is a claim that this VM owns. Call exactly one of Release and Done, or neither
// when it is not known whether the request ran.
type Ticket struct {
	guard *Guard
	name  string
	claim Claim
}

// New starts a guard. A nil log means [slog.Default].
func New(store object.Store, vm ident.VM, log *slog.Logger) *Guard {
	if log == nil {
		log = slog.Default()
	}
	g := &Guard{store: store, vm: vm, log: log, queue: ring.New[task](finalizeQueueSize, ring.Refuse)}
	g.doneLimiter = rate.NewLimiter(doneRate, doneBurst)
	g.group.Go(g.finalizeLoop)
	g.group.Go(g.sweepLoop)
	return g
}

// Close tries once more to finalize the waiting claims. Those that still are not
// finalized stay as claimed: repeated requests with their ids are answered "unknown"
// and do not run.
func (g *Guard) Close() error {
	err := g.group.Close()
	for {
		t, ok := g.queue.TryPop()
		if !ok {
			return err
		}
		g.finalize(context.Background(), t)
	}
}

// Stuck returns the number of claims that could not be queued to be finalized. Their ids
// stay claimed although the request did not run, or is known to have run.
func (g *Guard) Stuck() uint64 { return g.stuck.Load() }

// Claim claims the id of a request. Without an error, this VM alone may forward the
// request. An error of kind Repeated means that an earlier attempt has the claim; its
// message states the stage and the VM. An error of kind NotDurable means that the store
// did not answer: the request did not run, and a claim that may have been written is
// released.
func (g *Guard) Claim(ctx context.Context, req Request) (*Ticket, error) {
	t := &Ticket{guard: g, name: ObjectName(req.Service, req.ID)}
	t.claim = NewClaim(Record{Service: req.Service, ID: req.ID, AttemptToken: rand.Text(), VM: g.vm, Rule: req.Rule})
	g.runModel(ctx, t.name, t.claim)
	if t.claim.Owned() {
		return t, nil
	}
	if earlier, ok := t.claim.Taken(); ok {
		return nil, kinds.New(kinds.Repeated, "request "+string(req.ID)+" is "+string(earlier.Stage)+" through "+string(earlier.VM))
	}
	if t.claim.mayBeWritten {
		g.enqueue(task{name: t.name, release: NewRelease(t.claim)})
	}
	return nil, kinds.New(kinds.NotDurable, "request "+string(req.ID)+" could not be claimed")
}

// Release releases the claim because the request certainly did not run. It waits for
// one try at the store, so that a caller who repeats the request at once is not told
// that it was accepted before. If the store does not answer, the release goes on
// outside the request path.
func (t *Ticket) Release(ctx context.Context) {
	r := NewRelease(t.claim)
	t.guard.runModel(ctx, t.name, r)
	if r.Left() || !r.Ended() {
		t.guard.enqueue(task{name: t.name, release: r})
	}
}

// Done records, outside the request path, that the request ran and the HTTP status of
// its answer, so that a caller who repeats the request is told so. Above a few calls a
// second it does nothing, as the claim alone prevents a second run.
func (t *Ticket) Done(status int) {
	if !t.guard.doneLimiter.Allow() {
		return
	}
	r := t.claim.record
	r.Stage, r.Status = Done, status
	t.guard.enqueue(task{name: t.name, doneRecord: &r, old: t.claim.version})
}

// runModel executes the commands of a model until it is finished.
func (g *Guard) runModel(ctx context.Context, name string, m loop.Model) {
	_, cmds := m.Update(time.Now(), StartMsg{})
	for len(cmds) > 0 {
		var msg loop.Msg
		switch cmd := cmds[0].(type) {
		case PutCmd:
			v, err := g.store.Put(ctx, name, cmd.Value, cmd.Old)
			msg = PutMsg{kinds.Of(err), v}
		case GetCmd:
			o, err := g.store.Get(ctx, name)
			msg = GetMsg{kinds.Of(err), o}
		}
		_, cmds = m.Update(time.Now(), msg)
	}
}

// enqueue queues a claim to be finalized. When the queue is full the claim stays as it is
// and is counted.
func (g *Guard) enqueue(t task) {
	if !g.queue.Push(context.Background(), t) {
		g.stuck.Add(1)
		g.log.Error("claim not finalized: the queue is full", slog.String("name", t.name))
	}
}

// finalizeLoop finalizes claims one after another, and waits while the store is down.
func (g *Guard) finalizeLoop(ctx context.Context) error {
	for {
		t, ok := g.queue.Pop(ctx)
		if !ok {
			return nil
		}
		for !g.finalize(ctx, t) {
			pause := time.NewTimer(retryDelay)
			select {
			case <-pause.C:
			case <-ctx.Done():
				g.enqueue(t) // Close tries once more
				return nil
			}
		}
	}
}

// finalize tries once to finalize a claim and reports whether nothing is left to do.
func (g *Guard) finalize(ctx context.Context, t task) bool {
	ctx, cancel := context.WithTimeout(ctx, finalizeTimeout)
	defer cancel()
	if t.doneRecord == nil {
		g.runModel(ctx, t.name, t.release)
		return !t.release.Left()
	}
	value, err := wire.Encode(t.doneRecord)
	if err != nil {
		return true
	}
	// A conflict counts as success: only an own write whose answer was lost can have
	// changed a claim that this VM owns.
	_, err = g.store.Put(ctx, t.name, value, t.old)
	kind := kinds.Of(err)
	return kind != kinds.Ambiguous && kind != kinds.Unavailable
}
