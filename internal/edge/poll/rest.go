package poll

import (
	"context"
	"net/http"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/load/rest"
)

// RestPath is where a VM hears that a server wants no requests from it.
const RestPath = "/rest"

// RestHandler passes to told what other VMs say about servers that want no requests from this
// one: they had sent a request through it.
func RestHandler(told func(rest.Report)) http.Handler {
	return callHandler(RestPath, func(r rest.Report) (struct{}, bool) {
		if r.Server == "" || r.Left <= 0 {
			return struct{}{}, false
		}
		told(r)
		return struct{}{}, true
	})
}

// TellRest tells the VM at an address that a server wants no requests from it.
func (c *Client) TellRest(ctx context.Context, at netip.AddrPort, r rest.Report) error {
	return c.call(ctx, at, RestPath, r, nil)
}
