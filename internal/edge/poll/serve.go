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
)

const (
	askPath = "/news"
	// mostBytes bounds a message: the whole list of some thousand servers and all owners
	// of keys, and from a VM of an earlier version the rules.
	mostBytes = 8 << 20
	// dialWait is for VMs within a region.
	dialWait = 300 * time.Millisecond
	// answerWait is how much longer than Wait an answer may take to begin before the
	// leader counts as silent.
	answerWait = 500 * time.Millisecond
	// mostAnswer bounds a question and its whole answer: a leader that was cut off while
	// much of its answer is still in the network's buffers is heard no longer than this.
	mostAnswer = 3 * time.Second
	// thinLink is what one VM gets of a leader's link at the least, in bytes a second:
	// one of 10 Mbit/s whose other traffic leaves a quarter, among five that read much
	// at once.
	thinLink = 64 << 10
)

// reading is how long a VM may be busy with an answer of so many bytes, and not ask.
func reading(size int) time.Duration {
	return min(time.Duration(size)*time.Second/thinLink, mostAnswer)
}

// Handler answers questions. Heard is called with each of them.
func (b *Hub) Handler(heard func(*Request)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(askPath, func(c *gin.Context) {
		var a Request
		body := http.MaxBytesReader(c.Writer, c.Request.Body, mostBytes)
		if err := json.NewDecoder(body).Decode(&a); err != nil || a.VM == "" {
			c.Status(http.StatusBadRequest)
			return
		}
		a.came = clock.Now()
		b.note(time.Now(), &a)
		heard(&a)
		b.answer(c, &a)
	})
	engine.GET(rulesPath, b.send)
	return engine
}

// answer sends the news to an asker.
func (b *Hub) answer(c *gin.Context, a *Request) {
	n := b.wait(c.Request.Context(), a)
	body, err := json.Marshal(n)
	if err != nil {
		c.Status(http.StatusInternalServerError)
		return
	}
	if beat, ok := n.heartbeat(); ok {
		beat.write(c.Writer.Header())
	}
	b.busy(time.Now().Add(reading(len(body))), a.VM)
	c.Data(http.StatusOK, gin.MIMEJSON, body)
}

// wait returns news for the asker, as soon as there are some or Wait is over.
func (b *Hub) wait(ctx context.Context, a *Request) Response {
	timer := time.NewTimer(PollTimeout)
	defer timer.Stop()
	for {
		n, worth, more := b.look(time.Now(), a)
		if worth {
			return n
		}
		select {
		case <-more:
		case <-timer.C:
			// What has no news may have changed all the same: for how long the rules are
			// the newest, and the store steady.
			n, _, _ = b.look(time.Now(), a)
			return n
		case <-ctx.Done():
			return n
		}
	}
}

// Client asks other VMs.
type Client struct {
	flow.Counter // of its questions and their answers
	web          *http.Client
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

// Poll asks one VM. Heard is called with the heartbeat of a leader as soon as its
// answer begins and, while it goes on, several times a second. The error carries kind Down.
func (c *Client) Poll(ctx context.Context, at netip.AddrPort, a *Request, heard func(Heartbeat)) (Response, error) {
	var n Response
	ctx, cancel := context.WithTimeout(ctx, mostAnswer)
	defer cancel()
	b, err := json.Marshal(a)
	if err != nil {
		return n, kinds.Wrap(kinds.Internal, err, "encode question")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+askPath, bytes.NewReader(b))
	if err != nil {
		return n, kinds.Wrap(kinds.Internal, err, "question")
	}
	req.Header.Set("Content-Type", gin.MIMEJSON)
	resp, err := flow.DoWithTimeouts(c.web, req, PollTimeout+answerWait, bodySilence)
	if err != nil {
		return n, kinds.Wrap(kinds.Unavailable, err, "ask "+at.String())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return n, kinds.New(kinds.Unavailable, "ask "+at.String()+": "+resp.Status)
	}
	n.ReceivedAt = time.Now()
	body := io.LimitReader(resp.Body, mostBytes)
	if beat, ok := readHeartbeat(resp.Header); ok && heard != nil {
		body = &heartbeatReader{Reader: body, beat: beat, heard: heard}
	}
	if err := json.NewDecoder(body).Decode(&n); err != nil {
		return n, kinds.Wrap(kinds.Unavailable, err, "answer of "+at.String())
	}
	return n, nil
}
