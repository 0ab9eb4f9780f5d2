package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// serveRaw replaces the backend server at an address with one that answers each request with
// the given bytes and closes the connection.
func (tb *testbed) serveRaw(at netip.AddrPort, answer func(r *http.Request) string) {
	l := tb.net.Listen(at)
	tb.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = l.Close() })()
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			tb.group.Go(func(ctx context.Context) error {
				defer context.AfterFunc(ctx, func() { _ = c.Close() })()
				answerRaw(c, answer)
				return nil
			})
		}
	})
}

func answerRaw(c net.Conn, answer func(r *http.Request) string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, answer(r)) // fails if the entry VM has closed the connection
}

// pipelinedAddr is the address of a listener whose connections are read ahead.
var pipelinedAddr = netip.MustParseAddrPort("10.0.0.7:80")

// dialPipelined connects to the entry VM over a connection that is read ahead.
func (tb *testbed) dialPipelined() (net.Conn, func()) {
	reader := tb.front.Pipeline()
	l := tb.net.Listen(pipelinedAddr)
	web := &http.Server{Handler: tb.front.Handler(), ConnContext: pipe.Context}
	tb.group.Go(func(context.Context) error { _ = web.Serve(reader.Listen(l)); return nil })
	c, err := tb.net.Dial(tb.t.Context(), pipelinedAddr)
	assert.NilError(tb.t, err)
	return c, func() {
		_ = c.Close()
		assert.NilError(tb.t, web.Close())
		assert.NilError(tb.t, reader.Close())
	}
}

// sendTogether sends a GET request for each path at once and returns the statuses of the
// answers.
func sendTogether(t *testing.T, c net.Conn, paths ...string) []int {
	text := ""
	for _, path := range paths {
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nHawthorn-Deadline: 5000\r\n\r\n", path)
	}
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
	in := bufio.NewReader(c)
	var all []int
	for range paths {
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		all = append(all, resp.StatusCode)
	}
	return all
}

// Guards against an answer without a valid status that becomes 200 or 404, or ends the process.
func TestAnAnswerWithoutAValidStatusEndsAs502(t *testing.T) {
	for _, status := range []int{0, 1, 39, 99, http.StatusSwitchingProtocols, 600, 999} {
		t.Run(fmt.Sprintf("%03d", status), func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) {
				garbled := func(r *http.Request) string {
					time.Sleep(10 * time.Millisecond)
					return fmt.Sprintf("HTTP/1.1 %03d OK\r\nHawthorn-Id: %s\r\nConnection: Upgrade\r\nContent-Length: 6\r\n\r\nfailed", status, r.Header.Get("Hawthorn-Id"))
				}
				for _, at := range []netip.AddrPort{v1Addr, v2Addr, u1Addr} {
					tb.serveRaw(at, garbled)
				}
				c, end := tb.dialPipelined()
				defer end()
				got := sendTogether(t, c, "/views/1", "/views/2", "/views/3")
				assert.DeepEqual(t, got, []int{http.StatusBadGateway, http.StatusBadGateway, http.StatusBadGateway})
				resp, _, err := tb.do(tb.request("GET", "/lab/1", nil))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			})
		})
	}
}

// Guards against a panic while a request is served that ends the process, or the connection of a
// caller who has received nothing.
func TestAPanicEndsOneRequest(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.front.OnLoadFault = func(ident.Server, string) { panic("fault") }
		tb.front.Headers = relay.DefaultHeaders()
		tb.front.Headers.Load = func(http.Header) (relay.LoadReport, bool) { return relay.LoadReport{Fault: "any"}, false }
		c, end := tb.dialPipelined()
		defer end()
		internal := kinds.Internal.Answer().Status
		assert.DeepEqual(t, sendTogether(t, c, "/views/1", "/views/2", "/scales/3", "/scales/4"), []int{internal, internal, internal, internal})
		assert.Equal(t, tb.decisions.last().Kind, kinds.Internal.String())
		tb.front.OnLoadFault = nil
		assert.DeepEqual(t, sendTogether(t, c, "/views/1", "/scales/2"), []int{http.StatusOK, http.StatusOK})
	})
}

// Guards against a caller's connection that ends without a word although nothing was sent on it.
func TestAnAnswerThatBreaksOffBeforeItsFirstByteEndsAs502(t *testing.T) {
	for name, head := range map[string]string{
		"long":    "Content-Length: 1000000",
		"chunked": "Transfer-Encoding: chunked",
		"trailer": "Transfer-Encoding: chunked\r\nTrailer: X-Sum",
	} {
		t.Run(name, func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) {
				tb.serveRaw(u1Addr, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" })
				resp, _, err := tb.do(tb.request("POST", "/lab/1", strings.NewReader("an image")))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			})
		})
	}
}

// Guards against an answer that breaks off before its turn and takes the answers behind it along.
func TestABegunAheadAnswerThatBreaksOffBeforeItsTurnEndsAs502(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.serveRaw(l1Addr, func(r *http.Request) string {
			if r.URL.Path == "/scales/cut" {
				return "HTTP/1.1 200 OK\r\nX-Part: 1\r\nContent-Length: 1000000\r\n\r\na part"
			}
			time.Sleep(100 * time.Millisecond)
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		})
		c, end := tb.dialPipelined()
		defer end()
		got := sendTogether(t, c, "/scales/a", "/scales/cut", "/scales/b")
		assert.DeepEqual(t, got, []int{http.StatusOK, http.StatusBadGateway, http.StatusOK})
	})
}
