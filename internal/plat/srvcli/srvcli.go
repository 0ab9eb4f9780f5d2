// Package srvcli is the adapter from the interface to a backend server's
// control side to its HTTP and JSON protocol, as served by fake/origin.
package srvcli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"

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
	PathHealth = "/control/health"
	PathLoad   = "/control/load"
	PathDrain  = "/control/drain"
	PathCancel = "/control/cancel"
)

// Client is a server.Control over HTTP. The zero value works.
type Client struct {
	call.Client
}

var _ server.Control = (*Client)(nil)

// Grant gives or renews a lease.
func (c *Client) Grant(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return post[server.Reply](ctx, c, to, PathGrant, o)
}

// Revoke ends the lease of everything not in the order's set.
func (c *Client) Revoke(ctx context.Context, to netip.AddrPort, o server.Order) (server.Reply, error) {
	return post[server.Reply](ctx, c, to, PathRevoke, o)
}

// Read asks what the server holds.
func (c *Client) Read(ctx context.Context, to netip.AddrPort, svc ident.Service) (server.Reply, error) {
	return get[server.Reply](ctx, c, to, PathRead+"?svc="+url.QueryEscape(string(svc)))
}

// Health asks for the server's own word on its state.
func (c *Client) Health(ctx context.Context, to netip.AddrPort) (server.Health, error) {
	return get[server.Health](ctx, c, to, PathHealth)
}

// Load asks for the server's own word on its load.
func (c *Client) Load(ctx context.Context, to netip.AddrPort) (server.Load, error) {
	return get[server.Load](ctx, c, to, PathLoad)
}

// Drain asks the server to finish what it has and take nothing new.
func (c *Client) Drain(ctx context.Context, to netip.AddrPort) error {
	_, err := post[struct{}](ctx, c, to, PathDrain, struct{}{})
	return err
}

// Cancel asks the server to stop working on a request.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, id ident.Request) error {
	_, err := post[struct{}](ctx, c, to, PathCancel, CancelBody{ID: id})
	return err
}

// CancelBody is the body of a Cancel call.
type CancelBody struct {
	ID ident.Request `json:"id"`
}

func post[T any](ctx context.Context, c *Client, to netip.AddrPort, path string, in any) (T, error) {
	var out T
	body, err := json.Marshal(in)
	if err != nil {
		return out, kinds.Wrap(kinds.Internal, err, "encode order")
	}
	err = c.Do(ctx, http.MethodPost, "http://"+to.String()+path, body, &out)
	return out, err
}

func get[T any](ctx context.Context, c *Client, to netip.AddrPort, path string) (T, error) {
	var out T
	err := c.Do(ctx, http.MethodGet, "http://"+to.String()+path, nil, &out)
	return out, err
}
