package gate

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Permit is the right to send one request to a backend server. It is held from Enter
// until Done; the zero value holds nothing. Permits may be copied: only the first Done
// counts.
type Permit struct {
	g      *Gate
	t      *Ticket
	gen    uint64
	server ident.Server
	silent bool // the service's full servers answer nothing, and this attempt may have met one
	expect Expectation
}

// Server returns the backend server to send the request to.
func (p Permit) Server() ident.Server { return p.server }

// Expected returns the expected completion for which the server was chosen; zero if it was
// chosen for another reason.
func (p Permit) Expected() Expectation { return p.expect }

// Done ends the attempt and passes its outcome to the gate. A second call does nothing.
func (p Permit) Done(o Outcome) {
	if p.g == nil {
		return
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if !p.active() {
		return
	}
	p.g.core.Done(time.Now(), p.t, o)
	p.g.recycle(p.t)
	p.g.notifyDecided()
}

// Retry ends this attempt with its outcome and requests another. It succeeds if
// repeating is safe (nothing ran, or the job is idempotent), the service's retry budget
// has room, the deadline leaves time, and the service is not overloaded. Otherwise the
// second result is false, and the caller should be answered now with the outcome's
// kind.
//
// The next attempt may wait in the queue, as in Enter. If the service is not divided by
// key, it avoids the server that failed.
func (p Permit) Retry(ctx context.Context, o Outcome) (Permit, bool) {
	if p.g == nil {
		return Permit{}, false
	}
	p.g.mu.Lock()
	if !p.active() {
		p.g.mu.Unlock()
		return Permit{}, false
	}
	now := time.Now()
	job := p.t.Job
	ok := p.g.core.MayRetry(now, p.t, o)
	p.g.core.Done(now, p.t, o)
	p.g.recycle(p.t)
	p.g.notifyDecided()
	p.g.mu.Unlock()
	if !ok {
		return Permit{}, false
	}
	job.extraAttempt = true
	job.avoid = p.server
	next, err := p.g.Enter(ctx, job)
	return next, err == nil
}

// WaitOwner ends this attempt with its outcome, because the server said that it is not
// the key's owner or could not be reached. It then waits for the owner as
// [Gate.WaitOwner] does, queued by the time of the request's first arrival.
func (p Permit) WaitOwner(ctx context.Context, o Outcome) (Permit, error) {
	if p.g == nil {
		return Permit{}, refusal(kinds.NoOwner, 0)
	}
	p.g.mu.Lock()
	if !p.active() {
		p.g.mu.Unlock()
		return Permit{}, refusal(kinds.NoOwner, 0)
	}
	job := p.t.Job
	job.extraAttempt = true
	p.g.core.Done(time.Now(), p.t, o)
	p.g.recycle(p.t)
	p.g.notifyDecided()
	p.g.mu.Unlock()
	return p.g.WaitOwner(ctx, job)
}

// Hedge requests a second permit for the same idempotent request on another server,
// while this attempt waits for its answer. It never waits: it succeeds only if a server
// is free now and the hedge budget has room. When the first answer arrives, cancel the
// other request and end its Permit with the outcome [Cancel].
func (p Permit) Hedge() (Permit, bool) {
	if p.g == nil {
		return Permit{}, false
	}
	g := p.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.active() {
		return Permit{}, false
	}
	job := p.t.Job
	job.extraAttempt = true
	job.avoid = p.server
	t := g.newTicket(job)
	if !g.core.Hedge(time.Now(), t) {
		g.recycle(t)
		return Permit{}, false
	}
	return Permit{g: g, t: t, gen: t.gen, server: t.Server(), silent: g.core.watches(t), expect: t.expect}, true
}

// active reports whether the permit still holds a started request.
func (p Permit) active() bool { return p.t.gen == p.gen && p.t.state == stateStarted }

// Outcome is the result of an attempt.
type Outcome struct {
	Kind    kinds.Kind    // None if a complete answer arrived
	Latency time.Duration // from sending to the first byte of the answer; zero means the time since the start
	Refused bool          // the server refused the request and ran nothing
	Work    time.Duration // estimated service time, the part of Latency without waiting on the server; zero if unknown
	Bytes   int64         // transferred in both directions
	// PathLost says that the attempt was given up because this VM lost its path to the server,
	// which is not to blame.
	PathLost bool
	// Withdrawn says that nothing was sent, because the server must get no more requests.
	Withdrawn bool
	// Stalled says that the server has passed over the request, which says nothing about its
	// speed or health: it answers others.
	Stalled bool
}

// Cancel returns the outcome of an attempt whose answer is no longer wanted.
func Cancel() Outcome { return Outcome{Kind: kinds.Canceled} }
