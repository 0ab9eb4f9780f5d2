package front

import (
	"cmp"
	"fmt"
	"net/http"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// notePromise records in the decision on what it rests that the caller was told that the request
// has not run. err is the error with which the request ended, if any.
func (x *exchange) notePromise(err error) {
	switch {
	case err == nil && x.promisesNotRun(x.decision.Status):
		x.decision.Promise = record.PromisePassedOn
	case err == nil, x.responseStarted, x.decision.Ran != kinds.RanNo:
	default:
		x.decision.Promise = cmp.Or(x.refusal, record.PromiseUnsent)
	}
}

// noteRefusal remembers that a server refused an attempt. A refusal that does not name the
// request is the weakest evidence of all attempts.
func (x *exchange) noteRefusal(fail *relay.Failure) {
	x.decision.ConnUses = fail.ConnUses
	if !fail.Named {
		x.refusal = record.PromiseUnnamed
		return
	}
	x.refusal = cmp.Or(x.refusal, record.PromiseRefused)
}

// isUnprovenPromise reports whether the caller would take an answer for the promise that a
// request has not run, and would send it again although it must not run twice.
func (x *exchange) isUnprovenPromise(answer *relay.Response) bool {
	return !x.rule.Then.Idempotent && x.promisesNotRun(answer.Status())
}

// withholdAnswer drops an answer that would be taken for a promise. It returns the outcome of
// the attempt, for the gate, and the error that the caller gets in its place.
func (x *exchange) withholdAnswer(answer *relay.Response) (gate.Outcome, error) {
	x.mayHaveRun = true
	x.decision.FirstByte, x.decision.Via = answer.FirstByte, answer.Via
	answer.Close()
	out := gate.Outcome{Latency: answer.FirstByte}
	if answer.Status() >= http.StatusInternalServerError {
		out.Kind = kinds.Internal
	}
	return out, kinds.New(kinds.Unknown, fmt.Sprintf("the server answered %d and did not say that the request has not run", answer.Status()))
}

// promisesNotRun reports whether callers take a status for the promise that their request has
// not run.
func (x *exchange) promisesNotRun(status int) bool {
	return x.f.Headers.PromisesNotRun != nil && x.f.Headers.PromisesNotRun(status)
}
