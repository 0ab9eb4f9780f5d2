// Package vmcli is the adapter from the VM list's interface to its HTTP and
// JSON protocol, as served by fake/objapi.
package vmcli

import (
	"context"
	"net/http"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/plat/call"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Client is a vmlist.Lister over HTTP.
type Client struct {
	call.Client
	base string
}

var _ vmlist.Lister = (*Client)(nil)

// New makes a client of the VM list at an address.
func New(at netip.AddrPort) *Client { return &Client{base: "http://" + at.String()} }

// VMs reads the list.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	var all []vmlist.VM
	err := c.Do(ctx, http.MethodGet, c.base+"/vms", nil, &all)
	return all, err
}
