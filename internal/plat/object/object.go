// Package object is the narrow interface to the platform's object API: small
// named values with versions, conditional updates and watches. Everything that
// must be agreed or kept goes through it.
//
// The API has outages, and an answer can be lost after the write took effect.
// Implementations therefore tell three failures of a write apart: it certainly
// did not happen (Conflict, Down), it may have happened (Ambiguous). A caller
// of Put or Delete that gets Ambiguous reads back and looks for its own mark.
package object

import "context"

// Version counts the updates of one object. Zero means that it does not exist.
type Version uint64

// AnyVersion asks Put not to compare versions. Nothing that is agreed uses it.
const AnyVersion = ^Version(0)

// Cursor marks a place in the store's sequence of changes.
type Cursor uint64

// MaxValue is the largest value the platform holds, in bytes.
const MaxValue = 1 << 20

// Object is one named value.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Change is one event of a watch. A deleted object has Version zero.
type Change struct {
	Object
	At Cursor `json:"at"`
}

// Store is the object API.
//
// Errors carry a kind: Absent, Conflict, TooLarge, Ambiguous, Down, Malformed.
type Store interface {
	// Get reads an object; kind Absent when there is none.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the value if the object's version is still old (zero: if it
	// does not exist) and returns the new version; kind Conflict otherwise.
	Put(ctx context.Context, name string, value []byte, old Version) (Version, error)
	// Delete removes the object if its version is still old.
	Delete(ctx context.Context, name string, old Version) error
	// List returns all objects whose name begins with prefix, in name order,
	// and the cursor from which a watch continues without a gap.
	List(ctx context.Context, prefix string) ([]Object, Cursor, error)
	// Watch waits until something under prefix changed after the cursor, or
	// until the platform ends the wait, and returns the changes and the next
	// cursor. Kind Absent means the cursor is too old: List again.
	Watch(ctx context.Context, prefix string, after Cursor) ([]Change, Cursor, error)
}
