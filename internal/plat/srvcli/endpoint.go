package srvcli

import (
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/plat/call"
)

// Negotiation of the protocol. The first call to a server uses HTTP/1.1 and JSON and
// also accepts CBOR. The Content-Type of the response shows whether the server
// supports CBOR, and its Upgrade header whether it supports HTTP/2 without
// encryption (RFC 9110, 7.8). An older server shows neither, and calls to it
// continue in HTTP/1.1 and JSON.
const (
	upgradeHeader = "Upgrade"
	protocolH2C   = "h2c"
)

// idleConnTimeout is the time after which an idle connection is closed. Renewals and
// probes are more frequent and keep their connection open.
const idleConnTimeout = 30 * time.Second

// maxIdleConns is the maximum number of idle HTTP/1.1 connections to a server.
const maxIdleConns = 4

// endpoint is the connection to one server and the protocol it uses. It is
// immutable; negotiate replaces it.
type endpoint struct {
	client *http.Client // used only for this server
	http2  bool         // calls use one HTTP/2 connection
	cbor   bool         // orders are encoded in CBOR
}

// Transport returns a transport for the given protocols. It does not ask for
// compression, whose overhead exceeds the size of the responses.
func Transport(p *http.Protocols) http.RoundTripper {
	return &http.Transport{
		Protocols:           p,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: call.MaxHeaderBytes,
	}
}

// endpoint returns the current endpoint of a server, and creates one for HTTP/1.1 and
// JSON if there is none.
func (c *Client) endpoint(to netip.AddrPort) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[to]; e != nil {
		return e
	}
	if c.endpoints == nil {
		c.endpoints = map[netip.AddrPort]*endpoint{}
	}
	p := &http.Protocols{}
	p.SetHTTP1(true)
	e := &endpoint{client: c.newHTTPClient(p)}
	c.endpoints[to] = e
	return e
}

// newHTTPClient returns a client for the given protocols.
func (c *Client) newHTTPClient(p *http.Protocols) *http.Client {
	newTransport := c.Transport
	if newTransport == nil {
		newTransport = Transport
	}
	return &http.Client{Transport: newTransport(p)}
}

// negotiate switches to the protocol and encoding that a response shows the server to
// support.
func (c *Client) negotiate(to netip.AddrPort, e *endpoint, response http.Header) {
	http2 := e.http2 || response.Get(upgradeHeader) == protocolH2C
	cbor := response.Get("Content-Type") == TypeCBOR
	if http2 == e.http2 && cbor == e.cbor {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpoints[to] != e {
		return // another call has replaced the endpoint
	}
	next := &endpoint{client: e.client, http2: http2, cbor: cbor}
	if http2 && !e.http2 {
		p := &http.Protocols{}
		p.SetUnencryptedHTTP2(true)
		next.client = c.newHTTPClient(p)
		e.client.CloseIdleConnections()
	}
	c.endpoints[to] = next
}

// reset returns to HTTP/1.1 and JSON on a new connection. A call without a response
// may leave its connection open (HTTP/2 always does), and later calls would use it
// even if the server is lost or was replaced by an older version. Every renewal
// would then fail until TCP times out.
func (c *Client) reset(to netip.AddrPort, e *endpoint) {
	c.mu.Lock()
	if c.endpoints[to] == e {
		delete(c.endpoints, to)
	}
	c.mu.Unlock()
	e.client.CloseIdleConnections()
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.client.CloseIdleConnections()
	}
	return nil
}
