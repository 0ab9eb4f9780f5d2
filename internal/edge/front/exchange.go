package front

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"hawthornfield.org/hawthornfield/internal/audit/once"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/keep"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/tick"
	"hawthornfield.org/hawthornfield/internal/edge/ahead"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/rules/force"
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
	line *ahead.Conn // nil where the connection is not read ahead, or the request was

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

	ticket *once.Ticket // the claim on the request id, if the rule demands one
	named  bool         // the caller itself chose the request id
}

// serve takes one request along the line, or passes on what was started of it already.
func (f *Front) serve(w gin.ResponseWriter, r *http.Request) {
	line := ahead.From(r.Context())
	run, came := line.Begin(r)
	defer line.End()
	if f.closing.Load() && !line.Behind() {
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
	x.w, x.note.Ahead = w, true
	return x.answer()
}

// exchange begins a request. It came at a time at which nobody read it yet, or now.
func (f *Front) exchange(r *http.Request, came time.Time) *exchange {
	now := time.Now()
	x := &exchange{f: f, r: r}
	x.note = record.Decision{Sort: record.Route, At: now, VM: f.VM}
	if !came.IsZero() {
		x.note.At, x.note.Unread = came, now.Sub(came)
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
	if x.note.Ahead && !x.rule.Then.Idempotent {
		return errInTurn
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.by)
	defer cancel()
	x.line.Leave(cancel)
	if err := x.takeBody(); err != nil {
		return err
	}
	if err := x.promise(ctx); err != nil {
		return err
	}
	return x.forward(ctx)
}

// identify names the request and its caller.
func (x *exchange) identify() error {
	id := x.r.Header.Get(x.f.Names.ID)
	x.named = id != ""
	if !x.named {
		id = x.f.prefix + strconv.FormatUint(x.f.serial.Add(1), 36)
	}
	if !plain(id) {
		return kinds.New(kinds.BadRequest, "the request id is malformed")
	}
	x.note.ID = ident.Request(id)
	x.note.Caller = x.f.Identify(x.r)
	if !plain(string(x.note.Caller)) {
		return kinds.New(kinds.Denied, "the caller's name is malformed")
	}
	return nil
}

// headerSize is how many bytes the headers took on the wire, the request line and the
// host included.
func headerSize(r *http.Request) int {
	const between = 4 // colon, space, end of line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + between + len("Host") + len(r.Host) + between
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + between
		}
	}
	return n
}

// plain accepts short printable ASCII without spaces, the only names that are
// safe in a header, a log line and the name of an object.
func plain(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

var (
	errNoRules  = kinds.New(kinds.Down, "this VM may not answer: it cannot know the rules in force")
	errNoRule   = kinds.New(kinds.NoRule, "no rule matches")
	errDenied   = kinds.New(kinds.Denied, "a rule denies the request")
	errService  = kinds.New(kinds.NoServer, "the rule's service is not configured here")
	errNoID     = kinds.New(kinds.BadRequest, "the rule needs a request id from the caller")
	errTooLarge = kinds.New(kinds.TooLarge, "the body exceeds the limit")
	errTime     = kinds.New(kinds.BadRequest, "the caller's time is no number of milliseconds")
	errOver     = kinds.New(kinds.Late, "the caller's time was over when its request came")
	errHeader   = kinds.New(kinds.LongHeader, "the headers exceed the limit")
)

// errInTurn is no failure and reaches no caller. It has no kind: errors of one kind are
// the same to errors.Is, and every fault of our own would be taken for it, dropped
// without an answer or a line in the log.
var errInTurn = errors.New("the request is served in its turn")

// route matches the rule and reads the key.
func (x *exchange) route() error {
	book := &x.f.State.Rules
	if book.State() != force.Serve {
		return errNoRules
	}
	rules, ok := book.Current(), false
	x.noteRev()
	req := match.Request{
		Service: ident.Service(x.header(x.f.Names.Service)),
		Method:  x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery,
		Header: x.r.Header, Caller: x.note.Caller, Centre: x.f.Centre,
	}
	if x.rule, ok = rules.Set.Match(&req); !ok {
		return x.doubt(errNoRule)
	}
	x.note.Rule = x.rule.Name
	if err := x.rule.Check(); err != nil {
		return err
	}
	if x.rule.Then.Deny {
		return x.doubt(errDenied)
	}
	x.note.Service = x.rule.Then.Service
	if len(x.rule.Then.Split) > 0 {
		x.note.Service = x.rule.Then.Target(x.f.turn(x.rule.Name))
	}
	if x.svc, ok = x.f.State.Service(x.note.Service); !ok {
		return errService
	}
	if err := x.readKey(&req); err != nil {
		return err
	}
	return x.deadline()
}

// readKey reads the key that the rule asks for. A rule that splits asks for the sake of
// the parts that are divided by key: the others serve requests without one, whose callers
// would take a refusal for final.
func (x *exchange) readKey(req *match.Request) error {
	divided := x.svc.Divided() // once: newer rules may say otherwise in between
	key, err := match.KeyOf(x.rule, req)
	if err != nil && (divided || len(x.rule.Then.Split) == 0) {
		return x.doubt(err)
	}
	x.key, x.note.Key = key, key
	if !divided {
		return nil
	}
	if x.f.Asked != nil {
		x.f.Asked(x.svc.Name, x.key)
	}
	if x.key == "" && x.f.State.Rules.Current().Rev > x.note.Rev {
		return kinds.New(kinds.Behind, "newer rules divide the service by key")
	}
	if x.key == "" {
		return kinds.New(kinds.Internal, "rule "+x.rule.Name+" reads no key for a divided service")
	}
	return nil
}

// noteRev notes the revision decided by, and the newest that exists where that is another.
func (x *exchange) noteRev() {
	book := &x.f.State.Rules
	x.note.Rev = book.Current().Rev
	if newest := book.Newest(); newest > x.note.Rev {
		x.note.Newest = newest
	}
}

// doubt takes an answer by which the rules put the caller at fault. Callers never ask
// again after one, so while the rules here may be old it becomes one after which they
// do, and another VM or a later moment may serve them.
func (x *exchange) doubt(final error) error {
	if why := x.f.State.Rules.Doubt(tick.Now()); why != nil {
		x.noteRev()
		return kinds.Wrap(kinds.Behind, final, why.Error())
	}
	return final
}

// header reads one of the system's own headers, empty when it has no name.
func (x *exchange) header(name string) string {
	if name == "" {
		return ""
	}
	return x.r.Header.Get(name)
}

// deadline takes the earliest of the caller's, the rule's and the default.
func (x *exchange) deadline() error {
	left := x.f.limits().Request.Duration
	if x.rule.Then.Deadline > 0 {
		left = x.rule.Then.Deadline
	}
	if text := x.header(x.f.Names.Deadline); text != "" {
		asked, err := timeLeft(text)
		if err != nil {
			return err
		}
		if asked <= 0 {
			return errOver
		}
		if left <= 0 || asked < left {
			left = asked
		}
	}
	if left <= 0 {
		left = maxDeadline
	}
	x.by = x.note.At.Add(left)
	return nil
}

// timeLeft reads a caller's own time, in milliseconds. Any notation of a number will do,
// more than the longest time counts as that, and less than none as none: callers never
// ask again after a 400, and what they mean is plain.
func timeLeft(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	tooLong := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLong || math.IsNaN(ms) {
		return 0, errTime
	}
	longest := float64(maxDeadline / time.Millisecond)
	return time.Duration(min(max(ms, 0), longest) * float64(time.Millisecond)), nil
}

// promise does what the rule demands before anything may run: a claim on the
// request id, and a durable record.
func (x *exchange) promise(ctx context.Context) error {
	then := &x.rule.Then
	if then.Once == match.OnceStore && x.f.Claims != nil {
		if !x.named {
			// Under an id of our own making a repeat would look like a new request.
			return x.doubt(errNoID)
		}
		ask := once.Ask{Service: then.Service, ID: x.note.ID, Rule: x.rule.Name}
		var err error
		if x.ticket, err = x.f.Claims.Claim(ctx, ask); err != nil {
			return err
		}
	}
	if then.Durable == match.DurableJournal && x.f.Keep != nil {
		return x.f.Keep.Keep(ctx, &x.note)
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
		x.note.Ran, x.note.Why = k.Answer().Ran, err.Error()
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
		x.note.Skip = !x.note.Keep.Keeps(keep.Case{Key: x.key, Safe: safe(x.r.Method), Plain: err == nil && x.note.Status < http.StatusInternalServerError})
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
	s := x.svc.Gate.Look(x.note.Server)
	x.note.Busy, x.note.Most, x.note.Queue = s.Running, s.Most, s.Waiting
}

// safe reports whether a method asks for nothing to be changed (RFC 9110, 9.2.1).
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func notSent(err error) bool {
	var fail *relay.Failure
	return errors.As(err, &fail) && (!fail.Sent || fail.Refused)
}

// refuse answers with the kind's row and returns the status.
func (x *exchange) refuse(err error) int {
	k := kinds.Of(err)
	a := k.Answer()
	after := a.Retry
	if hint := gate.RetryAfter(err); hint > 0 {
		after = hint
	}
	h := x.w.Header()
	if x.f.Names.Ran != "" {
		h.Set(x.f.Names.Ran, string(x.note.Ran))
	}
	h.Set(x.f.Names.ID, string(x.note.ID))
	h.Set("Content-Type", "application/json")
	if after > 0 {
		h.Set("Retry-After", x.f.After(after))
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(refusal{Kind: k.String(), Text: a.Text, Ran: x.note.Ran, ID: x.note.ID}.json())
	return a.Status
}
