package pipe

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Conn is a connection that is read ahead. net/http reads from it like from any other.
//
// While requests come one at a time, Read reads directly from the network. When something
// arrives behind a request that is being answered, a goroutine takes over reading from
// the network, and net/http gets the bytes that it has read.
type Conn struct {
	net.Conn
	reader *Reader

	mu           sync.Mutex
	scanner      scanner
	unread       []byte        // received, and not read by net/http yet
	arrivals     []arrival     // when the bytes of unread arrived
	arrivedAt    time.Time     // when the request that net/http reads now arrived, if it had to wait
	deadline     time.Time     // deadline of net/http's reads
	changed      chan struct{} // closed at the next change of the state
	handling     bool          // a handler is running
	onDisconnect func()        // tells that handler that the caller went away
	sendBuffer   int           // as set by LimitSendBuffer
	probed       []byte        // bytes that net/http's probe read before Begin
	closed       bool
	head         headCount
	inHead       bool // net/http waits for a head, or reads one
	// The connection's place among those that wait for their callers, and since when it has it;
	// the mutex of conns protects both.
	place      *list.Element
	waitsSince time.Time
	readAhead  // state of the reading ahead
}

// arrival says that n bytes arrived from a time on.
type arrival struct {
	n  int
	at time.Time
}

// Bytes that arrive within arrivalStep, or beyond maxArrivals pieces, count as arrived together:
// a caller may send its requests byte by byte.
const (
	arrivalStep = time.Millisecond
	maxArrivals = 4 * MaxPipelined
)

func newConn(c net.Conn, reader *Reader) *Conn {
	return &Conn{Conn: c, reader: reader, changed: make(chan struct{}), inHead: true}
}

// Read is called by net/http.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While a request that needs no more of its body is being answered, net/http reads a
	// single byte to notice a caller that disconnects. No other read at that point is so
	// short.
	probe := len(p) == 1 && (c.scanner.phase == afterHead || c.handling && c.scanner.atStart())
	c.awaitData()
	switch {
	case len(c.unread) > 0:
		n := c.readUnread(p, probe)
		if probe {
			return n, nil
		}
		return c.checkHead(p[:n], nil)
	case c.reading:
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.readDirect(p)
	if probe && n == 1 {
		c.handleProbe(p[0])
		return n, err
	}
	passed := c.scanner.advance(p[:n])
	c.appendUnread(p[passed:n])
	return c.checkHead(p[:passed], err)
}

// checkHead counts bytes that net/http is about to get, if they are of a head, and returns the
// result of its read.
func (c *Conn) checkHead(b []byte, err error) (int, error) {
	if why, ok := c.countHead(b); !ok {
		return 0, c.refuseHead(why)
	}
	return len(b), err
}

// awaitData waits for bytes from readLoop, at most until the deadline of net/http's read.
// The caller holds mu, here and below.
func (c *Conn) awaitData() {
	for len(c.unread) == 0 && c.reading {
		left := time.Duration(-1)
		if !c.deadline.IsZero() {
			if left = time.Until(c.deadline); left <= 0 {
				return
			}
		}
		c.wait(left)
	}
}

// wait waits for a change, at most for the given time unless that is negative.
func (c *Conn) wait(timeout time.Duration) {
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	if timeout < 0 {
		<-changed
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (c *Conn) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// readDirect reads from the network.
func (c *Conn) readDirect(p []byte) (int, error) {
	limit := c.scanner.maxRead(len(p))
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Read(p[:limit])
}

// readUnread copies bytes that were received before, of one message only.
func (c *Conn) readUnread(p []byte, probe bool) int {
	if c.scanner.phase == inHead && c.arrivedAt.IsZero() {
		c.arrivedAt = c.arrivals[0].at
	}
	n := copy(p, c.unread)
	if !probe {
		n = c.scanner.advance(p[:n])
	}
	c.unread = c.unread[n:]
	for left := n; left > 0; {
		used := min(left, c.arrivals[0].n)
		left -= used
		if c.arrivals[0].n -= used; c.arrivals[0].n == 0 {
			c.arrivals = c.arrivals[1:]
		}
	}
	if probe {
		c.handleProbe(p[0])
	}
	c.notify()
	return n
}

// appendUnread appends bytes that were just received.
func (c *Conn) appendUnread(b []byte) {
	if len(b) == 0 {
		return
	}
	c.unread = append(c.unread, b...)
	now := time.Now()
	if n := len(c.arrivals); n > 0 && (n >= maxArrivals || now.Sub(c.arrivals[n-1].at) < arrivalStep) {
		c.arrivals[n-1].n += len(b)
		return
	}
	c.arrivals = append(c.arrivals, arrival{len(b), now})
}

// handleProbe handles the first byte behind a request that is being answered. Until the
// handler was given that request, it is not known whether it has a body or closes the
// connection.
func (c *Conn) handleProbe(b byte) {
	if c.scanner.phase == afterHead {
		c.probed = append(c.probed, b)
		return
	}
	c.scanner.advance([]byte{b})
	c.startReading(b)
}

// SetReadDeadline sets the deadline of net/http's reads; it does not affect readLoop.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.reading {
		c.notify()
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection and cancels the requests that were started for it.
func (c *Conn) Close() error {
	c.mu.Lock()
	if len(c.unread) > 0 && !c.closed && !c.disconnected {
		c.reader.dropped.Add(1)
	}
	c.end()
	c.mu.Unlock()
	c.reader.conns.remove(c)
	return c.Conn.Close()
}

// end gives back what the connection holds and cancels the requests that were started for it.
// The caller holds mu.
func (c *Conn) end() {
	if !c.handling && !c.closed {
		c.releaseHead()
	}
	c.closed = true
	c.cancelStarted()
	c.stopping = true
	c.notify()
}

// Begin must be called by the handler when it is given a request. It returns the Run of
// the request if it was started already, otherwise nil, and when the request arrived if
// it had to wait to be read, otherwise the zero time. Call Done when the request has been
// answered.
func (c *Conn) Begin(r *http.Request) (*Run, time.Time) {
	if c == nil {
		return nil, time.Time{}
	}
	c.reader.conns.serve(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.inHead = true, false
	arrived := c.arrivedAt
	c.arrivedAt = time.Time{}
	c.scanner.begin(r)
	probed := c.probed
	c.probed = nil
	run := c.takeStarted(r)
	if run != nil {
		arrived = run.arrivedAt
	}
	for _, b := range probed {
		c.scanner.advance([]byte{b})
		c.startReading(b)
	}
	return run, arrived
}

// OnDisconnect sets a function to call when the caller goes away. net/http notices that
// itself only until a further request arrives.
func (c *Conn) OnDisconnect(onDisconnect context.CancelFunc) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = onDisconnect
	if c.disconnected {
		onDisconnect()
	}
}

// LimitSendBuffer limits the bytes that the kernel accepts for the caller beyond those that
// the caller has acknowledged; Linux may accept twice the number. Without a limit it accepts
// several megabytes.
func (c *Conn) LimitSendBuffer(bytes int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok && c.sendBuffer != bytes {
		c.sendBuffer = bytes
		_ = tcp.SetWriteBuffer(bytes) // fails only on a closed connection
	}
}

// Done must be called when the handler has finished.
func (c *Conn) Done() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.onDisconnect = false, nil
	c.releaseHead()
	c.stopIfIdle()
}

// HasPending reports whether requests wait for their turn: started ones, and those that were
// received up to the end of their heads. The connection must stay open until they have been
// answered.
func (c *Conn) HasPending() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}

// EndReading reads no further requests ahead, because the connection ends with the current
// answer. It returns false, and reads on, if requests wait for their turn.
func (c *Conn) EndReading() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending() {
		return false
	}
	c.stopIfIdle()
	return true
}

// pending is HasPending for a caller that holds mu.
func (c *Conn) pending() bool {
	return len(c.started) > 0 || c.scanner.phase == afterHead || bytes.Contains(c.behindBody(), []byte(endOfHead))
}

// behindBody returns the unread bytes behind the body of the current request, as far as it is
// known where that ends. The caller holds mu.
func (c *Conn) behindBody() []byte {
	switch c.scanner.phase {
	case inHead:
		return c.unread
	case inBody:
		return c.unread[min(int64(len(c.unread)), c.scanner.bodyLeft):]
	}
	return nil
}
