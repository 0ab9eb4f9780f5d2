package reply

import (
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Outgoing follows the requests that are written to a connection. An answer without a length is
// whole only if its connection ended after the whole request had been written. The zero value is
// ready to use.
type Outgoing struct {
	Writes

	mu      sync.Mutex
	part    part  // to which the next byte belongs
	length  int64 // of the body; -1 if it is chunked
	left    int64 // bytes of a body with a length, or of the chunk
	lineLen int   // bytes of the line so far
	size    []byte
}

// part is a part of a request in the format of RFC 9112.
type part int

const (
	partHead part = iota
	partBody
	partChunkSize
	partChunk // with the line end behind it
	partTrailer
	partEnd
)

// lineEndLen is the length of a line end in bytes.
const lineEndLen = 2

// Begin begins the next request on the connection, of which nothing has been written yet.
func (o *Outgoing) Begin(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.part, o.lineLen, o.length = partHead, 0, r.ContentLength
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		o.length = 0
	case r.ContentLength == 0:
		o.length = -1
	}
}

// WriteTo writes a part of the request to the connection.
func (o *Outgoing) WriteTo(conn io.Writer, b []byte) (int, error) {
	return o.Writes.WriteTo(followedConn{conn, o}, b)
}

// followedConn follows what is written to a connection before the write ends.
type followedConn struct {
	io.Writer
	out *Outgoing
}

// Write writes to the connection.
func (c followedConn) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.out.follow(b[:n])
	return n, err
}

func (o *Outgoing) follow(b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(b) > 0 {
		switch o.part {
		case partEnd:
			return
		case partBody, partChunk:
			n := min(int64(len(b)), o.left)
			b, o.left = b[n:], o.left-n
			o.endBody()
		default:
			o.followLine(b[0])
			b = b[1:]
		}
	}
}

// endBody goes on to the next part once the body or the chunk has been written.
func (o *Outgoing) endBody() {
	switch {
	case o.left > 0:
	case o.part == partBody:
		o.part = partEnd
	default:
		o.part = partChunkSize
	}
}

// followLine follows a byte of a line.
func (o *Outgoing) followLine(c byte) {
	switch {
	case c == '\n':
		o.endLine()
		o.lineLen, o.size = 0, o.size[:0]
	case c != '\r':
		o.lineLen++
		if o.part == partChunkSize {
			o.size = append(o.size, c)
		}
	}
}

// endLine goes on to the next part if a line ends one.
func (o *Outgoing) endLine() {
	switch {
	case o.part == partChunkSize:
		size, err := strconv.ParseInt(string(o.size), 16, 64)
		switch {
		case err != nil: // the end of this request will not be found
		case size == 0:
			o.part = partTrailer
		default:
			o.part, o.left = partChunk, size+lineEndLen
		}
	case o.lineLen > 0:
	case o.part == partTrailer:
		o.part = partEnd
	case o.length < 0:
		o.part = partChunkSize
	default:
		o.part, o.left = partBody, o.length
		o.endBody()
	}
}

// Whole returns nil if the whole request has been written, and otherwise an error: [ErrPart], or
// that with which a write failed. It waits for a write that is in progress.
func (o *Outgoing) Whole() error {
	if _, err := o.AtEnd(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.part != partEnd {
		return ErrPart
	}
	return nil
}
