package poll

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Rules are the only large data that all VMs share, up to a megabyte. In poll responses
// they would fill the leader's network link, once for each VM, and delay the other news.
// So a response only names the newest revision, and a VM that lacks it fetches it from
// any VM that has it, see [Client.Rules].

// RawRules holds rules as they are stored.
type RawRules struct {
	Rev  uint64          `json:"rev"`
	Data json.RawMessage `json:"data"`

	gzipped []byte // Data as another VM sent it, for forwarding
}

const (
	rulesPath  = "/ruleset"
	afterParam = "after"        // the newest revision that the client has
	headerRev  = "Hawthorn-Rev" // revision of the rules in a response
	// maxRulesTransfers is how many VMs can fetch the rules from this one at once. The
	// others turn to a VM that has them by then, so the number of VMs with the rules
	// triples with each turn and none fills its link with transfers.
	maxRulesTransfers = 3
	// maxRulesBytes bounds decompressed rules, in bytes: twice what the store can hold.
	maxRulesBytes = 2 * object.MaxValue
	// writeChunk is how many bytes are written under one deadline.
	writeChunk = 16 << 10
)

// Timeouts of a request for rules.
const (
	// rulesTimeout bounds the wait for the start of a response, which is sent without
	// delay.
	rulesTimeout = 500 * time.Millisecond
	// bodyIdleTimeout is the longest pause within a response. A busy network loses
	// packets and sends them again after a fifth of a second, then after two fifths.
	bodyIdleTimeout = time.Second
)

// rulesPayload holds rules to send to other VMs. They are compressed when the first VM
// asks, with the fastest method, because a VM may have a fifth of a processor and callers
// wait meanwhile.
type rulesPayload struct {
	RawRules
	once sync.Once
}

// compressed returns the rules in gzip format.
func (p *rulesPayload) compressed() []byte {
	p.once.Do(func() {
		if p.gzipped != nil {
			return
		}
		var b bytes.Buffer
		z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // fails only for unknown levels
		_, _ = z.Write(p.Data)                          // writes to a buffer cannot fail
		_ = z.Close()
		p.gzipped = b.Bytes()
	})
	return p.gzipped
}

// newerRules returns the rules known here if they are newer than a revision, or nil.
func (h *Hub) newerRules(after uint64) *rulesPayload {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rules.Rev <= after {
		return nil
	}
	return h.rules
}

// serveRules handles a request for rules. It answers 204 if there are no newer ones and
// 503 while the maximum number of transfers is running.
func (h *Hub) serveRules(c *gin.Context) {
	after, err := strconv.ParseUint(c.Query(afterParam), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	p := h.newerRules(after)
	if p == nil {
		c.Status(http.StatusNoContent)
		return
	}
	if !h.rulesSlots.TryAcquire(1) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	defer h.rulesSlots.Release(1)
	gz := p.compressed()
	c.Header(headerRev, strconv.FormatUint(p.Rev, 10))
	c.Header("Content-Type", "application/gzip")
	c.Header("Content-Length", strconv.Itoa(len(gz)))
	c.Status(http.StatusOK)
	if writeAll(c.Writer, gz) {
		waitForClose(c.Request.Context())
	}
}

// writeAll writes in chunks and gives up if one is not sent in time. Otherwise a client
// that was cut off would occupy a transfer slot until the network gives up on it.
func writeAll(w http.ResponseWriter, b []byte) bool {
	ctl := http.NewResponseController(w)
	for part := range slices.Chunk(b, writeChunk) {
		if ctl.SetWriteDeadline(time.Now().Add(bodyIdleTimeout)) != nil {
			return false
		}
		if _, err := w.Write(part); err != nil {
			return false
		}
	}
	return ctl.Flush() == nil
}

// waitForClose waits until the client closes its connection, which it does when it has
// received everything. Data that has been written may still be in the system's buffers;
// without this wait all VMs would be served at once and share a slow link.
func waitForClose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bodyIdleTimeout)
	defer cancel()
	<-ctx.Done()
}

// Rules fetches rules newer than a revision from one VM. It also returns their compressed
// size in bytes. The error has kind NotFound if the VM has none, Busy if it is sending
// them to other VMs, Malformed if they cannot be decompressed, and Unavailable otherwise.
func (c *Client) Rules(ctx context.Context, at netip.AddrPort, after uint64) (RawRules, int, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", at, rulesPath, afterParam, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Internal, err, "create rules request")
	}
	req.Close = true // closing the connection tells the other VM that the rules have arrived
	resp, err := flow.DoWithTimeouts(c.http, req, rulesTimeout, bodyIdleTimeout)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Unavailable, err, "fetch rules from "+at.String())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return RawRules{}, 0, kinds.New(kinds.NotFound, "no newer rules at "+at.String())
	case http.StatusServiceUnavailable:
		return RawRules{}, 0, kinds.New(kinds.Busy, at.String()+" is sending rules to other VMs")
	default:
		return RawRules{}, 0, kinds.New(kinds.Unavailable, "fetch rules from "+at.String()+": "+resp.Status)
	}
	rev, err := strconv.ParseUint(resp.Header.Get(headerRev), 10, 64)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Malformed, err, "parse rules revision from "+at.String())
	}
	gz, err := io.ReadAll(io.LimitReader(resp.Body, maxRulesBytes))
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Unavailable, err, "fetch rules from "+at.String())
	}
	data, err := decompress(gz)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Malformed, err, "fetch rules from "+at.String())
	}
	return RawRules{Rev: rev, Data: data, gzipped: gz}, len(gz), nil
}

// decompress decompresses rules. The error has kind Malformed if they are larger than
// maxRulesBytes.
func decompress(gz []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(gz))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(z, maxRulesBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxRulesBytes {
		return nil, kinds.New(kinds.Malformed, fmt.Sprintf("more than %d bytes", maxRulesBytes))
	}
	return b, nil
}
