package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"
)

// What a server sends travels in frames: the length as two bytes, then the data. Two
// lengths have a meaning of their own. Without the frames, the end of the VM in between
// would look like the end of an answer.
const (
	frameEnd    = 0      // the server ended the connection in order
	frameReset  = 0xFFFF // the server reset the connection
	frameHeader = 2
	maxFrame    = 16 << 10
)

// frameWriter writes what a server sends as frames.
type frameWriter struct {
	w   io.Writer
	buf [frameHeader + maxFrame]byte
}

// copyFrom sends all that can be read as frames, and then how it ended.
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
		end := uint16(frameReset)
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			end = frameEnd
		}
		binary.BigEndian.PutUint16(f.buf[:], end)
		_, werr := f.w.Write(f.buf[:frameHeader])
		return werr
	}
}

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	r    *bufio.Reader
	via  string
	left int   // bytes of the current frame that were not read yet
	end  error // set once the server ended the connection
}

// Via returns the address of the VM that the tunnel goes through.
func (c *conn) Via() string { return c.via }

// Read reads what the server sent. If the tunnel breaks, it returns [ErrBroken], which says
// nothing about the server.
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
	default:
		c.left = int(n)
	}
	return c.end
}
