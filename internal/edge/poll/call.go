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
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const (
	// callTimeout bounds a call and its response. Requests of callers wait for some of them.
	callTimeout = 300 * time.Millisecond
	// maxCallBytes bounds a call or its response, which holds some hundred servers.
	maxCallBytes = 64 << 10
)

// call sends a message to a path of the VM at an address and decodes the response, unless out
// is nil. The error has kind Unavailable, or Internal if the message cannot be encoded.
func (c *Client) call(ctx context.Context, at netip.AddrPort, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "encode "+path)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+path, bytes.NewReader(b))
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "create "+path)
	}
	req.Header.Set("Content-Type", gin.MIMEJSON)
	resp, err := flow.DoWithTimeouts(c.http, req, callTimeout, bodyIdleTimeout)
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "call "+at.String()+path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kinds.New(kinds.Unavailable, "call "+at.String()+path+": "+resp.Status)
	}
	if out == nil {
		return nil
	}
	err = decodeWhole(resp.Body, maxCallBytes, out)
	return kinds.Wrap(kinds.Unavailable, err, "decode response of "+at.String()+path)
}

// decodeWhole decodes a body that holds one message of at most limit bytes, and nothing else. The
// response is an answer only if its body comes to an end.
func decodeWhole(body io.Reader, limit int64, out any) error {
	b, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// callHandler answers calls to a path with what answer returns, or with 400 if it returns
// false or the message cannot be read.
func callHandler[In, Out any](path string, answer func(In) (Out, bool)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(path, func(c *gin.Context) {
		var in In
		body := http.MaxBytesReader(c.Writer, c.Request.Body, maxCallBytes)
		if err := json.NewDecoder(body).Decode(&in); err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		out, ok := answer(in)
		if !ok {
			c.Status(http.StatusBadRequest)
			return
		}
		c.JSON(http.StatusOK, out)
	})
	return engine
}
