// Package poison finds requests that crash the servers that run them, known as queries of
// death, and keeps them from reaching more servers.
//
// The load pattern: one request crashes its server, its caller repeats it, and each
// attempt, at whichever entry VM, crashes another server. A service of ten servers is gone
// within ten attempts, however few requests that is.
//
// A request is identified by a [Fingerprint] of what all its attempts have in common. When
// a server breaks the connection while it runs a request, the request gets a crash on
// record. Crashes of [CrashThreshold] different servers quarantine the request, unless it
// was answered in between: a request that crashes servers crashes each of them. Connections
// also break for other reasons, so a crash is dropped when its server turns out to be
// alive.
//
//	t := poison.NewTable()
//	t.RecordCrash(now, fingerprint, "server-1")
//	if left := t.QuarantineLeft(now, fingerprint); left > 0 {
//		// Refuse the request and ask its caller to come back after left.
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

const partSize = 8 // bytes of each of the three parts of a fingerprint

// Head is the digest of a request line: method, host, path and query.
type Head [partSize]byte

// Body is the digest of a request's body.
type Body [partSize]byte

// Fingerprint identifies a request over all its attempts by its method, host, path and
// query, body and caller. Ids and deadlines differ between attempts and are not included.
//
// A caller may be known by an address that differs between its attempts. So each request is
// tracked twice: for its caller, and for any caller, see [Fingerprint.AnyCaller].
type Fingerprint [3 * partSize]byte

// HeadOf returns the digest of a request line.
func HeadOf(method, host, uri string) Head {
	h := sha256.New()
	var size [8]byte
	for _, s := range []string{method, host, uri} {
		// The length separates the fields: "ab", "c" must not equal "a", "bc".
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:]) // a hash never fails
		_, _ = io.WriteString(h, s)
	}
	return Head(h.Sum(nil)[:partSize])
}

// BodyOf returns the digest of a complete body.
func BodyOf(b []byte) Body {
	sum := sha256.Sum256(b)
	return Body(sum[:partSize])
}

// BodyOfLength returns a substitute digest for a body of which only the length in bytes is
// known before it is sent.
func BodyOfLength(n int64) Body {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	return BodyOf(b[:])
}

// Fingerprint returns the fingerprint of a caller's request with a body.
func (h Head) Fingerprint(caller string, b Body) Fingerprint {
	var fp Fingerprint
	copy(fp[:partSize], h[:])
	copy(fp[partSize:], b[:])
	sum := sha256.Sum256([]byte(caller))
	copy(fp[2*partSize:], sum[:])
	return fp
}

// Head returns the digest of the request line.
func (fp Fingerprint) Head() Head { return Head(fp[:partSize]) }

// AnyCaller returns the fingerprint of the same request from any caller.
func (fp Fingerprint) AnyCaller() Fingerprint {
	clear(fp[2*partSize:])
	return fp
}

// String returns the fingerprint as 48 hex digits.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (fp Fingerprint) MarshalText() ([]byte, error) { return []byte(fp.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. It returns a [kinds.Malformed] error
// unless the text is 48 hex digits.
func (fp *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(fp) {
		return kinds.New(kinds.Malformed, "request fingerprint is not 48 hex digits")
	}
	*fp = Fingerprint(b)
	return nil
}

// Digest is an [io.Reader] that computes the digest of a body while it is read. Body may be
// called while another goroutine still reads.
type Digest struct {
	src      io.Reader
	mu       sync.Mutex
	hash     hash.Hash
	complete bool
}

// NewDigest returns a Digest that reads a body from an underlying reader.
func NewDigest(from io.Reader) *Digest { return &Digest{src: from, hash: sha256.New()} }

// Read implements [io.Reader].
func (d *Digest) Read(p []byte) (int, error) {
	n, err := d.src.Read(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.hash.Write(p[:n])
	d.complete = d.complete || err == io.EOF //nolint:errorlint // readers return io.EOF unwrapped
	return n, err
}

// Body returns the digest of what was read so far, and whether that is the whole body.
func (d *Digest) Body() (Body, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Body(d.hash.Sum(nil)[:partSize]), d.complete
}
