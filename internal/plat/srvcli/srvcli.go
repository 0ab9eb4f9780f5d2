// Package srvcli implements the control interface of a backend server over HTTP. In
// tests, package fake/origin serves the protocol.
//
// Calls use HTTP/1.1 and JSON until a server's responses show that it supports the
// cheaper HTTP/2 and CBOR; see endpoint.go. docs/design/wire.md has the sizes of
// renewals and probes on the wire and the alternatives considered.
package srvcli

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/call"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Paths of the protocol.
const (
	PathGrant  = "/control/grant"
	PathRevoke = "/control/revoke"
	PathRead   = "/control/read"
	PathStatus = "/control/word"
	PathDrain  = "/control/drain"
	PathCancel = "/control/cancel"
)

// Client is a [server.Control] over HTTP. The zero value is ready to use.
type Client struct {
	// Transport returns the transport for the calls to one server in the given
	// protocols; nil means the function Transport of this package.
	Transport func(p *http.Protocols) http.RoundTripper

	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpoint
}

var _ server.Control = (*Client)(nil)

// Grant grants or renews a lease.
func (c *Client) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return do[server.Reply](ctx, c, to, http.MethodPost, PathGrant, o)
}

// Revoke ends the lease of everything that is not in the order's set.
func (c *Client) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return do[server.Reply](ctx, c, to, http.MethodPost, PathRevoke, o)
}

// Read returns what the server holds under the given lessor.
func (c *Client) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, lessor ident.Server) (server.Reply, error) {
	query := url.Values{"svc": {string(svc)}, "seat": {string(lessor)}}
	return do[server.Reply](ctx, c, to, http.MethodGet, PathRead+"?"+query.Encode(), nil)
}

// Status returns the server's own report of its state and load.
func (c *Client) Status(ctx context.Context, to netip.AddrPort) (server.Status, error) {
	return do[server.Status](ctx, c, to, http.MethodGet, PathStatus, nil)
}

// Drain asks the server to finish its requests and accept no new ones.
func (c *Client) Drain(ctx context.Context, to netip.AddrPort) error {
	_, err := do[struct{}](ctx, c, to, http.MethodPost, PathDrain, struct{}{})
	return err
}

// Cancel asks the server to stop working on a request.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, id ident.Request) error {
	_, err := do[struct{}](ctx, c, to, http.MethodPost, PathCancel, CancelBody{ID: id})
	return err
}

// CancelBody is the body of a Cancel call.
type CancelBody struct {
	ID ident.Request `cbor:"id" json:"id"`
}

// do makes one call in the cheapest protocol and encoding that the server is known to
// support.
func do[T any](ctx context.Context, c *Client, to netip.AddrPort, method, path string, in any) (T, error) {
	var out T
	var body []byte
	e := c.endpoint(to)
	header := http.Header{"Accept": {TypeCBOR}}
	if in != nil {
		contentType, err := TypeJSON, error(nil)
		if e.cbor {
			contentType = TypeCBOR
		}
		if body, err = Encode(contentType, in); err != nil {
			return out, kinds.Wrap(kinds.Internal, err, "encode order")
		}
		header["Content-Type"] = []string{contentType}
	}
	client := call.Client{HTTP: e.client}
	a, err := client.Exchange(ctx, method, "http://"+to.String()+path, header, body)
	if err != nil {
		c.reset(to, e)
		return out, err
	}
	c.negotiate(to, e, a.Header)
	err = Decode(a.Header.Get("Content-Type"), a.Body, &out)
	if r, ok := any(out).(server.Reply); ok && err == nil && !r.Done && r.Reason == "" {
		// The reply of another version in an unknown format: no known field was set.
		err = kinds.New(kinds.Malformed, "reply is not done but gives no reason")
	}
	return out, call.DecodeError(method, err)
}
