package dial

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// relayedOrders tells whether orders to a server may be on their way through another VM.
type relayedOrders struct {
	open     int
	closedAt time.Time
}

// orderConn is a connection for orders through another VM.
type orderConn struct {
	net.Conn
	dialer *Dialer
	to     netip.AddrPort
	once   sync.Once
}

// trackOrders returns a connection for orders, which is counted if it goes through another
// VM.
func (d *Dialer) trackOrders(c net.Conn, to netip.AddrPort) net.Conn {
	if _, relayed := c.(interface{ Via() string }); !relayed {
		return c
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.relayed[to] == nil {
		d.relayed[to] = &relayedOrders{}
	}
	d.relayed[to].open++
	return &orderConn{Conn: c, dialer: d, to: to}
}

// Close closes the connection.
func (c *orderConn) Close() error {
	c.once.Do(func() {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		r := c.dialer.relayed[c.to]
		r.open--
		r.closedAt = time.Now()
	})
	return c.Conn.Close()
}

// MayRelayOrders reports whether an order to a server may go through another VM, or one that
// was not answered may have.
func (d *Dialer) MayRelayOrders(to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.relayed[to]
	return d.monitor.Lost(to) || r != nil && (r.open > 0 || time.Since(r.closedAt) < relayMemory)
}
