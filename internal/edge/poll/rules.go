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

// Rules are the one thing that all VMs know in common and that is large: up to a
// megabyte. In the answers to questions they would fill the leader's network link, once
// for each VM, and hold up the news beside them. So the news only name the newest
// revision, and who lacks it asks any VM that has it, see [Client.RulesRev].

// RawRules is something that the store holds, as it stands there.
type RawRules struct {
	Rev  uint64          `json:"rev"`
	Data json.RawMessage `json:"data"`

	packed []byte // Data as another VM sent it, to be sent on
}

const (
	rulesPath  = "/rules"
	afterParam = "after"        // the newest revision that the asker has
	headerRev  = "Hawthorn-Rev" // of the rules in an answer
	// mostSent is how many VMs get the rules from this one at once. The others go on to
	// a VM that has them by then, so that the number of those triples with each turn and
	// none fills its link with them.
	mostSent = 3
	// mostRules bounds rules as they are unpacked, in bytes: twice what the store holds.
	mostRules = 2 * object.MaxValue
	// piece is written under one deadline, in bytes.
	piece = 16 << 10
)

// Times of a request for rules.
const (
	// rulesWait is for the beginning of the answer, which nothing holds up.
	rulesWait = 500 * time.Millisecond
	// bodySilence is how long the rest of an answer may pause. A network that is busy
	// loses packets and sends them again after a fifth of a second, then two.
	bodySilence = time.Second
)

// payload is rules to be sent to other VMs, compressed when the first asks for them: the
// fast way, since VMs have a fifth of a core and callers wait meanwhile.
type payload struct {
	RawRules
	once sync.Once
}

// pack returns the compressed rules.
func (p *payload) pack() []byte {
	p.once.Do(func() {
		if p.packed != nil {
			return
		}
		var b bytes.Buffer
		z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // fails for unknown levels only
		_, _ = z.Write(p.Data)                          // a buffer takes everything
		_ = z.Close()
		p.packed = b.Bytes()
	})
	return p.packed
}

// newer returns the rules known here if they are newer than a revision, or nil.
func (b *Hub) newer(after uint64) *payload {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rules.Rev <= after {
		return nil
	}
	return b.rules
}

// send answers a request for rules: 204 without newer ones, 503 while as many VMs as may
// be get them already.
func (b *Hub) send(c *gin.Context) {
	after, err := strconv.ParseUint(c.Query(afterParam), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	p := b.newer(after)
	if p == nil {
		c.Status(http.StatusNoContent)
		return
	}
	if !b.sending.TryAcquire(1) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	defer b.sending.Release(1)
	packed := p.pack()
	c.Header(headerRev, strconv.FormatUint(p.Rev, 10))
	c.Header("Content-Type", "application/gzip")
	c.Header("Content-Length", strconv.Itoa(len(packed)))
	c.Status(http.StatusOK)
	if writeAll(c.Writer, packed) {
		arrived(c.Request.Context())
	}
}

// writeAll writes in pieces, and gives up when one does not leave in time: an asker that
// was cut off would keep its place from others until the network gives up on it.
func writeAll(w http.ResponseWriter, b []byte) bool {
	ctl := http.NewResponseController(w)
	for part := range slices.Chunk(b, piece) {
		if ctl.SetWriteDeadline(time.Now().Add(bodySilence)) != nil {
			return false
		}
		if _, err := w.Write(part); err != nil {
			return false
		}
	}
	return ctl.Flush() == nil
}

// arrived waits until the asker has closed its connection, which it does when it has
// everything. What is written has only reached the system's buffers: without this wait
// all VMs would be served at once, and share a link that is thin.
func arrived(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bodySilence)
	defer cancel()
	<-ctx.Done()
}

// Rules asks one VM for rules newer than a revision, and returns how many bytes they
// were on the way. The error carries kind Absent where the VM has none, Busy while it
// sends them to others, Malformed for what cannot be unpacked, and Down.
func (c *Client) Rules(ctx context.Context, at netip.AddrPort, after uint64) (RawRules, int, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", at, rulesPath, afterParam, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Internal, err, "request for rules")
	}
	req.Close = true // tells the other VM that they have arrived
	resp, err := flow.DoWithTimeouts(c.web, req, rulesWait, bodySilence)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Unavailable, err, "rules of "+at.String())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return RawRules{}, 0, kinds.New(kinds.NotFound, "no newer rules at "+at.String())
	case http.StatusServiceUnavailable:
		return RawRules{}, 0, kinds.New(kinds.Busy, at.String()+" sends rules to others")
	default:
		return RawRules{}, 0, kinds.New(kinds.Unavailable, "rules of "+at.String()+": "+resp.Status)
	}
	rev, err := strconv.ParseUint(resp.Header.Get(headerRev), 10, 64)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Malformed, err, "revision of rules of "+at.String())
	}
	packed, err := io.ReadAll(io.LimitReader(resp.Body, mostRules))
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Unavailable, err, "rules of "+at.String())
	}
	data, err := unpack(packed)
	if err != nil {
		return RawRules{}, 0, kinds.Wrap(kinds.Malformed, err, "rules of "+at.String())
	}
	return RawRules{Rev: rev, Data: data, packed: packed}, len(packed), nil
}

// unpack decompresses rules. More than the store can hold is Malformed.
func unpack(packed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(z, mostRules+1))
	if err != nil {
		return nil, err
	}
	if len(b) > mostRules {
		return nil, kinds.New(kinds.Malformed, fmt.Sprintf("more than %d bytes", mostRules))
	}
	return b, nil
}
