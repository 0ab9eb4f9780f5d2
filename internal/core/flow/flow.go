// Package flow counts what goes over connections, for metrics that say which part of a
// VM causes how much traffic: bytes between data centres are paid for, and a renewal too
// many shows nowhere else.
package flow

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts bytes, both ways. The zero value is ready.
type Counter struct{ n atomic.Int64 }

// Bytes returns how many there were so far, without what the network adds.
func (f *Counter) Bytes() int64 { return f.n.Load() }

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Count returns a dial whose connections are counted.
func (f *Counter) Count(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{c, f}, nil
	}
}

type conn struct {
	net.Conn
	flow *Counter
}

// Read counts what was read.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.flow.n.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.flow.n.Add(int64(n))
	return n, err
}
