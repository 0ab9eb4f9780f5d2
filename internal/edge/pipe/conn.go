package pipe

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Conn is a connection that is read ahead. net/http reads it like any other.
//
// While requests come one by one, a Read goes to the network as it is. When something
// arrives behind a request that is being answered, a duty takes over reading, and
// net/http gets what it has read.
type Conn struct {
	net.Conn
	reader *Reader

	mu       sync.Mutex
	scan     scan
	in       []byte        // received, and not read by net/http yet
	marks    []mark        // when the bytes of in came
	came     time.Time     // when the request that net/http reads now came, if it had to wait
	deadline time.Time     // of net/http's reads
	news     chan struct{} // closed at the next change that a reader may wait for
	active   bool          // a handler runs
	leave    func()        // tells that handler that the caller went away
	early    []byte        // what net/http's probe found before Begin
	lookout                // of what is read ahead
}

// mark says that so many bytes came at a time.
type mark struct {
	n  int
	at time.Time
}

func newConn(c net.Conn, a *Reader) *Conn {
	return &Conn{Conn: c, reader: a, news: make(chan struct{})}
}

// Read is net/http's.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While it answers a request that needs no more of its body, net/http reads a single
	// byte to notice a caller that hangs up. No other read is so short there.
	probe := len(p) == 1 && (c.scan.phase == between || c.active && c.scan.atStart())
	c.await()
	switch {
	case len(c.in) > 0:
		return c.held(p, probe), nil
	case c.pumping:
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.direct(p)
	if probe && n == 1 {
		c.probed(p[0])
		return n, err
	}
	pass := c.scan.pass(p[:n])
	c.keep(p[pass:n])
	return pass, err
}

// await waits for the duty that reads, as long as net/http's read may. The caller holds
// mu, here and below.
func (c *Conn) await() {
	for len(c.in) == 0 && c.pumping {
		left := time.Duration(-1)
		if !c.deadline.IsZero() {
			if left = time.Until(c.deadline); left <= 0 {
				return
			}
		}
		c.wait(left)
	}
}

// wait waits for a change, no longer than a time that is not negative.
func (c *Conn) wait(most time.Duration) {
	news := c.news
	c.mu.Unlock()
	defer c.mu.Lock()
	if most < 0 {
		<-news
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	}
}

func (c *Conn) wake() {
	close(c.news)
	c.news = make(chan struct{})
}

// direct reads the network.
func (c *Conn) direct(p []byte) (int, error) {
	most := c.scan.most(len(p))
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Read(p[:most])
}

// held gives net/http what was received already, of one message only.
func (c *Conn) held(p []byte, probe bool) int {
	if c.scan.phase == inHead && c.came.IsZero() {
		c.came = c.marks[0].at
	}
	n := copy(p, c.in)
	if !probe {
		n = c.scan.pass(p[:n])
	}
	c.in = c.in[n:]
	for left := n; left > 0; {
		used := min(left, c.marks[0].n)
		left -= used
		if c.marks[0].n -= used; c.marks[0].n == 0 {
			c.marks = c.marks[1:]
		}
	}
	if probe {
		c.probed(p[0])
	}
	c.wake()
	return n
}

// keep adds what was received last.
func (c *Conn) keep(b []byte) {
	if len(b) == 0 {
		return
	}
	c.in = append(c.in, b...)
	c.marks = append(c.marks, mark{len(b), time.Now()})
}

// probed takes in the first byte behind a request that is being answered. As long as the
// handler was not given that request, it is not known whether it has a body or closes
// the connection.
func (c *Conn) probed(b byte) {
	if c.scan.phase == between {
		c.early = append(c.early, b)
		return
	}
	c.scan.pass([]byte{b})
	c.look(b)
}

// SetReadDeadline bounds net/http's reads, and not the duty's.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.pumping {
		c.wake()
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection and cancels what was started for it.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.abandon()
	c.quit = true
	c.wake()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Begin is for the handler, as it is given a request. It returns what was started of it
// already, nil if nothing was, and since when the request has waited to be read, zero if
// it did not. Call End when the request has been answered.
func (c *Conn) Begin(r *http.Request) (*Run, time.Time) {
	if c == nil {
		return nil, time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	came := c.came
	c.came = time.Time{}
	c.scan.begin(r)
	early := c.early
	c.early = nil
	run := c.pop(r)
	if run != nil {
		came = run.at
	}
	for _, b := range early {
		c.scan.pass([]byte{b})
		c.look(b)
	}
	return run, came
}

// OnDisconnect sets what tells the handler that its caller went away. net/http sees that by
// itself until a further request arrives.
func (c *Conn) OnDisconnect(leave context.CancelFunc) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave = leave
	if c.gone {
		leave()
	}
}

// Done notes that the handler is done.
func (c *Conn) Done() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.leave = false, nil
	c.rest()
}

// HasPending reports whether requests were started that wait for their turn: the connection
// must stay open until they have been answered.
func (c *Conn) HasPending() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}
