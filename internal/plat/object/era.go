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

// EraMark is an era as stored within an object. The zero value says that the writer did not
// know of eras.
type EraMark uint64

// MarkOf returns the mark of an era.
func MarkOf(e Era) EraMark { return EraMark(e) + 1 }

// Era returns the marked era, zero if there is none.
func (m EraMark) Era() Era { return Era(max(m, 1) - 1) }

// Is reports whether the object was written in an era. Writers that do not know of eras are
// those of before the store's first return.
func (m EraMark) Is(e Era) bool { return m == MarkOf(e) || m == 0 && e <= 1 }
