// Package front handles callers' requests on an entry VM. Each request goes through the
// same steps: identify the caller, match a rule, find the owner of the request's key or
// let the gate pick a server, wait for admission, forward the request, copy the answer,
// record the decision. Every failure has one of the kinds of core/kinds, whose table
// alone decides what the caller is told.
package front

import (
	"context"
	"log/slog"
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
	"hawthornfield.org/hawthornfield/internal/core/reply"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/intake"
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

// Recorder writes decisions outside the request path. *record.Writer implements it.
type Recorder interface {
	Record(d record.Decision) bool
}

// Meter counts what callers received. Its methods must not block.
type Meter interface {
	Answered(d *record.Decision)
}

// Claimer ensures that a request id runs at most once. *dedup.Guard implements it. Claim
// fails with kind Repeated when the id was claimed before, and with kind NotDurable when
// that cannot be determined now. The ticket is settled once it is known whether the
// request ran.
type Claimer interface {
	Claim(ctx context.Context, claim dedup.Request) (*dedup.Ticket, error)
}

// DurableRecorder makes a decision durable before the request is forwarded.
// *ledger.Journal implements it. RecordDurable fails with kind NotDurable when it cannot.
type DurableRecorder interface {
	RecordDurable(ctx context.Context, d *record.Decision) error
}

// Canceler asks a backend server to stop working on a request whose caller went
// away. It must not block.
type Canceler interface {
	Cancel(svc ident.Service, s ident.Server, id ident.Request)
}

// Front serves callers. Set the exported fields, then call Start and Handler. State and
// Relay are required; a step whose dependency is nil is skipped.
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
	Egress  *egress.Budget // of response bytes; nil means no bound
	Intake  intake.Limits  // of what callers can make this VM hold; the zero value has none
	Bodies  intake.Bodies  // of requests that are read whole; SetBound sets its bound
	Log     *slog.Logger   // of faults of this program; nil means none

	// Identify returns the caller of a request; nil means IdentifyHeader.
	Identify func(*http.Request) ident.Caller
	// Headers are the header names in use, the same as the relay's. The zero value means
	// relay.DefaultHeaders.
	Headers relay.Headers
	// BufferLimit is the largest body, in bytes, that is read whole before the request
	// asks for admission; zero means defaultBufferLimit.
	BufferLimit int64
	// MaxOwnerWait is the longest wait for a key to get an owner when the rule sets none;
	// zero means defaultMaxOwnerWait.
	MaxOwnerWait time.Duration
	// FormatRetryAfter formats the Retry-After header; nil rounds up to whole seconds,
	// the only form that RFC 9110 allows.
	FormatRetryAfter func(time.Duration) string
	// OnKeyRequest, if set, is called for each request for a key of a service divided by
	// key.
	OnKeyRequest func(svc ident.Service, key ident.Key)
	// OnAnswer, if set, is called with the time that a server worked on a request,
	// estimated from the time of its answer and the load that the server reported with
	// it.
	OnAnswer func(s ident.Server, took time.Duration)

	// OnLoadFault, if set, is called for each report in a header, of load or of a limit, of
	// which a part could not be read.
	OnLoadFault func(s ident.Server, fault string)

	// OnShed, if set, is called when a server that turned a request away wants no further
	// requests from this VM for a time. The argument via is the address of the VM through
	// which the request went; empty if it went directly.
	OnShed func(p ident.Process, d time.Duration, via string)
	// ServersAge, if set, returns how old this VM's list of servers is, zero if unknown.
	ServersAge func() time.Duration
	// OnNotice, if set, is called with what a server says about itself with an answer to a
	// request, which was sent at a time of the boot clock.
	OnNotice func(p ident.Process, n notice.Notice, sent time.Time)
	// Fleet, if set, collects what this VM observes of the load of servers.
	Fleet *fleet.Collector

	limitOverride atomic.Pointer[config.Limit] // replaces Limit once SetLimit was called
	pipeline      atomic.Pointer[pipe.Reader]
	group         group.Group
	ownerAttempts sync.Map // ident.Service -> *ownerAttempts, for services divided by key
	requestCounts sync.Map // name of a rule -> *atomic.Uint64, the number of its requests
	closing       atomic.Bool
	end           atomic.Pointer[end] // see SetEnd
	inFlight      atomic.Int64
	idCounter     atomic.Uint64
	idPrefix      string
}

// SetLimit changes the limits on callers' requests, starting with the next request.
func (f *Front) SetLimit(l config.Limit) {
	f.limitOverride.Store(&l)
	if r := f.pipeline.Load(); r != nil {
		r.Heads.SetBound(f.Intake.HeadBound(l.Header))
	}
}

// limits returns the limits in force.
func (f *Front) limits() *config.Limit {
	if l := f.limitOverride.Load(); l != nil {
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
		f.BufferLimit = defaultBufferLimit
	}
	if f.MaxOwnerWait <= 0 {
		f.MaxOwnerWait = defaultMaxOwnerWait
	}
	if f.FormatRetryAfter == nil {
		f.FormatRetryAfter = retryAfterSeconds
	}
	// Request ids stay unique when a VM with the same name restarts.
	f.idPrefix = string(f.VM) + "-" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-"
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	// Requests are routed by the rules, not by gin: every path and method is served here.
	engine.NoRoute(func(c *gin.Context) { f.serve(c.Writer, c.Request) })
	return engine
}

// Pipeline returns a reader that serves pipelined requests through the handler: further
// lookups on a connection are processed before the first one is answered. It starts none
// after SetClosing.
func (f *Front) Pipeline() *pipe.Reader {
	r := &pipe.Reader{
		Serve: f.servePipelined, Allow: func() bool { return !f.IsClosing() },
		HeadLimit: func() int { return f.limits().Header }, RefuseHead: f.refuseHead,
	}
	r.MaxConns = f.Intake.Conns
	r.Heads.SetBound(f.Intake.HeadBound(f.limits().Header))
	f.pipeline.Store(r)
	return r
}

// Dropped returns the number of callers' connections that were closed with requests unread, see
// [pipe.Reader.Dropped].
func (f *Front) Dropped() int64 {
	if r := f.pipeline.Load(); r != nil {
		return r.Dropped()
	}
	return 0
}

// retryAfterSeconds formats a duration rounded up to seconds, the only form that RFC 9110
// allows.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// nextCount increments and returns the request counter of a rule. Counters start at a
// random number, so that VMs that start together do not all begin a split with the same
// part.
func (f *Front) nextCount(rule string) uint64 {
	n, ok := f.requestCounts.Load(rule)
	if !ok {
		first := &atomic.Uint64{}
		first.Store(rand.Uint64())
		n, _ = f.requestCounts.LoadOrStore(rule, first)
	}
	return n.(*atomic.Uint64).Add(1)
}

// statusWriter sends the status immediately. gin otherwise defers it, and adds its own
// text to an answer with status 404 and no body.
type statusWriter struct {
	gin.ResponseWriter
	conn *pipe.Conn // nil on a connection that is not read ahead
}

// WriteHeader sends the status and the headers. It panics if the status is none: gin would
// keep the one that it has.
func (w *statusWriter) WriteHeader(code int) {
	if err := reply.CheckStatus(code); err != nil {
		panic(err)
	}
	if w.Header().Get("Connection") == "close" && !w.conn.EndReading() {
		w.Header().Del("Connection") // more requests were read since it was set
	}
	w.ResponseWriter.WriteHeader(code)
	w.WriteHeaderNow()
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetClosing makes every further answer ask its caller to open no more requests on the
// connection. Requests are still served: the load balancer takes some time to notice the
// shutdown, and the requests that it sends until then must not be refused.
func (f *Front) SetClosing() { f.closing.Store(true) }

// end is when this VM breaks off what it has not answered, and since when that is known.
type end struct{ known, at time.Time }

// SetEnd sets when this VM breaks off what it has not answered. It refuses requests with a later
// deadline that were not complete before now.
func (f *Front) SetEnd(at time.Time) { f.end.Store(&end{known: time.Now(), at: at}) }

// endsBefore reports whether a request came so late that this VM may break it off.
func (f *Front) endsBefore(complete, deadline time.Time) bool {
	e := f.end.Load()
	return e != nil && complete.After(e.known) && deadline.After(e.at)
}

// IsClosing reports whether SetClosing was called.
func (f *Front) IsClosing() bool { return f.closing.Load() }

// InFlight returns the number of requests in progress.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// IdentifyHeader returns the caller's name from the header that the load balancer sets,
// or the address that the request came from if the header is missing. The load balancer
// must remove the header from what callers send.
func IdentifyHeader(r *http.Request) ident.Caller {
	if name := r.Header.Get(relay.HeaderCaller); name != "" {
		return ident.Caller(name)
	}
	if at, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		return ident.Caller(at.Addr().Unmap().String())
	}
	return ident.Caller(r.RemoteAddr)
}
