package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/kinds"

// How things fail: one closed list, one table from kind to answer.
type (
	// Kind is one entry of the closed list of failures.
	Kind = kinds.Kind
	// Answer is what a caller receives for a kind.
	Answer = kinds.Answer
	// Ran says what an answer promises about execution.
	Ran = kinds.Ran
)

// The promises of an answer.
const (
	RanNo      = kinds.RanNo      // it did not run: repeating it is safe
	RanUnknown = kinds.RanUnknown // it may have run: ask before repeating
	RanYes     = kinds.RanYes     // it ran
)

// Errors for errors.Is; each stands for every error of its kind.
var (
	// ErrConflict means that a conditional update lost against another writer.
	ErrConflict = kinds.New(kinds.Conflict, "another change came first")
	// ErrAmbiguous means that a write may have taken effect: read back.
	ErrAmbiguous = kinds.New(kinds.Ambiguous, "the write may have taken effect")
	// ErrBusy means that admission refused the request; nothing ran.
	ErrBusy = kinds.New(kinds.Busy, "the service is full")
	// ErrLate means that the deadline cannot be met; nothing ran.
	ErrLate = kinds.New(kinds.DeadlineMissed, "the deadline cannot be met")
)

// KindOf returns the kind of an error: none for nil.
func KindOf(err error) Kind { return kinds.Of(err) }
