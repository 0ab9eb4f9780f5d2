package relay

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// errNoPermit is what a connection answers when net/http tries to write a
// request on it that may already have been written on another.
var errNoPermit = kinds.New(kinds.Unknown, "a second attempt was stopped")

// States of a permit.
const (
	unused  int32 = iota // nothing was written, and something may be
	used                 // some byte was handed to the connection
	revoked              // nothing was written, and nothing will be
)

// permit allows one attempt to write on one connection.
//
// net/http writes from a goroutine of its own, and for some requests tries a
// second connection by itself. So after an error nobody can say from outside
// whether bytes were written, or still will be. The permit makes that question
// exact: whoever revokes it first wins, and a revoked permit lets no byte
// through. Without it, "not run" would be a guess, and a receipt whose
// connection broke could run twice.
type permit struct{ state atomic.Int32 }

func (p *permit) use() bool {
	return p.state.CompareAndSwap(unused, used) || p.state.Load() == used
}

// revoke ends an unused permit and reports whether it had been used.
func (p *permit) revoke() bool {
	return !p.state.CompareAndSwap(unused, revoked) && p.state.Load() == used
}

// attempt follows one request over the connections that net/http tries.
type attempt struct {
	cancel context.CancelCauseFunc
	line   *line
	trace  httptrace.ClientTrace
	answer Response

	mu    sync.Mutex
	first permit
	last  *permit
	sent  bool
}

// gotConn gives the attempt a permit for the connection that it is about to be
// written on. A connection after one that was written on gets none, and the
// request is cancelled.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if info.Reused && info.IdleTime > a.line.idle() {
		// The server may be about to close it: a request that crosses the close may
		// have run. Closed from here before anything is written, the transport takes
		// another connection.
		c.permit.Store(nil)
		_ = c.Close()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != nil && a.last.revoke() {
		a.sent = true
		c.permit.Store(nil)
		a.cancel(errNoPermit)
		return
	}
	if a.last == nil {
		a.last = &a.first
	} else {
		a.last = &permit{}
	}
	c.permit.Store(a.last)
}

// end stops the attempt from writing and reports whether any byte of it may
// have reached the server.
func (a *attempt) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != nil && a.last.revoke() {
		a.sent = true
	}
	return a.sent
}

// conn is a connection to a backend server that writes only under a permit and
// counts against the server's cap until it is closed.
type conn struct {
	net.Conn
	permit atomic.Pointer[permit]
	seats  *seats
	once   sync.Once
}

// Write writes under the current permit.
func (c *conn) Write(b []byte) (int, error) {
	p := c.permit.Load()
	if p == nil || !p.use() {
		return 0, errNoPermit
	}
	return c.Conn.Write(b)
}

// Close closes the connection and frees its place under the cap.
func (c *conn) Close() error {
	c.once.Do(c.seats.release)
	return c.Conn.Close()
}

// seats caps the open connections to one server. Zero most means no cap.
type seats struct {
	mu    sync.Mutex
	open  int
	most  int
	freed chan struct{} // closed when a place may be free; nil if nobody waits
}

// acquire waits for a place under the cap.
func (s *seats) acquire(ctx context.Context) error {
	for {
		freed := s.try()
		if freed == nil {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// try takes a place, or returns what to wait for.
func (s *seats) try() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most <= 0 || s.open < s.most {
		s.open++
		return nil
	}
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	return s.freed
}

func (s *seats) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.wake()
}

// resize changes the cap and reports whether fewer places are left than taken.
func (s *seats) resize(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
	s.wake()
	return most > 0 && s.open > most
}

func (s *seats) wake() {
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
}

func (s *seats) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
