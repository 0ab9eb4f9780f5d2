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
	"strings"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const partSize = 8 // bytes of each of the four parts of a fingerprint

// pathDigest is the digest of host and path.
type pathDigest [partSize]byte

// Head identifies a request line: the digest of host and path, and that of method and
// query.
type Head struct{ path, line [partSize]byte }

// Body is the digest of a request's body.
type Body [partSize]byte

// Fingerprint identifies a request over all its attempts by its host and path, body, method
// and query, and caller. Ids and deadlines differ between attempts and are not included.
//
// A caller may be known by an address that differs between its attempts, and so may the
// query. So each request is tracked three times: for its caller, for any caller, and for
// its caller with any query, see [Fingerprint.AnyCaller] and [Fingerprint.AnyQuery].
type Fingerprint [4 * partSize]byte

// Offsets of the parts of a fingerprint.
const (
	bodyAt   = partSize
	lineAt   = 2 * partSize
	callerAt = 3 * partSize
)

// HeadOf returns the digests of a request line.
func HeadOf(method, host, uri string) Head {
	path, _, _ := strings.Cut(uri, "?")
	return Head{path: digestOf(host, path), line: digestOf(method, uri[len(path):])}
}

func digestOf(fields ...string) [partSize]byte {
	b := make([]byte, 0, 256) // on the stack, as most request lines fit
	for _, s := range fields {
		// The length separates the fields: "ab", "c" must not equal "a", "bc".
		b = binary.BigEndian.AppendUint64(b, uint64(len(s)))
		b = append(b, s...)
	}
	sum := sha256.Sum256(b)
	return [partSize]byte(sum[:])
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
	copy(fp[:], h.path[:])
	copy(fp[bodyAt:], b[:])
	copy(fp[lineAt:], h.line[:])
	sum := sha256.Sum256([]byte(caller))
	copy(fp[callerAt:], sum[:])
	return fp
}

// Head returns the digests of the request line.
func (fp Fingerprint) Head() Head {
	return Head{path: fp.path(), line: [partSize]byte(fp[lineAt:])}
}

func (fp Fingerprint) path() pathDigest { return pathDigest(fp[:]) }

// AnyCaller returns the fingerprint of the same request from any caller.
func (fp Fingerprint) AnyCaller() Fingerprint {
	clear(fp[callerAt:])
	return fp
}

// AnyQuery returns the fingerprint of the caller's requests for the same path and with the
// same body, whatever their method and query.
func (fp Fingerprint) AnyQuery() Fingerprint {
	clear(fp[lineAt:callerAt])
	return fp
}

// Common returns what all attempts of a request have in common: host, path and body.
func (fp Fingerprint) Common() Fingerprint { return fp.AnyQuery().AnyCaller() }

// Print returns the text of the common part, under which a request is logged.
func (fp Fingerprint) Print() string { return hex.EncodeToString(fp[:lineAt]) }

// from returns the fingerprint of the same request from another one's caller.
func (fp Fingerprint) from(other Fingerprint) Fingerprint {
	copy(fp[callerAt:], other[callerAt:])
	return fp
}

// String returns the fingerprint as 64 hex digits, or as the 48 that it was read from.
func (fp Fingerprint) String() string {
	if fp.withoutPath() {
		return hex.EncodeToString(fp[:lineAt]) + hex.EncodeToString(fp[callerAt:])
	}
	return hex.EncodeToString(fp[:])
}

// MarshalText implements [encoding.TextMarshaler].
func (fp Fingerprint) MarshalText() ([]byte, error) { return []byte(fp.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. It returns a [kinds.Malformed] error
// unless the text is that of a fingerprint or of its common part, see [Fingerprint.Print].
func (fp *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	switch {
	case err == nil && (len(b) == len(fp) || len(b) == lineAt):
		*fp = Fingerprint{}
		copy(fp[:], b)
		return nil
	case err == nil && len(b) == oldSize:
		*fp = fromOld(b)
		return nil
	}
	return kinds.New(kinds.Malformed, "request fingerprint is not 64, 48 or 32 hex digits")
}

// Digest is an [io.Reader] that computes the digest of a body while it is read. Body and
// Size may be called while another goroutine still reads.
type Digest struct {
	src      io.Reader
	mu       sync.Mutex
	hash     hash.Hash
	size     int64
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
	d.size += int64(n)
	d.complete = d.complete || err == io.EOF //nolint:errorlint // readers return io.EOF unwrapped
	return n, err
}

// Body returns the digest of what was read so far, and whether that is the whole body.
func (d *Digest) Body() (Body, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Body(d.hash.Sum(nil)[:partSize]), d.complete
}

// Size returns the number of bytes read so far.
func (d *Digest) Size() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.size
}
