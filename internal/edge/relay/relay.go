// Package relay sends one request to one backend server and brings the answer
// back: exactly one attempt, the whole answer or a visible failure.
//
// It is built on net/http's Transport, whose habits suit a browser rather than
// a router: it repeats requests that it deems harmless, follows an answer that
// ends with its connection, and cannot say whether a failed request was sent.
// Each habit is disarmed here; docs/design/request.md lists them. What remains
// is what net/http does well: parsing, framing and the reuse of connections.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Defaults of Config.
const (
	DefaultDial   = 500 * time.Millisecond
	DefaultIdle   = 90 * time.Second
	DefaultQuiet  = 4 * time.Second
	DefaultHeader = 64 << 10
)

// Config bounds a relay. The zero value works.
type Config struct {
	Dial time.Duration // longest wait for a new connection to open
	Idle time.Duration // idle connections are closed after this
	// Quiet is how long a connection may have been idle and still be used for a
	// server that does not say when it closes idle ones; zero is DefaultQuiet.
	Quiet   time.Duration
	Header  int64   // largest header of an answer, in bytes
	Headers Headers // headers spoken; the zero value is OwnNames
	// OpenConns opens connections; nil means TCP. Tests hand in connections in memory.
	Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// Relay sends requests. Make one with New; all methods may be called from any
// goroutine.
type Relay struct {
	cfg  Config
	ours []string

	mu    sync.RWMutex
	lines map[netip.AddrPort]*line
}

// line is what leads to one backend server: its connections and their cap.
type line struct {
	host      string
	seats     seats
	transport *http.Transport
	quiet     atomic.Int64 // idle time up to which a connection is used
}

// keepPart is the part of the time that a server states for idle connections after
// which none is used any more; the rest covers a request's way there.
const keepPart = 0.7

// stated takes in the time after which the server closes idle connections, as its
// Keep-Alive header says.
func (l *line) stated(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	number, _, _ := strings.Cut(after, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && s > 0 {
		l.quiet.Store(int64(float64(s) * keepPart * float64(time.Second)))
	}
}

func (l *line) idle() time.Duration { return time.Duration(l.quiet.Load()) }

// New makes a relay without connections.
func New(cfg Config) *Relay {
	if cfg.Dial <= 0 {
		cfg.Dial = DefaultDial
	}
	if cfg.Idle <= 0 {
		cfg.Idle = DefaultIdle
	}
	if cfg.Quiet <= 0 {
		cfg.Quiet = DefaultQuiet
	}
	if cfg.Header <= 0 {
		cfg.Header = DefaultHeader
	}
	if cfg.Headers.Refused == nil {
		cfg.Headers = DefaultHeaders()
	}
	if cfg.Open == nil {
		var d net.Dialer
		cfg.Open = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp", to.String())
			if tcp, ok := c.(*net.TCPConn); ok {
				// Reset when it is closed: a request that nobody waits for any more, held
				// up by a cut, would otherwise reach its server as the cut heals.
				err = tcp.SetLinger(0)
			}
			return c, err
		}
	}
	return &Relay{cfg: cfg, ours: cfg.Headers.own(), lines: map[netip.AddrPort]*line{}}
}

// Close closes idle connections. Requests in flight are not touched.
func (r *Relay) Close() error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, l := range r.lines {
		l.transport.CloseIdleConnections()
	}
	return nil
}

// Limit caps the connections to a server; zero lifts the cap. When the cap
// shrinks, idle connections are closed at once and busy ones as they end.
func (r *Relay) Limit(to netip.AddrPort, most int) {
	l := r.line(to)
	if l.seats.resize(most) {
		l.transport.CloseIdleConnections()
	}
}

// OpenConns counts the open connections to a server.
func (r *Relay) OpenConns(to netip.AddrPort) int { return r.line(to).seats.count() }

func (r *Relay) line(to netip.AddrPort) *line {
	r.mu.RLock()
	l := r.lines[to]
	r.mu.RUnlock()
	if l != nil {
		return l
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l = r.lines[to]; l == nil {
		l = r.newLine(to)
		r.lines[to] = l
	}
	return l
}

// maxIdle is above any cap: the cap alone decides how many connections stay.
const maxIdle = 1 << 16

func (r *Relay) newLine(to netip.AddrPort) *line {
	l := &line{host: to.String()}
	l.quiet.Store(int64(r.cfg.Quiet))
	l.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return r.dial(ctx, l, to)
		},
		DisableCompression:     true, // the answer is the server's, byte for byte
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        r.cfg.Idle,
		MaxResponseHeaderBytes: r.cfg.Header,
		ReadBufferSize:         copySize / 4,
		WriteBufferSize:        copySize / 4,
	}
	return l
}

func (r *Relay) dial(ctx context.Context, l *line, to netip.AddrPort) (net.Conn, error) {
	if err := l.seats.acquire(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Dial)
	defer cancel()
	c, err := r.cfg.Open(ctx, to)
	if err != nil {
		l.seats.release()
		return nil, err
	}
	return &conn{Conn: c, seats: &l.seats}, nil
}

// Meta is what the system adds to a request.
type Meta struct {
	ID       ident.Request
	Caller   ident.Caller
	Service  ident.Service
	Key      ident.Key
	Slice    ident.Slice
	Epoch    ident.Epoch
	Deadline time.Time
	Server   ident.Server // the one that may run it
}

// set writes the headers. Their values share one array: a slice of its own for
// each was a tenth of what the request path allocated.
func (m *Meta) set(h http.Header, names *Headers) {
	const most = 8 // headers below
	all := make([]string, 0, most)
	put := func(name, value string) {
		if name == "" {
			return
		}
		all = append(all, value)
		h[name] = all[len(all)-1 : len(all) : len(all)]
	}
	put(names.ID, string(m.ID))
	put(names.Caller, string(m.Caller))
	put(names.Service, string(m.Service))
	put(names.Server, string(m.Server))
	if m.Key != "" {
		put(names.Key, string(m.Key))
		put(names.Slice, strconv.FormatUint(uint64(m.Slice), 10))
		put(names.Fence, ident.Fence{Epoch: m.Epoch}.String())
	}
	if !m.Deadline.IsZero() {
		put(names.Deadline, strconv.FormatInt(max(time.Until(m.Deadline).Milliseconds(), 0), 10))
	}
}

// Response is a backend server's answer whose header has arrived. Hand it to
// Copy, or Close it; a connection whose answer was not read to its end is
// closed, never used again.
type Response struct {
	resp      *http.Response
	names     *Headers
	server    ident.Server
	held      []byte // the whole body, when Hold found its end
	cancel    context.CancelCauseFunc
	FirstByte time.Duration // from sending to the header's arrival
}

// Status is the answer's HTTP status.
func (a *Response) Status() int { return a.resp.StatusCode }

// Length is the length of the body, -1 if it is not known.
func (a *Response) Length() int64 { return a.resp.ContentLength }

// Server is the one that the request was meant for.
func (a *Response) Server() ident.Server { return a.server }

// Header is the answer's header as the server sent it. Treat it as read-only.
func (a *Response) Header() http.Header { return a.resp.Header }

// Close abandons what was not read.
func (a *Response) Close() error {
	a.cancel(nil)
	return a.resp.Body.Close()
}

// Send makes one attempt. The error carries one of these kinds:
//
//   - NoServer, Late, Canceled before anything was written: nothing ran;
//   - Misrouted or Busy: the server said that it ran nothing;
//   - Unknown: the request may have run;
//   - Canceled after it was written: the caller went away.
//
// Failure.Sent tells the two cases of Canceled apart. The body is read once, by
// the attempt alone.
//
// The context is the attempt's own: cancel ends it, is called by the relay when
// the attempt is over, and by the caller to give it up.
func (r *Relay) Send(
	ctx context.Context, cancel context.CancelCauseFunc, in *http.Request, body io.Reader, to netip.AddrPort, meta *Meta,
) (*Response, error) {
	l := r.line(to)
	a := &attempt{cancel: cancel, line: l}
	a.trace.GotConn = a.gotConn
	start := time.Now()
	resp, err := l.transport.RoundTrip(r.outgoing(httptrace.WithClientTrace(ctx, &a.trace), in, body, l.host, meta)) //nolint:bodyclose // Answer.Close does
	if err != nil {
		sent := a.end()
		err = failure(ctx, err, sent)
		cancel(nil)
		return nil, err
	}
	l.stated(resp.Header)
	a.answer = Response{resp: resp, names: &r.cfg.Headers, server: meta.Server, cancel: cancel, FirstByte: time.Since(start)}
	answer := &a.answer
	if err := r.cfg.Headers.check(resp, in.Method, meta.ID); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// outgoing makes the request for the backend server.
func (r *Relay) outgoing(ctx context.Context, in *http.Request, body io.Reader, host string, meta *Meta) *http.Request {
	out := new(http.Request).WithContext(ctx)
	out.Method, out.Host = in.Method, in.Host
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.URL = &url.URL{
		Scheme: "http", Host: host,
		Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery,
	}
	out.Header = outHeader(in.Header, &r.cfg.Headers, r.ours, meta)
	if body != nil && in.ContentLength != 0 {
		out.Body, out.ContentLength, out.Trailer = io.NopCloser(body), in.ContentLength, in.Trailer
	}
	return out
}

// failure gives an attempt without an answer its kind.
func failure(caller context.Context, err error, sent bool) error {
	switch {
	case errors.Is(caller.Err(), context.Canceled) && !errors.Is(context.Cause(caller), errNoPermit):
		return &Failure{Kind: kinds.Canceled, Sent: sent, err: err}
	case sent:
		return &Failure{Kind: kinds.Unknown, Sent: true, ConnClosed: broke(caller, err), err: err}
	case caller.Err() != nil:
		return &Failure{Kind: kinds.DeadlineMissed, err: err}
	default:
		return &Failure{Kind: kinds.NoServer, err: err}
	}
}

// broke reports whether the other side ended the connection on which the request was
// sent. After that net/http tries another connection for some requests, which was stopped
// or did not open.
func broke(caller context.Context, err error) bool {
	if caller.Err() != nil {
		return errors.Is(context.Cause(caller), errNoPermit)
	}
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.As(err, &op) && op.Op == "dial"
}

// Failure is an attempt without a usable answer.
type Failure struct {
	Kind       kinds.Kind
	Sent       bool        // some byte of the request may have reached the server
	Refused    bool        // the server said that it ran nothing
	ConnClosed bool        // the server ended the connection before it answered
	Header     http.Header // of the answer that said so
	err        error
}

// Error renders the kind and the cause.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.err.Error() }

// Unwrap returns an error of the failure's kind.
func (f *Failure) Unwrap() error { return kinds.Wrap(f.Kind, f.err, "relay") }

var (
	errRefused = errors.New("the server refused the request")
	errOther   = errors.New("the answer belongs to another request")
	errEndless = errors.New("the end of the answer could not be recognized")
)

// check refuses an answer that must not reach the caller.
//
// A server that answers late, on a connection that has since been given to
// another request, would hand one caller another's answer; servers that name
// the request in the answer let us see it. An answer whose end is the end of
// its connection looks the same whole and cut off, so it cannot be passed on as
// whole.
func (n *Headers) check(resp *http.Response, method string, id ident.Request) error {
	got := resp.Header.Get(n.ID)
	foreign := got != string(id) && (got != "" || n.EchoesID)
	if n.Refused(resp.StatusCode, resp.Header) && (got == "" || !foreign) {
		return &Failure{Kind: refusedKind(resp.StatusCode), Sent: true, Refused: true, err: errRefused, Header: resp.Header}
	}
	if foreign {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errOther}
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if unframed && method != http.MethodHead && !n.CloseDelimited {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errEndless}
	}
	return nil
}

func refusedKind(status int) kinds.Kind {
	if status == http.StatusMisdirectedRequest {
		return kinds.Misrouted
	}
	return kinds.Busy
}
