package bench

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

// The kinds of links of an entry VM on which traffic is counted.
const (
	linkPeers = iota
	linkServers
	linkObjects
	linkVMList
)

var linkNames = [...]string{
	linkPeers: "other entry VMs", linkServers: "backend servers' control side", linkObjects: "object API", linkVMList: "VM list",
}

// packetOverhead is the size of the IPv4 and UDP headers of a packet, in bytes.
const packetOverhead = 28

// meter counts the traffic of one kind of link in both directions.
type meter struct{ messages, bytes atomic.Int64 }

type count struct{ messages, bytes int64 }

func (m *meter) read() count { return count{m.messages.Load(), m.bytes.Load()} }

func (c count) minus(before count) count {
	return count{c.messages - before.messages, c.bytes - before.bytes}
}

// packets returns a socket that counts the packets of a UDP socket. Each read or write is
// one packet.
func (m *meter) packets(c net.PacketConn) net.PacketConn { return &packetMeter{c, m} }

type packetMeter struct {
	net.PacketConn
	*meter
}

// SetReadBuffer passes on the size that the QUIC library sets. Without it, the metered
// socket would have other buffers than a plain one.
func (p *packetMeter) SetReadBuffer(n int) error {
	if c, ok := p.PacketConn.(*net.UDPConn); ok {
		return c.SetReadBuffer(n)
	}
	return nil
}

// SetWriteBuffer passes on the size that the QUIC library sets, like SetReadBuffer.
func (p *packetMeter) SetWriteBuffer(n int) error {
	if c, ok := p.PacketConn.(*net.UDPConn); ok {
		return c.SetWriteBuffer(n)
	}
	return nil
}

func (p *packetMeter) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	if err == nil {
		p.add(n)
	}
	return n, from, err
}

func (p *packetMeter) WriteTo(b []byte, to net.Addr) (int, error) {
	p.add(len(b))
	return p.PacketConn.WriteTo(b, to)
}

func (p *packetMeter) add(n int) {
	p.messages.Add(1)
	p.bytes.Add(int64(n + packetOverhead))
}

// client returns an HTTP/1 client whose requests and bytes are counted.
func (m *meter) client() *http.Client {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	t := m.transport(p).(*callMeter)
	t.DisableCompression = false // as in the clients of the platform's API
	return &http.Client{Transport: t}
}

// transport returns a transport for the given protocols that counts requests and bytes.
func (m *meter) transport(p *http.Protocols) http.RoundTripper {
	var d net.Dialer
	t := srvcli.Transport(p).(*http.Transport)
	t.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return &connMeter{c, m}, nil
	}
	return &callMeter{meter: m, Transport: t}
}

type callMeter struct {
	*http.Transport
	*meter
}

func (c *callMeter) RoundTrip(r *http.Request) (*http.Response, error) {
	c.messages.Add(1)
	return c.Transport.RoundTrip(r)
}

type connMeter struct {
	net.Conn
	m *meter
}

func (c *connMeter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c *connMeter) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytes.Add(int64(n))
	return n, err
}
