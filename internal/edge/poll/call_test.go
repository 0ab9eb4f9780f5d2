package poll

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
	"hawthornfield.org/hawthornfield/internal/load/shed"
)

func serveCalls(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	web := httptest.NewServer(h)
	t.Cleanup(web.Close)
	at, err := netip.ParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	assert.NilError(t, err)
	return at
}

// Guards against permits of a VM that does not lead, or for other asks, being used.
func TestOnlyALeaderGrantsPermits(t *testing.T) {
	var resp PermitResponse
	at := serveCalls(t, PermitHandler(func(req *PermitRequest) PermitResponse {
		assert.Equal(t, req.Asks[0].N, 2)
		return resp
	}))
	ask := &PermitRequest{VM: "vm-1", Asks: []PermitAsk{{Server: "s1", N: 2}}}
	c := NewClient()
	for _, resp = range []PermitResponse{{Grants: []PermitGrant{{N: 2}}}, {IsLeader: true}} {
		_, err := c.AskPermits(t.Context(), at, ask)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	}
	resp = PermitResponse{IsLeader: true, Grants: []PermitGrant{{N: 1, Next: time.Second}}}
	got, err := c.AskPermits(t.Context(), at, ask)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, resp)
}

// Guards against a message that cannot be read, or says nothing, being taken for a server that sheds requests.
func TestOnlyAReportThatNamesItsServerIsTaken(t *testing.T) {
	var told []shed.Report
	at := serveCalls(t, SheddingHandler(func(r shed.Report) { told = append(told, r) }))
	c := NewClient()
	for _, bad := range []shed.Report{{Left: time.Second}, {Server: "s1"}, {Server: "s1", Left: -1}} {
		assert.Equal(t, kinds.Of(c.TellShedding(t.Context(), at, bad)), kinds.Unavailable)
	}
	assert.Equal(t, kinds.Of(c.call(t.Context(), at, SheddingPath, "text", nil)), kinds.Unavailable)
	assert.NilError(t, c.TellShedding(t.Context(), at, shed.Report{Server: "s1", Left: time.Second}))
	assert.Equal(t, len(told), 1)
}

// BenchmarkAskPermits measures a question for one permit with its answer, at both VMs.
func BenchmarkAskPermits(b *testing.B) {
	web := httptest.NewServer(PermitHandler(func(req *PermitRequest) PermitResponse {
		return PermitResponse{IsLeader: true, Grants: make([]PermitGrant, len(req.Asks))}
	}))
	defer web.Close()
	at := netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	c := NewClient()
	ask := &PermitRequest{VM: "vm-1", Asks: []PermitAsk{{Server: "i-041889fa5b", Incarnation: 1796378999083, N: 1}}}
	for b.Loop() {
		if _, err := c.AskPermits(b.Context(), at, ask); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(c.Bytes())/float64(b.N), "B/op-wire")
}

// Guards against a call to another VM that takes a change of protocols for an answer.
func TestACallTakesOnlyAnswers(t *testing.T) {
	held := make(chan struct{})
	at := serveCalls(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: any\r\n\r\n")
		<-held
	}))
	defer close(held)
	c := NewClient()
	_, err := c.Poll(t.Context(), at, &Request{}, nil)
	assert.Assert(t, errors.Is(err, reply.ErrStatus), "%v", err)
	_, _, err = c.Rules(t.Context(), at, 1)
	assert.Assert(t, errors.Is(err, reply.ErrStatus), "%v", err)
}

// Guards against a part of a message between VMs that is taken for all of it because what has come is valid JSON.
func TestAPartOfAMessageIsNoMessage(t *testing.T) {
	for name, rest := range map[string]string{"cut off": "", "malformed trailer": "0\r\nX Sum: 5\r\n\r\n", "two messages": "2\r\n{}\r\n0\r\n\r\n"} {
		at := serveCalls(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"vm\":\"vm-1\"}\r\n"+rest)
		}))
		c := NewClient()
		_, err := c.Poll(t.Context(), at, &Request{}, nil)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable, "%s", name)
		_, err = c.AskPermits(t.Context(), at, &PermitRequest{})
		assert.Equal(t, kinds.Of(err), kinds.Unavailable, "%s", name)
	}
}
