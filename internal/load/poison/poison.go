// Package poison finds requests that crash the servers that run them, known as queries
// of death, and keeps them from reaching more.
//
// The load pattern: one request ends its server, its caller repeats it, and each attempt,
// at whichever entry VM, ends another server. A service of ten servers is gone within
// ten attempts, however few requests that is.
//
// A request is identified by what a repeat has in common with it, see [Fingerprint]. When a
// server breaks off under a request, the request is accused. Three accusations by the
// crashes of different servers quarantine it, unless it was answered in between: a
// request that crashes servers crashes each of them. An accusation is dropped when its
// server turns out to be alive, since connections also break for other reasons.
//
//	t := poison.NewTable()
//	t.Accuse(now, print, "server-1")
//	if left := t.Barred(now, print); left > 0 {
//		// refuse it, and say when to come back
//	}
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const part = 8 // bytes of each part of a print

// Head is the digest of a request line.
type Head [part]byte

// Body is the digest of a request's body.
type Body [part]byte

// Fingerprint identifies a request over all its attempts: the same method, host, path and
// query, body and caller. Ids and deadlines differ between attempts and are no part of it.
//
// A caller may be known by an address that differs between its attempts, so that each
// request is under suspicion twice: as this caller's, and as anybody's, see [Print.AnyCaller].
type Fingerprint [3 * part]byte

// HeadOf returns the digest of a request line.
func HeadOf(method, host, uri string) Head {
	h := sha256.New()
	var size [8]byte
	for _, s := range []string{method, host, uri} {
		// The length keeps two fields apart: "ab", "c" is not "a", "bc".
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:]) // a hash takes everything
		_, _ = io.WriteString(h, s)
	}
	return Head(h.Sum(nil)[:part])
}

// BodyOf returns the digest of a whole body.
func BodyOf(b []byte) Body {
	sum := sha256.Sum256(b)
	return Body(sum[:part])
}

// BodyOfLength stands for a body of which only the length is known before it is sent.
func BodyOfLength(n int64) Body {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	return BodyOf(b[:])
}

// Fingerprint returns the print of a caller's request with a body.
func (h Head) Fingerprint(caller string, b Body) Fingerprint {
	var p Fingerprint
	copy(p[:part], h[:])
	copy(p[part:], b[:])
	sum := sha256.Sum256([]byte(caller))
	copy(p[2*part:], sum[:])
	return p
}

// Head returns the part for the request line.
func (p Fingerprint) Head() Head { return Head(p[:part]) }

// AnyCaller returns the print of the same request, whoever sends it.
func (p Fingerprint) AnyCaller() Fingerprint {
	clear(p[2*part:])
	return p
}

// String renders the print for logs.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// MarshalText renders what UnmarshalText reads.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a print. Anything else is Malformed.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(p) {
		return kinds.New(kinds.Malformed, "print of a request")
	}
	*p = Fingerprint(b)
	return nil
}

// Digest is an [io.Reader] that takes the digest of a body as it is read. Body may be
// called while another goroutine still reads.
type Digest struct {
	from io.Reader
	mu   sync.Mutex
	sum  hash.Hash
	done bool
}

// NewDigest returns a reader of a body.
func NewDigest(from io.Reader) *Digest { return &Digest{from: from, sum: sha256.New()} }

// Read reads on.
func (d *Digest) Read(p []byte) (int, error) {
	n, err := d.from.Read(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.sum.Write(p[:n])
	d.done = d.done || err == io.EOF //nolint:errorlint // readers return it bare
	return n, err
}

// Body returns the digest, and false before the body was read to its end.
func (d *Digest) Body() (Body, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Body(d.sum.Sum(nil)[:part]), d.done
}
