package bench

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

// The links of an entry VM that are counted.
const (
	onPeers = iota
	onServers
	onObjects
	onList
)

var meterNames = [...]string{
	onPeers: "other entry VMs", onServers: "backend servers' control side", onObjects: "object API", onList: "VM list",
}

// packetHead is what IP and UDP add to a packet.
const packetHead = 28

// meter counts what crosses one kind of link, both ways.
type meter struct{ messages, bytes atomic.Int64 }

type count struct{ messages, bytes int64 }

func (m *meter) read() count { return count{m.messages.Load(), m.bytes.Load()} }

func (c count) less(before count) count {
	return count{c.messages - before.messages, c.bytes - before.bytes}
}

// packets counts the packets of a UDP socket. A call of the socket is a packet.
func (m *meter) packets(c net.PacketConn) net.PacketConn { return &packetMeter{c, m} }

type packetMeter struct {
	net.PacketConn
	*meter
}

// SetReadBuffer and SetWriteBuffer let the QUIC library size the socket's
// buffers as it does without a meter.
func (p *packetMeter) SetReadBuffer(n int) error {
	if c, ok := p.PacketConn.(*net.UDPConn); ok {
		return c.SetReadBuffer(n)
	}
	return nil
}

// SetWriteBuffer is SetReadBuffer's other half.
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
	p.bytes.Add(int64(n + packetHead))
}

// client makes HTTP clients whose calls and bytes are counted.
func (m *meter) client() *http.Client {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	t := m.transport(p).(*callMeter)
	t.DisableCompression = false // as the platform's adapters have it
	return &http.Client{Transport: t}
}

// transport carries calls in the given protocols and counts them and their bytes.
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
