// Package pipe lets an HTTP/1.1 server work on the requests that a caller sends
// before the first is answered.
//
// The load pattern is a caller that sends several lookups at once on one connection.
// net/http reads the next request of a connection after the answer to the one before:
// with lookups of 150 ms, the fourth is read 450 ms after it was sent, nobody has
// begun to work on it, and it reaches a backend server with less time than its work
// takes. The time is in no log either, since nobody had read the request.
//
// This package stands below net/http, on the connection. It hands net/http the bytes
// as they came, in order, and net/http goes on to frame all answers, close idle
// connections and refuse what is malformed. As soon as a further request arrives
// behind one that is being answered, the connection is read on, up to a stated number
// of requests and bytes, and requests that need no body are started at once. When
// net/http comes to such a request, its handler asks for what was started and passes
// it on, see [Conn.Begin] and [Run.Deliver].
//
// A connection on which one request follows the other pays a look at each byte of its
// heads, and nothing else.
package pipe

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// Bounds of one connection. A caller that sends more is read on when an answer has been
// passed on.
const (
	// MaxPipelined is how many requests are worked on behind the one that is being answered. A
	// page of a caller's program asks for some ten things at once.
	MaxPipelined = 16
	// mostHeld is up to where a whole answer is held until its turn, in bytes. A longer
	// one waits, half written, for the caller to take those before it.
	mostHeld = 64 << 10
	// mostRead is how many bytes are read that net/http has not asked for.
	mostRead = 64 << 10
	// mostHead is the longest head that is looked at. net/http reads longer ones in
	// their turn.
	mostHead = 8 << 10
)

// Reader reads connections ahead. Fill in the fields before the first Listen.
type Reader struct {
	// Serve answers a request that arrived at a time. It returns false when the request
	// is to be served in its turn after all; nothing was done about it then. It reports
	// an answer that broke off in the middle by ok and broken together.
	Serve func(w http.ResponseWriter, r *http.Request, at time.Time) (ok, broken bool)
	// Allow reports whether further requests may be started; nil means always.
	Allow func() bool

	group   group.Group
	pending atomic.Int64 // started and not passed on yet
}

// Listen returns a listener whose connections are read ahead.
func (a *Reader) Listen(l net.Listener) net.Listener { return listener{l, a} }

type listener struct {
	net.Listener
	reader *Reader
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.reader), nil
}

// Drain waits until every request that was started ahead has been passed on, or ctx
// ends. Call it when May has become false and before the server shuts down: net/http
// closes a connection after the answer that it is about to write, and callers would
// never hear of requests that were sent on already.
func (a *Reader) Drain(ctx context.Context) {
	const look = 10 * time.Millisecond
	for a.pending.Load() > 0 && group.Sleep(ctx, look) {
	}
}

// Close ends what is still under way and waits. The server must be closed before.
func (a *Reader) Close() error { return a.group.Close() }

func (a *Reader) may() bool { return a.Allow == nil || a.Allow() }

type key struct{}

// Context is for http.Server.ConnContext: it lets a handler find its connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, key{}, c)
	}
	return ctx
}

// From returns the connection that a request came on, nil if it is not read ahead. All
// methods work on nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(key{}).(*Conn)
	return c
}
