package front

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/abort"
)

// formerOwnerGrace is how long the former owner of a key has to answer the requests that
// were sent to it before the key moved. An owner that handed its keys over in good health
// answers within it; one that is frozen or lost never does.
const formerOwnerGrace = 50 * time.Millisecond

// errOwnerChanged ends an attempt whose key got another owner in the meantime.
var errOwnerChanged = kinds.New(kinds.Moving, "the key's owner changed before the request was answered")

// ownerAttempt is one attempt at the owner of a key, from its admission there until the
// answer begins.
type ownerAttempt struct {
	key        ident.Key
	server     ident.Server
	idempotent bool // the request may run twice
	cancel     context.CancelCauseFunc

	mu   sync.Mutex
	sent bool // the request may have reached the server
	done bool
}

// ownerAttempts is the set of attempts in progress at the owners of one service's keys.
//
// Requests that were sent to an owner that then freezes would wait for their deadlines,
// 30 s by default, long after another server has taken over the keys: callers see no
// answer although every key is served. So when keys move, the attempts at their former
// owner are canceled and repeated at the new one, if nothing was sent yet or the request
// is idempotent. Requests that still wait in the gate's queue for the former owner are
// rerouted by the gate itself.
type ownerAttempts struct {
	mu  sync.Mutex
	all map[*ownerAttempt]struct{}
}

func (s *ownerAttempts) add(a *ownerAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*ownerAttempt]struct{}{}
	}
	s.all[a] = struct{}{}
}

func (s *ownerAttempts) remove(a *ownerAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, a)
}

// moved returns the attempts whose key has another owner now.
func (s *ownerAttempts) moved(svc *state.Service) []*ownerAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*ownerAttempt
	for a := range s.all {
		if owner, ok := svc.Owner(a.key); ok && owner.Server != a.server {
			found = append(found, a)
		}
	}
	return found
}

// markSent records that the request is about to be sent, and reports whether it still may
// be.
func (a *ownerAttempt) markSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = true
	return !a.done
}

// markAnswered records that the answer has begun, after which the attempt is not
// canceled any more. It returns false if the attempt was canceled before.
func (a *ownerAttempt) markAnswered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := a.done
	a.done = true
	return !ended
}

// cancelIfAllowed cancels the attempt if that is allowed. With unsentOnly, it cancels it only
// if nothing was sent.
func (a *ownerAttempt) cancelIfAllowed(unresponsive, unsentOnly, stopping bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	what := abort.Attempt{Sent: a.sent, Repeatable: a.idempotent, Unresponsive: unresponsive}
	if a.done || a.sent && unsentOnly || !abort.Allowed(abort.OwnerChanged, what, stopping) {
		return
	}
	a.done = true
	a.cancel(errOwnerChanged)
}

// Start begins to watch the owners of the keys of all divided services. Close stops it.
func (f *Front) Start() {
	for _, svc := range f.State.Services() {
		if svc.Divided() {
			f.Follow(svc)
		}
	}
}

// Follow begins to watch the owners of a divided service's keys, for a service that was
// added after Start. Further calls for the same service do nothing.
func (f *Front) Follow(svc *state.Service) {
	attempts := &ownerAttempts{}
	if _, exists := f.ownerAttempts.LoadOrStore(svc.Name, attempts); exists {
		return
	}
	svc.Gate.SetOwnerLookup(svc.GateOwner)
	f.group.Go(func(ctx context.Context) error { return f.followOwners(ctx, svc, attempts) })
}

// attemptsOf returns the attempts in progress of a divided service.
func (f *Front) attemptsOf(svc ident.Service) *ownerAttempts {
	attempts, ok := f.ownerAttempts.Load(svc)
	if !ok {
		attempts, _ = f.ownerAttempts.LoadOrStore(svc, &ownerAttempts{})
	}
	return attempts.(*ownerAttempts)
}

// Close stops what Start and Follow began, and waits for it to end.
func (f *Front) Close() error { return f.group.Close() }

// recheckInterval is how often attempts at former owners that were not canceled are
// checked again, in case their server has become unresponsive.
const recheckInterval = 500 * time.Millisecond

// followOwners cancels the attempts at former owners after each change of owners: at once
// those that were not sent yet, the others after formerOwnerGrace and then periodically.
func (f *Front) followOwners(ctx context.Context, svc *state.Service, attempts *ownerAttempts) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	changed := svc.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = svc.Changed()
			svc.Gate.OwnersChanged()
			attempts.cancelMoved(svc, true, f.IsClosing())
			group.Sleep(ctx, formerOwnerGrace)
		case <-ticker.C:
		}
		attempts.cancelMoved(svc, false, f.IsClosing())
	}
}

// cancelMoved cancels the attempts whose key has another owner now, as far as that is
// allowed.
func (s *ownerAttempts) cancelMoved(svc *state.Service, unsentOnly, stopping bool) {
	for _, a := range s.moved(svc) {
		a.cancelIfAllowed(svc.Unresponsive(a.server), unsentOnly, stopping)
	}
}
