package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// testPaths are paths to one server, whose end of each connection is put into accepted.
type testPaths struct {
	accepted chan net.Conn
	lost     atomic.Bool
	shedding atomic.Bool
	kept     sync.Map // the server's ends, which the garbage collector would close
}

func (*testPaths) Address(s ident.Server) (netip.AddrPort, bool) {
	return netip.MustParseAddrPort("10.0.0.1:80"), s == "listed"
}

func (p *testPaths) Lost(netip.AddrPort) bool { return p.lost.Load() }

func (p *testPaths) Shedding(ident.Server) bool { return p.shedding.Load() }

func (p *testPaths) DialDirect(context.Context, netip.AddrPort, time.Duration, func(net.Conn) error) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := l.Accept()
	p.kept.Store(far, nil)
	p.accepted <- far
	return near, err
}

// dialOld opens a tunnel as a near end of the version before does, and returns its connection
// with the frames that arrive.
func dialOld(t *testing.T, via netip.AddrPort, orders bool) *conn {
	t.Helper()
	tcp, err := net.Dial("tcp", via.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = tcp.Close() })
	_, err = fmt.Fprintf(tcp, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: listed\r\n%s: %t\r\n\r\n",
		Path, protocol, headerServer, headerOrders, orders)
	assert.NilError(t, err)
	r := bufio.NewReader(tcp)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusSwitchingProtocols)
	return &conn{Conn: tcp, r: r}
}

// startTunnels starts a VM that opens tunnels, and returns a client that knows it.
func startTunnels(t *testing.T) (*Client, netip.AddrPort, *Server, *testPaths) {
	paths := &testPaths{accepted: make(chan net.Conn, 1)}
	t.Cleanup(func() { paths.kept.Range(func(far, _ any) bool { _ = far.(net.Conn).Close(); return true }) })
	s := NewServer(paths, slog.New(slog.DiscardHandler))
	web := httptest.NewServer(http.HandlerFunc(s.ServeHTTP))
	t.Cleanup(web.Close)
	t.Cleanup(func() { _ = s.Close() })
	via := netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	c := &Client{}
	c.SetPeers([]netip.AddrPort{via})
	return c, via, s, paths
}

func TestATunnelPassesBytesInBothDirections(t *testing.T) {
	for _, orders := range []bool{false, true} {
		c, via, s, paths := startTunnels(t)
		near, err := c.Dial(t.Context(), via, "listed", orders)
		assert.NilError(t, err)
		far := <-paths.accepted
		_, err = near.Write([]byte("request"))
		assert.NilError(t, err)
		got := make([]byte, 7)
		_, err = io.ReadFull(far, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "request")
		answer := strings.Repeat("answer", 20_000)
		_, err = io.WriteString(far, answer)
		assert.NilError(t, err)
		assert.NilError(t, far.Close())
		all, err := io.ReadAll(near)
		assert.NilError(t, err)
		assert.Equal(t, string(all), answer)
		assert.NilError(t, near.Close())
		assert.Equal(t, s.Total(), int64(1))
	}
}

// Guards against an answer that looks complete because the VM in between ended.
func TestTheEndOfTheVMInBetweenIsNotTheEndOfAnAnswer(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := <-paths.accepted
	_, err = io.WriteString(far, "half of it")
	assert.NilError(t, err)
	_, err = io.ReadFull(near, make([]byte, 10))
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	_, err = io.ReadAll(near)
	assert.Assert(t, errors.Is(err, ErrBroken) || errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a reset answer without a length that is taken for complete.
func TestAResetOfTheServerArrivesAsAReset(t *testing.T) {
	c, via, _, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := (<-paths.accepted).(*net.TCPConn)
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	_, err = io.ReadAll(near)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against requests that go on at a server though the VM that sent them gave them up.
func TestClosingTheNearEndResetsTheServersConnection(t *testing.T) {
	c, via, _, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := <-paths.accepted
	assert.NilError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a connection that speaks another protocol and is taken for a tunnel.
func TestAnotherProtocolIsNoTunnel(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "Upgrade")
		w.Header().Set("Upgrade", "any")
		w.WriteHeader(http.StatusSwitchingProtocols)
	}))
	defer web.Close()
	via := netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	_, err := (&Client{}).Dial(t.Context(), via, "listed", false)
	assert.ErrorIs(t, err, errNoPath)
}

// Guards against tunnels to addresses that are no server, or through a VM without a path.
func TestATunnelIsRefusedWithoutAPath(t *testing.T) {
	c, via, _, paths := startTunnels(t)
	_, err := c.Dial(t.Context(), via, "unlisted", false)
	assert.ErrorIs(t, err, errNoPath)
	paths.lost.Store(true)
	_, err = c.Dial(t.Context(), via, "listed", false)
	assert.ErrorIs(t, err, errNoPath)
	other := netip.MustParseAddrPort("127.0.0.1:1")
	c.SetPeers([]netip.AddrPort{via, other})
	for range 20 {
		assert.Equal(t, c.Peers(time.Now(), 1)[0], other, "the one that failed is asked last")
	}
}

// Guards against answers that break off because the VM in between stops.
func TestAStoppingVMWaitsForTheAnswersInItsTunnels(t *testing.T) {
	for _, old := range []bool{false, true} {
		c, via, s, paths := startTunnels(t)
		dial := func() net.Conn {
			if old {
				return dialOld(t, via, false)
			}
			near, err := c.Dial(t.Context(), via, "listed", false)
			assert.NilError(t, err)
			return near
		}
		idle := dial()
		<-paths.accepted
		busy := dial()
		far := <-paths.accepted
		_, err := io.WriteString(busy, "request")
		assert.NilError(t, err)
		_, err = io.ReadFull(far, make([]byte, 7))
		assert.NilError(t, err)
		var g group.Group
		var drained atomic.Bool
		g.Go(func(ctx context.Context) error { s.Drain(ctx); drained.Store(true); return nil })
		_, err = idle.Read(make([]byte, 1))
		assert.Assert(t, err != nil, "an idle tunnel ends")
		_, err = c.Dial(t.Context(), via, "listed", false)
		assert.ErrorIs(t, err, errNoPath)
		_, err = io.WriteString(far, "answer")
		assert.NilError(t, err)
		got := make([]byte, 6)
		_, err = io.ReadFull(busy, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "answer")
		if !old {
			time.Sleep(2 * quietTime)
			assert.Assert(t, !drained.Load(), "only the near end knows that the answer is complete")
			assert.NilError(t, busy.Close())
		}
		assert.NilError(t, g.Wait())
	}
}

// Guards against a near end of the version before that takes a request to end its tunnel for data.
func TestAnOldNearEndIsNotAsked(t *testing.T) {
	_, via, s, paths := startTunnels(t)
	near := dialOld(t, via, false)
	far := <-paths.accepted
	_, err := io.WriteString(near, "request")
	assert.NilError(t, err)
	_, err = io.ReadFull(far, make([]byte, 7))
	assert.NilError(t, err)
	time.Sleep(firstRequestTime)
	s.EndIdleTo("listed")
	_, err = io.WriteString(far, "answer")
	assert.NilError(t, err)
	s.Drain(t.Context())
	sent, _ := io.ReadAll(near.r)
	assert.Equal(t, string(sent), "\x00\x06answer")
}

// Guards against a stopping VM that waits for the near ends of tunnels for orders, which are not asked.
func TestADrainingVMEndsAnsweredTunnelsForOrders(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", true)
	assert.NilError(t, err)
	far := <-paths.accepted
	_, err = io.WriteString(near, "order")
	assert.NilError(t, err)
	_, err = io.ReadFull(far, make([]byte, 5))
	assert.NilError(t, err)
	_, err = io.WriteString(far, "answer")
	assert.NilError(t, err)
	_, err = io.ReadFull(near, make([]byte, 6))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.Drain(ctx)
	assert.NilError(t, ctx.Err())
	_, err = near.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, ErrBroken) || errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a stopping VM that waits for an unused tunnel of another VM until its time is over.
func TestAnIdleNearEndEndsAtOnce(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	<-paths.accepted
	time.Sleep(firstRequestTime)
	var g group.Group
	g.Go(func(context.Context) error {
		_, err := near.Read(make([]byte, 1))
		assert.Check(t, errors.Is(err, net.ErrClosed), "%v", err)
		return nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.Drain(ctx)
	assert.NilError(t, ctx.Err())
	assert.NilError(t, g.Wait())
	_, err = near.Write([]byte("request"))
	assert.Assert(t, err != nil, "it carries no further request")
}

// Guards against a new tunnel that ends before the request for which it was opened.
func TestANewTunnelIsNotAskedToEnd(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := <-paths.accepted
	s.EndIdleTo("listed")
	_, err = io.WriteString(far, "answer")
	assert.NilError(t, err)
	_, err = io.ReadFull(near, make([]byte, 6))
	assert.NilError(t, err)
	assert.Assert(t, near.(*conn).StartRequest())
}

// Guards against a connection that ends under the request after the one whose answer is complete.
func TestADrainedNearEndCarriesNoFurtherRequest(t *testing.T) {
	c := &conn{}
	assert.Assert(t, c.StartRequest())
	assert.Assert(t, c.StartRequest(), "net/http may reuse a connection before it reports that it is idle")
	assert.Assert(t, !c.drain())
	assert.Assert(t, !c.StartRequest())
	assert.Assert(t, !c.FinishRequest())
	assert.Assert(t, c.FinishRequest())
}

// Guards against an order that a suspended VM passes on seconds after it was sent.
func TestATunnelForOrdersEndsAfterAPause(t *testing.T) {
	near, nearPeer := net.Pipe()
	far, server := net.Pipe()
	var g group.Group
	g.Go(func(context.Context) error { _, _ = nearPeer.Write([]byte("order")); return nil })
	passedOn := false
	g.Go(func(context.Context) error {
		n, _ := server.Read(make([]byte, 5))
		passedOn = n > 0
		return nil
	})
	tun := &tunnel{near: near, nearReader: near, far: far, orders: true, pulse: clock.Now().Add(-pauseLimit - time.Millisecond)}
	assert.ErrorIs(t, tun.copyToServer(), errPaused)
	assert.NilError(t, near.Close())
	assert.NilError(t, far.Close())
	assert.NilError(t, g.Wait())
	assert.Assert(t, !passedOn)
}

// Guards against a tunnel for requests to a server that wants none through this VM, and against the end of one that awaits an answer.
func TestNoTunnelLeadsToAServerThatSheds(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	idle, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	<-paths.accepted
	time.Sleep(quietTime + 50*time.Millisecond)
	busy, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := <-paths.accepted
	_, err = busy.Write([]byte("request"))
	assert.NilError(t, err)
	_, err = io.ReadFull(far, make([]byte, 7))
	assert.NilError(t, err)
	paths.shedding.Store(true)
	s.EndIdleTo("listed")
	_, err = idle.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "it ended")
	_, err = io.WriteString(far, "answer")
	assert.NilError(t, err)
	_, err = io.ReadFull(busy, make([]byte, 6))
	assert.NilError(t, err)
	_, err = c.Dial(t.Context(), via, "listed", false)
	assert.Assert(t, err != nil)
	_, err = c.Dial(t.Context(), via, "listed", true)
	assert.NilError(t, err, "orders are no requests")
}

// Guards against an answer that a stopping VM cuts off because its server pauses in the middle of it.
func TestADrainingTunnelPassesTheRestOfAnAnswer(t *testing.T) {
	c, via, s, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := <-paths.accepted
	_, err = io.WriteString(near, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = far.Read(make([]byte, 100))
	assert.NilError(t, err)
	_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var g group.Group
	g.Go(func(context.Context) error { s.Drain(ctx); return nil })
	time.Sleep(3 * quietTime)
	_, _ = io.WriteString(far, "cd")
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "abcd")
	_ = near.Close()
	assert.NilError(t, g.Wait())
}

// Guards against a part of an answer that looks whole because the VM in between had not passed on the whole request.
func TestAnEndBeforeTheWholeRequestArrivesAsAReset(t *testing.T) {
	c, via, _, paths := startTunnels(t)
	near, err := c.Dial(t.Context(), via, "listed", false)
	assert.NilError(t, err)
	far := (<-paths.accepted).(*net.TCPConn)
	var g group.Group
	g.Go(func(context.Context) error {
		_, err := near.Write(make([]byte, 64<<20)) // more than all buffers on the way hold
		assert.Check(t, err != nil)
		return nil
	})
	_, err = io.ReadFull(far, make([]byte, 1<<10))
	assert.NilError(t, err)
	_, err = io.WriteString(far, "a part")
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	part, err := io.ReadAll(near)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, string(part), "a part")
	assert.NilError(t, near.Close())
	assert.NilError(t, g.Close())
}
