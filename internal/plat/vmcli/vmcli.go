// Package vmcli is the adapter from the VM list's interface to its HTTP and
// JSON protocol, as served by fake/objapi.
package vmcli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
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

// VMs reads the list. A row without a name, or of another form, is left out, and
// an address that cannot be read is left empty: one such row, of a newer version
// of the platform or of a network that is not ours, must not hide all the others,
// or every VM would go on with the list of the day before. A list of which no
// row can be read has kind Malformed.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	var rows []json.RawMessage
	if err := c.Do(ctx, http.MethodGet, c.base+"/vms", nil, &rows); err != nil {
		return nil, err
	}
	all := make([]vmlist.VM, 0, len(rows))
	for _, raw := range rows {
		if vm, ok := readRow(raw); ok {
			all = append(all, vm)
		}
	}
	if len(rows) > 0 && len(all) == 0 {
		return nil, kinds.New(kinds.Malformed, "no row of the VM list can be read")
	}
	return all, nil
}

func readRow(raw []byte) (vmlist.VM, bool) {
	var r struct {
		ID     ident.VM     `json:"id"`
		Addr   string       `json:"addr"`
		Centre ident.Centre `json:"centre"`
		State  vmlist.State `json:"state"`
	}
	if json.Unmarshal(raw, &r) != nil || r.ID == "" {
		return vmlist.VM{}, false
	}
	vm := vmlist.VM{ID: r.ID, Centre: r.Centre, State: r.State}
	if at, err := netip.ParseAddrPort(r.Addr); err == nil {
		vm.Addr = at
	}
	return vm, true
}
