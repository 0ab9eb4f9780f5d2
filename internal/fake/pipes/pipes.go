// Package pipes is a network in memory whose connections are net.Pipe pairs. It allows
// tests to run real HTTP servers and clients inside a testing/synctest bubble, where
// time is simulated and every goroutine must end before the test does.
package pipes

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Net is a network. The zero value is ready to use and has no listeners.
type Net struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*Listener
}

// Listen opens an address. It replaces any earlier listener there.
func (n *Net) Listen(at netip.AddrPort) *Listener {
	l := &Listener{at: at, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*Listener{}
	}
	n.listeners[at] = l
	return l
}

// Dial connects to an address that has a listener.
func (n *Net) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &conn{Conn: far, at: l.at}:
		return near, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DialText is Dial with the signature of the DialContext field of http.Transport.
func (n *Net) DialText(ctx context.Context, _, to string) (net.Conn, error) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	return n.Dial(ctx, at)
}

// conn is the accepted end of a connection. It returns a parseable address, which the
// pipe itself lacks.
type conn struct {
	net.Conn
	at netip.AddrPort
}

// RemoteAddr returns the address that was dialled.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.at) }

// Listener is an open address.
type Listener struct {
	at    netip.AddrPort
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the address. Accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }
