package pipe

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// lookout is what a connection has that is read ahead. Its zero value reads nothing.
type lookout struct {
	pumping bool      // a duty reads the network
	quit    bool      // it is to end
	halt    bool      // the next request is for net/http alone
	gone    bool      // the caller went away
	head    []byte    // requests that were read, and are not started yet
	arrived time.Time // when the first of them was there
	queue   []*Run    // started, in order
	ctx     context.Context
	cancel  context.CancelFunc
}

// look begins to read ahead. It is called with the first byte of a request that net/http
// will come to next; the others, as far as they are here, are the first of in. The caller
// holds mu, here and below.
func (c *Conn) look(first byte) {
	if c.pumping || c.quit || c.scan.phase == lost || len(c.queue) > 0 || !c.reader.may() {
		return
	}
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
	}
	c.head = append(append(c.head[:0], first), c.in...)
	c.arrived = time.Now()
	if len(c.marks) > 0 {
		c.arrived = c.marks[0].at
	}
	c.pumping, c.halt = true, false
	_ = c.Conn.SetReadDeadline(time.Time{}) // a connection that is closed fails the next read
	c.more()
	c.reader.group.Go(func(context.Context) error {
		c.pump()
		return nil
	})
}

// pump reads the network until nothing more may be started.
func (c *Conn) pump() {
	buf := make([]byte, 4<<10)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.roomy() {
		c.mu.Unlock()
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		if n > 0 {
			c.keep(buf[:n])
			if !bytes.Contains(c.head, []byte(endOfHead)) {
				c.arrived = time.Now()
			}
			c.head = append(c.head, buf[:n]...)
			c.more()
			c.wake()
		}
		if err != nil {
			c.fail()
			break
		}
	}
	c.pumping, c.quit, c.head = false, false, c.head[:0]
	_ = c.Conn.SetReadDeadline(c.deadline) // a connection that is closed fails the next read
	c.wake()
}

// roomy waits until more may be read, and reports whether the duty is to go on.
func (c *Conn) roomy() bool {
	for !c.quit && !c.halt && (len(c.queue) >= MaxPipelined || len(c.in) >= mostRead) {
		c.wait(-1)
	}
	return !c.quit && !c.halt
}

// fail takes in that the duty's read came to nothing: it was told to rest, or the caller
// went away, and nobody waits for any answer.
func (c *Conn) fail() {
	if c.quit {
		return
	}
	c.gone = true
	c.cancel()
	if c.leave != nil {
		c.leave()
	}
}

// rest ends reading ahead when nothing is started any more: whoever sends one request
// after the other is read by net/http alone.
func (c *Conn) rest() {
	if c.pumping && len(c.queue) == 0 && !c.quit {
		c.quit = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a connection that is closed fails the read as well
		c.wake()
	}
}

// more starts the requests that have been read whole, as many as may be.
func (c *Conn) more() {
	for !c.halt && !c.quit && len(c.queue) < MaxPipelined {
		i := bytes.Index(c.head, []byte(endOfHead))
		if i < 0 {
			c.halt = len(c.head) > mostHead
			return
		}
		i += len(endOfHead)
		r := parse(c.head[:i])
		if r == nil || !c.reader.may() {
			c.halt = true
			return
		}
		c.head = c.head[i:]
		c.start(r)
	}
}

func (c *Conn) start(r *http.Request) {
	r.RemoteAddr = c.RemoteAddr().String()
	run := newRun(c.reader, r.WithContext(c.ctx), c.arrived)
	c.queue = append(c.queue, run)
	c.reader.pending.Add(1)
	c.reader.group.Go(func(context.Context) error {
		run.serve()
		return nil
	})
}

// pop returns what was started of a request that net/http has come to.
func (c *Conn) pop(r *http.Request) *Run {
	if len(c.queue) == 0 {
		return nil
	}
	run := c.queue[0]
	if run.r.Method != r.Method || run.r.RequestURI != r.RequestURI || run.r.Host != r.Host {
		// Not the request that was started. Nobody must get another's answer.
		c.scan.phase = lost
		c.abandon()
		return nil
	}
	c.queue = c.queue[1:]
	c.more()
	c.wake()
	return run
}

// abandon cancels all that was started.
func (c *Conn) abandon() {
	c.halt = true
	c.reader.pending.Add(-int64(len(c.queue)))
	c.queue = nil
	if c.cancel != nil {
		c.cancel()
	}
}
