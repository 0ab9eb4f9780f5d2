package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// What a server sends travels in frames: the length as two bytes, then the data. Four
// lengths have a meaning of their own. Without the frames, the end of the VM in between
// would look like the end of an answer.
const (
	frameEnd   = 0      // the server ended the connection in order
	frameReset = 0xFFFF // the server reset the connection
	frameDrain = 0xFFFE // the near end shall end the tunnel once no request is in flight
	// frameEndAt is frameEnd with the number of bytes that were passed on to the server until
	// then, in eight bytes. An answer without a length that comes before the whole request was
	// passed on may be a part.
	frameEndAt  = 0xFFFD
	frameHeader = 2
	maxFrame    = 16 << 10
)

// frameWriter writes what a server sends as frames.
type frameWriter struct {
	w   io.Writer
	end func() []byte // returns the last frame after the end of the stream
	buf [frameHeader + maxFrame]byte
}

// copyFrom sends all that can be read as frames, and then how it ended. Each time that a read
// deadline passes, it sends frameDrain.
func (f *frameWriter) copyFrom(from io.Reader) error {
	for {
		n, err := from.Read(f.buf[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(f.buf[:], uint16(n))
			if _, werr := f.w.Write(f.buf[:frameHeader+n]); werr != nil {
				return werr
			}
		}
		if err == nil {
			continue
		}
		drain := errors.Is(err, os.ErrDeadlineExceeded)
		control := controlFrame(frameReset)
		switch {
		case drain:
			control = controlFrame(frameDrain)
		case err == io.EOF: //nolint:errorlint // io.Reader returns io.EOF itself
			control = f.end()
		}
		if _, werr := f.w.Write(control); werr != nil || !drain {
			return werr
		}
	}
}

// controlFrame returns a frame without data.
func controlFrame(kind uint16) []byte { return binary.BigEndian.AppendUint16(nil, kind) }

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	r    *bufio.Reader
	via  string
	left int   // bytes of the current frame that were not read yet
	end  error // set once the server ended the connection, or the tunnel drained

	mu       sync.Mutex
	sent     uint64 // bytes that were, or are being, written
	requests int    // in flight
	draining bool   // the tunnel ends once no request is in flight
}

// Via returns the address of the VM that the tunnel goes through.
func (c *conn) Via() string { return c.via }

// StartRequest announces a request that will be written. It reports false if the connection
// must carry no more.
func (c *conn) StartRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.requests++
	return true
}

// FinishRequest records that a request has its whole answer. It reports whether the connection
// must be closed now.
func (c *conn) FinishRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	return c.draining && c.requests == 0
}

// drain lets the connection carry no further request, and reports whether none is in flight.
func (c *conn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	return c.requests == 0
}

// Write writes a part of a request. One that was not announced is in flight until the
// connection is closed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.requests, c.sent = max(c.requests, 1), c.sent+uint64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads what the server sent. If the VM in between asks for the end of the tunnel while no
// request is in flight, it closes the connection and returns [net.ErrClosed]. If the tunnel
// breaks, it returns [ErrBroken], which says nothing about the server.
func (c *conn) Read(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	for c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, broken(err)
}

// endAt reads how much was passed on to the server before it ended the connection. If that is
// not all, what it sent counts as reset.
func (c *conn) endAt() error {
	var count [8]byte
	if _, err := io.ReadFull(c.r, count[:]); err != nil {
		return broken(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = io.EOF
	if binary.BigEndian.Uint64(count[:]) < c.sent {
		c.end = syscall.ECONNRESET
	}
	return c.end
}

func (c *conn) nextFrame() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return broken(err)
	}
	switch n := binary.BigEndian.Uint16(header[:]); n {
	case frameEnd:
		c.end = io.EOF
	case frameReset:
		c.end = syscall.ECONNRESET
	case frameEndAt:
		return c.endAt()
	case frameDrain:
		if c.drain() {
			// After io.EOF, net/http would fail a POST that is about to be written, rather than
			// take another connection.
			c.end = errors.Join(net.ErrClosed, c.Conn.Close())
		}
	default:
		c.left = int(n)
	}
	return c.end
}
