package front

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// grace is how long a former owner has to answer what it was sent before its
// keys moved. An owner that gave its keys away in good health answers within
// it; one that is frozen or lost never does.
const grace = 50 * time.Millisecond

// errMoved ends an attempt whose key got another owner meanwhile.
var errMoved = kinds.New(kinds.Moving, "the key's owner changed while the request waited for it")

// flight is one attempt at the owner of a key, from having a place there until
// the answer begins.
type flight struct {
	key    ident.Key
	server ident.Server
	safe   bool // it may run twice
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	sent bool // it may have reached the server
	over bool
}

// flights are the attempts under way at the owners of one service's keys.
//
// An owner that freezes takes what it was sent with it: those requests would
// wait for their deadlines, 30 s by default, long after another server has
// taken the keys. The callers notice a dead screen although every key is served.
// So when keys move, the attempts at their former owner are ended and go to the
// next one, if nothing was sent yet or running twice does no harm. Those that
// still queue for it are the gate's, which sends them on itself.
type flights struct {
	mu  sync.Mutex
	all map[*flight]struct{}
}

func (f *flights) add(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = map[*flight]struct{}{}
	}
	f.all[fl] = struct{}{}
}

func (f *flights) remove(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, fl)
}

// astray lists the attempts whose key has another owner now.
func (f *flights) astray(svc *state.Service) []*flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*flight
	for fl := range f.all {
		if owner, ok := svc.Owner(fl.key); ok && owner.Server != fl.server {
			found = append(found, fl)
		}
	}
	return found
}

// departs notes that the request is about to be sent, and reports whether it
// still may be.
func (fl *flight) departs() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sent = true
	return !fl.over
}

// lands notes that the answer began, after which the attempt is left alone. It
// reports whether the attempt was ended before.
func (fl *flight) lands() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ended := fl.over
	fl.over = true
	return !ended
}

// divert ends the attempt if that is safe. What may have been sent and must
// not run twice is only ended when its server is known to be silent; the caller
// is then told that it may have run.
func (fl *flight) divert(silent bool, patient bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	switch {
	case fl.over, fl.sent && patient, fl.sent && !fl.safe && !silent:
		return
	}
	fl.over = true
	fl.cancel(errMoved)
}

// Start begins to follow the owners of keys. Close ends it.
func (f *Front) Start() {
	for _, svc := range f.State.Services() {
		if svc.Divided() {
			f.Follow(svc)
		}
	}
}

// Follow begins to follow the owners of a divided service's keys, for a service
// that became known after Start. A second call for a service does nothing.
func (f *Front) Follow(svc *state.Service) {
	all := &flights{}
	if _, twice := f.flights.LoadOrStore(svc.Name, all); twice {
		return
	}
	svc.Gate.SetOwnerLookup(svc.Place)
	f.group.Go(func(ctx context.Context) error { return f.follow(ctx, svc, all) })
}

// flightsOf returns the attempts under way of a divided service.
func (f *Front) flightsOf(svc ident.Service) *flights {
	all, ok := f.flights.Load(svc)
	if !ok {
		all, _ = f.flights.LoadOrStore(svc, &flights{})
	}
	return all.(*flights)
}

// Close ends what Start began, and waits.
func (f *Front) Close() error { return f.group.Close() }

// silentEvery is how often attempts that were left alone are looked at again.
const silentEvery = 500 * time.Millisecond

func (f *Front) follow(ctx context.Context, svc *state.Service, all *flights) error {
	look := time.NewTicker(silentEvery)
	defer look.Stop()
	changed := svc.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = svc.Changed()
			svc.Gate.OwnersChanged()
			all.divert(svc, true)
			group.Sleep(ctx, grace)
		case <-look.C:
		}
		all.divert(svc, false)
	}
}

func (f *flights) divert(svc *state.Service, patient bool) {
	for _, fl := range f.astray(svc) {
		fl.divert(svc.Unresponsive(fl.server), patient)
	}
}
