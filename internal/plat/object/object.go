// Package object defines the interface to the platform's object store: small named
// values with versions, conditional updates and watches. All state that is durable
// or that VMs must agree on is stored there.
//
// The store has outages, and a response can be lost after the write took effect.
// Implementations therefore distinguish three errors of a write: Conflict and
// Unavailable mean that it certainly did not happen, Ambiguous that it may have
// happened. After Ambiguous, a caller of Put or Delete reads the object again to
// find out whether its own write took effect.
package object

import "context"

// Version counts the updates of one object. Zero means that it does not exist.
type Version uint64

// AnyVersion makes Put unconditional. It is not used for state that VMs must agree
// on.
const AnyVersion = ^Version(0)

// Cursor is a position in the store's sequence of changes.
type Cursor uint64

// MaxValue is the size limit of a value in bytes.
const MaxValue = 1 << 20

// Object is one named value.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Change is one event of a watch. A deleted object has Version zero. No version of the object up
// to At but its own exists any more, while later ones may: the answer that holds a deletion may
// also hold the object that was written after it. At is zero if the store does not tell.
type Change struct {
	Object
	At Cursor `json:"at"`
}

// Store is the object store.
//
// Errors have one of the kinds NotFound, Conflict, TooLarge, Ambiguous, Unavailable
// and Malformed.
type Store interface {
	// Get reads an object. The error has kind NotFound if it does not exist.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the value if the object's version is still old and returns the
	// new version. Old is zero for an object that must not exist yet. The error
	// has kind Conflict if the version differs.
	Put(ctx context.Context, name string, value []byte, old Version) (Version, error)
	// Delete removes the object if its version is still old.
	Delete(ctx context.Context, name string, old Version) error
	// List returns all objects whose name begins with prefix, in name order,
	// and the cursor from which a watch continues without a gap.
	List(ctx context.Context, prefix string) ([]Object, Cursor, error)
	// Watch waits until an object under prefix changes after the cursor, or until
	// the platform or [WithWait] ends the wait, and returns the changes and the next cursor.
	// An error of kind NotFound means that the cursor is too old: call List again.
	Watch(ctx context.Context, prefix string, after Cursor) ([]Change, Cursor, error)
}
