package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// fetcher gets rules from other VMs: those that another VM is known to have, and that
// this one's own watch of the store has not brought. It is a duty of its own, so that
// the leader's news go on meanwhile.
type fetcher struct {
	group  group.Group
	p      fetchParts
	client *poll.Client
	wake   chan struct{}

	mu     sync.Mutex
	pull   pull
	others []netip.AddrPort
}

type fetchParts struct {
	fx.In
	Config Config
	Board  *poll.Hub
	Book   *book
	Front  *front.Front
	State  *state.State
	Log    *slog.Logger
}

func newFetcher(lc fx.Lifecycle, p fetchParts) *fetcher {
	f := &fetcher{p: p, client: poll.NewClient(), wake: make(chan struct{}, 1), others: p.Config.Seeds}
	duties(lc, &f.group, f.run)
	return f
}

// headStart is how long this VM's own watch of the store has to bring what another VM
// already has: on a calm day it does, and no VM need ask another.
const headStart = 200 * time.Millisecond

// name takes in that another VM has a revision of the rules.
func (f *fetcher) name(rev uint64, at netip.AddrPort) {
	f.p.State.Rules.NoteRevision(ident.Revision(rev))
	f.mu.Lock()
	news := f.pull.name(rev, at)
	f.mu.Unlock()
	if !news {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // the duty is awake, and will see the newest
	}
}

// meet takes in where other VMs are.
func (f *fetcher) meet(others []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = others
}

func (f *fetcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-f.wake:
			f.bring(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// bring asks until this VM has the newest rules that were named, from wherever they came.
func (f *fetcher) bring(ctx context.Context) {
	began := time.Now()
	held, want := f.wanted()
	f.p.Book.named(ident.Revision(want))
	if _, relies := f.p.Book.relies(began); held > 0 && !relies {
		group.Sleep(ctx, headStart)
	}
	for ctx.Err() == nil {
		came := f.p.Board.RulesContext() // before the look at what is held, so that none is missed
		held, want := f.wanted()
		if want == 0 {
			return
		}
		f.try(ctx, came, held, want, began)
	}
}

// wanted is what this VM has and which revision it is to fetch, zero for none.
func (f *fetcher) wanted() (held, want uint64) {
	held, _ = f.p.Board.Revs()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.pull.due(held) || f.p.Front.IsClosing() {
		return held, 0
	}
	return max(held, f.pull.done), f.pull.want
}

// try asks one VM, and waits after one that has none to give. It ends as soon as newer
// rules come from elsewhere.
func (f *fetcher) try(ctx, came context.Context, held, want uint64, began time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(came, cancel)()
	at := f.next()
	raw, n, err := f.client.Rules(ctx, at, held)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		pause, roundEnds := f.failed()
		if roundEnds {
			f.p.Log.Warn("no VM sends rules", "rev", want, "held", held, "last", at, "took", time.Since(began), "err", err)
		}
		group.Sleep(ctx, pause/2+rand.N(pause))
		return
	}
	f.fetched(raw.Rev)
	// Others may have them from here while this VM still compiles them, which takes a weak
	// one half a second, and also where it cannot read them.
	f.p.Board.SetRules(raw)
	f.p.Log.Info("rules fetched", "rev", raw.Rev, "from", at, "bytes", n, "took", time.Since(began))
	f.p.Book.take(raw, "peer")
}

func (f *fetcher) next() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pull.next(f.others)
}

func (f *fetcher) failed() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pull.failed()
}

func (f *fetcher) fetched(rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pull.fetched(rev)
}
