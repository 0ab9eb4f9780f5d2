package object

// Era counts how often the store has returned from an older copy of its content. What was
// written after that copy is gone, and its revisions are given out again. Zero is the era of
// a store that never tells one.
type Era uint64

// A Version or a Cursor holds the era in its upper bits, so that of two the one of the later
// era is the greater, whatever their revisions.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
)

// NewVersion returns the version for a revision of an era.
func NewVersion(e Era, rev uint64) Version {
	return Version(e)<<revisionBits | Version(rev&maxRevision)
}

// Era returns the era in which the version was given out.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the version without its era.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }

// NewCursor returns the cursor for a revision of an era.
func NewCursor(e Era, rev uint64) Cursor { return Cursor(NewVersion(e, rev)) }

// Era returns the era in which the cursor was given out.
func (c Cursor) Era() Era { return Version(c).Era() }

// Revision returns the cursor without its era.
func (c Cursor) Revision() uint64 { return Version(c).Revision() }
