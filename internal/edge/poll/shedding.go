package poll

import (
	"context"
	"net/http"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/load/shed"
)

// SheddingPath is where a VM hears that a server wants no requests from it.
const SheddingPath = "/shedding"

// SheddingHandler passes to told what other VMs say about servers that want no requests from this
// one: they had sent a request through it.
func SheddingHandler(told func(shed.Report)) http.Handler {
	return callHandler(SheddingPath, func(r shed.Report) (struct{}, bool) {
		if r.Server == "" || r.Left <= 0 {
			return struct{}{}, false
		}
		told(r)
		return struct{}{}, true
	})
}

// TellShedding tells the VM at an address that a server wants no requests from it.
func (c *Client) TellShedding(ctx context.Context, at netip.AddrPort, r shed.Report) error {
	return c.call(ctx, at, SheddingPath, r, nil)
}
