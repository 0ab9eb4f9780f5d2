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

// A caller asks for three wards at once on one connection, and each takes 100 ms at its
// backend server. Worked on one after the other the third is answered after 300 ms, with
// no line in any log that says where the time went. A submission behind them is not
// begun before its turn: its answer would be lost with the connection if one before it
// breaks off, after it has run.
func TestLookupsOfOneConnectionRunTogether(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.origins["v1"].Slow(100 * time.Millisecond)
		w.origins["v2"].Slow(100 * time.Millisecond)
		door := netip.MustParseAddrPort("10.0.0.7:80")
		reader := w.front.Pipeline()
		l := w.net.Listen(door)
		web := &http.Server{Handler: w.front.Handler(), ConnContext: pipe.Context}
		w.group.Go(func(context.Context) error { _ = web.Serve(reader.Listen(l)); return nil })
		defer func() {
			assert.NilError(t, web.Close())
			assert.NilError(t, reader.Close())
		}()
		c, err := w.net.Dial(t.Context(), door)
		assert.NilError(t, err)
		defer c.Close()
		begin := time.Now()
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
		assert.Assert(t, time.Since(begin) < 220*time.Millisecond, "%v", time.Since(begin))
		d := w.log.last()
		assert.Assert(t, d.PipelineWait >= 90*time.Millisecond, "its wait is in the log: %v", d.PipelineWait)
		assert.Assert(t, !d.Pipelined)
		one := w.log.all[0]
		assert.Assert(t, one.FirstByte >= 100*time.Millisecond && one.FirstByte <= one.Took, "time at the server: %v of %v", one.FirstByte, one.Took)
		assert.Assert(t, w.log.all[0].Pipelined != w.log.all[1].Pipelined, "the second lookup")
	})
}
