// Package kinds defines the error kinds of requests and of calls to the platform,
// and the table that maps each kind to the response that a caller receives.
//
// Two guarantees depend on this table. A response says that the request did not
// run only for kinds where no byte of the request can have reached a backend
// server, or where the server itself reported that it did nothing. Every other
// request that may have run is answered as "unknown", and is never retried unless
// it is idempotent.
package kinds

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the kind of an error. The list of kinds is closed.
type Kind uint8

// The error kinds. Each has a row in table.
const (
	None           Kind = iota // no failure
	BadRequest                 // the caller's request is malformed
	TooLarge                   // the body exceeds the configured limit
	LongHeader                 // the headers exceed the configured limit
	NoRule                     // no rule matches the request
	StaleRules                 // the request fails by this VM's rules, but they may be outdated
	Denied                     // a rule or a missing identity forbids the request
	Busy                       // refused by admission control: the service is full or the caller exceeds its fair share
	DeadlineMissed             // the deadline cannot be met or passed while the request was queued
	Moving                     // the key is changing owners for longer than the request may wait
	NoOwner                    // the key has no live owner now
	NoServer                   // the service has no usable backend server
	Misrouted                  // the backend server reported that it is not the owner and ran nothing
	Quarantined                // the request has crashed the servers that ran it
	NotDurable                 // the rule requires a durable record and none can be written now
	Repeated                   // an earlier submission with this id exists and its response is not known
	Closing                    // this VM is shutting down
	Unknown                    // the request may have run: connection lost after it was sent
	Truncated                  // the response ended before it was complete
	Canceled                   // the caller disconnected
	Conflict                   // a conditional update failed because of another writer
	NotFound                   // the object or entry does not exist
	Ambiguous                  // the platform did not say whether the write took effect
	Unavailable                // the platform or a peer cannot be reached
	NewerVersion               // data written by a newer version of the program
	Malformed                  // data that cannot be decoded
	Fenced                     // a newer epoch exists, so this process must step down
	Internal                   // a bug in this program
	NoRoom                     // this VM has no memory for the request now
	end                        // number of kinds
)

// Ran says whether a request was executed.
type Ran string

// The values of the header [HeaderRan].
const (
	RanNo      Ran = "no"      // it did not run; repeating it is safe
	RanUnknown Ran = "unknown" // it may have run; check before repeating it
	RanYes     Ran = "yes"     // it ran
)

// HeaderRan is the header with the Ran value. Every response that the router
// itself generates has it, and so does a backend server's refusal.
const HeaderRan = "Hawthorn-Ran"

// Answer is the response that a caller receives for a kind.
type Answer struct {
	Status int           // HTTP status
	Ran    Ran           // whether the request was executed
	Text   string        // text of the body
	Retry  time.Duration // value of Retry-After; 0 means no such header
}

// row is one entry of table: the name of a kind and its answer.
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
	NoRoom:         {"no_room", Answer{http.StatusServiceUnavailable, RanNo, "this entry VM has no room for the request now", time.Second}},
}

// All returns every kind, for tests and documentation.
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

// MarshalText returns the name, so that JSON contains "busy" and not a number that
// differs between versions.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Answer returns the answer for k. An invalid kind has the answer of Internal, so
// that an error never looks like a success.
func (k Kind) Answer() Answer {
	if k >= end {
		return table[Internal].Answer
	}
	return table[k].Answer
}

// Error is an error with a kind. [Of] finds the kind in a wrapped Error.
type Error struct {
	Kind Kind
	err  error
}

// New returns an error of kind k with a message.
func New(k Kind, msg string) error {
	return &Error{Kind: k, err: eris.New(msg)}
}

// Wrap returns err with kind k and a message that says which operation failed. It
// returns nil if err is nil.
func Wrap(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, err: eris.Wrap(err, msg)}
}

// Error returns the kind's name and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Is reports whether target is an Error of the same kind, so that
// errors.Is(err, kinds.New(k, "")) matches by kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

// Of returns the kind of err: None for nil, Internal for an error without a kind.
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
