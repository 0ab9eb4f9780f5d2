package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/intake"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// defaultBufferLimit is the largest body, in bytes, that is read whole before the request
// asks for admission. Otherwise a caller that sends a few bytes a second would hold one
// of a backend server's two or four slots meanwhile. Also, only a buffered body can be
// sent again after a refusal. Larger bodies are streamed.
const defaultBufferLimit = 16 << 10

// body is a request's body, either buffered or streamed.
type body struct {
	buffered []byte
	stream   io.Reader
	digest   *poison.Digest // of a stream of unknown length
	started  bool
	oversize bool           // a stream of unknown length that is too long to buffer
	failed   bool           // a part was read, and the rest cannot be
	hold     *intake.Body   // counts buffered; nil for a short body
	in       *timeoutReader // nil if none of the body was asked for
}

// readBody buffers a small body and prepares to stream a large one.
func (x *exchange) readBody() error {
	size := x.r.ContentLength
	if size == 0 || x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.f.limits().Body; limit > 0 {
		if size > limit {
			return x.finalUnlessStale(errBodyTooLarge)
		}
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	x.body.in = &timeoutReader{Reader: x.r.Body, rc: http.NewResponseController(x.w), timeout: x.f.limits().HeaderTimeout.Duration}
	if size > x.f.BufferLimit {
		x.body.stream = x.body.in
		return nil
	}
	if size < 0 {
		x.body.digest = poison.NewDigest(x.body.in)
		x.body.stream = x.body.digest
		return nil
	}
	return x.readWhole(x.body.in, int(size))
}

// growBy is the length in bytes up to which the buffer of a body grows step by step. A caller
// that sends no more holds no more.
const growBy = 128 << 10

// readWhole reads a body of a known length into memory, which is taken as the body arrives.
func (x *exchange) readWhole(in *timeoutReader, size int) error {
	if size > intake.FreeBody {
		x.body.hold = x.f.Bodies.Open(time.Now(), in.end)
		in.hold = x.body.hold
	}
	b := make([]byte, 0, min(size, intake.FreeBody))
	for len(b) < size {
		if len(b) == cap(b) {
			grown := min(2*cap(b), size)
			if grown > growBy {
				grown = size // what was copied so far is little beside the rest
			}
			if !x.body.hold.Grow(time.Now(), int64(grown-cap(b))) {
				return x.refuseBody()
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := in.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; err != nil && len(b) < size {
			return x.readFailed(err)
		}
		if x.body.hold != nil && n > 0 {
			x.body.hold.Progress(time.Now())
		}
	}
	if x.body.hold != nil && !x.body.hold.Complete() {
		return x.refuseBody() // its connection has the deadline that ended the read
	}
	x.body.buffered = b
	return nil
}

var errNoRoom = kinds.New(kinds.NoRoom, "the body does not fit into the memory for bodies")

// refuseBody refuses a request for lack of room, and ends its connection.
func (x *exchange) refuseBody() error {
	x.w.Header().Set("Connection", "close")
	return errNoRoom
}

// readFailed returns the error of a body that did not arrive whole.
func (x *exchange) readFailed(err error) error {
	if x.body.hold != nil && x.body.hold.GaveWay() {
		return x.refuseBody()
	}
	return kinds.Wrap(readErrorKind(err), err, "read body")
}

// discardTime bounds how long net/http may read what is left of a body once its request has been
// answered. It has no bound of its own, and the connection keeps its place meanwhile.
const discardTime = time.Second

// limitDiscard bounds the time for the rest of a body that was not read to its end.
func (x *exchange) limitDiscard() {
	unread := x.body.in == nil || !x.body.in.ended.Load() && x.body.buffered == nil
	if x.r.ContentLength != 0 && unread {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// releaseBody gives back the room of the body.
func (x *exchange) releaseBody() {
	if x.body.hold != nil {
		x.body.hold.Close()
	}
}

// readErrorKind distinguishes a caller that was too slow from one that went away.
func readErrorKind(err error) kinds.Kind {
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return kinds.DeadlineMissed
	}
	return kinds.Canceled
}

// reader returns the body for one attempt, and false if it is a stream that was already
// used or cannot be read.
func (b *body) reader() (io.Reader, bool) {
	if b.stream == nil {
		if b.buffered == nil {
			return nil, true
		}
		return bytes.NewReader(b.buffered), true
	}
	return streamReader{b}, !b.started && !b.failed
}

// streamReader reads a streamed body and records that reading began: after that no other
// attempt can send the whole body.
type streamReader struct{ b *body }

// Read reads the streamed body.
func (s streamReader) Read(p []byte) (int, error) {
	s.b.started = true
	return s.b.stream.Read(p)
}

// timeoutReader ends a read that returns nothing for too long. Without it a caller that
// stops in the middle of an upload would hold a slot for as long as it likes.
type timeoutReader struct {
	io.Reader
	rc      *http.ResponseController
	timeout time.Duration
	hold    *intake.Body // nil for a body that is not counted
	ended   atomic.Bool  // the body was read to its end
}

// end ends the read in progress.
func (r *timeoutReader) end() { _ = r.rc.SetReadDeadline(time.Unix(1, 0)) }

// Read reads with a timeout. It clears the deadline after each successful read and at the
// end: net/http goes on reading to notice a caller that disconnects, and would take an
// expired deadline for a disconnect.
func (r *timeoutReader) Read(b []byte) (int, error) {
	if r.timeout <= 0 {
		n, err := r.Reader.Read(b)
		r.ended.Store(r.ended.Load() || errors.Is(err, io.EOF))
		return n, err
	}
	_ = r.rc.SetReadDeadline(time.Now().Add(r.timeout))
	if r.hold != nil && r.hold.GaveWay() { // end may have come before the deadline above
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	if errors.Is(err, io.EOF) || err == nil {
		_ = r.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Limits on how slowly a caller may read an answer.
const (
	// writeTimeoutFactor is how many header timeouts a caller has to accept one write, of
	// at most 32 KiB. With a shorter timeout, a brief pause of a wireless link would end
	// an answer.
	writeTimeoutFactor = 4
	// noDeadlineLength is the longest answer, in bytes, that is written without a write
	// deadline: net/http buffers it, so the write does not block.
	noDeadlineLength = 4 << 10
)

// timeoutWriter ends a write of which the caller accepts nothing for too long. Without it
// a caller that asks for a large answer and stops reading would hold one of a backend
// server's two or four slots until the request's deadline.
type timeoutWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

// answerWriter returns a writer for an answer of the given length, -1 if unknown, and a
// function to call after the last write.
func (x *exchange) answerWriter(length int64) (http.ResponseWriter, func()) {
	if x.hold != nil {
		w := x.newCountingWriter(length)
		return w, w.end
	}
	timeout := writeTimeoutFactor * x.f.limits().HeaderTimeout.Duration
	if timeout <= 0 || length >= 0 && length <= noDeadlineLength {
		return x.w, func() {}
	}
	w := &timeoutWriter{ResponseWriter: x.w, rc: http.NewResponseController(x.w), timeout: timeout}
	return w, func() {
		// The next answer on the connection sets its own deadline.
		_ = w.rc.SetWriteDeadline(time.Time{})
	}
}

// Write writes with a timeout.
func (w *timeoutWriter) Write(b []byte) (int, error) {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(b)
}

// Flush sends buffered data with a timeout.
func (w *timeoutWriter) Flush() {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	_ = w.rc.Flush()
}

// errorBody is the JSON body of an answer that the system itself generates.
type errorBody struct {
	Kind string        `json:"kind"`
	Text string        `json:"text"`
	Ran  kinds.Ran     `json:"ran"`
	ID   ident.Request `json:"id"`
}

func (e errorBody) json() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		return nil // cannot happen: all fields are plain text
	}
	return append(b, '\n')
}
