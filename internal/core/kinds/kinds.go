// Package kinds is the closed list of ways in which a request, or a call to
// the platform, can fail, and the one table that turns each into an answer.
//
// Two promises hang on this table. An answer that says "not run" is only given
// for kinds where no byte of the request can have reached a backend server, or
// where the server itself said that it did nothing. Everything else that may
// have run is answered as "unknown", and is never retried for a request that
// is not idempotent.
package kinds

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is one entry of the closed list.
type Kind uint8

// The kinds. Add one only together with its row in the table.
const (
	None           Kind = iota // no failure
	BadRequest                 // the caller's request cannot be understood
	TooLarge                   // a body beyond the configured limit
	LongHeader                 // headers beyond the configured limit
	NoRule                     // no rule matches the request
	StaleRules                 // the rules here may be old, and by them the request is at fault
	Denied                     // a rule or a missing identity forbids the request
	Busy                       // refused by admission: full, or over a fair share
	DeadlineMissed             // the deadline cannot be met, or passed while queued
	Moving                     // the key is between owners for longer than we may wait
	NoOwner                    // the key has no live owner now
	NoServer                   // the service has no usable backend server
	Misrouted                  // the backend server said it is not the owner and ran nothing
	Quarantined                // the request has crashed the servers that ran it
	NotDurable                 // the rule demands a durable record and none can be written now
	Repeated                   // an earlier submission with this id exists, its answer is not known
	Closing                    // this VM is shutting down
	Unknown                    // the request may have run: connection lost after it was sent
	Truncated                  // the answer broke off after it had begun
	Canceled                   // the caller went away
	Conflict                   // a conditional update lost against another writer
	NotFound                   // the object or entry does not exist
	Ambiguous                  // the platform did not say whether the write took effect
	Unavailable                // the platform, or a peer, cannot be reached
	NewerVersion               // data written by a newer version of the program
	Malformed                  // data that cannot be decoded
	Fenced                     // a newer epoch exists: this process must step down
	Internal                   // a fault of the program itself
	end
)

// Ran says what the answer promises about execution.
type Ran string

// The three promises an answer can carry in the header [HeaderRan].
const (
	RanNo      Ran = "no"      // it did not run: repeating it is safe
	RanUnknown Ran = "unknown" // it may have run: ask before repeating
	RanYes     Ran = "yes"     // it ran
)

// HeaderRan carries the promise in every answer that the system itself makes,
// and in a backend server's refusal.
const HeaderRan = "Hawthorn-Ran"

// Answer is what a caller receives for a kind.
type Answer struct {
	Status int           // HTTP status
	Ran    Ran           // promise about execution
	Text   string        // one sentence for the body
	Retry  time.Duration // Retry-After hint; zero means none
}

type row struct {
	name string
	Answer
}

// table maps each kind to its answer. Statuses follow RFC 9110; 421 marks a
// wrong owner because the standard defines it as "not the server for this
// target, ask another connection".
var table = [end]row{
	None:           {"none", Answer{http.StatusOK, RanYes, "", 0}},
	BadRequest:     {"bad_request", Answer{http.StatusBadRequest, RanNo, "the request is malformed", 0}},
	TooLarge:       {"too_large", Answer{http.StatusRequestEntityTooLarge, RanNo, "the request exceeds a size limit", 0}},
	LongHeader:     {"long_header", Answer{http.StatusRequestHeaderFieldsTooLarge, RanNo, "the headers exceed a size limit", 0}},
	NoRule:         {"no_rule", Answer{http.StatusNotFound, RanNo, "no rule matches this request", 0}},
	StaleRules:     {"behind", Answer{http.StatusServiceUnavailable, RanNo, "newer rules may allow this request", 500 * time.Millisecond}},
	Denied:         {"denied", Answer{http.StatusForbidden, RanNo, "the request is not allowed", 0}},
	Busy:           {"busy", Answer{http.StatusTooManyRequests, RanNo, "the service is full, come back later", time.Second}},
	DeadlineMissed: {"late", Answer{http.StatusServiceUnavailable, RanNo, "the deadline cannot be met", time.Second}},
	Moving:         {"moving", Answer{http.StatusServiceUnavailable, RanNo, "the key is changing owners", time.Second}},
	NoOwner:        {"no_owner", Answer{http.StatusServiceUnavailable, RanNo, "the key has no owner now", time.Second}},
	NoServer:       {"no_server", Answer{http.StatusServiceUnavailable, RanNo, "no backend server is available", time.Second}},
	Misrouted:      {"misrouted", Answer{http.StatusServiceUnavailable, RanNo, "the key's owner changed", time.Second}},
	Quarantined:    {"harmful", Answer{http.StatusServiceUnavailable, RanNo, "the request has crashed the servers that ran it", 0}},
	NotDurable:     {"undurable", Answer{http.StatusServiceUnavailable, RanNo, "a durable record cannot be written now", 5 * time.Second}},
	Repeated:       {"repeated", Answer{http.StatusConflict, RanUnknown, "a submission with this id was already accepted", 0}},
	Closing:        {"closing", Answer{http.StatusServiceUnavailable, RanNo, "this entry VM is shutting down", time.Second}},
	Unknown:        {"unknown", Answer{http.StatusBadGateway, RanUnknown, "the request may have run, its answer was lost", 0}},
	Truncated:      {"truncated", Answer{http.StatusBadGateway, RanUnknown, "the answer broke off", 0}},
	Canceled:       {"canceled", Answer{499, RanUnknown, "the caller went away", 0}},
	Conflict:       {"conflict", Answer{http.StatusConflict, RanNo, "another change came first", 0}},
	NotFound:       {"absent", Answer{http.StatusNotFound, RanNo, "it does not exist", 0}},
	Ambiguous:      {"ambiguous", Answer{http.StatusBadGateway, RanUnknown, "the write may have taken effect", 0}},
	Unavailable:    {"down", Answer{http.StatusServiceUnavailable, RanNo, "it cannot be reached", time.Second}},
	NewerVersion:   {"newer", Answer{http.StatusServiceUnavailable, RanNo, "it was written by a newer version", 0}},
	Malformed:      {"malformed", Answer{http.StatusBadRequest, RanNo, "it cannot be decoded", 0}},
	Fenced:         {"fenced", Answer{http.StatusServiceUnavailable, RanNo, "a newer holder took over", time.Second}},
	Internal:       {"internal", Answer{http.StatusInternalServerError, RanUnknown, "internal fault", 0}},
}

// All lists every kind, for tests and for documentation.
func All() []Kind {
	all := make([]Kind, 0, int(end))
	for k := None; k < end; k++ {
		all = append(all, k)
	}
	return all
}

// String returns the kind's stable name, as used in logs and metrics.
func (k Kind) String() string {
	if k >= end {
		return "invalid"
	}
	return table[k].name
}

// MarshalText renders the name, so that JSON shows an operator "busy" and not a
// number that differs between versions.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Answer returns the row for k. A value outside the list answers as Internal,
// so that a fault never looks like a success.
func (k Kind) Answer() Answer {
	if k >= end {
		return table[Internal].Answer
	}
	return table[k].Answer
}

// Error is a failure with its kind. Wrap it freely: [Of] finds it again.
type Error struct {
	Kind Kind
	err  error
}

// New makes an error of kind k. The message says what was being done.
func New(k Kind, msg string) error {
	return &Error{Kind: k, err: eris.New(msg)}
}

// Wrap gives err the kind k and says what was being done. It returns nil for a
// nil err.
func Wrap(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, err: eris.Wrap(err, msg)}
}

// Error renders the kind, then the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Is makes errors.Is(err, kinds.New(k, "")) true for any error of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

// Of returns the kind of err: None for nil, Internal for an error without one.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
