package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/pipe"
)

// Guards against pipelined lookups that run one after the other: of three that take
// 100 ms each, the last would be answered after 300 ms. A request that is not idempotent
// must wait for its turn, or a broken earlier answer would lose the answer of one that ran.
func TestLookupsOfOneConnectionRunTogether(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.origins["v1"].Slow(100 * time.Millisecond)
		tb.origins["v2"].Slow(100 * time.Millisecond)
		addr := netip.MustParseAddrPort("10.0.0.7:80")
		reader := tb.front.Pipeline()
		l := tb.net.Listen(addr)
		web := &http.Server{Handler: tb.front.Handler(), ConnContext: pipe.Context}
		tb.group.Go(func(context.Context) error { _ = web.Serve(reader.Listen(l)); return nil })
		defer func() {
			assert.NilError(t, web.Close())
			assert.NilError(t, reader.Close())
		}()
		c, err := tb.net.Dial(t.Context(), addr)
		assert.NilError(t, err)
		defer c.Close()
		start := time.Now()
		text := ""
		for _, path := range []string{"/views/1", "/views/2", "/lab/3"} {
			text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nHawthorn-Deadline: 5000\r\n\r\n", path)
		}
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		in := bufio.NewReader(c)
		for _, path := range []string{"/views/1", "/views/2", "/lab/3"} {
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, path)
		}
		assert.Assert(t, time.Since(start) < 220*time.Millisecond, "%v", time.Since(start))
		d := tb.decisions.last()
		assert.Assert(t, d.PipelineWait >= 90*time.Millisecond, "its wait is in the log: %v", d.PipelineWait)
		assert.Assert(t, !d.Pipelined)
		first := tb.decisions.list[0]
		assert.Assert(t, first.FirstByte >= 100*time.Millisecond && first.FirstByte <= first.Took, "time at the server: %v of %v", first.FirstByte, first.Took)
		assert.Assert(t, tb.decisions.list[0].Pipelined != tb.decisions.list[1].Pipelined, "the second lookup")
	})
}
