package front

import (
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// destination is the process to which an attempt was sent, as far as is known here, and a time
// just before, see Guard.
type destination struct {
	ident.Process
	sentAt time.Time
}

// destinationOf returns the destination of an attempt that is about to be sent to a server.
func (x *exchange) destinationOf(s ident.Server) destination {
	to := destination{Process: x.svc.Process(s)}
	if x.f.Guard != nil {
		to.sentAt = x.f.Guard.SendTime()
	}
	return to
}

// evidence returns an attempt that got no answer in the form for the Guard.
func (x *exchange) evidence(to destination) poison.Attempt {
	return poison.Attempt{Fingerprint: x.fingerprintOrUnread(), ID: x.decision.ID, Process: to.Process, SentAt: to.sentAt}
}

// reportFailure reports what a failed attempt shows about the request and the process to
// which it was sent.
func (x *exchange) reportFailure(to destination, fail *relay.Failure) {
	switch {
	case fail.PathLost: // it says nothing about the server
	case fail.ConnClosed:
		x.reportCrash(to)
	case fail.Sent && !fail.Refused:
		x.reportUnanswered(to)
	}
}

// reportBrokenAnswer reports a process that broke off an answer of which the caller has
// received a part.
func (x *exchange) reportBrokenAnswer(from destination, err error) {
	var fail *relay.Failure
	if errors.As(err, &fail) && fail.ConnClosed {
		x.reportCrash(from)
	}
}

// reportUnanswered reports that an attempt ended without an answer while its connection
// stayed open.
func (x *exchange) reportUnanswered(to destination) {
	if x.f.Guard == nil {
		return
	}
	x.f.Guard.ReportUnanswered(x.evidence(to))
}

// fingerprintOrUnread returns the fingerprint of the request, or the one that stands for a
// body of unknown length that is not complete: a server may run a request before it has
// read the body.
func (x *exchange) fingerprintOrUnread() poison.Fingerprint {
	if p, ok := x.fingerprint(); ok {
		return p
	}
	return x.unreadFingerprint()
}

// fingerprints returns all fingerprints by which earlier attempts of the request may be
// known.
func (x *exchange) fingerprints() []poison.Fingerprint {
	var all []poison.Fingerprint
	if p, ok := x.fingerprint(); ok {
		all = append(all, p)
	}
	if x.r.ContentLength < 0 {
		all = append(all, x.unreadFingerprint())
	}
	return all
}

func (x *exchange) unreadFingerprint() poison.Fingerprint {
	caller := string(x.decision.Caller)
	return x.poisonHead().Fingerprint(caller, poison.UnreadBody(caller))
}
