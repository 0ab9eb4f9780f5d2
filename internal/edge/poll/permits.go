package poll

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

const (
	// PermitPath is where a leader answers a PermitRequest.
	PermitPath = "/permits"
	// permitTimeout bounds the wait for an answer. Requests wait for it, and permits count
	// from the question.
	permitTimeout = 300 * time.Millisecond
	// maxPermitBytes bounds a question or an answer: some hundred servers.
	maxPermitBytes = 64 << 10
)

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
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(PermitPath, func(c *gin.Context) {
		var req PermitRequest
		body := http.MaxBytesReader(c.Writer, c.Request.Body, maxPermitBytes)
		if err := json.NewDecoder(body).Decode(&req); err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		c.JSON(http.StatusOK, take(&req))
	})
	return engine
}

// AskPermits asks the leader at an address for permits. The error has kind Unavailable if
// nobody there answers as the leader.
func (c *Client) AskPermits(ctx context.Context, at netip.AddrPort, req *PermitRequest) (PermitResponse, error) {
	var result PermitResponse
	b, err := json.Marshal(req)
	if err != nil {
		return result, kinds.Wrap(kinds.Internal, err, "encode permit request")
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+PermitPath, bytes.NewReader(b))
	if err != nil {
		return result, kinds.Wrap(kinds.Internal, err, "create permit request")
	}
	post.Header.Set("Content-Type", gin.MIMEJSON)
	resp, err := flow.DoWithTimeouts(c.http, post, permitTimeout, bodyIdleTimeout)
	if err != nil {
		return result, kinds.Wrap(kinds.Unavailable, err, "ask "+at.String()+" for permits")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result, kinds.New(kinds.Unavailable, "ask "+at.String()+" for permits: "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPermitBytes)).Decode(&result); err != nil {
		return result, kinds.Wrap(kinds.Unavailable, err, "decode permits of "+at.String())
	}
	if !result.IsLeader || len(result.Grants) != len(req.Asks) {
		return result, kinds.New(kinds.Unavailable, at.String()+" grants no permits")
	}
	return result, nil
}
