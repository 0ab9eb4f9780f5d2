package pipe

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/intake"
)

// readAhead is the state of a connection's reading ahead. Its zero value reads nothing.
type readAhead struct {
	reading         bool      // readLoop is reading from the network
	stopping        bool      // readLoop must end
	halted          bool      // no more requests are started: the next one is left to net/http
	disconnected    bool      // the caller went away
	unparsed        []byte    // bytes of requests that were read and not started yet
	unparsedArrived time.Time // when the first of them arrived
	started         []*Run    // started requests, in order
	ctx             context.Context
	cancel          context.CancelFunc
}

// startReading begins to read ahead. It is called with the first byte of the next request
// that net/http will read; unread holds the bytes behind it that were received already.
// The caller holds mu, here and below.
func (c *Conn) startReading(first byte) {
	if c.reading || c.stopping || c.scanner.phase == unknown || len(c.started) > 0 {
		return
	}
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(c.reader.base())
	}
	c.unparsed = append(append(c.unparsed[:0], first), c.unread...)
	c.unparsedArrived = time.Now()
	if len(c.arrivals) > 0 {
		c.unparsedArrived = c.arrivals[0].at
	}
	c.reading, c.halted = true, false
	_ = c.Conn.SetReadDeadline(time.Time{}) // if the connection is closed, the next read fails
	c.startRequests()
	c.reader.group.Go(func(context.Context) error {
		c.readLoop()
		return nil
	})
}

// readLoop reads from the network until no more requests may be started.
func (c *Conn) readLoop() {
	buf := make([]byte, 4<<10)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.waitForRoom() {
		c.mu.Unlock()
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		if n > 0 {
			c.appendUnread(buf[:n])
			if !bytes.Contains(c.unparsed, []byte(endOfHead)) {
				c.unparsedArrived = time.Now()
			}
			c.unparsed = append(c.unparsed, buf[:n]...)
			c.startRequests()
			c.notify()
		}
		if err != nil {
			c.readFailed()
			break
		}
	}
	c.reading, c.stopping, c.unparsed = false, false, c.unparsed[:0]
	_ = c.Conn.SetReadDeadline(c.deadline) // if the connection is closed, the next read fails
	c.notify()
}

// waitForRoom waits until more may be read, and reports whether readLoop must go on.
func (c *Conn) waitForRoom() bool {
	for !c.stopping && !c.halted && (len(c.started) >= MaxPipelined || len(c.unread) >= maxUnread) {
		c.wait(-1)
	}
	return !c.stopping && !c.halted
}

// readFailed handles a failed read of readLoop: either readLoop was told to stop, or
// the caller went away and no answer is needed any more.
func (c *Conn) readFailed() {
	if c.stopping {
		return
	}
	c.disconnected = true
	c.cancel()
	if c.onDisconnect != nil {
		c.onDisconnect()
	}
}

// stopIfIdle ends reading ahead when no started request is left, so that net/http alone
// reads connections whose requests come one at a time.
func (c *Conn) stopIfIdle() {
	if c.reading && len(c.started) == 0 && !c.stopping {
		c.stopping = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // if the connection is closed, the read fails as well
		c.notify()
	}
}

// startRequests starts the requests that were read completely, as many as are allowed.
func (c *Conn) startRequests() {
	for !c.halted && !c.stopping && len(c.started) < MaxPipelined {
		i := bytes.Index(c.unparsed, []byte(endOfHead))
		if i < 0 {
			c.halted = len(c.unparsed) > maxHead
			return
		}
		i += len(endOfHead)
		head := c.unparsed[:i]
		room := intake.ParsedHeadBytes(len(head), bytes.Count(head, []byte{'\n'}))
		if !c.reader.allowed() || !c.reader.Heads.Acquire(room) {
			c.halted = true
			return
		}
		r := parseHead(head)
		if r == nil {
			c.reader.Heads.Release(room)
			c.halted = true
			return
		}
		c.unparsed = c.unparsed[i:]
		c.startRequest(r, room)
	}
}

func (c *Conn) startRequest(r *http.Request, room int64) {
	r.RemoteAddr = c.RemoteAddr().String()
	run := newRun(c.reader, r.WithContext(c.ctx), c.unparsedArrived)
	run.room = room
	c.started = append(c.started, run)
	c.reader.pending.Add(1)
	c.reader.group.Go(func(context.Context) error {
		run.serve()
		return nil
	})
}

// takeStarted returns the Run of the request that net/http has come to, nil if it was not
// started.
func (c *Conn) takeStarted(r *http.Request) *Run {
	if len(c.started) == 0 {
		return nil
	}
	run := c.started[0]
	if run.req.Method != r.Method || run.req.RequestURI != r.RequestURI || run.req.Host != r.Host {
		// This is not the request that was started. No request may get another's answer.
		c.scanner.phase = unknown
		c.cancelStarted()
		return nil
	}
	c.started = c.started[1:]
	c.startRequests()
	c.notify()
	return run
}

// cancelStarted cancels all requests that were started.
func (c *Conn) cancelStarted() {
	c.halted = true
	c.reader.pending.Add(-int64(len(c.started)))
	for _, run := range c.started {
		run.end()
	}
	c.started = nil
	if c.cancel != nil {
		c.cancel()
	}
}
