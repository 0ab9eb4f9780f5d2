package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// copySize is the most that one request holds of a body at a time, in each
// direction. Larger buffers gain nothing measurable on a local network.
const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// Copy passes the answer on to the caller and returns the bytes of its body.
// The error's kind is Truncated when the server's side broke off, Canceled when
// the caller's did. After an error the caller's connection must be aborted by
// panicking with http.ErrAbortHandler: a normal return would end a chunked
// answer properly, and a part would look like the whole.
func (a *Response) Copy(w http.ResponseWriter) (int64, error) {
	defer a.Close()
	h := w.Header()
	copyAnswer(h, a.resp.Header, a.names.Ran)
	for name := range a.resp.Trailer {
		h.Add("Trailer", name)
	}
	announced := len(a.resp.Trailer)
	w.WriteHeader(a.resp.StatusCode)
	n, err := a.copyBody(w)
	if err != nil {
		return n, err
	}
	a.copyTrailer(h, announced)
	return n, nil
}

// Buffer takes in a body of up to most bytes. A body that is longer, or has a
// trailer, stays to be streamed. The error says that the server broke off: the
// caller has seen nothing of the answer yet.
func (a *Response) Buffer(most int64) error {
	streams := a.resp.ContentLength < 0 && !a.names.CloseDelimited // it may be a stream of news
	if a.resp.ContentLength > most || streams || len(a.resp.Trailer) > 0 || a.resp.Body == http.NoBody {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(a.resp.Body, most+1))
	if err != nil {
		return &Failure{Kind: kinds.Truncated, Sent: true, err: err}
	}
	if int64(len(b)) > most {
		a.resp.Body = joined{io.MultiReader(bytes.NewReader(b), a.resp.Body), a.resp.Body}
		return nil
	}
	a.held = b
	return a.resp.Body.Close()
}

// joined reads what was taken in already and then the rest.
type joined struct {
	io.Reader
	io.Closer
}

// copyTrailer sets what the server sent after the body. Names that were not
// announced need net/http's prefix to be sent at all.
func (a *Response) copyTrailer(h http.Header, announced int) {
	prefix := ""
	if len(a.resp.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range a.resp.Trailer {
		h[prefix+name] = values
	}
}

func (a *Response) copyBody(w http.ResponseWriter) (int64, error) {
	if a.held != nil {
		n, err := w.Write(a.held)
		return int64(n), kinds.Wrap(kinds.Canceled, err, "write answer")
	}
	if a.resp.Body == http.NoBody {
		return 0, nil
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var flush http.Flusher
	if a.resp.ContentLength < 0 {
		flush, _ = w.(http.Flusher)
	}
	return pump(w, a.resp.Body, *buf, flush)
}

// pump copies until the end, and says whose side failed.
func pump(w io.Writer, r io.Reader, buf []byte, flush http.Flusher) (int64, error) {
	var total int64
	for {
		n, err := r.Read(buf)
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
			return total, kinds.Wrap(kinds.Truncated, err, "read answer")
		}
		if flush != nil {
			flush.Flush()
		}
	}
}
