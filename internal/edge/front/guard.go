package front

import (
	"context"
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guard tracks requests that crash servers, see package poison. Its methods are called on
// the request path and must not block.
type Guard interface {
	// Suspects reports whether a request for the path of this head is suspected of crashing
	// servers.
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
	// ReportCrash records that an attempt ended now because its process closed the connection
	// before its answer was complete, and returns to how many processes that has happened
	// with the request.
	ReportCrash(poison.Attempt) int
	// ReportUnanswered records that an attempt was sent and ended now without an answer, while
	// the connection stayed open. It is evidence only if the process has ended.
	ReportUnanswered(poison.Attempt)
	// Unanswered reports whether an attempt of a request with this head ended without an
	// answer. A nil head asks whether any did.
	Unanswered(h *poison.Head) bool
	// Answered records that a server answered a request that is suspected or had an attempt
	// without an answer, and not with an error of its own.
	Answered(p poison.Fingerprint)
	// SendTime returns a time, on the boot clock, shortly before now. See package clock.
	SendTime() time.Time
	// ServerAnswered records that a server answered a request on a connection whose opening
	// and whose sending, at a SendTime, begin and end a life of it.
	ServerAnswered(l poison.Life, s ident.Server)
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

// checkSuspect refuses a quarantined request before it asks for admission.
func (x *exchange) checkSuspect(ctx context.Context) error {
	if err := x.identifySuspect(ctx); err != nil {
		return err
	}
	return x.checkQuarantine()
}

// checkQuarantine refuses a quarantined request.
func (x *exchange) checkQuarantine() error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	var remaining time.Duration
	for _, p := range x.fingerprints() {
		remaining = max(remaining, x.f.Guard.QuarantineLeft(p))
	}
	if remaining > 0 {
		return &quarantineError{remaining: remaining, err: errQuarantined}
	}
	return nil
}

// reportCrash reports that a process closed the connection while it ran the request.
func (x *exchange) reportCrash(to destination) {
	if x.f.Guard == nil {
		return
	}
	a := x.evidence(to)
	x.decision.Fingerprint = a.Fingerprint.Print()
	x.crashes = x.f.Guard.ReportCrash(a)
	x.suspect = true
}

// reportAnswered reports that a suspected request, or one with an attempt that got no
// answer, was answered. It is not called for a server's error, which may have been sent
// before the request began to run.
func (x *exchange) reportAnswered() {
	if !x.suspect && !x.isKnown() {
		return
	}
	for _, p := range x.fingerprints() {
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
	if n := x.body.digest.Size(); n > x.f.BufferLimit {
		body = poison.BodyOfLength(n) // as when the length is declared
	}
	return head.Fingerprint(caller, body), whole
}

func (x *exchange) poisonHead() poison.Head {
	return poison.HeadOf(x.r.Method, x.r.Host, x.r.URL.RequestURI())
}
