package gate

import (
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Refusal is the error of a request that was not started. It carries the kind and the
// time after which to retry; [kinds.Of] and [RetryAfter] extract them from any error
// that wraps it.
type Refusal struct {
	Kind  kinds.Kind
	After time.Duration
	err   error
}

// Error returns the text of the kind and the retry time.
func (r *Refusal) Error() string {
	if r.After == 0 {
		return r.err.Error()
	}
	return r.err.Error() + ", retry after " + r.After.String()
}

// Unwrap returns an error of the refusal's kind.
func (r *Refusal) Unwrap() error { return r.err }

// RetryAfter returns the time after which a refused caller should retry, or zero if the
// error carries none.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}

// Refusals are allocated once, one for each kind and step of the retry time: under
// overload the gate mostly refuses, and doing so must not allocate.
const (
	retryAfterStep  = 100 * time.Millisecond
	retryAfterSteps = 101
)

var refusalKinds = [...]kinds.Kind{
	kinds.Busy, kinds.DeadlineMissed, kinds.Moving, kinds.NoServer, kinds.NoOwner, kinds.Closing, kinds.Canceled,
}

var refusals = func() (all [len(refusalKinds)][retryAfterSteps]Refusal) {
	for i, k := range refusalKinds {
		err := kinds.New(k, k.Answer().Text)
		for n := range all[i] {
			all[i][n] = Refusal{Kind: k, After: time.Duration(n) * retryAfterStep, err: err}
		}
	}
	return all
}()

// refusal returns the shared error for a kind, with the retry time rounded up to a
// step.
func refusal(k kinds.Kind, after time.Duration) *Refusal {
	n := min(max(int((after+retryAfterStep-1)/retryAfterStep), 0), retryAfterSteps-1)
	for i, known := range refusalKinds {
		if known == k {
			return &refusals[i][n]
		}
	}
	return &Refusal{Kind: k, After: after, err: kinds.New(k, k.Answer().Text)}
}
