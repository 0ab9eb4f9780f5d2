package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/kinds"

// Kinds of errors: a closed list, and one table that maps each kind to its answer.
type (
	// Kind is one entry of the closed list of error kinds.
	Kind = kinds.Kind
	// Answer is the response that a caller receives for a Kind.
	Answer = kinds.Answer
	// Ran says whether the request was executed.
	Ran = kinds.Ran
)

// Values of Ran.
const (
	RanNo      = kinds.RanNo      // did not run: repeating it is safe
	RanUnknown = kinds.RanUnknown // may have run: check before repeating it
	RanYes     = kinds.RanYes     // ran
)

// Sentinel errors for errors.Is. Each matches every error of its kind.
var (
	// ErrConflict means that a conditional update lost against another writer.
	ErrConflict = kinds.New(kinds.Conflict, "another change came first")
	// ErrAmbiguous means that a write may have taken effect: read the object back.
	ErrAmbiguous = kinds.New(kinds.Ambiguous, "the write may have taken effect")
	// ErrBusy means that admission control refused the request. Nothing ran.
	ErrBusy = kinds.New(kinds.Busy, "the service is full")
	// ErrLate means that the deadline cannot be met. Nothing ran.
	ErrLate = kinds.New(kinds.DeadlineMissed, "the deadline cannot be met")
)

// KindOf returns the kind of err, and the kind "none" for nil.
func KindOf(err error) Kind { return kinds.Of(err) }
