package gate

import (
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Class is the priority that a rule gives to a request. Under load each class
// keeps a share of the service, so none starves.
type Class uint8

// The classes. The zero value is the ordinary one.
const (
	Normal Class = iota
	High
	Low
	Classes // how many there are
)

// Job is what the gate needs to know of a request.
type Job struct {
	Service ident.Service
	Caller  ident.Caller
	Key     ident.Key
	Slice   ident.Slice
	Epoch   ident.Epoch // under which Server owns the key
	HotKey  bool        // the key is owned apart from its slice
	Class   Class
	// Server is the key's owner in a service divided by key. Empty lets the
	// gate choose.
	Server ident.Server
	// Deadline is when the caller stops waiting; zero takes Config.Deadline.
	Deadline time.Time
	// LatencyTarget is how soon after it was asked an answer serves its caller fully; zero where
	// nobody said.
	LatencyTarget time.Duration
	// MaxOwnerWait bounds the wait for the key to get an owner; zero waits until
	// the deadline.
	MaxOwnerWait time.Duration
	// Size is the length of the body in bytes, -1 when unknown.
	Size int64
	// Bytes is what the body weighs on the way, whatever its work is like.
	Bytes      int64
	Idempotent bool
	// Repeat says that the caller itself asks again, so that retries are
	// counted once over all layers.
	Repeat bool

	asked time.Time    // when it first came
	met   time.Time    // when it first found its key without an owner
	again bool         // a retry or a hedge of the gate's own
	avoid ident.Server // the server of the attempt before
}

func (j *Job) place() Owner { return Owner{j.Server, j.Slice, j.Epoch} }

func (j *Job) settle(p Owner) { j.Server, j.Slice, j.Epoch = p.Server, p.Slice, p.Epoch }

// Outcome is what became of an attempt.
type Outcome struct {
	Kind    kinds.Kind    // None when a whole answer arrived
	Latency time.Duration // from sending to the answer's first byte; zero takes the time since the start
	Refused bool          // the server refused it and ran nothing
	Bytes   int64         // transferred both ways
}

// ServerInfo describes a backend server.
type ServerInfo struct {
	Name   ident.Server
	Centre ident.Centre
	Slots  int  // requests it works on at once
	Conns  int  // connections it accepts from all entry VMs together
	Cold   bool // just started: it is given load in steps
	Drain  bool // it is leaving: nothing new is sent
}

// Refusal is the error of a request that was not started. It carries the kind
// and when to come back; [kinds.Of] and [RetryAfter] read them from any error
// that wraps it.
type Refusal struct {
	Kind  kinds.Kind
	After time.Duration
	err   error
}

// Error renders the kind and the hint.
func (r *Refusal) Error() string {
	if r.After == 0 {
		return r.err.Error()
	}
	return r.err.Error() + ", retry after " + r.After.String()
}

// Unwrap returns an error of the refusal's kind.
func (r *Refusal) Unwrap() error { return r.err }

// RetryAfter returns when a refused caller should come back, and zero when the
// error gives no hint.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}

// Refusals are made once, in steps of the hint: refusing is what the gate does
// most under overload, and must cost no memory then.
const (
	hintStep  = 100 * time.Millisecond
	hintSteps = 101
)

var refusalKinds = [...]kinds.Kind{
	kinds.Busy, kinds.DeadlineMissed, kinds.Moving, kinds.NoServer, kinds.NoOwner, kinds.Closing, kinds.Canceled,
}

var refusals = func() (all [len(refusalKinds)][hintSteps]Refusal) {
	for i, k := range refusalKinds {
		err := kinds.New(k, k.Answer().Text)
		for n := range all[i] {
			all[i][n] = Refusal{Kind: k, After: time.Duration(n) * hintStep, err: err}
		}
	}
	return all
}()

// refusal returns the shared error for a kind, the hint rounded up to a step.
func refusal(k kinds.Kind, after time.Duration) *Refusal {
	n := min(max(int((after+hintStep-1)/hintStep), 0), hintSteps-1)
	for i, known := range refusalKinds {
		if known == k {
			return &refusals[i][n]
		}
	}
	return &Refusal{Kind: k, After: after, err: kinds.New(k, k.Answer().Text)}
}

// Stats are the gate's counters since its start, and its gauges.
type Stats struct {
	Started  uint64                `json:"started"` // attempts sent to a server
	Queued   uint64                `json:"queued"`  // requests that had to wait
	Refused  map[kinds.Kind]uint64 `json:"refused"`
	Retries  uint64                `json:"retries"`
	Hedges   uint64                `json:"hedges"`
	Canceled uint64                `json:"canceled"`
	Waiting  int                   `json:"waiting"` // in the queues now
	Held     int                   `json:"held"`    // waiting for a move now
	Running  int                   `json:"running"` // on backend servers now
	Ejected  int                   `json:"ejected"` // servers given no load
	Overload bool                  `json:"overload"`
	Budget   float64               `json:"budget"` // retries left
	Servers  []ServerStats         `json:"servers"`
}

// ServerStats are the gauges of one backend server.
type ServerStats struct {
	Name    ident.Server  `json:"name"`
	Running int           `json:"running"`
	Limit   int           `json:"limit"`
	Waiting int           `json:"waiting"`
	Latency time.Duration `json:"latency"`
	State   string        `json:"state"`
}

// NextAttempt returns the job as a further attempt of the gate's own, which avoids
// the server of the attempt before. [Pass.Retry] and [Pass.Hedge] do this
// themselves; use it with a [Core].
func (j Job) NextAttempt(avoid ident.Server) Job {
	j.again, j.avoid = true, avoid
	return j
}
