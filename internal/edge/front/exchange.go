package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/audit/dedup"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Limits on values that a caller sends in the system's own headers.
const (
	maxNameLength = 128
	maxDeadline   = 24 * time.Hour
)

// exchange is the state of one request from its arrival to the end of its answer.
type exchange struct {
	f         *Front
	ginWriter statusWriter
	w         http.ResponseWriter // ginWriter, or the buffer of a pipelined request
	r         *http.Request
	body      body
	conn      *pipe.Conn // nil for a pipelined request, and on a connection without pipelining

	decision        record.Decision
	rule            *match.Rule
	svc             *state.Service
	key             ident.Key
	deadline        time.Time
	responseStarted bool           // the answer is being copied to the caller
	mayHaveRun      bool           // an attempt that got no answer may have run
	refusal         record.Promise // of the attempts that servers refused; empty if there were none
	// loadReported says that the server reported its load with its answer: serverRunning
	// requests ran and serverWaiting requests waited there.
	loadReported                 bool
	serverRunning, serverWaiting int

	current       *ownerAttempt // the current attempt, for a service divided by key
	firstAttempt  ownerAttempt
	hedgeAttempts []*hedgeAttempt // attempts of a hedged request, in order of their start

	suspect bool // the Guard suspects the request of crashing servers
	crashes int  // number of servers that crashed while running the request, as last reported by the Guard

	hold *egress.Hold // counts the bytes of the response; nil if the budget is off

	ticket       *dedup.Ticket // the claim on the request id, if the rule demands one
	idFromCaller bool          // the caller chose the request id
}

// serve handles one request, or delivers the answer that was prepared for it while it was
// pipelined.
func (f *Front) serve(w gin.ResponseWriter, r *http.Request) {
	conn := pipe.From(r.Context())
	pipelined, arrived := conn.Begin(r)
	defer conn.Done()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if pipelined != nil && f.deliver(pipelined, conn, &statusWriter{w, conn}) {
		return
	}
	x := f.newExchange(r, arrived)
	x.ginWriter, x.conn = statusWriter{w, conn}, conn
	x.w = &x.ginWriter
	_, broken := x.handle()
	x.limitDiscard()
	if broken {
		// A normal return would end a chunked answer properly, and the caller would take
		// the partial answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// servePipelined serves a request that arrived while an earlier one of the same
// connection is not answered yet. It declines requests that are not idempotent: if an
// earlier answer breaks the connection off, their answer would be lost although they have
// run.
func (f *Front) servePipelined(w http.ResponseWriter, r *http.Request, at time.Time) (ok, broken bool) {
	x := f.newExchange(r, at)
	x.w, x.decision.Pipelined = w, true
	return x.handle()
}

// newExchange creates the exchange of a request. If the request waited to be read, arrived
// is when it arrived; otherwise it is zero.
func (f *Front) newExchange(r *http.Request, arrived time.Time) *exchange {
	now := time.Now()
	x := &exchange{f: f, r: r}
	x.decision = record.Decision{Action: record.Route, At: now, VM: f.VM}
	if !arrived.IsZero() {
		x.decision.At, x.decision.PipelineWait = arrived, now.Sub(arrived)
	}
	return x
}

// handle processes the request and answers it. ok is false if the request was declined
// for pipelining; broken reports that the answer broke off after it had begun.
func (x *exchange) handle() (ok, broken bool) {
	x.f.inFlight.Add(1)
	defer x.f.inFlight.Add(-1)
	defer x.releaseBytes()
	defer x.releaseBody()
	err := x.recovered(x.run)
	if errors.Is(err, errNotPipelined) {
		return false, false
	}
	if err != nil && x.responseStarted && x.dropAnswer() {
		x.responseStarted, x.mayHaveRun = false, true
	}
	err = x.unknownIfRan(x.closingIfStopped(err))
	x.finish(err)
	return true, err != nil && x.responseStarted
}

// unknownIfRan changes an error that promises "not run" to kind Unknown if an earlier
// attempt may have run. A caller that is told "not run" repeats a request that may
// already have taken effect.
func (x *exchange) unknownIfRan(err error) error {
	if x.mayHaveRun && !x.responseStarted && kinds.Of(err).Answer().Ran == kinds.RanNo {
		return kinds.Wrap(kinds.Unknown, err, "an earlier attempt may have run")
	}
	return err
}

// closingIfStopped changes the error of a request that was given up because this VM stops,
// which otherwise looks as if its caller had gone away.
func (x *exchange) closingIfStopped(err error) error {
	if kinds.Of(err) != kinds.Canceled || !errors.Is(context.Cause(x.r.Context()), httpd.ErrStopping) {
		return err
	}
	return kinds.Wrap(kinds.Closing, err, "no answer before the end of this VM")
}

func (x *exchange) run() error {
	if err := x.identify(); err != nil {
		return err
	}
	if limit := x.f.limits().Header; limit > 0 && headerSize(x.r) > limit {
		return x.finalUnlessStale(errHeaderTooLarge)
	}
	if err := x.route(); err != nil {
		return err
	}
	if x.decision.Pipelined && !x.rule.Then.Idempotent {
		return errNotPipelined
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.conn.OnDisconnect(cancel)
	reading := time.Now()
	if err := x.readBody(); err != nil {
		return err
	}
	complete := x.decision.At.Add(time.Since(reading)) // an earlier request may have held it up since
	if err := x.checkSuspect(ctx); err != nil {
		return err
	}
	if err := x.acquireBytes(ctx); err != nil {
		return err
	}
	if x.f.endsBefore(complete, x.deadline) {
		return errEnds
	}
	err := x.claimAndRecord(ctx)
	if err == nil {
		err = x.forward(ctx)
	}
	if err != nil && !x.responseStarted {
		x.hold.Close() // before the caller is told, who may come back at once
	}
	return err
}

var (
	errRulesUnknown   = kinds.New(kinds.Unavailable, "the rules in force are not known on this VM")
	errNoRule         = kinds.New(kinds.NoRule, "no rule matches")
	errDenied         = kinds.New(kinds.Denied, "a rule denies the request")
	errUnknownService = kinds.New(kinds.NoServer, "the rule's service is not configured on this VM")
	errNoID           = kinds.New(kinds.BadRequest, "the rule needs a request id from the caller")
	errBodyTooLarge   = kinds.New(kinds.TooLarge, "the body exceeds the limit")
	errBadDeadline    = kinds.New(kinds.BadRequest, "the deadline header is not a number of milliseconds")
	errDeadlinePassed = kinds.New(kinds.DeadlineMissed, "the caller's deadline had passed when the request arrived")
	errEnds           = kinds.New(kinds.Closing, "this VM may end before the request's deadline")
	errHeaderTooLarge = kinds.New(kinds.LongHeader, "the headers exceed the limit")
)

// errNotPipelined declines to pipeline a request; it reaches no caller. It has no kind:
// errors.Is treats errors of one kind as equal, so an internal error would be taken for
// it and dropped without an answer or a log entry.
var errNotPipelined = errors.New("the request must not be pipelined")

// claimAndRecord does what the rule requires before the request may run: it claims the
// request id and writes a durable record.
func (x *exchange) claimAndRecord(ctx context.Context) error {
	then := &x.rule.Then
	if then.Once == match.OnceStore && x.f.Claims != nil {
		if !x.idFromCaller {
			// With a generated id a repeated submission would look like a new request.
			return x.finalUnlessStale(errNoID)
		}
		claim := dedup.Request{Service: then.Service, ID: x.decision.ID, Rule: x.rule.Name}
		var err error
		if x.ticket, err = x.f.Claims.Claim(ctx, claim); err != nil {
			return err
		}
	}
	if then.Durable == match.DurableJournal && x.f.Durable != nil {
		return x.f.Durable.RecordDurable(ctx, &x.decision)
	}
	return nil
}

// releaseTimeout is the longest time that a refusal waits for its claim to be released.
const releaseTimeout = 250 * time.Millisecond

// settleClaim reports to the claim whether the request ran. The claim of a request that
// did not run is released before the caller is told so; otherwise the caller's next try
// would be rejected as a second submission.
func (x *exchange) settleClaim() {
	if x.ticket == nil {
		return
	}
	switch x.decision.Ran {
	case kinds.RanYes:
		x.ticket.Done(x.decision.Status)
	case kinds.RanNo:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), releaseTimeout)
		defer cancel()
		x.ticket.Release(ctx)
	}
}

// finish answers the request if that was not done yet, and records the decision.
func (x *exchange) finish(err error) {
	k := kinds.Of(err)
	x.decision.Kind, x.decision.Took = k.String(), time.Since(x.decision.At)
	x.decision.Stopping = x.f.IsClosing()
	x.decision.Ran = kinds.RanYes
	if err != nil {
		x.decision.Ran, x.decision.Reason = k.Answer().Ran, err.Error()
		if didNotRun(err) && !x.mayHaveRun {
			x.decision.Ran = kinds.RanNo
		}
	}
	x.settleClaim()
	x.recordRefusal(err)
	if err != nil && !x.responseStarted {
		x.decision.Status = x.writeError(err)
	}
	x.notePromise(err)
	if x.rule != nil {
		x.decision.Keep = x.rule.Then.Keep
		x.decision.Skip = !x.decision.Keep.Retains(retain.Case{Key: x.key, Safe: isSafeMethod(x.r.Method), Succeeded: err == nil && x.decision.Status < http.StatusInternalServerError})
	}
	if x.f.Record != nil {
		x.f.Record.Record(x.decision)
	}
	if x.f.Meter != nil {
		x.f.Meter.Answered(&x.decision)
	}
}

// recordRefusal records the load that the gate saw when it refused the request. Without
// it the log tells that the request was refused, but not whether rightly.
func (x *exchange) recordRefusal(err error) {
	var refused *gate.Refusal
	if x.svc == nil || !errors.As(err, &refused) {
		return
	}
	if owner, ok := x.svc.Owner(x.key); x.svc.Divided() && ok {
		x.decision.Server = owner.Server
	}
	s := x.svc.Gate.Inspect(x.decision.Server)
	x.decision.Busy, x.decision.Limit, x.decision.Queue = s.Running, s.Limit, s.Waiting
	x.decision.Places, x.decision.Estimate, x.decision.EstimateAge = s.Places, s.Estimate, s.EstimateAge
	x.decision.Cold, x.decision.Limited, x.decision.Shedding = s.Cold, s.Limited, s.Shedding > 0
}

// isSafeMethod reports whether a method is safe as defined by RFC 9110, section 9.2.1: it
// asks for nothing to be changed.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func didNotRun(err error) bool {
	var fail *relay.Failure
	return errors.As(err, &fail) && (!fail.Sent || fail.Refused)
}

// freeSlotRetryAfter is the Retry-After value for a refusal by a server that reported a
// free slot.
const freeSlotRetryAfter = 100 * time.Millisecond

// hasFreeSlot reports whether the server that refused the request also reported a free
// slot.
func (x *exchange) hasFreeSlot(err error) bool {
	var fail *relay.Failure
	return errors.As(err, &fail) && fail.Refused && x.loadReported && x.serverRunning+x.serverWaiting < x.svc.Gate.Inspect(x.decision.Server).Slots
}

// ownerSheds returns for how long the owner of the request's key, which refused the request,
// wants none from this VM.
func (x *exchange) ownerSheds(err error) time.Duration {
	var fail *relay.Failure
	if x.key == "" || !errors.As(err, &fail) || !fail.Refused {
		return 0
	}
	return x.svc.Gate.Inspect(x.decision.Server).Shedding
}

// writeError writes the answer that the table of kinds defines for the error, and returns
// its status.
func (x *exchange) writeError(err error) int {
	k := kinds.Of(err)
	a := k.Answer()
	after := a.Retry
	if hint := max(gate.RetryAfter(err), bytesRetryAfter(err)); hint > 0 {
		after = hint
	}
	if x.hasFreeSlot(err) {
		after = freeSlotRetryAfter
	}
	if left := x.ownerSheds(err); left > 0 {
		after = left
	}
	if remaining := quarantineLeft(err); remaining > 0 {
		after = remaining
	}
	h := x.w.Header()
	if x.f.Headers.Ran != "" {
		h.Set(x.f.Headers.Ran, string(x.decision.Ran))
	}
	h.Set(x.f.Headers.ID, string(x.decision.ID))
	h.Set("Content-Type", "application/json")
	if after > 0 {
		h.Set("Retry-After", x.f.FormatRetryAfter(after))
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(errorBody{Kind: k.String(), Text: a.Text, Ran: x.decision.Ran, ID: x.decision.ID}.json())
	return a.Status
}
