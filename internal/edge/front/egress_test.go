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
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/load/egress"
)

const largeRules = rules + `
[[rule]]
name = "downloads"
when = { path = "/downloads/{rest...}" }
then = { service = "viewer", idempotent = true, large = true, deadline = "20s" }
[[rule]]
name = "exports"
when = { path = "/exports/{rest...}" }
then = { service = "upload", large = true, deadline = "60s" }
`

// runWithBudget runs a test with a budget for a link of 1 Mbit/s and 46 MB of memory: of 62
// KB in flight, 47 KB may be of large responses.
func runWithBudget(t *testing.T, test func(t *testing.T, tb *testbed)) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.front.Egress = egress.New(125_000, 46_000_000)
		tb.setRulesAt(8, largeRules)
		test(t, tb)
	})
}

// send sends a request on a connection of its own and does not read the answer.
func (tb *testbed) send(path string) net.Conn {
	c, err := tb.net.Dial(tb.t.Context(), entryAddr)
	assert.NilError(tb.t, err)
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\nHawthorn-Deadline: 600000\r\n\r\n")
	assert.NilError(tb.t, err)
	return c
}

// fetch gets an answer and returns how long it took.
func (tb *testbed) fetch(path string) (*http.Response, time.Duration) {
	start := time.Now()
	resp, _, err := tb.do(tb.request("GET", path, nil))
	assert.NilError(tb.t, err)
	return resp, time.Since(start)
}

// Guards against a reader that stops reading and keeps its bytes: it is disconnected after
// 10 s. Meanwhile small answers are served at once, as are large ones, since what it does not
// read is not on the link.
func TestAReaderThatStopsReadingIsDisconnected(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		start := time.Now()
		c := tb.send("/downloads/1?size=540000")
		defer c.Close()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, tb.front.Egress.Stats().Held > 0)
		resp, took := tb.fetch("/views/1")
		assert.Assert(t, resp.StatusCode == http.StatusOK && took < 10*time.Millisecond, "%v", took)
		time.Sleep(500 * time.Millisecond)
		resp, took = tb.fetch("/downloads/2?size=40000")
		assert.Assert(t, resp.StatusCode == http.StatusOK && took < 10*time.Millisecond, "%v", took)
		time.Sleep(egress.ReaderTimeout - time.Since(start) - time.Millisecond)
		assert.Assert(t, tb.front.Egress.Stats().Held > 0)
		time.Sleep(2 * time.Millisecond)
		s := tb.front.Egress.Stats()
		assert.Assert(t, s.Held == 0 && s.Disconnected == 1, "%+v", s)
		assert.Equal(t, tb.decisions.last().Kind, kinds.Canceled.String())
	})
}

// Guards against a request that must not run twice and that the budget cuts off while its
// server still answers it.
func TestARequestThatMustNotRunTwiceIsNotCutOffByTheBudget(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		c := tb.send("/exports/1?size=540000")
		defer c.Close()
		time.Sleep(egress.ReaderTimeout + time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(540_000))
		time.Sleep(5 * time.Second) // the link carries it meanwhile
		assert.Equal(t, tb.front.Egress.Stats(), egress.Stats{On: true})
	})
}

// Guards against a request that waits for bytes with a slot of a server, and against a log
// that does not say why it was slow or refused.
func TestARequestThatDoesNotFitWaitsOrIsRefused(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		tb.origins["v1"].Slow(time.Second)
		tb.origins["v2"].Slow(time.Second)
		c := tb.send("/downloads/1?size=40000")
		defer c.Close()
		time.Sleep(10 * time.Millisecond)
		r := tb.request("GET", "/downloads/2", nil)
		r.Header.Set("Hawthorn-Deadline", "200")
		resp, _, err := tb.do(r)
		assert.NilError(t, err)
		d := tb.decisions.last()
		assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		assert.Equal(t, string(d.Ran), string(kinds.RanNo))
		assert.Assert(t, d.Egress == 0 && d.EgressHeld == 64<<10 && d.EgressBound == 46_875, "%+v", d)

		tb.group.Go(func(context.Context) error {
			time.Sleep(100 * time.Millisecond)
			svc, _ := tb.state.Service("viewer")
			assert.Check(t, tb.front.Egress.Stats().Waiting == 1 && svc.Gate.Stats().Running == 1)
			return nil
		})
		tb.group.Go(func(context.Context) error { _, _ = io.Copy(io.Discard, c); return nil })
		resp, _ = tb.fetch("/downloads/3")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Assert(t, tb.decisions.last().Egress > 900*time.Millisecond)
	})
}

// Guards against bytes that stay reserved for a request that the gate refused.
func TestARequestThatTheGateRefusesReturnsItsBytes(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		svc, _ := tb.state.Service("viewer")
		svc.Gate.SetServers(nil)
		resp, _ := tb.fetch("/downloads/1")
		assert.Assert(t, resp.StatusCode >= http.StatusInternalServerError)
		assert.Equal(t, tb.front.Egress.Stats(), egress.Stats{On: true})
	})
}

// Guards against requests that wait for bytes and are left without an answer when the VM
// shuts down, or wait on when the rules with large responses are gone.
func TestWaitingRequestsAreAnswered(t *testing.T) {
	for name, shutdown := range map[string]bool{"when the VM shuts down": true, "when the rules change": false} {
		t.Run(name, func(t *testing.T) {
			runWithBudget(t, func(t *testing.T, tb *testbed) {
				for _, o := range []ident.Server{"v1", "v2"} {
					tb.origins[o].Slow(9 * time.Second)
				}
				base, giveUp := context.WithCancelCause(t.Context())
				defer giveUp(nil)
				addr := netip.MustParseAddrPort("10.0.0.8:80")
				l := tb.net.Listen(addr)
				web := &http.Server{Handler: tb.front.Handler(), BaseContext: func(net.Listener) context.Context { return base }}
				tb.group.Go(func(context.Context) error { _ = web.Serve(l); return nil })
				defer web.Close()
				c := tb.send("/downloads/1")
				defer c.Close()
				time.Sleep(10 * time.Millisecond)
				waiting, err := tb.net.Dial(t.Context(), addr)
				assert.NilError(t, err)
				defer waiting.Close()
				_, err = io.WriteString(waiting, "GET /downloads/2 HTTP/1.1\r\nHost: x\r\n\r\n")
				assert.NilError(t, err)
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, tb.front.Egress.Stats().Waiting, 1)
				if !shutdown {
					tb.setRulesAt(9, rules)
					tb.fetch("/lab/1")
					assert.Assert(t, tb.front.Egress.Stats().Waiting == 0 && !tb.front.Egress.On())
					return
				}
				giveUp(httpd.ErrStopping)
				resp, err := http.ReadResponse(bufio.NewReader(waiting), nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, tb.decisions.last().Kind, kinds.Closing.String())
			})
		})
	}
}

// Guards against answers of pipelined requests that the VM holds until their turn and does
// not count, and against a caller that never takes them.
func TestPipelinedAnswersCountUntilTheirTurn(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		addr := netip.MustParseAddrPort("10.0.0.7:80")
		reader := tb.front.Pipeline()
		web := &http.Server{Handler: tb.front.Handler(), ConnContext: pipe.Context}
		l := tb.net.Listen(addr)
		tb.group.Go(func(context.Context) error { _ = web.Serve(reader.Listen(l)); return nil })
		defer func() {
			assert.NilError(t, web.Close())
			assert.NilError(t, reader.Close())
		}()
		c, err := tb.net.Dial(t.Context(), addr)
		assert.NilError(t, err)
		defer c.Close()
		text := ""
		for i := range 4 {
			text += fmt.Sprintf("GET /views/%d?size=30000 HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		held := tb.front.Egress.Stats().Held
		assert.Assert(t, held > 90_000 && held <= 120_000, "%d", held)
		in := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(30_000))
		}
		time.Sleep(time.Second)
		assert.Assert(t, tb.front.Egress.Stats().Held <= 60_000, "%d", tb.front.Egress.Stats().Held)
		time.Sleep(egress.ReaderTimeout)
		s := tb.front.Egress.Stats()
		assert.Assert(t, s.Held == 0 && s.Disconnected == 1, "%+v", s)
	})
}

// Guards against an answer that is changed by counting it, on a connection that is used
// again after a pause longer than the deadline of a write.
func TestCountedAnswersAreWhole(t *testing.T) {
	runWithBudget(t, func(t *testing.T, tb *testbed) {
		body := strings.Repeat("x", 3000)
		at := u1Addr
		l := tb.net.Listen(at)
		web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body)
		})}
		tb.group.Go(func(context.Context) error { _ = web.Serve(l); return nil })
		defer web.Close()
		for _, size := range []int{0, 3000, 50_000, 200_000} {
			for _, method := range []string{"GET", "HEAD"} {
				body = strings.Repeat("x", size)
				resp, got, err := tb.do(tb.request(method, "/exports/1", nil))
				assert.NilError(t, err)
				assert.Equal(t, resp.ContentLength, int64(size))
				assert.Assert(t, method == "HEAD" || got == body)
				time.Sleep(2 * egress.ReaderTimeout)
				assert.Equal(t, tb.front.Egress.Stats(), egress.Stats{On: true})
			}
		}
	})
}
