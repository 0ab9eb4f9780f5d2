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

// Guard tracks requests that crash servers, see package poison. Its methods are called on
// the request path and must not block.
type Guard interface {
	// Suspects reports whether a request with this head is suspected of crashing servers.
	// A nil head asks whether any request is.
	Suspects(h *poison.Head) bool
	// QuarantineLeft returns for how much longer a request must not be sent to any
	// server; zero means that it may be sent.
	QuarantineLeft(p poison.Fingerprint) time.Duration
	// StartAttempt is QuarantineLeft for a request that is sent at once if it may be. It
	// returns the trial if only that allows it.
	StartAttempt(p poison.Fingerprint) (time.Duration, *poison.Trial)
	// ReturnTrial gives back a trial that was not sent.
	ReturnTrial(*poison.Trial)
	// ReportCrash records that a server closed the connection while it ran the request,
	// and returns how many servers have.
	ReportCrash(p poison.Fingerprint, s ident.Server, id ident.Request) int
	// Answered records that a server answered a suspected request, and not with an error
	// of its own.
	Answered(p poison.Fingerprint)
}

// quarantineError is the error of a request that is quarantined.
type quarantineError struct {
	remaining time.Duration
	err       error
}

// Error includes the remaining time.
func (q *quarantineError) Error() string { return q.err.Error() + " for " + q.remaining.String() }

// Unwrap returns an error of kind Quarantined.
func (q *quarantineError) Unwrap() error { return q.err }

var errQuarantined = kinds.New(kinds.Quarantined, "the request is quarantined")

// quarantineLeft returns the remaining time of a quarantineError, zero for other errors.
func quarantineLeft(err error) time.Duration {
	var q *quarantineError
	if errors.As(err, &q) {
		return q.remaining
	}
	return 0
}

// checkSuspect refuses a quarantined request before it asks for admission. For a
// suspected request it also records the fingerprint in the decision.
func (x *exchange) checkSuspect() error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	head := x.poisonHead()
	if !x.f.Guard.Suspects(&head) {
		return nil
	}
	if err := x.bufferStream(); err != nil {
		return err
	}
	if p, ok := x.fingerprint(); ok {
		x.suspect, x.decision.Fingerprint = true, p.AnyCaller().String()
	}
	return x.checkQuarantine()
}

// checkQuarantine refuses a quarantined request.
func (x *exchange) checkQuarantine() error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	p, ok := x.fingerprint()
	if !ok {
		return nil
	}
	if remaining := x.f.Guard.QuarantineLeft(p); remaining > 0 {
		return &quarantineError{remaining: remaining, err: errQuarantined}
	}
	return nil
}

// reportCrash reports that a server closed the connection while it ran the request.
func (x *exchange) reportCrash(s ident.Server) {
	if x.f.Guard == nil {
		return
	}
	p, ok := x.fingerprint()
	if !ok {
		return // the server had not read the whole body, so it had not begun
	}
	x.decision.Fingerprint = p.AnyCaller().String()
	x.crashes = x.f.Guard.ReportCrash(p, s, x.decision.ID)
	x.suspect = true
}

// reportAnswered reports that a suspected request was answered. It is not called for a
// server's error, which may have been sent before the request began to run.
func (x *exchange) reportAnswered() {
	if !x.suspect {
		return
	}
	if p, ok := x.fingerprint(); ok {
		x.f.Guard.Answered(p)
	}
}

// fingerprint identifies the request across its retries. It returns false while a body of
// unknown length has not been read to its end. A body that is too long to buffer is
// identified by its length.
func (x *exchange) fingerprint() (poison.Fingerprint, bool) {
	head, caller := x.poisonHead(), string(x.decision.Caller)
	switch {
	case x.body.stream == nil:
		return head.Fingerprint(caller, poison.BodyOf(x.body.buffered)), true
	case x.body.digest == nil:
		return head.Fingerprint(caller, poison.BodyOfLength(x.r.ContentLength)), true
	}
	body, whole := x.body.digest.Body()
	return head.Fingerprint(caller, body), whole
}

func (x *exchange) poisonHead() poison.Head {
	return poison.HeadOf(x.r.Method, x.r.Host, x.r.URL.RequestURI())
}

// bufferStream reads a body of unknown length, so that the request can be identified.
func (x *exchange) bufferStream() error {
	if x.body.digest == nil || x.body.started {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(x.body.digest, x.f.BufferLimit+1))
	if err != nil {
		return kinds.Wrap(readErrorKind(err), err, "read body")
	}
	if int64(len(data)) > x.f.BufferLimit {
		x.body.stream = io.MultiReader(bytes.NewReader(data), x.body.digest)
		return nil
	}
	x.body = body{buffered: data}
	return nil
}
