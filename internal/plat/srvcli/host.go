package srvcli

import (
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/plat/call"
)

// How a server's answers show what it takes. The first call to a server is one
// in HTTP/1.1 and JSON that also accepts CBOR; the answer's own type shows
// whether it knows that form, and an Upgrade header whether it speaks HTTP/2
// without encryption (RFC 9110, 7.8). An older server shows neither and is
// spoken to as before.
const (
	headerUpgrade = "Upgrade"
	protocolTwo   = "h2c"
)

// Connections without a call for so long are closed. Renewals and probes keep
// theirs open.
const idleTime = 30 * time.Second

// mostIdle is how many HTTP/1.1 connections to a server are kept.
const mostIdle = 4

// host is how one server is spoken to. It never changes; learn replaces it.
type host struct {
	client *http.Client // for this server alone
	two    bool         // over one connection in HTTP/2
	packed bool         // orders go in CBOR
}

// Transport carries calls in the given protocols. It asks for no compression:
// answers are shorter than what a compressor adds.
func Transport(p *http.Protocols) http.RoundTripper {
	return &http.Transport{
		Protocols:           p,
		MaxIdleConnsPerHost: mostIdle,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: call.MaxHeader,
	}
}

// host returns how a server is spoken to now.
func (c *Client) host(to netip.AddrPort) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[to]; h != nil {
		return h
	}
	if c.hosts == nil {
		c.hosts = map[netip.AddrPort]*host{}
	}
	p := &http.Protocols{}
	p.SetHTTP1(true)
	h := &host{client: c.carrier(p)}
	c.hosts[to] = h
	return h
}

func (c *Client) carrier(p *http.Protocols) *http.Client {
	build := c.Transport
	if build == nil {
		build = Transport
	}
	return &http.Client{Transport: build(p)}
}

// learn takes from an answer what its server takes from now on.
func (c *Client) learn(to netip.AddrPort, h *host, answer http.Header) {
	two := h.two || answer.Get(headerUpgrade) == protocolTwo
	packed := answer.Get("Content-Type") == TypeCBOR
	if two == h.two && packed == h.packed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[to] != h {
		return // another call's answer came first
	}
	next := &host{client: h.client, two: two, packed: packed}
	if two && !h.two {
		p := &http.Protocols{}
		p.SetUnencryptedHTTP2(true)
		next.client = c.carrier(p)
		h.client.CloseIdleConnections()
	}
	c.hosts[to] = next
}

// forget goes back to what every server takes, on a new connection. A call that
// got no answer may leave its connection open, in HTTP/2 always, and the next
// ones would wait on it although the server that it led to is lost, or was
// replaced by one that speaks less; each renewal until TCP gives up would fail.
func (c *Client) forget(to netip.AddrPort, h *host) {
	c.mu.Lock()
	if c.hosts[to] == h {
		delete(c.hosts, to)
	}
	c.mu.Unlock()
	h.client.CloseIdleConnections()
}

// Close closes the connections that no call uses.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.client.CloseIdleConnections()
	}
	return nil
}
