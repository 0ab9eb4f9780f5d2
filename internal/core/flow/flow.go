// Package flow counts the bytes sent and received over connections and limits how
// long an HTTP response may stall.
//
// The counts feed metrics of how much traffic each part of a VM causes: traffic
// between data centres is billed, and excess lease renewals show nowhere else.
package flow

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts bytes in both directions. The zero value is ready to use.
type Counter struct{ n atomic.Int64 }

// Bytes returns the number of bytes read and written so far, without the overhead
// of TCP and IP.
func (ctr *Counter) Bytes() int64 { return ctr.n.Load() }

// Dial opens a connection, like [net.Dialer.DialContext].
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Count wraps dial so that the traffic of its connections is counted.
func (ctr *Counter) Count(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{c, ctr}, nil
	}
}

// conn adds the bytes of a connection to a counter.
type conn struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.n.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.n.Add(int64(n))
	return n, err
}
