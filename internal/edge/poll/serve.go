package poll

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

const (
	pollPath = "/news"
	// maxMessageBytes bounds a message. The largest holds the complete list of some
	// thousand servers, all key owners and, from a VM of an earlier version, the rules.
	maxMessageBytes = 8 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// dialTimeout is for VMs in the same region.
	dialTimeout = 300 * time.Millisecond
	// answerTimeout is how much longer than PollTimeout a response may take to begin
	// before the leader counts as silent.
	answerTimeout = 500 * time.Millisecond
	// pollDeadline bounds a poll including its response. It limits how long a leader that
	// was cut off still counts as alive because parts of its response are in the
	// network's buffers.
	pollDeadline = 3 * time.Second
	// minLinkRate is the least bandwidth that a VM gets of the leader's link, in bytes
	// per second: other traffic leaves a quarter of a 10 Mbit/s link, and five VMs that
	// read large responses share it.
	minLinkRate = 64 << 10
)

// readTime returns how long a VM may take to read a response of size bytes, during which
// it does not poll.
func readTime(size int) time.Duration {
	return min(time.Duration(size)*time.Second/minLinkRate, pollDeadline)
}

// Handler returns the handler for requests of other VMs. It calls onRequest with each
// poll request.
func (h *Hub) Handler(onRequest func(*Request)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(pollPath, func(c *gin.Context) {
		var req Request
		body := http.MaxBytesReader(c.Writer, c.Request.Body, maxMessageBytes)
		if err := json.NewDecoder(body).Decode(&req); err != nil || req.VM == "" {
			c.Status(http.StatusBadRequest)
			return
		}
		req.receivedAt = clock.Now()
		h.notePeer(time.Now(), &req)
		onRequest(&req)
		h.servePoll(c, &req)
	})
	engine.GET(rulesPath, h.serveRules)
	return engine
}

// servePoll sends the response to a poll request.
func (h *Hub) servePoll(c *gin.Context, req *Request) {
	resp := h.waitResponse(c.Request.Context(), req)
	h.addFleet(req, &resp)
	body, err := json.Marshal(resp)
	if err != nil {
		c.Status(http.StatusInternalServerError)
		return
	}
	if hb, ok := resp.heartbeat(); ok {
		hb.write(c.Writer.Header())
	}
	h.extendPeer(time.Now().Add(readTime(len(body))), req.VM)
	c.Writer.Header()["Date"] = nil // nobody reads it, and it is a tenth of the response
	c.Data(http.StatusOK, gin.MIMEJSON, body)
}

// waitResponse returns a response as soon as there is news or PollTimeout is over.
func (h *Hub) waitResponse(ctx context.Context, req *Request) Response {
	timer := time.NewTimer(PollTimeout)
	defer timer.Stop()
	for {
		resp, hasNews, changed := h.response(time.Now(), req)
		if hasNews {
			return resp
		}
		select {
		case <-changed:
		case <-timer.C:
			// Even without news, the freshness of the rules and the store's uptime may
			// have changed.
			resp, _, _ = h.response(time.Now(), req)
			return resp
		case <-ctx.Done():
			return resp
		}
	}
}

// Client sends requests to other VMs.
type Client struct {
	flow.Counter // counts the bytes of its requests and responses
	http         *http.Client
}

// NewClient creates a client. It keeps idle connections, and every wait is bounded
// because a connection can go silent for good.
func NewClient() *Client {
	dial := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c := &Client{}
	c.http = reply.NewClient(&http.Transport{
		DialContext: c.Count(dial.DialContext), DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	})
	return c
}

// Poll polls one VM. It calls onHeartbeat with the heartbeat of a leader as soon as the
// response begins and several times a second while it arrives. The error has kind
// Unavailable.
func (c *Client) Poll(ctx context.Context, at netip.AddrPort, pollReq *Request, onHeartbeat func(Heartbeat)) (Response, error) {
	var result Response
	ctx, cancel := context.WithTimeout(ctx, pollDeadline)
	defer cancel()
	b, err := json.Marshal(pollReq)
	if err != nil {
		return result, kinds.Wrap(kinds.Internal, err, "encode poll request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+pollPath, bytes.NewReader(b))
	if err != nil {
		return result, kinds.Wrap(kinds.Internal, err, "create poll request")
	}
	req.Header["User-Agent"] = nil // nobody reads it
	resp, err := flow.DoWithTimeouts(c.http, req, PollTimeout+answerTimeout, bodyIdleTimeout)
	if err != nil {
		return result, kinds.Wrap(kinds.Unavailable, err, "poll "+at.String())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result, kinds.New(kinds.Unavailable, "poll "+at.String()+": "+resp.Status)
	}
	result.ReceivedAt = time.Now()
	body := io.Reader(resp.Body)
	if hb, ok := readHeartbeat(resp.Header); ok && onHeartbeat != nil {
		body = &heartbeatReader{Reader: body, heartbeat: hb, onHeartbeat: onHeartbeat}
	}
	if err := decodeWhole(body, maxMessageBytes, &result); err != nil {
		return result, kinds.Wrap(kinds.Unavailable, err, "decode poll response of "+at.String())
	}
	return result, nil
}
