package perf

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Path is the request path of one entry VM alone: from the handler to the bytes written
// to a backend server's connection and back, without network, HTTP server or backend
// servers. Its allocations are those of the path, including net/http's client.
type Path struct {
	front   *front.Front
	handler http.Handler
	gate    *gate.Gate
	request *http.Request
	answer  discardWriter
}

// NewPath returns a path with 200 rules, of which the last one matches, and one backend
// server that answers at once.
func NewPath() (*Path, error) {
	at := netip.MustParseAddrPort("10.0.0.1:80")
	st := state.New([]config.Service{{
		Name: "lookup", Divided: true, Slices: slices,
		Servers: []config.Server{{Name: "lookup-1", Data: at}},
	}})
	svc, _ := st.Service("lookup")
	svc.Gate = gate.New(gate.Config{Service: "lookup"})
	svc.Gate.SetServers([]gate.ServerInfo{{Name: "lookup-1", Slots: slots, Conns: conns}})
	if err := assignAll(svc); err != nil {
		return nil, err
	}
	set, err := match.Compile(ruleList(DefaultRules))
	if err != nil {
		return nil, err
	}
	st.Rules.Apply(&revs.Snapshot{Record: &revs.Record{Rev: 1}, Set: set})
	st.Rules.SetState(revs.Serve)
	f := &front.Front{
		VM: "vm-1", State: st, Limit: config.Config{}.Fill().Limit,
		Relay: relay.New(relay.Config{Open: func(context.Context, netip.AddrPort) (net.Conn, error) {
			return newCannedConn(), nil
		}}),
	}
	f.Start()
	p := &Path{front: f, handler: f.Handler(), gate: svc.Gate, answer: discardWriter{header: http.Header{}}}
	p.request = &http.Request{
		Method: http.MethodGet, Host: "x", URL: &url.URL{Path: "/scales/north"}, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, RemoteAddr: "10.0.0.9:1",
		Header: http.Header{"User-Agent": {"trial"}, "Accept": {"*/*"}, "Hawthorn-Caller": {"weighbridge"}, "Hawthorn-Id": {"request-1"}},
	}
	return p, nil
}

// CountResponses turns the budget for response bytes on, with bounds that no request meets.
// With large, the requests are of a rule with large responses, which reserves bytes.
func (p *Path) CountResponses(large bool) error {
	const unreached = 1 << 40
	list := ruleList(DefaultRules)
	list[0].Then.Large, list[len(list)-1].Then.Large = true, large
	set, err := match.Compile(list)
	if err != nil {
		return err
	}
	p.front.State.Rules.Apply(&revs.Snapshot{Record: &revs.Record{Rev: 2}, Set: set})
	p.front.Egress = egress.New(unreached, unreached)
	return nil
}

// SetSilent sets whether full servers are known to be silent, so that attempts are watched for
// answers that will not arrive.
func (p *Path) SetSilent(silent bool) { p.gate.SetSilent(silent) }

func assignAll(svc *state.Service) error {
	tab, err := table.New("lookup", slices, "lookup-1")
	if err != nil {
		return err
	}
	moves := make([]table.Move, slices)
	for i := range moves {
		moves[i] = table.Move{Slice: ident.Slice(i), To: "lookup-1"}
	}
	if tab, err = tab.WithAssigned(moves...); err != nil {
		return err
	}
	svc.SetView(table.NewView(tab))
	return nil
}

// Close closes the parts of the path.
func (p *Path) Close() error {
	err := p.front.Relay.Close()
	if e := p.gate.Close(); err == nil {
		err = e
	}
	if e := p.front.Close(); err == nil {
		err = e
	}
	return err
}

// Once sends one request along the path. It fails with kind Internal if the answer is
// not the expected one.
func (p *Path) Once() error {
	p.answer.reset()
	p.handler.ServeHTTP(&p.answer, p.request)
	if p.answer.code != http.StatusOK || p.answer.n != len(body) {
		return kinds.New(kinds.Internal, "the path answered "+http.StatusText(p.answer.code))
	}
	return nil
}

// Allocs returns the mean number and bytes of allocations of one request and its mean
// time, over n requests.
func (p *Path) Allocs(n int) (allocs, bytes float64, took time.Duration, err error) {
	for range 100 {
		if err := p.Once(); err != nil {
			return 0, 0, 0, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range n {
		if err := p.Once(); err != nil {
			return 0, 0, 0, err
		}
	}
	took = time.Since(start) / time.Duration(n)
	runtime.ReadMemStats(&after)
	allocs = float64(after.Mallocs-before.Mallocs) / float64(n)
	bytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
	return allocs, bytes, took, nil
}

// discardWriter is a response writer that counts the body's bytes and discards them.
type discardWriter struct {
	header http.Header
	code   int
	n      int
}

func (w *discardWriter) reset() {
	clear(w.header)
	w.code, w.n = 0, 0
}

// Header returns the answer's header.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader stores the status.
func (w *discardWriter) WriteHeader(code int) { w.code = code }

// Write counts the bytes.
func (w *discardWriter) Write(b []byte) (int, error) {
	w.n += len(b)
	return len(b), nil
}

const body = "north: window 14:10 to 14:40, last tare 11,240 kg\n"

var (
	cannedAnswer = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 50\r\n\r\n" + body)
	headEnd      = []byte("\r\n\r\n")
)

// cannedConn is a connection to a backend server that answers every request with the
// same bytes and allocates nothing.
type cannedConn struct {
	mu     sync.Mutex
	ready  *sync.Cond
	unread []byte
	closed bool
}

func newCannedConn() *cannedConn {
	c := &cannedConn{}
	c.ready = sync.NewCond(&c.mu)
	return c
}

// Write takes part of a request; at the end of its header the answer becomes readable.
func (c *cannedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasSuffix(b, headEnd) {
		c.unread = cannedAnswer
		c.ready.Signal()
	}
	return len(b), nil
}

// Read returns the answer, and blocks until there is one.
func (c *cannedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 {
		if c.closed {
			return 0, net.ErrClosed
		}
		c.ready.Wait()
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close wakes a waiting Read.
func (c *cannedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.ready.Broadcast()
	return nil
}

// LocalAddr returns an empty address.
func (c *cannedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (c *cannedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing: no read has to time out.
func (c *cannedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *cannedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *cannedConn) SetWriteDeadline(time.Time) error { return nil }
