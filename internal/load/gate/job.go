package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
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
	Rule    string      // the rule that the request matched; requests of one rule are alike
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

// NextAttempt returns the job as a further attempt made by the gate, which avoids the
// server of the previous attempt. [Permit.Retry] and [Permit.Hedge] do this themselves;
// it is for direct users of a [Core].
func (j Job) NextAttempt(avoid ident.Server) Job {
	j.extraAttempt, j.avoid = true, avoid
	return j
}
