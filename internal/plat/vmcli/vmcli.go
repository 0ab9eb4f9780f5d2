// Package vmcli implements the VM list interface over the platform's HTTP and JSON
// protocol, which package fake/objapi serves in tests.
package vmcli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/call"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Client is a [vmlist.Lister] over HTTP.
type Client struct {
	call.Client
	base string

	mu       sync.Mutex
	etag     string // ETag of lastList; empty if the platform sends none
	lastList []vmlist.VM
}

var _ vmlist.Lister = (*Client)(nil)

// New returns a client of the VM list at addr.
func New(addr netip.AddrPort) *Client { return &Client{base: "http://" + addr.String()} }

// VMs reads the list. It omits a row that has no ID or an unknown format, and leaves
// an address empty that cannot be parsed. Such a row may come from a newer version
// of the platform or from a foreign network. If it failed the whole list, every VM
// would continue with an outdated list. The error has kind Malformed if the list has
// rows but none of them can be parsed.
//
// Every entry VM reads the list once a second, and 520 rows are 36 KB. A read
// therefore sends the ETag of the last list, and the response has no body while the
// list is unchanged. A platform without ETags always sends the full list.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	c.mu.Lock()
	etag, lastList := c.etag, c.lastList
	c.mu.Unlock()
	header := http.Header{}
	if etag != "" {
		header.Set(call.HeaderIfNoneMatch, etag)
	}
	a, err := c.Exchange(ctx, http.MethodGet, c.base+"/vms", header, nil)
	if err != nil {
		return nil, err
	}
	if a.NotModified {
		return slices.Clone(lastList), nil
	}
	all, err := parseRows(a.Body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.etag, c.lastList = a.Header.Get(call.HeaderETag), slices.Clone(all)
	c.mu.Unlock()
	return all, nil
}

// parseRows returns the valid rows of a list.
func parseRows(body []byte) ([]vmlist.VM, error) {
	var rows []json.RawMessage
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, kinds.Wrap(kinds.Malformed, err, "VM list")
	}
	all := make([]vmlist.VM, 0, len(rows))
	for _, raw := range rows {
		if vm, ok := parseRow(raw); ok {
			all = append(all, vm)
		}
	}
	if len(rows) > 0 && len(all) == 0 {
		return nil, kinds.New(kinds.Malformed, "no row of the VM list can be parsed")
	}
	return all, nil
}

// parseRow parses one row and reports whether it has an ID and a known format.
func parseRow(raw []byte) (vmlist.VM, bool) {
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
	if addr, err := netip.ParseAddrPort(r.Addr); err == nil {
		vm.Addr = addr
	}
	return vm, true
}
