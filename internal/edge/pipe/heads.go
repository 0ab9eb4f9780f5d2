package pipe

import (
	"bytes"
	"io"
	"net"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/intake"
)

// HeadFault says why the head of a request is not read on.
type HeadFault int

// Faults of heads.
const (
	HeadTooLong HeadFault = iota // it exceeds the limit by far
	NoHeadRoom                   // this VM has no room for it now
)

const (
	// longHead is how many times the limit a head may be long before it is not read on, and
	// longHeadSlack how many bytes more. A head that exceeds the limit by less is judged by the
	// handler, which counts without optional white space.
	longHead      = 2
	longHeadSlack = 4 << 10
	// refusalTime bounds the time for a refusal to be taken, and maxLinger the bytes that are
	// read meanwhile: a connection that is closed with bytes unread is reset, which may destroy
	// the refusal.
	refusalTime = 500 * time.Millisecond
	maxLinger   = 64 << 10
)

// headCount counts the head that net/http is reading.
type headCount struct {
	bytes   int
	lines   int
	counted int64  // memory that is taken for it
	tail    []byte // its last bytes, where the scanner does not know where it ends
}

// countHead counts bytes that net/http gets while it reads a head, and reports a fault. What it
// reads of a body, during a request or to be rid of the rest, is not counted. The caller holds
// mu, here and below.
func (c *Conn) countHead(b []byte) (HeadFault, bool) {
	if !c.inHead || c.closed {
		return 0, true
	}
	if c.scanner.phase == unknown {
		b = c.untilHeadEnds(b)
	}
	c.head.bytes += len(b)
	c.head.lines += bytes.Count(b, []byte{'\n'})
	if limit := c.reader.headLimit(); limit > 0 && c.head.bytes > longHead*limit+longHeadSlack {
		c.reader.longHeads.Add(1)
		return HeadTooLong, false
	}
	return NoHeadRoom, c.takeHeadRoom()
}

// untilHeadEnds returns the part of the bytes that may be of a head, where the scanner does not
// know: net/http may have got the beginning of the head with what came before.
func (c *Conn) untilHeadEnds(b []byte) []byte {
	joined := append(c.head.tail, b...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(joined, []byte(end)); i >= 0 {
			c.inHead = false
			joined = joined[:i+len(end)]
		}
	}
	b = b[:max(len(joined)-len(c.head.tail), 0)]
	c.head.tail = bytes.Clone(joined[max(len(joined)-2, 0):])
	return b
}

// takeHeadRoom takes memory for what has come of the head.
func (c *Conn) takeHeadRoom() bool {
	need := intake.HeadBytes(c.head.bytes, c.head.lines) - c.head.counted
	if need <= 0 {
		return true
	}
	if !c.reader.Heads.Acquire(need) {
		return false
	}
	c.head.counted += need
	return true
}

// releaseHead gives the memory of the head back.
func (c *Conn) releaseHead() {
	c.reader.Heads.Release(c.head.counted)
	c.head = headCount{}
}

// refuseHead answers a request whose head is not read on, and ends the connection.
func (c *Conn) refuseHead(why HeadFault) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	defer c.Conn.Close() // net/http must not answer as well
	if c.reader.RefuseHead == nil {
		return io.EOF
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := c.Conn.Write(c.reader.RefuseHead(why)); err != nil {
		return io.EOF
	}
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLinger)
	return io.EOF
}

// startHead notes that the next bytes that net/http reads are of a head.
func (c *Conn) startHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.inHead = true
}

func (r *Reader) headLimit() int {
	if r.HeadLimit == nil {
		return 0
	}
	return r.HeadLimit()
}
