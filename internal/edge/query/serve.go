package query

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

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const (
	askPath = "/news"
	// mostBytes bounds a message: the whole list of some thousand servers and all owners
	// of keys, and from a VM of an earlier version the rules.
	mostBytes = 8 << 20
	// dialWait is for VMs within a region.
	dialWait = 300 * time.Millisecond
	// answerWait is how much longer than Wait an answer may take before the leader
	// counts as silent.
	answerWait = 500 * time.Millisecond
)

// Handler answers questions. Heard is called with each of them.
func (b *Board) Handler(heard func(*Ask)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(askPath, func(c *gin.Context) {
		var a Ask
		body := http.MaxBytesReader(c.Writer, c.Request.Body, mostBytes)
		if err := json.NewDecoder(body).Decode(&a); err != nil || a.VM == "" {
			c.Status(http.StatusBadRequest)
			return
		}
		b.note(time.Now(), &a)
		heard(&a)
		c.JSON(http.StatusOK, b.wait(c.Request.Context(), &a))
	})
	engine.GET(rulesPath, b.send)
	return engine
}

// wait returns news for the asker, as soon as there are some or Wait is over.
func (b *Board) wait(ctx context.Context, a *Ask) News {
	timer := time.NewTimer(Wait)
	defer timer.Stop()
	for {
		n, worth, more := b.look(time.Now(), a)
		if worth {
			return n
		}
		select {
		case <-more:
		case <-timer.C:
			return n
		case <-ctx.Done():
			return n
		}
	}
}

// Client asks other VMs.
type Client struct {
	flow.Flow // of its questions and their answers
	web       *http.Client
}

// NewClient makes a client. Each question has a connection of its own kept, and
// every wait has an end: a connection can go silent for good.
func NewClient() *Client {
	dial := net.Dialer{Timeout: dialWait, KeepAlive: -1}
	c := &Client{}
	c.web = &http.Client{Transport: &http.Transport{
		DialContext: c.Count(dial.DialContext), DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	}}
	return c
}

// Ask asks one VM. The error carries kind Down.
func (c *Client) Ask(ctx context.Context, at netip.AddrPort, a *Ask) (News, error) {
	var n News
	ctx, cancel := context.WithTimeout(ctx, Wait+answerWait)
	defer cancel()
	b, err := json.Marshal(a)
	if err != nil {
		return n, kinds.Wrap(kinds.Internal, err, "encode question")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+askPath, bytes.NewReader(b))
	if err != nil {
		return n, kinds.Wrap(kinds.Internal, err, "question")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.web.Do(req)
	if err != nil {
		return n, kinds.Wrap(kinds.Down, err, "ask "+at.String())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return n, kinds.New(kinds.Down, "ask "+at.String()+": "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostBytes)).Decode(&n); err != nil {
		return n, kinds.Wrap(kinds.Down, err, "answer of "+at.String())
	}
	return n, nil
}
