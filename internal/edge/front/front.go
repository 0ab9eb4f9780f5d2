// Package front is the callers' side of an entry VM. Each request goes along
// one line: identify the caller, match the rule, find the owner of its key or
// let the gate pick a server, be admitted, be forwarded, be answered, be
// recorded. Every way off that line is one kind of core/kinds, whose table
// alone decides what the caller is told.
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/audit/dedup"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// Recorder takes decisions off the request path, as *record.Writer does.
type Recorder interface {
	Record(d record.Decision) bool
}

// Meter counts what callers received. Its methods must not block.
type Meter interface {
	Answered(d *record.Decision)
}

// Claimer keeps a request id from running twice, as *once.Guard does. Claim
// fails with kind Repeated when the id was claimed before, and with kind
// Undurable when that cannot be found out now. The ticket is settled once it is
// known whether the request ran.
type Claimer interface {
	Claim(ctx context.Context, ask dedup.Request) (*dedup.Ticket, error)
}

// DurableRecorder makes a decision durable before the request is forwarded, as
// *ledger.Journal does. It fails with kind Undurable when it cannot.
type DurableRecorder interface {
	RecordDurable(ctx context.Context, d *record.Decision) error
}

// Canceler asks a backend server to stop working on a request whose caller went
// away. It must not block.
type Canceler interface {
	Cancel(svc ident.Service, s ident.Server, id ident.Request)
}

// Front serves callers. Fill in the exported fields, then call Start and Handler;
// State and Relay are required, a nil for the others leaves that step out.
type Front struct {
	VM     ident.VM
	Centre ident.Centre
	Limit  config.Limit
	State  *state.State
	Relay  *relay.Relay

	Record  Recorder
	Meter   Meter
	Claims  Claimer
	Durable DurableRecorder
	Cancel  Canceler
	Guard   Guard

	// Identify names the caller; nil takes IdentifyHeader.
	Identify func(*http.Request) ident.Caller
	// Headers are the headers spoken, the relay's; the zero value is the system's own.
	Headers relay.Headers
	// BufferLimit is up to where a body is read whole before the request asks for a place,
	// in bytes; zero takes smallBody.
	BufferLimit int64
	// MaxOwnerWait bounds the wait for a key's owner where the rule does not say; zero
	// takes defaultPatience.
	MaxOwnerWait time.Duration
	// FormatRetryAfter renders Retry-After; nil rounds up to whole seconds, as RFC 9110 has it.
	FormatRetryAfter func(time.Duration) string
	// OnKeyRequest, if set, hears of each request for a key of a divided service.
	OnKeyRequest func(svc ident.Service, key ident.Key)

	// OnAnswer, if set, hears how long a server worked on a request, as far as its
	// answer's time and its own word on who else waited there tell.
	OnAnswer func(s ident.Server, took time.Duration)

	limit   atomic.Pointer[config.Limit] // in place of Limit, once set
	group   group.Group
	flights sync.Map // ident.Service -> *flights, of the services divided by key
	turns   sync.Map // name of a rule -> *atomic.Uint64, its requests
	closing atomic.Bool
	flying  atomic.Int64
	serial  atomic.Uint64
	prefix  string
}

// SetLimit changes the bounds on what callers may send, from the next request on.
func (f *Front) SetLimit(l config.Limit) { f.limit.Store(&l) }

// limits are the bounds in force.
func (f *Front) limits() *config.Limit {
	if l := f.limit.Load(); l != nil {
		return l
	}
	return &f.Limit
}

// Handler returns the front end as a gin engine.
func (f *Front) Handler() http.Handler {
	if f.Identify == nil {
		f.Identify = IdentifyHeader
	}
	if f.Headers.Refused == nil {
		f.Headers = relay.DefaultHeaders()
	}
	if f.BufferLimit <= 0 {
		f.BufferLimit = smallBody
	}
	if f.MaxOwnerWait <= 0 {
		f.MaxOwnerWait = defaultPatience
	}
	if f.FormatRetryAfter == nil {
		f.FormatRetryAfter = wholeSeconds
	}
	// Two starts of one VM name never give the same request id.
	f.prefix = string(f.VM) + "-" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-"
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	// Rules route, not paths: every path and method lands here.
	engine.NoRoute(func(c *gin.Context) { f.serve(c.Writer, c.Request) })
	return engine
}

// Pipeline returns what reads callers' connections ahead for the handler: further lookups on
// a connection are worked on before the first is answered. None are begun once the front
// end is closing.
func (f *Front) Pipeline() *pipe.Reader {
	return &pipe.Reader{Serve: f.serveAhead, Allow: func() bool { return !f.IsClosing() }}
}

// wholeSeconds renders a pause rounded up, the only form that RFC 9110 knows.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// turn counts a rule's requests from a random number on, so that VMs that start
// together do not all begin a split with the same part.
func (f *Front) turn(rule string) uint64 {
	n, ok := f.turns.Load(rule)
	if !ok {
		first := &atomic.Uint64{}
		first.Store(rand.Uint64())
		n, _ = f.turns.LoadOrStore(rule, first)
	}
	return n.(*atomic.Uint64).Add(1)
}

// writer sends the status at once. gin otherwise keeps it back, and puts its
// own text into an answer with status 404 and no body.
type writer struct{ gin.ResponseWriter }

// WriteHeader sends the status and the headers.
func (w *writer) WriteHeader(code int) {
	w.ResponseWriter.WriteHeader(code)
	w.WriteHeaderNow()
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetClosing makes every further answer ask its caller to open no more requests
// on the connection. Requests are still served: the balancer needs time to
// notice, and whoever it sends until then must not be turned away.
func (f *Front) SetClosing() { f.closing.Store(true) }

// IsClosing reports whether Closing was called.
func (f *Front) IsClosing() bool { return f.closing.Load() }

// InFlight counts the requests in flight.
func (f *Front) InFlight() int { return int(f.flying.Load()) }

// IdentifyHeader takes the caller's name from the header that the balancer
// sets, and falls back to the address that the request came from. The balancer
// must drop the header from what callers send.
func IdentifyHeader(r *http.Request) ident.Caller {
	if name := r.Header.Get(relay.HeaderCaller); name != "" {
		return ident.Caller(name)
	}
	if at, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		return ident.Caller(at.Addr().Unmap().String())
	}
	return ident.Caller(r.RemoteAddr)
}
