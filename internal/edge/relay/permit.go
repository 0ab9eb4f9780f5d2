package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// errNoPermit is returned by a connection on which net/http tries to write a request that
// may already have been written to another one.
var errNoPermit = kinds.New(kinds.Unknown, "a second attempt was stopped")

// States of a permit.
const (
	unused  int32 = iota // nothing was written, and something may be
	used                 // at least one byte was passed to the connection
	revoked              // nothing was written, and nothing will be
)

// permit allows one attempt to write to one connection.
//
// net/http writes in a goroutine of its own, and repeats some requests on a second
// connection by itself. So after an error it is unknown whether bytes were written or
// still will be. The permit decides this atomically: once revoked, it lets no byte
// through, and revoke reports whether any was written before. Without it the answer "not
// run" would be a guess, and a submission whose connection broke could run twice.
type permit struct {
	state atomic.Int32
	// broken says that the server ended the connection. After that net/http may open
	// another one, and its own error tells only how that ended.
	broken atomic.Bool
	// attempt is asked whether the server may still get the request.
	attempt *attempt
	// usedAt is when the first byte was passed to the connection. It is set before the state
	// is used, and must be read after that.
	usedAt time.Time
}

// use returns nil if data may be written. Just before the first byte it withdraws the attempt if
// the server must not get it any more.
func (p *permit) use() error {
	if p.state.Load() == unused {
		if err := p.attempt.maySend(); err != nil {
			p.revoke()
			p.attempt.cancel(&withdrawnError{err})
			return err
		}
		p.usedAt = time.Now()
	}
	if p.state.CompareAndSwap(unused, used) || p.state.Load() == used {
		return nil
	}
	return errNoPermit
}

// withdrawnError is the cause with which an attempt ends whose server must not get it.
type withdrawnError struct{ error }

// Unwrap returns the reason.
func (e *withdrawnError) Unwrap() error { return e.error }

// sentAt returns when the first byte was passed to the connection, zero if none was.
func (p *permit) sentAt() time.Time {
	if p == nil || p.state.Load() != used {
		return time.Time{}
	}
	return p.usedAt
}

// revoke revokes an unused permit and reports whether the permit had been used.
func (p *permit) revoke() bool {
	return !p.state.CompareAndSwap(unused, revoked) && p.state.Load() == used
}

// attempt tracks one request over the connections that net/http tries.
type attempt struct {
	id       ident.Request
	cancel   context.CancelCauseFunc
	upstream *upstream
	request  *http.Request // as it is sent
	onSend   func()        // see Meta
	// recipients says whether the server at an address may get the attempt, see Meta.
	recipients Recipients
	server     ident.Server
	to         netip.AddrPort
	// mayInterrupt is set for an attempt that may be interrupted, see Meta.
	mayInterrupt func() bool
	trace        httptrace.ClientTrace
	answer       Response

	mu       sync.Mutex
	checking *conn // see conn.check
	first    permit
	last     *permit
	sent     bool
	conn     *conn // the connection that the attempt got last
	// opened is when that connection was opened.
	opened time.Time
	via    string // VM through which that connection goes
	uses   int    // requests that the connection had carried before
}

// maySend returns an error if the server must not get the attempt.
func (a *attempt) maySend() error {
	if a.recipients == nil {
		return nil
	}
	return a.recipients.MaySend(a.server, a.to)
}

// connVia returns the address of the VM through which the attempt went, if any.
func (a *attempt) connVia() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.via
}

// connUses returns how many requests the attempt's connection had carried before.
func (a *attempt) connUses() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.uses
}

// sentAt returns when the first byte was passed to the attempt's last connection, zero if none
// was.
func (a *attempt) sentAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.sentAt()
}

// isDirect reports whether the attempt has a connection over this VM's own path.
func (a *attempt) isDirect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last != nil && a.via == ""
}

func (a *attempt) connOpened() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opened
}

// gotConn gives the attempt a permit for the connection that it is about to be written
// to. If the request may have been written to an earlier connection, there is no second
// permit and the request is canceled.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.startChecking(c)
	mayEnd := c.ended.Load() || slices.Contains(c.refused, a.id) || info.Reused && info.IdleTime > a.upstream.maxReuseIdle()
	if mayEnd || c.draining != nil && !c.draining.StartRequest() {
		// The server may be about to close the connection, and a request that crosses the
		// close may have run. When it is closed on this side before anything is written,
		// the transport takes another connection.
		c.permit.Store(nil)
		_ = c.Close()
		return
	}
	if a.onSend != nil {
		a.onSend()
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
	a.last.attempt = a
	c.permit.Store(a.last)
	c.out.Begin(a.request)
	a.conn, a.opened, a.via, a.uses = c, c.opened, c.via, c.uses
	c.uses++
}

// lastConn returns the connection that the attempt got last.
func (a *attempt) lastConn() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// putIdleConn ends a connection that drains. net/http calls it when the answer is complete; by
// then the next attempt may have the connection, which does not end under it.
func (a *attempt) putIdleConn(error) {
	c := a.lastConn()
	if c != nil && c.draining != nil && c.draining.FinishRequest() {
		_ = c.Close()
	}
}

// startChecking waits until the answer before on a connection was checked. net/http puts a
// connection back before it hands over an answer without a body.
func (a *attempt) startChecking(c *conn) {
	a.endChecking()
	c.check.Lock()
	a.checking = c
}

// endChecking lets the next attempt have the connection.
func (a *attempt) endChecking() {
	if a.checking != nil {
		a.checking.check.Unlock()
		a.checking = nil
	}
}

// noteRefusal records that the server has refused the attempt. Should it send the refusal once
// more, no other attempt of the request may take it for the answer to itself; without an id, no
// other request.
func (a *attempt) noteRefusal(named bool) {
	c := a.lastConn()
	if c == nil {
		return
	}
	if !named || len(c.refused) == maxRefused {
		a.endConn()
		return
	}
	c.refused = append(c.refused, a.id)
}

// endConn closes the connection of an attempt whose response does not tell whether further
// responses to the same request will follow.
func (a *attempt) endConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.permit.CompareAndSwap(a.last, nil)
		a.conn.ended.Store(true)
		_ = a.conn.Close()
	}
}

// stop prevents further writes of the attempt. It reports whether any byte of it may have
// reached the server, and whether the server then ended the connection.
func (a *attempt) stop() (sent, broken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != nil && a.last.revoke() {
		a.sent = true
	}
	return a.sent, a.sent && a.last.broken.Load()
}

// maxRefused is the largest number of requests that may be refused on a connection.
const maxRefused = 64

// conn is a connection to a backend server. It writes only under a permit, and counts
// toward the server's connection limit until it is closed.
type conn struct {
	net.Conn
	permit atomic.Pointer[permit]
	limit  *connLimit
	opened time.Time // on the boot clock
	via    string    // address of the VM that it goes through, if any
	uses   int       // requests that were sent on it
	out    reply.Outgoing
	// draining is set if the other end may ask for the end of the connection.
	draining drainingConn
	once     sync.Once
	ended    atomic.Bool // see attempt.endConn
	check    sync.Mutex  // held by an attempt until it has checked its answer
	// refused are the requests that the server has refused on the connection; check protects it.
	refused []ident.Request
}

// Write writes under the current permit.
func (c *conn) Write(b []byte) (int, error) {
	p := c.permit.Load()
	if p == nil {
		return 0, errNoPermit
	}
	if err := p.use(); err != nil {
		return 0, err
	}
	return c.out.WriteTo(c.Conn, b)
}

// Read reads and records in the current permit that the server ended the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && endedByServer(err) {
		if p := c.permit.Load(); p != nil {
			p.broken.Store(true)
		}
	}
	return n, err
}

// Close closes the connection and releases its slot in the connection limit.
func (c *conn) Close() error {
	c.once.Do(c.limit.release)
	return c.Conn.Close()
}

// connLimit limits the open connections to one server. A limit of zero means no limit.
type connLimit struct {
	mu    sync.Mutex
	open  int
	limit int
	freed chan struct{} // closed when a slot may be free; nil if nobody waits
}

// acquire waits for a slot.
func (l *connLimit) acquire(ctx context.Context) error {
	for {
		freed := l.tryAcquire()
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

// tryAcquire takes a slot, or returns a channel to wait on.
func (l *connLimit) tryAcquire() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit <= 0 || l.open < l.limit {
		l.open++
		return nil
	}
	if l.freed == nil {
		l.freed = make(chan struct{})
	}
	return l.freed
}

func (l *connLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.notify()
}

// setLimit changes the limit and reports whether more connections are open than it
// allows.
func (l *connLimit) setLimit(limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.notify()
	return limit > 0 && l.open > limit
}

func (l *connLimit) notify() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

func (l *connLimit) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
