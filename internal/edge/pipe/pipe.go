// Package pipe adds HTTP/1.1 pipelining to a net/http server: it processes the requests
// that a caller sends before the first one is answered.
//
// This matters for a caller that sends several lookups at once on one connection.
// net/http reads the next request of a connection only after the answer to the one
// before. With lookups of 150 ms, the fourth is read 450 ms after it was sent, and
// reaches a backend server with less time left than its work takes. No log shows that
// wait, since nothing had read the request.
//
// The package sits below net/http, on the connection. It passes the bytes to net/http
// unchanged and in order; net/http still frames all answers, closes idle connections and
// refuses malformed requests. As soon as a further request arrives behind one that is
// being answered, the package reads ahead, up to a limit of requests and bytes, and
// starts requests that need no body at once. When net/http comes to such a request, its
// handler takes over the started request and delivers its answer, see [Conn.Begin] and
// [Run.Deliver].
//
// A connection without pipelined requests costs one look at each byte of its request
// heads, and nothing else.
package pipe

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/load/intake"
)

// Limits of one connection. Beyond them, reading continues when an answer has been
// delivered.
const (
	// MaxPipelined is the largest number of requests that are processed behind the one
	// that is being answered. A page of a caller's program sends about ten requests at
	// once.
	MaxPipelined = 16
	// maxBuffered is the largest part of an answer, in bytes, that is buffered until its
	// turn. A longer answer blocks, partly written, until those before it have been
	// delivered.
	maxBuffered = 64 << 10
	// maxUnread is how many bytes are read ahead of net/http.
	maxUnread = 16 << 10
	// maxHead is the longest request head, in bytes, that is parsed here. Requests with
	// longer ones are left to net/http.
	maxHead = 8 << 10
)

// Reader reads ahead on connections. Set the fields before the first call of Listen.
type Reader struct {
	// Serve answers a request that arrived at the given time. It returns ok false if the
	// request must be served by the handler in its turn; it must then have done nothing
	// about it. It returns ok and broken both true if the answer broke off after it had
	// begun.
	Serve func(w http.ResponseWriter, r *http.Request, at time.Time) (ok, broken bool)
	// Allow reports whether further requests may be started; nil means always.
	Allow func() bool
	// HeadLimit returns the longest head of a request, in bytes; nil or zero means no limit.
	HeadLimit func() int
	// Heads counts the memory of request heads; the zero value has no bound.
	Heads intake.Pool
	// RefuseHead returns the answer to a request whose head is not read on; nil means none.
	RefuseHead func(HeadFault) []byte
	// MaxConns bounds the number of open connections; zero means no bound.
	MaxConns int
	// Base is the context of the requests that are started; nil means the background.
	Base context.Context

	group   group.Group
	pending atomic.Int64 // number of requests started and not delivered yet
	conns   conns
	dropped atomic.Int64 // see Dropped

	longHeads atomic.Int64 // see LongHeads
}

// Dropped returns the number of connections that were closed on this side although bytes had
// been received behind the last request that was answered: whoever sent them gets no answer.
func (r *Reader) Dropped() int64 { return r.dropped.Load() }

// Listen returns a listener whose connections are read ahead.
func (r *Reader) Listen(l net.Listener) net.Listener { return listener{l, r} }

type listener struct {
	net.Listener
	reader *Reader
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(c, l.reader)
		if l.reader.conns.add(conn, l.reader.MaxConns) {
			return conn, nil
		}
		_ = c.Close()
	}
}

// Drain waits until every request that was started has been delivered and every other one that
// was received whole has been given to the handler, or ctx is done. Call it after Allow has
// become false and before the server shuts down: net/http closes a connection after the answer
// that it is about to write, and callers would get no answer to what is behind.
func (r *Reader) Drain(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for (r.pending.Load() > 0 || r.holdsRequests()) && group.Sleep(ctx, interval) {
	}
}

// holdsRequests reports whether a connection has received a request that the handler was not
// given yet.
func (r *Reader) holdsRequests() bool {
	return slices.ContainsFunc(r.conns.list(), (*Conn).HasPending)
}

// LongHeads returns the number of heads that exceeded the limit by far.
func (r *Reader) LongHeads() int64 { return r.longHeads.Load() }

// Conns returns the number of open connections.
func (r *Reader) Conns() int { return r.conns.len() }

// Evicted returns the number of connections that were closed to make room for others.
func (r *Reader) Evicted() int64 { return r.conns.evicted.Load() }

// Refused returns the number of connections that were closed because there was no room.
func (r *Reader) Refused() int64 { return r.conns.refused.Load() }

// Close waits for all goroutines of the reader. The server must be closed before.
func (r *Reader) Close() error { return r.group.Close() }

func (r *Reader) base() context.Context {
	if r.Base == nil {
		return context.Background()
	}
	return r.Base
}

func (r *Reader) allowed() bool { return r.Allow == nil || r.Allow() }

type contextKey struct{}

// Context is a function for http.Server.ConnContext. It lets a handler find its
// connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// From returns the connection that a request came on, nil if it is not read ahead. All
// methods of Conn work on nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
