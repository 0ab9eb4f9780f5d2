package front

import (
	"bytes"
	"errors"
	"io"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guard knows the requests that crash servers, see package poison. Its methods are
// called on the request path and must not block.
type Guard interface {
	// Suspects reports whether a request with this head is under suspicion. A nil head
	// asks whether any request is.
	Suspects(h *poison.Head) bool
	// QuarantineLeft is for how much longer a request may reach no server.
	QuarantineLeft(p poison.Fingerprint) time.Duration
	// ReportCrash takes in that a server broke off under a request, and returns how many have.
	ReportCrash(p poison.Fingerprint, s ident.Server, id ident.Request) int
	// Answered takes in that a suspect was answered by a server, and not with a fault.
	Answered(p poison.Fingerprint)
}

// barredError refuses a request that may reach no server.
type barredError struct {
	left time.Duration
	err  error
}

// Error says for how much longer.
func (b *barredError) Error() string { return b.err.Error() + " for " + b.left.String() }

// Unwrap returns an error of kind Harmful.
func (b *barredError) Unwrap() error { return b.err }

var errHarmful = kinds.New(kinds.Quarantined, "the request is quarantined")

// barredFor is when a quarantined request may come back, zero for other errors.
func barredFor(err error) time.Duration {
	var b *barredError
	if errors.As(err, &b) {
		return b.left
	}
	return 0
}

// screen refuses a request that may reach no server, before it waits for a place at one.
func (x *exchange) screen() error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	head := x.headOf()
	if !x.f.Guard.Suspects(&head) {
		return nil
	}
	if err := x.readStream(); err != nil {
		return err
	}
	if p, ok := x.print(); ok {
		x.suspect, x.note.Fingerprint = true, p.AnyCaller().String()
	}
	return x.barred()
}

// barred is the same for a request that waited meanwhile. It changes nothing in the
// exchange, whose attempts may run beside each other.
func (x *exchange) barred() error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	p, ok := x.print()
	if !ok {
		return nil
	}
	if left := x.f.Guard.QuarantineLeft(p); left > 0 {
		return &barredError{left: left, err: errHarmful}
	}
	return nil
}

// accuse notes that a server broke off under the request.
func (x *exchange) accuse(s ident.Server) {
	if x.f.Guard == nil {
		return
	}
	p, ok := x.print()
	if !ok {
		return // the server had not read the body to its end, so it had not begun
	}
	x.note.Fingerprint = p.AnyCaller().String()
	x.crashes = x.f.Guard.ReportCrash(p, s, x.note.ID)
	x.suspect = true
}

// acquit notes that the request was answered. A server's fault is no such answer: it may
// have been given before the request was begun.
func (x *exchange) acquit() {
	if !x.suspect {
		return
	}
	if p, ok := x.print(); ok {
		x.f.Guard.Answered(p)
	}
}

// print identifies the request over its repeats. It is not known before a body of
// unknown length was read to its end. A body too long to be held counts by its length.
func (x *exchange) print() (poison.Fingerprint, bool) {
	head, caller := x.headOf(), string(x.note.Caller)
	switch {
	case x.body.stream == nil:
		return head.Fingerprint(caller, poison.BodyOf(x.body.held)), true
	case x.body.digest == nil:
		return head.Fingerprint(caller, poison.BodyOfLength(x.r.ContentLength)), true
	}
	body, whole := x.body.digest.Body()
	return head.Fingerprint(caller, body), whole
}

func (x *exchange) headOf() poison.Head {
	return poison.HeadOf(x.r.Method, x.r.Host, x.r.URL.RequestURI())
}

// readStream reads a body of unknown length, so that it is known which one it is.
func (x *exchange) readStream() error {
	if x.body.digest == nil || x.body.started {
		return nil
	}
	held, err := io.ReadAll(io.LimitReader(x.body.digest, x.f.BufferLimit+1))
	if err != nil {
		return kinds.Wrap(whyUnread(err), err, "read body")
	}
	if int64(len(held)) > x.f.BufferLimit {
		x.body.stream = io.MultiReader(bytes.NewReader(held), x.body.digest)
		return nil
	}
	x.body = body{held: held}
	return nil
}
