package dial

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// conn is a direct connection to a server. It reports to the monitor when a request begins
// to wait for its answer and when data arrives.
type conn struct {
	net.Conn
	dialer *Dialer
	to     netip.AddrPort

	mu      sync.Mutex
	waiting bool
	closed  bool
}

// Write sends data, after which the connection waits for an answer.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if !c.waiting && !c.closed {
		c.waiting = true
		c.dialer.mu.Lock()
		c.dialer.monitor.Sent(time.Now(), c.to)
		c.dialer.mu.Unlock()
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads data; the first of an answer ends the wait for it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received()
	}
	return n, err
}

// received records that data arrived.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialer.mu.Lock()
	if c.waiting {
		c.dialer.monitor.Answered(time.Now(), c.to)
	} else {
		c.dialer.monitor.Received(time.Now(), c.to)
	}
	c.dialer.mu.Unlock()
	c.endWait()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.endWait()
	c.mu.Unlock()
	return c.Conn.Close()
}

// endWait records that no answer is awaited. The caller holds mu.
func (c *conn) endWait() {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.dialer.mu.Lock()
	c.dialer.monitor.Ended(c.to)
	c.dialer.mu.Unlock()
}
