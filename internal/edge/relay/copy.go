package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// copySize is the size, in bytes, of the copy buffer that a request uses in each
// direction. Larger buffers gain nothing measurable on a local network.
const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// Copy copies the answer to the caller and returns the number of body bytes copied. The
// error's kind is Truncated, with a Failure, if the server's side failed, Canceled if the
// caller's did.
// After an error the caller's connection must be aborted by panicking with
// http.ErrAbortHandler: a normal return would end a chunked answer properly, and a
// partial answer would look complete.
func (r *Response) Copy(w http.ResponseWriter) (int64, error) {
	defer r.Close()
	h := w.Header()
	copyResponseHeader(h, r.resp.Header, r.headers.Ran)
	for name := range r.resp.Trailer {
		h.Add("Trailer", name)
	}
	announced := len(r.resp.Trailer)
	w.WriteHeader(r.resp.StatusCode)
	n, err := r.copyBody(w)
	if err != nil {
		return n, err
	}
	r.copyTrailer(h, announced)
	return n, nil
}

// firstRead is how many bytes of a longer answer are read before any of it is passed on.
const firstRead = 4 << 10

// Buffer reads the body into memory if it is at most limit bytes long. Of a longer body, one
// with a trailer, and one of unknown length (unless CloseDelimited is set) it reads the first
// bytes and leaves the rest to be streamed. The error says that the server broke off before
// the caller has seen any of the answer.
func (r *Response) Buffer(limit int64) error {
	if r.resp.Body == http.NoBody {
		return nil
	}
	streams := r.resp.ContentLength < 0 && !r.headers.CloseDelimited // it may be a stream of events
	if r.resp.ContentLength > limit || streams || len(r.resp.Trailer) > 0 {
		return r.bufferFirst()
	}
	b, err := io.ReadAll(io.LimitReader(r.resp.Body, limit+1))
	if err != nil {
		return newTruncated(err)
	}
	if int64(len(b)) > limit {
		r.resp.Body = joinedBody{io.MultiReader(bytes.NewReader(b), r.resp.Body), r.resp.Body}
		return nil
	}
	r.buffered = b
	return r.resp.Body.Close()
}

// bufferFirst reads the first bytes of the body.
func (r *Response) bufferFirst() error {
	b := make([]byte, firstRead)
	n, err := r.resp.Body.Read(b)
	for n == 0 && err == nil {
		n, err = r.resp.Body.Read(b)
	}
	if n == 0 && !errors.Is(err, io.EOF) {
		return newTruncated(err)
	}
	rest := io.Reader(r.resp.Body)
	if err != nil {
		rest = errorReader{err}
	}
	r.resp.Body = joinedBody{io.MultiReader(bytes.NewReader(b[:n]), rest), r.resp.Body}
	return nil
}

// errorReader fails with the error that a body returned with its first bytes.
type errorReader struct{ err error }

// Read returns the error.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// joinedBody reads the bytes that Buffer has read, and then the rest of the body.
type joinedBody struct {
	io.Reader
	io.Closer
}

// copyTrailer sets the trailers that the server sent, but those that are about the connection,
// the framing, or only the system's to set. Names that were not announced need
// http.TrailerPrefix to be sent at all.
func (r *Response) copyTrailer(h http.Header, announced int) {
	stripHop(r.resp.Trailer)
	for _, name := range []string{"Content-Length", r.headers.Ran, r.headers.ID} {
		delete(r.resp.Trailer, name)
	}
	prefix := ""
	if len(r.resp.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range r.resp.Trailer {
		h[prefix+name] = values
	}
}

// copyBody copies the body, and flushes after each read if its length is unknown.
func (r *Response) copyBody(w http.ResponseWriter) (int64, error) {
	if r.buffered != nil {
		n, err := w.Write(r.buffered)
		return int64(n), kinds.Wrap(kinds.Canceled, err, "write answer")
	}
	if r.resp.Body == http.NoBody {
		return 0, nil
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var flush http.Flusher
	if r.resp.ContentLength < 0 {
		flush, _ = w.(http.Flusher)
	}
	return copyStream(w, r.resp.Body, *buf, flush, r.maxBody)
}

// copyStream copies until the end of the body, which must come within limit bytes. The kind
// of the error says whose side failed.
func copyStream(w io.Writer, r io.Reader, buf []byte, flush http.Flusher, limit int64) (int64, error) {
	var total int64
	for {
		n, err := r.Read(buf)
		if total+int64(n) > limit {
			return total, newTruncated(errTooLong)
		}
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return total, kinds.Wrap(kinds.Canceled, werr, "write answer")
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, newTruncated(err)
		}
		if flush != nil {
			flush.Flush()
		}
	}
}
