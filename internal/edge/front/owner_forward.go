package front

import (
	"cmp"
	"context"
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// defaultMaxOwnerWait is how long a request waits for its key to get an owner when the
// rule does not say. A lost owner is replaced within a second when a single component
// fails; twice that also covers a busy machine, so that the loss of a server shows as a
// slow answer and not as an error. A longer wait would only delay an error answer that
// the caller can act on.
const defaultMaxOwnerWait = 2 * time.Second

// sendToOwner sends the request to the key's owner. While the key has no owner the
// request cannot run anywhere, so it waits in the gate for the next owner and is sent
// there, until an owner accepts it or the wait exceeds its limit.
func (x *exchange) sendToOwner(ctx context.Context) error {
	permit, err := x.enterOwner(ctx)
	for err == nil {
		outcome, failed := x.attemptOwner(ctx, permit)
		switch {
		case failed == nil || !x.mayRetry(failed):
			permit.Done(outcome)
			return failed
		case mayReroute(failed):
			start := time.Now()
			permit, err = permit.WaitOwner(ctx, outcome)
			x.addWait(start)
		case x.countedAttempts() > x.rule.Then.Retry:
			permit.Done(outcome)
			return failed
		default:
			next, ok := x.retry(ctx, permit, outcome)
			if !ok {
				return failed
			}
			permit = next
		}
	}
	return err
}

// enterOwner asks the gate for admission to the key's owner. The table may name an owner
// that the gate does not list yet: the request then waits as during a move.
func (x *exchange) enterOwner(ctx context.Context) (gate.Permit, error) {
	defer x.addWait(time.Now())
	owner, ok := x.owner()
	if !ok {
		return x.svc.Gate.WaitOwner(ctx, x.ownerJob(owner))
	}
	x.noteOffered(owner.Server)
	permit, err := x.svc.Gate.Enter(ctx, x.ownerJob(owner))
	if err != nil && mayReroute(err) {
		return x.svc.Gate.WaitOwner(ctx, x.ownerJob(owner))
	}
	return permit, err
}

// owner looks up the key's owner and records its slice and epoch in the decision.
func (x *exchange) owner() (table.Owner, bool) {
	owner, ok := x.svc.Owner(x.key)
	x.decision.Slice, x.decision.Epoch = owner.Slice, owner.Epoch
	return owner, ok
}

// attemptOwner makes one attempt at the server that the gate admitted the request to, if
// that is still the key's owner.
func (x *exchange) attemptOwner(ctx context.Context, permit gate.Permit) (gate.Outcome, error) {
	owner, ok := x.owner()
	if !ok || owner.Server != permit.Server() {
		return gate.Cancel(), errOwnerChanged
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := x.newOwnerAttempt(owner.Server, cancel)
	attempts := x.f.attemptsOf(x.svc.Name)
	attempts.add(a)
	defer attempts.remove(a)
	x.current = a
	return x.attempt(ctx, cancel, permit, owner)
}

// newOwnerAttempt returns the ownerAttempt for the next attempt. The first one is
// embedded in the exchange; a later attempt gets a new one, because the previous one may
// still be in use by followOwners.
func (x *exchange) newOwnerAttempt(to ident.Server, cancel context.CancelCauseFunc) *ownerAttempt {
	a := &x.firstAttempt
	if x.current != nil || a.cancel != nil {
		a = &ownerAttempt{}
	}
	a.key, a.server, a.idempotent, a.cancel = x.key, to, x.rule.Then.Idempotent, cancel
	return a
}

// mayReroute reports whether the request may succeed at another owner.
func mayReroute(err error) bool {
	switch kinds.Of(err) {
	case kinds.NoOwner, kinds.Misrouted, kinds.NoServer:
		return true
	}
	return errors.Is(err, errOwnerChanged)
}

// ownerJob returns the description of a request for a key for the gate.
func (x *exchange) ownerJob(owner table.Owner) gate.Job {
	j := x.job(owner.Server)
	j.Epoch, j.HotKey = owner.Epoch, owner.Hot
	j.MaxOwnerWait = cmp.Or(x.rule.Then.Wait, x.f.MaxOwnerWait)
	return j
}
