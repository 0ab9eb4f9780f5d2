package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// maxResponseMemory is the most memory, in bytes, of one response of 540 KB whose caller does
// not read, including the test's own server and caller.
const maxResponseMemory = 256 << 10

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against reading large responses faster than their callers take them: on a VM of 184
// MB some hundred of them would end the process. It runs over TCP, since connections in
// memory have no buffers.
func TestALargeResponseThatIsNotReadCostsLittleMemory(t *testing.T) {
	const count, size = 100, 540_000
	var g group.Group
	serve := func(h http.Handler, reader *pipe.Reader) (netip.AddrPort, *http.Server) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if tcp, ok := c.(*net.TCPConn); ok { // the server's: only the VM's buffers are measured
				assert.Check(t, tcp.SetWriteBuffer(4096))
			}
			return pipe.Context(ctx, c)
		}}
		if reader != nil {
			l = reader.Listen(l)
		}
		g.Go(func(context.Context) error { _ = s.Serve(l); return nil })
		return l.Addr().(*net.TCPAddr).AddrPort(), s
	}
	body := make([]byte, 8<<10)
	var accepted atomic.Int64 // by the server's socket
	origin, originServer := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		for sent := 0; sent < size; {
			n, err := w.Write(body[:min(len(body), size-sent)])
			if sent += n; err != nil {
				return
			}
			accepted.Add(int64(n))
		}
	}), nil)
	st := state.New([]config.Service{{Name: "files", Servers: []config.Server{{Name: "f1", Data: origin}}}})
	svc, _ := st.Service("files")
	svc.Gate = gate.New(gate.Config{Service: "files"})
	svc.Gate.SetServers([]gate.ServerInfo{{Name: "f1", Slots: 2 * count, Conns: 2 * count}})
	set, err := match.Compile([]match.Rule{{Name: "downloads", Then: match.Then{Service: "files", Idempotent: true, Large: true}}})
	assert.NilError(t, err)
	st.Rules.Apply(&revs.Snapshot{Record: &revs.Record{Rev: 1}, Set: set})
	st.Rules.SetState(revs.Serve)
	f := &Front{VM: "vm-1", State: st, Relay: relay.New(relay.Config{}), Egress: egress.New(1<<40, 184_000_000), Limit: config.Config{}.Fill().Limit}
	f.Start()
	pipeline := f.Pipeline()
	entry, entryServer := serve(f.Handler(), pipeline)

	before := memoryInUse()
	var callers []net.Conn
	for range count {
		c, err := net.Dial("tcp", entry.String())
		assert.NilError(t, err)
		callers = append(callers, c)
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4096))
		_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
	}
	for last := int64(-1); accepted.Load() != last; time.Sleep(300 * time.Millisecond) {
		last = accepted.Load()
	}
	each := (memoryInUse() - before) / count
	s := f.Egress.Stats()
	buffered := accepted.Load() / count
	t.Logf("%d responses of %d bytes that nobody reads, each: %d bytes of heap and stacks, %d held, %d on their way, which the sockets have but for those held", count, size, each, s.Held/count, buffered)
	assert.Assert(t, each < maxResponseMemory, "%d bytes each", each)
	assert.Assert(t, buffered < size*3/4, "the sockets accept %d bytes", buffered)
	assert.Assert(t, s.Held <= count*(64<<10))
	for _, c := range callers {
		c.Close()
	}
	assert.NilError(t, entryServer.Close())
	assert.NilError(t, pipeline.Close())
	assert.NilError(t, originServer.Close())
	assert.NilError(t, g.Close())
	assert.NilError(t, f.Close())
	assert.NilError(t, f.Relay.Close())
	assert.NilError(t, svc.Gate.Close())
}
