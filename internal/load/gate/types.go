package gate

import (
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Class is the priority that a rule gives to a request. Under load each class keeps a
// share of the service, so no class starves.
type Class uint8

// Request classes. The zero value is Normal.
const (
	Normal Class = iota
	High
	Low
	Classes // the number of classes
)

// Job describes a request to the gate.
type Job struct {
	Service ident.Service
	Caller  ident.Caller
	Key     ident.Key
	Slice   ident.Slice
	Epoch   ident.Epoch // the epoch under which Server owns the key
	HotKey  bool        // the key has an owner of its own, apart from its slice
	Class   Class
	// Server is the key's owner in a service divided by key. If empty, the gate chooses
	// a server.
	Server ident.Server
	// Deadline is when the caller stops waiting; zero means Config.Deadline after
	// arrival.
	Deadline time.Time
	// LatencyTarget is the time from arrival within which an answer has its full value
	// to the caller; zero if unknown.
	LatencyTarget time.Duration
	// MaxOwnerWait bounds the wait for the key to get an owner; zero means until the
	// deadline.
	MaxOwnerWait time.Duration
	// Size is the length of the body in bytes, -1 if unknown.
	Size int64
	// Bytes is the number of bytes that the body puts on the network. It only weighs in
	// the choice between data centres, not in the classification by Size.
	Bytes      int64
	Idempotent bool
	// Repeat reports that the caller itself repeats an earlier request. It is charged
	// to the retry budget, so that retries are counted once over all layers.
	Repeat bool

	arrivedAt         time.Time    // when the request first reached the gate
	ownerMissingSince time.Time    // when the request first found its key without an owner
	extraAttempt      bool         // a retry or hedge made by the gate
	avoid             ident.Server // the server of the previous attempt
}

func (j *Job) owner() Owner { return Owner{j.Server, j.Slice, j.Epoch} }

func (j *Job) setOwner(owner Owner) {
	j.Server, j.Slice, j.Epoch = owner.Server, owner.Slice, owner.Epoch
}

// Outcome is the result of an attempt.
type Outcome struct {
	Kind    kinds.Kind    // None if a complete answer arrived
	Latency time.Duration // from sending to the first byte of the answer; zero means the time since the start
	Refused bool          // the server refused the request and ran nothing
	Bytes   int64         // transferred in both directions
}

// ServerInfo describes a backend server.
type ServerInfo struct {
	Name   ident.Server
	Centre ident.Centre
	Slots  int  // requests that it processes concurrently
	Conns  int  // connections that it accepts from all entry VMs together
	Cold   bool // just started: its load is raised in steps
	Drain  bool // shutting down: it gets no new requests
}

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

// Stats holds the gate's counters since its start and its current gauges.
type Stats struct {
	Started  uint64                `json:"started"` // attempts sent to a server
	Queued   uint64                `json:"queued"`  // requests that had to wait
	Refused  map[kinds.Kind]uint64 `json:"refused"`
	Retries  uint64                `json:"retries"`
	Hedges   uint64                `json:"hedges"`
	Canceled uint64                `json:"canceled"`
	Waiting  int                   `json:"waiting"` // in the queues now
	Held     int                   `json:"held"`    // waiting for an owner now
	Running  int                   `json:"running"` // on backend servers now
	Ejected  int                   `json:"ejected"` // servers ejected for bad health
	Overload bool                  `json:"overload"`
	Budget   float64               `json:"budget"` // retries left in the budget
	Servers  []ServerStats         `json:"servers"`
}

// ServerStats holds the gauges of one backend server.
type ServerStats struct {
	Name    ident.Server  `json:"name"`
	Running int           `json:"running"`
	Limit   int           `json:"limit"`
	Waiting int           `json:"waiting"`
	Latency time.Duration `json:"latency"`
	State   string        `json:"state"`
}

// NextAttempt returns the job as a further attempt made by the gate, which avoids the
// server of the previous attempt. [Permit.Retry] and [Permit.Hedge] do this themselves;
// it is for direct users of a [Core].
func (j Job) NextAttempt(avoid ident.Server) Job {
	j.extraAttempt, j.avoid = true, avoid
	return j
}
