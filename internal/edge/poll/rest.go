package poll

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/rest"
)

const (
	// RestPath is where a VM hears that a server wants no requests from it.
	RestPath = "/rest"
	// restTimeout bounds the call. Requests through the other VM are to end in half a second.
	restTimeout = 300 * time.Millisecond
	// maxRestBytes bounds a message.
	maxRestBytes = 4 << 10
)

// RestHandler passes to told what other VMs say about servers that want no requests from this
// one: they had sent a request through it.
func RestHandler(told func(rest.Report)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(RestPath, func(c *gin.Context) {
		var r rest.Report
		body := http.MaxBytesReader(c.Writer, c.Request.Body, maxRestBytes)
		if err := json.NewDecoder(body).Decode(&r); err != nil || r.Server == "" || r.Left <= 0 {
			c.Status(http.StatusBadRequest)
			return
		}
		told(r)
		c.Status(http.StatusNoContent)
	})
	return engine
}

// TellRest tells the VM at an address that a server wants no requests from it. The error has
// kind Unavailable.
func (c *Client) TellRest(ctx context.Context, at netip.AddrPort, r rest.Report) error {
	b, err := json.Marshal(r)
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "encode rest")
	}
	ctx, cancel := context.WithTimeout(ctx, restTimeout)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+RestPath, bytes.NewReader(b))
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "create rest request")
	}
	post.Header.Set("Content-Type", gin.MIMEJSON)
	resp, err := flow.DoWithTimeouts(c.http, post, restTimeout, bodyIdleTimeout)
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "tell "+at.String()+" of a rest")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return kinds.New(kinds.Unavailable, "tell "+at.String()+" of a rest: "+resp.Status)
	}
	return nil
}
