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

// fetcher fetches rules from other VMs: revisions that another VM is known to have and
// that this VM's watch of the store has not delivered. It runs in its own goroutine so
// that polling the leader continues meanwhile.
type fetcher struct {
	group  group.Group
	parts  fetcherParts
	client *poll.Client
	wake   chan struct{}

	mu    sync.Mutex
	plan  fetchPlan
	peers []netip.AddrPort
}

type fetcherParts struct {
	fx.In
	Config Config
	Hub    *poll.Hub
	Rules  *ruleManager
	Front  *front.Front
	State  *state.State
	Log    *slog.Logger
}

func newFetcher(lc fx.Lifecycle, p fetcherParts) *fetcher {
	f := &fetcher{parts: p, client: poll.NewClient(), wake: make(chan struct{}, 1), peers: p.Config.Seeds}
	runWhileStarted(lc, &f.group, f.run)
	return f
}

// storeHeadStart is how long this VM waits for its own watch of the store to deliver a
// revision that another VM already has. The watch usually does, and then no VM has to
// send it.
const storeHeadStart = 200 * time.Millisecond

// noteRevision records that another VM has a revision of the rules.
func (f *fetcher) noteRevision(rev uint64, addr netip.AddrPort) {
	f.parts.State.Rules.NoteRevision(ident.Revision(rev))
	f.mu.Lock()
	isNew := f.plan.noteRevision(rev, addr)
	f.mu.Unlock()
	if !isNew {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // run is already due to wake up and will see the newest revision
	}
}

// noteRequest records the revision that a VM states in its poll request. A leader that cannot
// reach the store learns in this way of rules that the others have read there.
func (f *fetcher) noteRequest(req *poll.Request) {
	if held, _ := f.parts.Hub.Revs(); req.RulesRev <= held {
		return
	}
	if addr, err := netip.ParseAddrPort(req.Addr); err == nil {
		f.noteRevision(req.RulesRev, addr)
	}
}

// setPeers stores the addresses of the other VMs.
func (f *fetcher) setPeers(peers []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

func (f *fetcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-f.wake:
			f.fetchNewest(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchNewest asks other VMs until this VM has the newest known revision, whether from
// them or from the store.
func (f *fetcher) fetchNewest(ctx context.Context) {
	began := time.Now()
	held, want := f.wanted()
	f.parts.Rules.notePeerRevision(ident.Revision(want))
	if _, relies := f.parts.Rules.reliesOnPeers(began); held > 0 && !relies {
		group.Sleep(ctx, storeHeadStart)
	}
	for ctx.Err() == nil {
		newer := f.parts.Hub.RulesContext() // must be taken before reading the held revision, or a change could be missed
		held, want := f.wanted()
		if want == 0 {
			return
		}
		f.tryPeer(ctx, newer, held, want, began)
	}
}

// wanted returns the revision this VM has and the one it should fetch, zero for none.
func (f *fetcher) wanted() (held, want uint64) {
	held, _ = f.parts.Hub.Revs()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.plan.due(held) || f.parts.Front.IsClosing() {
		return held, 0
	}
	return max(held, f.plan.doneRev), f.plan.want
}

// tryPeer asks one VM for the rules, and pauses if it has none to give. It returns early
// when newer rules arrive from elsewhere.
func (f *fetcher) tryPeer(ctx, newer context.Context, held, want uint64, began time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(newer, cancel)()
	addr := f.nextPeer()
	raw, n, err := f.client.Rules(ctx, addr, held)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		pause, roundEnds := f.failed()
		if roundEnds {
			f.parts.Log.Warn("no VM delivered the rules", "rev", want, "held", held, "last", addr, "took", time.Since(began), "err", err)
		}
		group.Sleep(ctx, pause/2+rand.N(pause))
		return
	}
	f.fetched(raw.Rev)
	// Make the rules available to other VMs before compiling them, which takes a weak VM
	// half a second. This VM may also be unable to read them.
	f.parts.Hub.SetRules(raw)
	f.parts.Log.Info("rules fetched", "rev", raw.Rev, "from", addr, "bytes", n, "took", time.Since(began))
	f.parts.Rules.applyRaw(raw, "peer")
}

func (f *fetcher) nextPeer() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.next(f.peers)
}

func (f *fetcher) failed() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.failed()
}

func (f *fetcher) fetched(rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.fetched(rev)
}
