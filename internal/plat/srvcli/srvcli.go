// Package srvcli is the adapter from the interface to a backend server's
// control side to its protocol over HTTP, as served by fake/origin.
//
// A server is spoken to in HTTP/1.1 and JSON until its answers show that it
// takes less: see host.go. What a renewal and a probe cost on the wire, and the
// ways weighed, stand in docs/design/wire.md.
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

// Client is a server.Control over HTTP. The zero value works.
type Client struct {
	// Transport makes what carries the calls to one server in a protocol; nil
	// means Transport of this package.
	Transport func(p *http.Protocols) http.RoundTripper

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

var _ server.Control = (*Client)(nil)

// Grant gives or renews a lease.
func (c *Client) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return do[server.Reply](ctx, c, to, http.MethodPost, PathGrant, o)
}

// Revoke ends the lease of everything not in the order's set.
func (c *Client) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return do[server.Reply](ctx, c, to, http.MethodPost, PathRevoke, o)
}

// Read asks what the server holds.
func (c *Client) Read(ctx context.Context, to netip.AddrPort, svc ident.Service, seat ident.Server) (server.Reply, error) {
	query := url.Values{"svc": {string(svc)}, "seat": {string(seat)}}
	return do[server.Reply](ctx, c, to, http.MethodGet, PathRead+"?"+query.Encode(), nil)
}

// Status asks for the server's own word on its state and load.
func (c *Client) Status(ctx context.Context, to netip.AddrPort) (server.Status, error) {
	return do[server.Status](ctx, c, to, http.MethodGet, PathStatus, nil)
}

// Drain asks the server to finish what it has and take nothing new.
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

// do makes one call in the shortest form that the server is known to take.
func do[T any](ctx context.Context, c *Client, to netip.AddrPort, method, path string, in any) (T, error) {
	var out T
	var body []byte
	h := c.host(to)
	header := http.Header{"Accept": {TypeCBOR}}
	if in != nil {
		kind, err := TypeJSON, error(nil)
		if h.packed {
			kind = TypeCBOR
		}
		if body, err = Encode(kind, in); err != nil {
			return out, kinds.Wrap(kinds.Internal, err, "encode order")
		}
		header["Content-Type"] = []string{kind}
	}
	carrier := call.Client{HTTP: h.client}
	a, err := carrier.Exchange(ctx, method, "http://"+to.String()+path, header, body)
	if err != nil {
		c.forget(to, h)
		return out, err
	}
	c.learn(to, h, a.Header)
	err = Decode(a.Header.Get("Content-Type"), a.Body, &out)
	if r, ok := any(out).(server.Reply); ok && err == nil && !r.Done && r.Reason == "" {
		// Another version's form, of which nothing was understood.
		err = kinds.New(kinds.Malformed, "a reply that neither obeys nor refuses")
	}
	return out, call.DecodeError(method, err)
}
