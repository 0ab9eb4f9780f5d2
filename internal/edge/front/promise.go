package front

import (
	"errors"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// notePromise records in the decision on what it rests that the caller was told that the request
// has not run. err is the error with which the request ended, if any.
func (x *exchange) notePromise(err error) {
	var fail *relay.Failure
	refused := errors.As(err, &fail) && fail.Refused
	if refused {
		x.decision.ConnUses = fail.ConnUses
	}
	switch {
	case err == nil && x.promisesNotRun(x.decision.Status):
		x.decision.Promise = record.PromisePassedOn
	case err == nil, x.responseStarted, x.decision.Ran != kinds.RanNo:
	case refused && fail.Named:
		x.decision.Promise = record.PromiseRefused
	case refused:
		x.decision.Promise = record.PromiseUnnamed
	default:
		x.decision.Promise = record.PromiseUnsent
	}
}

// promisesNotRun reports whether callers take a status for the promise that their request has
// not run.
func (x *exchange) promisesNotRun(status int) bool {
	return x.f.Headers.PromisesNotRun != nil && x.f.Headers.PromisesNotRun(status)
}
