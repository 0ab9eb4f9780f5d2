// Package digest computes short content hashes, so that two processes can check
// that they hold the same bytes without sending them.
//
// A digest is SHA-256 truncated to 128 bits. It reveals a peer that sends other
// bytes than it announced, by error or on purpose, and keeps messages short.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
)

// Sum is the digest of a value. The zero Sum is the digest of no value.
type Sum [16]byte

// Of returns the digest of b.
func Of(b []byte) Sum {
	full := sha256.Sum256(b)
	return Sum(full[:len(Sum{})])
}

// IsZero reports whether s is the zero Sum.
func (s Sum) IsZero() bool { return s == Sum{} }

// String returns the first 8 bytes in hexadecimal, which is enough for a log line.
func (s Sum) String() string { return hex.EncodeToString(s[:8]) }
