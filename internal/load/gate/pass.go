package gate

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Permit is a place on a backend server. It is held from Enter until Done; the
// zero value holds nothing. Copy it freely: Done counts once.
type Permit struct {
	g      *Gate
	t      *Ticket
	gen    uint64
	server ident.Server
}

// Server returns the backend server to send the request to.
func (p Permit) Server() ident.Server { return p.server }

// Done gives the place back and tells the gate what was observed. A second
// call does nothing.
func (p Permit) Done(o Outcome) {
	if p.g == nil {
		return
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if !p.live() {
		return
	}
	p.g.core.Done(time.Now(), p.t, o)
	p.g.recycle(p.t)
	p.g.wake()
}

// Retry ends this attempt with its outcome and asks for another. It succeeds
// when repeating is safe (nothing ran, or the job is idempotent), the service's
// retry budget has room, the deadline leaves time, and the service is not
// overloaded. Otherwise the second result is false: answer the caller now, with
// the outcome's kind.
//
// The next attempt may wait in the queue, as Enter does, and avoids the server
// that failed where the service is not divided by key.
func (p Permit) Retry(ctx context.Context, o Outcome) (Permit, bool) {
	if p.g == nil {
		return Permit{}, false
	}
	p.g.mu.Lock()
	if !p.live() {
		p.g.mu.Unlock()
		return Permit{}, false
	}
	now := time.Now()
	job := p.t.Job
	ok := p.g.core.MayRetry(now, p.t, o)
	p.g.core.Done(now, p.t, o)
	p.g.recycle(p.t)
	p.g.wake()
	p.g.mu.Unlock()
	if !ok {
		return Permit{}, false
	}
	job.again = true
	job.avoid = p.server
	next, err := p.g.Enter(ctx, job)
	return next, err == nil
}

// WaitOwner ends this attempt with its outcome, because the server said that it is
// not the key's owner or could not be reached, and waits for the owner as
// [Gate.WaitOwner] does, in the place that the request's age gives it.
func (p Permit) WaitOwner(ctx context.Context, o Outcome) (Permit, error) {
	if p.g == nil {
		return Permit{}, refusal(kinds.NoOwner, 0)
	}
	p.g.mu.Lock()
	if !p.live() {
		p.g.mu.Unlock()
		return Permit{}, refusal(kinds.NoOwner, 0)
	}
	job := p.t.Job
	job.again = true
	p.g.core.Done(time.Now(), p.t, o)
	p.g.recycle(p.t)
	p.g.wake()
	p.g.mu.Unlock()
	return p.g.WaitOwner(ctx, job)
}

// Hedge asks for a second place for the same idempotent request on another
// server, while this one is still waiting for its answer. It never waits: it is
// granted only when a server is free now and the hedge budget has room. When
// the first answer arrives, cancel the other request and end its Pass with
// Outcome{Kind: kinds.Canceled}.
func (p Permit) Hedge() (Permit, bool) {
	if p.g == nil {
		return Permit{}, false
	}
	g := p.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.live() {
		return Permit{}, false
	}
	job := p.t.Job
	job.again = true
	job.avoid = p.server
	t := g.ticket(job)
	if !g.core.Hedge(time.Now(), t) {
		g.recycle(t)
		return Permit{}, false
	}
	return Permit{g: g, t: t, gen: t.gen, server: t.Server()}, true
}

// live reports whether the pass still holds its place.
func (p Permit) live() bool { return p.t.gen == p.gen && p.t.state == started }

// Cancel is the outcome of an attempt whose answer is no longer wanted.
func Cancel() Outcome { return Outcome{Kind: kinds.Canceled} }
