package front

import (
	"errors"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// reportFailure reports what a failed attempt shows about the request and its server.
func (x *exchange) reportFailure(s ident.Server, fail *relay.Failure) {
	switch {
	case fail.ConnClosed:
		x.reportCrash(s)
	case fail.Sent && !fail.Refused:
		x.reportUnanswered(s)
	}
}

// reportBrokenAnswer reports a server that broke off an answer of which the caller has
// received a part.
func (x *exchange) reportBrokenAnswer(s ident.Server, err error) {
	var fail *relay.Failure
	if errors.As(err, &fail) && fail.ConnClosed {
		x.reportCrash(s)
	}
}

// reportUnanswered reports that an attempt ended without an answer while its connection
// stayed open.
func (x *exchange) reportUnanswered(s ident.Server) {
	if x.f.Guard == nil {
		return
	}
	if p, ok := x.fingerprint(); ok {
		x.unanswered = true
		x.f.Guard.ReportUnanswered(p, s, x.decision.ID)
	}
}
