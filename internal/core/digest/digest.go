// Package digest names a value by its content, so that two processes can tell
// that they hold the same bytes without sending them.
//
// It is SHA-256 cut to 128 bits: a peer that answers with other bytes than it
// announced, by fault or by will, is found out, and an entry in a message stays
// short.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
)

// Sum is the digest of a value. The zero Sum names nothing.
type Sum [16]byte

// Of returns the digest of b.
func Of(b []byte) Sum {
	full := sha256.Sum256(b)
	return Sum(full[:len(Sum{})])
}

// IsZero reports whether s names nothing.
func (s Sum) IsZero() bool { return s == Sum{} }

// String returns the first half in hexadecimal, which is enough for a log line.
func (s Sum) String() string { return hex.EncodeToString(s[:8]) }
