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
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Bounds on what a caller may send in our own headers.
const (
	maxName     = 128
	maxDeadline = 24 * time.Hour
)

// exchange is one request on its way.
type exchange struct {
	f    *Front
	out  writer
	w    http.ResponseWriter // out
	r    *http.Request
	body body
	line *pipe.Conn // nil where the connection is not read ahead, or the request was

	note record.Decision
	rule *match.Rule
	svc  *state.Service
	key  ident.Key
	by   time.Time
	sent bool // the header of an answer has been written to the caller
	ran  bool // an attempt that brought no answer may have run
	// told says that the server sent its own word with its answer: how many requests
	// ran and waited there.
	told             bool
	running, waiting int

	flight *flight // the attempt under way, in a service divided by key
	first  flight
	racers []*try // attempts of a hedged request

	suspect bool // it is known to the Guard
	crashes int  // servers that broke off under it, as known when the last one did

	ticket *dedup.Ticket // the claim on the request id, if the rule demands one
	named  bool          // the caller itself chose the request id
}

// serve takes one request along the line, or passes on what was started of it already.
func (f *Front) serve(w gin.ResponseWriter, r *http.Request) {
	line := pipe.From(r.Context())
	run, came := line.Begin(r)
	defer line.Done()
	if f.closing.Load() && !line.HasPending() {
		w.Header().Set("Connection", "close")
	}
	if run != nil && run.Deliver(&writer{w}) {
		return
	}
	x := f.exchange(r, came)
	x.out, x.line = writer{w}, line
	x.w = &x.out
	if _, broken := x.answer(); broken {
		// A normal return would end a chunked answer properly, and the caller
		// would take the part that arrived for the whole.
		panic(http.ErrAbortHandler)
	}
}

// serveAhead serves a request that is not the first one of its connection that is not
// answered yet. It declines what must run once at most: its answer may never reach the
// caller, if one before it breaks the connection off.
func (f *Front) serveAhead(w http.ResponseWriter, r *http.Request, at time.Time) (ok, broken bool) {
	x := f.exchange(r, at)
	x.w, x.note.Pipelined = w, true
	return x.answer()
}

// exchange begins a request. It came at a time at which nobody read it yet, or now.
func (f *Front) exchange(r *http.Request, came time.Time) *exchange {
	now := time.Now()
	x := &exchange{f: f, r: r}
	x.note = record.Decision{Action: record.Route, At: now, VM: f.VM}
	if !came.IsZero() {
		x.note.At, x.note.PipelineWait = came, now.Sub(came)
	}
	return x
}

// answer takes the request along the line. It reports whether that was done at all, and
// whether the answer broke off.
func (x *exchange) answer() (ok, broken bool) {
	x.f.flying.Add(1)
	defer x.f.flying.Add(-1)
	err := x.run()
	if errors.Is(err, errInTurn) {
		return false, false
	}
	err = x.truthful(err)
	x.finish(err)
	return true, err != nil && x.sent
}

// truthful keeps a refusal of the last attempt from promising what an earlier one
// may have done: a request that was sent once and then refused elsewhere may have
// run, and a caller that is told otherwise repeats what is done already.
func (x *exchange) truthful(err error) error {
	if x.ran && !x.sent && kinds.Of(err).Answer().Ran == kinds.RanNo {
		return kinds.Wrap(kinds.Unknown, err, "an earlier attempt may have run")
	}
	return err
}

func (x *exchange) run() error {
	if err := x.identify(); err != nil {
		return err
	}
	if limit := x.f.limits().Header; limit > 0 && headerSize(x.r) > limit {
		return x.doubt(errHeader)
	}
	if err := x.route(); err != nil {
		return err
	}
	if x.note.Pipelined && !x.rule.Then.Idempotent {
		return errInTurn
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.by)
	defer cancel()
	x.line.OnDisconnect(cancel)
	if err := x.takeBody(); err != nil {
		return err
	}
	if err := x.screen(); err != nil {
		return err
	}
	if err := x.promise(ctx); err != nil {
		return err
	}
	return x.forward(ctx)
}

var (
	errNoRules  = kinds.New(kinds.Unavailable, "this VM may not answer: it cannot know the rules in force")
	errNoRule   = kinds.New(kinds.NoRule, "no rule matches")
	errDenied   = kinds.New(kinds.Denied, "a rule denies the request")
	errService  = kinds.New(kinds.NoServer, "the rule's service is not configured here")
	errNoID     = kinds.New(kinds.BadRequest, "the rule needs a request id from the caller")
	errTooLarge = kinds.New(kinds.TooLarge, "the body exceeds the limit")
	errTime     = kinds.New(kinds.BadRequest, "the caller's time is no number of milliseconds")
	errOver     = kinds.New(kinds.DeadlineMissed, "the caller's time was over when its request came")
	errHeader   = kinds.New(kinds.LongHeader, "the headers exceed the limit")
)

// errInTurn is no failure and reaches no caller. It has no kind: errors of one kind are
// the same to errors.Is, and every fault of our own would be taken for it, dropped
// without an answer or a line in the log.
var errInTurn = errors.New("the request is served in its turn")

// promise does what the rule demands before anything may run: a claim on the
// request id, and a durable record.
func (x *exchange) promise(ctx context.Context) error {
	then := &x.rule.Then
	if then.Once == match.OnceStore && x.f.Claims != nil {
		if !x.named {
			// Under an id of our own making a repeat would look like a new request.
			return x.doubt(errNoID)
		}
		ask := dedup.Request{Service: then.Service, ID: x.note.ID, Rule: x.rule.Name}
		var err error
		if x.ticket, err = x.f.Claims.Claim(ctx, ask); err != nil {
			return err
		}
	}
	if then.Durable == match.DurableJournal && x.f.Durable != nil {
		return x.f.Durable.RecordDurable(ctx, &x.note)
	}
	return nil
}

// settleWait bounds how long a refusal waits until the claim is given back.
const settleWait = 250 * time.Millisecond

// settle says what became of the claim. A request that did not run gives it
// back before the caller is told so, or the caller's next try would be taken
// for a second submission of something that was accepted.
func (x *exchange) settle() {
	if x.ticket == nil {
		return
	}
	switch x.note.Ran {
	case kinds.RanYes:
		x.ticket.Done(x.note.Status)
	case kinds.RanNo:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), settleWait)
		defer cancel()
		x.ticket.Release(ctx)
	}
}

// finish answers what was not answered yet, and records the decision.
func (x *exchange) finish(err error) {
	k := kinds.Of(err)
	x.note.Kind, x.note.Took = k.String(), time.Since(x.note.At)
	x.note.Ran = kinds.RanYes
	if err != nil {
		x.note.Ran, x.note.Reason = k.Answer().Ran, err.Error()
		if notSent(err) {
			x.note.Ran = kinds.RanNo
		}
	}
	x.settle()
	x.sight(err)
	if err != nil && !x.sent {
		x.note.Status = x.refuse(err)
	}
	if x.rule != nil {
		x.note.Keep = x.rule.Then.Keep
		x.note.Skip = !x.note.Keep.Retains(retain.Case{Key: x.key, Safe: safe(x.r.Method), Succeeded: err == nil && x.note.Status < http.StatusInternalServerError})
	}
	if x.f.Record != nil {
		x.f.Record.Record(x.note)
	}
	if x.f.Meter != nil {
		x.f.Meter.Answered(&x.note)
	}
}

// sight notes what the gate saw when it refused the request: without it a reader of
// the log knows that it was refused, and not whether rightly.
func (x *exchange) sight(err error) {
	var refused *gate.Refusal
	if x.svc == nil || !errors.As(err, &refused) {
		return
	}
	if owner, ok := x.svc.Owner(x.key); x.svc.Divided() && ok {
		x.note.Server = owner.Server
	}
	s := x.svc.Gate.Inspect(x.note.Server)
	x.note.Busy, x.note.Limit, x.note.Queue = s.Running, s.Limit, s.Waiting
}

// safe reports whether a method asks for nothing to be changed (RFC 9110, 9.2.1).
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func notSent(err error) bool {
	var fail *relay.Failure
	return errors.As(err, &fail) && (!fail.Sent || fail.Refused)
}

// soon is when to come back to a server that had a free slot as it refused.
const soon = 100 * time.Millisecond

// roomy reports whether the server that refused the request said that it has a free slot.
func (x *exchange) roomy(err error) bool {
	var fail *relay.Failure
	return errors.As(err, &fail) && fail.Refused && x.told && x.running+x.waiting < x.svc.Gate.Inspect(x.note.Server).Slots
}

// refuse answers with the kind's row and returns the status.
func (x *exchange) refuse(err error) int {
	k := kinds.Of(err)
	a := k.Answer()
	after := a.Retry
	if hint := gate.RetryAfter(err); hint > 0 {
		after = hint
	}
	if x.roomy(err) {
		after = soon
	}
	if left := barredFor(err); left > 0 {
		after = left
	}
	h := x.w.Header()
	if x.f.Headers.Ran != "" {
		h.Set(x.f.Headers.Ran, string(x.note.Ran))
	}
	h.Set(x.f.Headers.ID, string(x.note.ID))
	h.Set("Content-Type", "application/json")
	if after > 0 {
		h.Set("Retry-After", x.f.FormatRetryAfter(after))
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(refusal{Kind: k.String(), Text: a.Text, Ran: x.note.Ran, ID: x.note.ID}.json())
	return a.Status
}
