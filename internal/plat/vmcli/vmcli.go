// Package vmcli is the adapter from the VM list's interface to its HTTP and
// JSON protocol, as served by fake/objapi.
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

// Client is a vmlist.Lister over HTTP.
type Client struct {
	call.Client
	base string

	mu   sync.Mutex
	tag  string // of the list that was read last, if the platform gave one
	last []vmlist.VM
}

var _ vmlist.Lister = (*Client)(nil)

// New makes a client of the VM list at an address.
func New(at netip.AddrPort) *Client { return &Client{base: "http://" + at.String()} }

// VMs reads the list. A row without a name, or of another form, is left out, and
// an address that cannot be read is left empty: one such row, of a newer version
// of the platform or of a network that is not ours, must not hide all the others,
// or every VM would go on with the list of the day before. A list of which no
// row can be read has kind Malformed.
//
// Every entry VM reads the list once a second, and 520 rows are 36 KB. So a read
// names the list that is known by the platform's tag, and is answered in a line
// while it is the same. A platform without tags answers in full.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	c.mu.Lock()
	tag, last := c.tag, c.last
	c.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set(call.HeaderIfNoneMatch, tag)
	}
	a, err := c.Exchange(ctx, http.MethodGet, c.base+"/vms", header, nil)
	if err != nil {
		return nil, err
	}
	if a.NotModified {
		return slices.Clone(last), nil
	}
	all, err := readRows(a.Body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.tag, c.last = a.Header.Get(call.HeaderETag), slices.Clone(all)
	c.mu.Unlock()
	return all, nil
}

func readRows(body []byte) ([]vmlist.VM, error) {
	var rows []json.RawMessage
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, kinds.Wrap(kinds.Malformed, err, "VM list")
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
