package poll

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

// PermitPath is where a leader answers a PermitRequest.
const PermitPath = "/permits"

// PermitRequest asks the leader for permits to send requests to servers that limit them.
type PermitRequest struct {
	VM      ident.VM                   `json:"vm"`
	Asks    []PermitAsk                `json:"asks"`
	Notices LenientList[notice.Report] `json:"notices,omitempty"` // what the sender knows of these servers
}

// PermitAsk asks for N permits for one server.
type PermitAsk struct {
	Server      ident.Server `json:"server"`
	Incarnation int64        `json:"born,omitempty"`
	N           int          `json:"n"`
}

// PermitResponse answers a PermitRequest.
type PermitResponse struct {
	IsLeader bool          `json:"leads"`
	Grants   []PermitGrant `json:"grants,omitempty"` // in the order of Asks
}

// PermitGrant answers one PermitAsk.
type PermitGrant struct {
	N    int           `json:"n"`
	Next time.Duration `json:"next,omitempty"` // after which there will be another permit
}

// PermitHandler answers the PermitRequests of other VMs with what take returns.
func PermitHandler(take func(*PermitRequest) PermitResponse) http.Handler {
	return callHandler(PermitPath, func(req PermitRequest) (PermitResponse, bool) { return take(&req), true })
}

// AskPermits asks the leader at an address for permits. The error has kind Unavailable if
// nobody there answers as the leader.
func (c *Client) AskPermits(ctx context.Context, at netip.AddrPort, req *PermitRequest) (PermitResponse, error) {
	var resp PermitResponse
	if err := c.call(ctx, at, PermitPath, req, &resp); err != nil {
		return resp, err
	}
	if !resp.IsLeader || len(resp.Grants) != len(req.Asks) {
		return resp, kinds.New(kinds.Unavailable, at.String()+" grants no permits")
	}
	return resp, nil
}
