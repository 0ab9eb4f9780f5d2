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

// Bounds of a Guard.
const (
	// settleRing is how many claims may wait to be settled: at 100 receipts a
	// second, 40 s of a store outage.
	settleRing = 4096
	// retryEvery is the pause after the store did not answer a settling.
	retryEvery = time.Second
	// noteRate is how many answers a second one VM notes. The note is a second
	// write for each receipt that only makes the answer to a repeat clearer, so
	// under load it goes first: at ten VMs the notes never take more than 50
	// writes a second of the store's several hundred.
	noteRate  = 5
	noteBurst = 5
	// settleCall is the longest wait for one settling call.
	settleCall = 2 * time.Second
)

// Guard claims request ids. Make one for each entry VM with New.
//
//	t, err := guard.Claim(ctx, once.Ask{Service: "ledger", ID: id, Rule: rule})
//	if err != nil {
//		return err // Repeated or Undurable: nothing is forwarded
//	}
//	answer, err := forward(ctx)
//	if certainlyNotRun(err) {
//		t.Release(ctx) // before the caller is told so, and sends it again
//	} else if err == nil {
//		t.Done(answer.Status)
//	} // otherwise it may have run: the claim stays as it is
type Guard struct {
	store object.Store
	vm    ident.VM
	log   *slog.Logger
	queue *ring.Ring[task]
	notes *rate.Limiter
	group group.Group
	stuck atomic.Uint64
}

// task is a settling that is done off the request path.
type task struct {
	name    string
	done    *Receipt // written as it is, when set
	old     object.Version
	release Release
}

// Request is what is claimed.
type Request struct {
	Service ident.Service
	ID      ident.Request
	Rule    string
}

// Ticket is a claim that this VM owns. Exactly one of Release and Done is
// called, or neither when it is not known whether the request ran.
type Ticket struct {
	guard *Guard
	name  string
	claim Claim
}

// New starts a guard. A nil log uses [slog.Default].
func New(store object.Store, vm ident.VM, log *slog.Logger) *Guard {
	if log == nil {
		log = slog.Default()
	}
	g := &Guard{store: store, vm: vm, log: log, queue: ring.New[task](settleRing, ring.Refuse)}
	g.notes = rate.NewLimiter(noteRate, noteBurst)
	g.group.Go(g.run)
	g.group.Go(g.sweep)
	return g
}

// Close stops settling and waits. Claims that were not settled stay: their ids
// are answered as "unknown", and do not run again.
func (g *Guard) Close() error {
	err := g.group.Close()
	for {
		t, ok := g.queue.TryPop()
		if !ok {
			return err
		}
		g.settle(context.Background(), t)
	}
}

// Stuck counts the claims that found no room to be settled. Their ids stay
// claimed although the request did not run, or is known to have run.
func (g *Guard) Stuck() uint64 { return g.stuck.Load() }

// Claim claims an id, and returns only when this VM alone may forward the
// request. Kind Repeated means that an earlier attempt has it; the message says
// what is known of it. Kind Undurable means that the store did not answer: the
// request did not run, and whatever was written of the claim is taken back.
func (g *Guard) Claim(ctx context.Context, ask Request) (*Ticket, error) {
	t := &Ticket{guard: g, name: NameOf(ask.Service, ask.ID)}
	t.claim = NewClaim(Receipt{Service: ask.Service, ID: ask.ID, Tok: rand.Text(), VM: g.vm, Rule: ask.Rule})
	g.drive(ctx, t.name, t.claim)
	if t.claim.Owned() {
		return t, nil
	}
	if earlier, ok := t.claim.Taken(); ok {
		return nil, kinds.New(kinds.Repeated, "request "+string(ask.ID)+" is "+string(earlier.Stage)+" through "+string(earlier.VM))
	}
	if t.claim.touched {
		g.enqueue(task{name: t.name, release: NewRelease(t.claim)})
	}
	return nil, kinds.New(kinds.NotDurable, "request "+string(ask.ID)+" could not be claimed")
}

// Release gives the claim back because the request certainly did not run. It
// waits for the store once, so that a caller who repeats the request right away
// is not told that it was accepted before; if the store does not answer, it
// goes on off the request path.
func (t *Ticket) Release(ctx context.Context) {
	r := NewRelease(t.claim)
	t.guard.drive(ctx, t.name, r)
	if r.Left() || !r.Ended() {
		t.guard.enqueue(task{name: t.name, release: r})
	}
}

// Done notes, off the request path, that the request ran and how it was
// answered, so that a repeat is told so. Beyond a few a second it does nothing:
// the claim alone keeps the request from running again.
func (t *Ticket) Done(code int) {
	if !t.guard.notes.Allow() {
		return
	}
	r := t.claim.mine
	r.Stage, r.Code = Done, code
	t.guard.enqueue(task{name: t.name, done: &r, old: t.claim.ver})
}

// drive carries out a model's effects until it has its answer.
func (g *Guard) drive(ctx context.Context, name string, m loop.Model) {
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

func (g *Guard) enqueue(t task) {
	if !g.queue.Push(context.Background(), t) {
		g.stuck.Add(1)
		g.log.Error("claim not settled", slog.String("name", t.name))
	}
}

// run settles claims one after another, and pauses while the store is down.
func (g *Guard) run(ctx context.Context) error {
	for {
		t, ok := g.queue.Pop(ctx)
		if !ok {
			return nil
		}
		for !g.settle(ctx, t) {
			pause := time.NewTimer(retryEvery)
			select {
			case <-pause.C:
			case <-ctx.Done():
				g.enqueue(t) // Close tries once more
				return nil
			}
		}
	}
}

// settle tries once and reports whether nothing is left to do.
func (g *Guard) settle(ctx context.Context, t task) bool {
	ctx, cancel := context.WithTimeout(ctx, settleCall)
	defer cancel()
	if t.done == nil {
		g.drive(ctx, t.name, t.release)
		return !t.release.Left()
	}
	value, err := wire.Encode(t.done)
	if err != nil {
		return true
	}
	// Conflict is as good: only our own write, whose answer was lost, can have
	// changed a claim that we own.
	_, err = g.store.Put(ctx, t.name, value, t.old)
	kind := kinds.Of(err)
	return kind != kinds.Ambiguous && kind != kinds.Unavailable
}
