// Package relay sends one request to one backend server and returns the answer: it makes
// exactly one attempt, and delivers either the whole answer or an error.
//
// It is built on net/http's Transport, some of whose behavior suits a browser rather than
// a router: it repeats requests that it considers harmless, accepts an answer that ends
// with its connection, and cannot say whether a failed request was sent. Each of these is
// disabled here; docs/design/request.md lists them. The Transport still does the parsing,
// the framing and the reuse of connections.
package relay

import (
	"bytes"
	"context"
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
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Defaults of Config.
const (
	DefaultDial      = 500 * time.Millisecond
	DefaultIdle      = 90 * time.Second
	DefaultReuseIdle = 4 * time.Second
	DefaultHeader    = 64 << 10
	DefaultBody      = 256 << 20
)

// Config holds the settings of a relay. The zero value works.
type Config struct {
	Dial time.Duration // timeout for opening a connection
	Idle time.Duration // an idle connection is closed after this time
	// ReuseIdle is the longest time that a connection may have been idle and still be
	// used, for a server that does not announce its idle timeout. Zero means
	// DefaultReuseIdle.
	ReuseIdle time.Duration
	Header    int64   // largest header of an answer, in bytes
	Body      int64   // largest body of an answer, in bytes
	Headers   Headers // header names; the zero value means DefaultHeaders
	// Open opens connections; nil means TCP. Tests use connections in memory.
	Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// OnRejected, if set, is called for each response that is no answer to its request, with the
	// reason.
	OnRejected func(s ident.Server, reason error)
}

// Relay sends requests. Create one with New; all methods are safe for concurrent use.
type Relay struct {
	cfg      Config
	reserved []string

	mu        sync.RWMutex
	upstreams map[netip.AddrPort]*upstream
}

// upstream is one backend server as seen by the relay: its connections and their limit.
type upstream struct {
	host      string
	limit     connLimit
	transport *http.Transport
	reuseIdle atomic.Int64 // longest idle time of a connection that is reused, in nanoseconds

	mu       sync.Mutex
	attempts map[*attempt]struct{} // attempts that may be interrupted
}

// keepAliveFraction is the fraction of a server's announced idle timeout after which its
// connections are not reused any more. The rest covers the time that a request takes to
// reach the server.
const keepAliveFraction = 0.7

// readKeepAlive reads the server's idle timeout from the Keep-Alive header of an answer. A
// longer one than this side's counts as that.
func (u *upstream) readKeepAlive(h http.Header, longest time.Duration) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	number, _, _ := strings.Cut(after, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && s > 0 {
		idle := time.Duration(min(float64(s), longest.Seconds()) * float64(time.Second))
		u.reuseIdle.Store(int64(float64(idle) * keepAliveFraction))
	}
}

func (u *upstream) maxReuseIdle() time.Duration { return time.Duration(u.reuseIdle.Load()) }

// New returns a relay without connections.
func New(cfg Config) *Relay {
	if cfg.Dial <= 0 {
		cfg.Dial = DefaultDial
	}
	if cfg.Idle <= 0 {
		cfg.Idle = DefaultIdle
	}
	if cfg.ReuseIdle <= 0 {
		cfg.ReuseIdle = DefaultReuseIdle
	}
	if cfg.Header <= 0 {
		cfg.Header = DefaultHeader
	}
	if cfg.Body <= 0 {
		cfg.Body = DefaultBody
	}
	if cfg.Headers.Refused == nil {
		cfg.Headers = DefaultHeaders()
	}
	if cfg.Open == nil {
		var d net.Dialer
		cfg.Open = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp", to.String())
			if tcp, ok := c.(*net.TCPConn); ok {
				// Reset the connection when it is closed. Otherwise an abandoned request
				// that a network partition holds up would reach its server when the
				// partition heals.
				err = tcp.SetLinger(0)
			}
			return c, err
		}
	}
	return &Relay{cfg: cfg, reserved: cfg.Headers.reserved(), upstreams: map[netip.AddrPort]*upstream{}}
}

// Close closes idle connections. Requests in flight are not affected.
func (r *Relay) Close() error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, u := range r.upstreams {
		u.transport.CloseIdleConnections()
	}
	return nil
}

// Limit sets the maximum number of connections to a server; zero means no limit. When the
// limit shrinks, idle connections are closed at once and busy ones as their requests end.
func (r *Relay) Limit(to netip.AddrPort, limit int) {
	u := r.upstream(to)
	if u.limit.setLimit(limit) {
		u.transport.CloseIdleConnections()
	}
}

// OpenConns returns the number of open connections to a server.
func (r *Relay) OpenConns(to netip.AddrPort) int { return r.upstream(to).limit.count() }

func (r *Relay) upstream(to netip.AddrPort) *upstream {
	r.mu.RLock()
	u := r.upstreams[to]
	r.mu.RUnlock()
	if u != nil {
		return u
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if u = r.upstreams[to]; u == nil {
		u = r.newUpstream(to)
		r.upstreams[to] = u
	}
	return u
}

// maxIdleConns is above any connection limit, so that the limit alone decides how many
// connections are kept.
const maxIdleConns = 1 << 16

func (r *Relay) newUpstream(to netip.AddrPort) *upstream {
	u := &upstream{host: to.String(), attempts: map[*attempt]struct{}{}}
	u.reuseIdle.Store(int64(r.cfg.ReuseIdle))
	u.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return r.dial(ctx, u, to)
		},
		DisableCompression:     true, // answers are passed on byte for byte
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        r.cfg.Idle,
		MaxResponseHeaderBytes: r.cfg.Header,
		ReadBufferSize:         copySize / 4,
		WriteBufferSize:        copySize / 4,
	}
	return u
}

func (r *Relay) dial(ctx context.Context, u *upstream, to netip.AddrPort) (net.Conn, error) {
	if err := u.limit.acquire(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Dial)
	defer cancel()
	c, err := r.cfg.Open(ctx, to)
	if err != nil {
		u.limit.release()
		return nil, err
	}
	out := &conn{Conn: c, limit: &u.limit, opened: clock.Now()}
	if relayed, ok := c.(viaConn); ok {
		out.via = relayed.Via()
	}
	out.draining, _ = c.(drainingConn)
	return out, nil
}

// viaConn is a connection that goes through another VM.
type viaConn interface{ Via() string }

// drainingConn is a connection whose other end may ask for its end between two requests.
type drainingConn interface {
	// StartRequest reports whether the connection may carry another request.
	StartRequest() bool
	// FinishRequest is called when an answer is complete, and reports whether the connection
	// must be closed.
	FinishRequest() bool
}

// Response is a backend server's answer whose header has arrived. Call Copy or Close on
// it. A connection whose answer was not read to its end is closed and never reused.
type Response struct {
	resp      *http.Response
	headers   *Headers
	server    ident.Server
	buffered  []byte // the whole body, if Buffer read it to its end
	maxBody   int64  // see Config.Body
	cancel    context.CancelCauseFunc
	FirstByte time.Duration // time from sending the request to the arrival of the header
	// ConnOpened is when the connection was opened, on the boot clock, see package clock.
	ConnOpened time.Time
	Via        string    // address of the VM through which the request went; empty if it went directly
	ConnUses   int       // requests that the connection had carried before
	SentAt     time.Time // when the first byte of the request was passed to the connection
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.resp.StatusCode }

// Length returns the length of the body in bytes, -1 if it is not known.
func (r *Response) Length() int64 { return r.resp.ContentLength }

// Server returns the server that the request was sent to.
func (r *Response) Server() ident.Server { return r.server }

// Header returns the header as the server sent it. Treat it as read-only.
func (r *Response) Header() http.Header { return r.resp.Header }

// Close discards the part of the answer that was not read.
func (r *Response) Close() error {
	r.cancel(nil)
	return r.resp.Body.Close()
}

// Send makes one attempt. The error has one of these kinds:
//
//   - NoServer, DeadlineMissed, or Canceled before anything was written: the request did
//     not run;
//   - Misrouted or Busy: the server said that it did not run the request;
//   - Unknown: the request may have run;
//   - Canceled after something was written: the caller went away.
//
// Failure.Sent distinguishes the two cases of Canceled. The body is read only by this
// attempt.
//
// The context must belong to this attempt alone. cancel ends it: the relay calls it when
// the attempt is over, and the caller may call it to give the attempt up.
func (r *Relay) Send(
	ctx context.Context, cancel context.CancelCauseFunc, in *http.Request, body io.Reader, to netip.AddrPort, meta *Meta,
) (*Response, error) {
	u := r.upstream(to)
	a := &attempt{id: meta.ID, cancel: cancel, upstream: u, onSend: meta.OnSend, recipients: meta.Recipients, server: meta.Server, to: to}
	a.trace.GotConn, a.trace.PutIdleConn = a.gotConn, a.putIdleConn
	if meta.MayInterrupt != nil {
		a.mayInterrupt = meta.MayInterrupt
		u.addAttempt(a)
		defer u.removeAttempt(a)
	}
	defer a.endChecking()
	start := time.Now()
	a.request = r.outgoing(httptrace.WithClientTrace(ctx, &a.trace), in, body, u.host, meta)
	resp, err := u.transport.RoundTrip(a.request) //nolint:bodyclose // Response.Close does
	if err != nil {
		sent, broken := a.stop()
		fail := newFailure(ctx, err, sent, broken)
		fail.Via, fail.SentAt = a.connVia(), a.sentAt()
		cancel(nil)
		return nil, fail
	}
	a.answer = Response{resp: resp, headers: &r.cfg.Headers, maxBody: r.cfg.Body, server: meta.Server, cancel: cancel, FirstByte: time.Since(start), ConnOpened: a.connOpened(), Via: a.connVia(), ConnUses: a.connUses(), SentAt: a.sentAt()}
	answer := &a.answer
	if sent, _ := a.stop(); !sent {
		a.endConn()
		answer.Close()
		r.noteRejected(meta.Server, errUnsolicited)
		return nil, &Failure{Kind: kinds.NoServer, err: errUnsolicited}
	}
	fail := r.cfg.Headers.check(resp, in.Method, meta.ID, answer)
	if fail != nil && !fail.Refused {
		a.endConn()
		answer.Close()
		r.noteRejected(meta.Server, fail.err)
		return nil, fail
	}
	u.readKeepAlive(resp.Header, r.cfg.Idle)
	if fail != nil {
		a.noteRefusal(fail.Named)
		answer.Close()
		return nil, fail
	}
	if c := a.lastConn(); c != nil {
		resp.Body = reply.Body(resp, &c.out)
	}
	return answer, nil
}

// noteRejected reports a response that is no answer to its request.
func (r *Relay) noteRejected(s ident.Server, reason error) {
	if r.cfg.OnRejected != nil {
		r.cfg.OnRejected(s, reason)
	}
}

// outgoing returns the request for the backend server.
func (r *Relay) outgoing(ctx context.Context, in *http.Request, body io.Reader, host string, meta *Meta) *http.Request {
	out := new(http.Request).WithContext(ctx)
	out.Method, out.Host = in.Method, in.Host
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.URL = &url.URL{
		Scheme: "http", Host: host,
		Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery,
	}
	out.Header = requestHeader(in.Header, &r.cfg.Headers, r.reserved, meta)
	if body != nil && in.ContentLength != 0 {
		out.Body, out.ContentLength, out.Trailer = io.NopCloser(body), in.ContentLength, in.Trailer
		out.GetBody = rewinder(body)
	}
	return out
}

// rewinder returns a function that reads a buffered body from its start; nil for any other. The
// Transport needs it to take another connection if one is closed before anything was written.
func rewinder(body io.Reader) func() (io.ReadCloser, error) {
	buffered, ok := body.(*bytes.Reader)
	if !ok {
		return nil
	}
	start := *buffered
	return func() (io.ReadCloser, error) {
		again := start
		return io.NopCloser(&again), nil
	}
}
