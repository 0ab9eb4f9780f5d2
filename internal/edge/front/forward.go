package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

var (
	errNoAddr = kinds.New(kinds.NoServer, "the server's address is not known here")
	errSpent  = kinds.New(kinds.Unknown, "the body was already streamed once")
)

// forward makes attempts until one is answered, or none may follow.
func (x *exchange) forward(ctx context.Context) error {
	if x.svc.Divided() && x.key != "" {
		return x.toOwner(ctx)
	}
	asked := time.Now()
	pass, err := x.svc.Gate.Enter(ctx, x.job(""))
	x.waited(asked)
	if err != nil {
		return err
	}
	for {
		var outcome gate.Outcome
		if x.hedges() {
			pass, outcome, err = x.hedged(ctx, pass)
		} else {
			outcome, err = x.toServer(ctx, pass)
		}
		if err == nil || !x.mayRepeat(err) || x.note.Attempts > x.repeats(err) {
			pass.Done(outcome)
			return err
		}
		next, ok := x.retry(ctx, pass, outcome)
		if !ok {
			return err
		}
		pass = next
	}
}

// waited adds the time since a place was asked for to what the request waited here.
func (x *exchange) waited(asked time.Time) { x.note.Wait += time.Since(asked) }

// retry asks for a place for another attempt.
func (x *exchange) retry(ctx context.Context, pass gate.Permit, o gate.Outcome) (gate.Permit, bool) {
	defer x.waited(time.Now())
	return pass.Retry(ctx, o)
}

// repeats is how often the request may be tried again. What never left this VM
// may try another server once, whatever the rule says: it is not sent again.
func (x *exchange) repeats(err error) int {
	var fail *relay.Failure
	if errors.As(err, &fail) && !fail.Sent {
		return max(x.rule.Then.Retry, 1)
	}
	return x.rule.Then.Retry
}

// toServer makes one attempt at the server that the gate picked.
func (x *exchange) toServer(ctx context.Context, pass gate.Permit) (gate.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return x.attempt(ctx, cancel, pass, table.Owner{Server: pass.Server()})
}

// defaultPatience is how long a request waits for its key to get an owner when
// the rule does not say. A lost owner is replaced within a second when one thing
// fails; twice that turns a lost server into a slow answer also on a busy
// machine. Waiting longer only holds back an answer that the caller can use.
const defaultPatience = 2 * time.Second

// toOwner sends the request to the key's owner. While the key is between owners
// nothing can run, so the request waits in the gate for the next owner and goes
// there, until one takes it or its patience ends.
func (x *exchange) toOwner(ctx context.Context) error {
	pass, err := x.enterOwner(ctx)
	for err == nil {
		outcome, failed := x.askOwner(ctx, pass)
		switch {
		case failed == nil || !x.mayRepeat(failed):
			pass.Done(outcome)
			return failed
		case reroutable(failed):
			asked := time.Now()
			pass, err = pass.WaitOwner(ctx, outcome)
			x.waited(asked)
		case x.note.Attempts > x.rule.Then.Retry:
			pass.Done(outcome)
			return failed
		default:
			next, ok := x.retry(ctx, pass, outcome)
			if !ok {
				return failed
			}
			pass = next
		}
	}
	return err
}

// enterOwner asks for a place at the key's owner. The gate can know less than
// the table: a server that it does not list yet is waited for like a move.
func (x *exchange) enterOwner(ctx context.Context) (gate.Permit, error) {
	defer x.waited(time.Now())
	owner, ok := x.owner()
	if !ok {
		return x.svc.Gate.WaitOwner(ctx, x.jobAt(owner))
	}
	pass, err := x.svc.Gate.Enter(ctx, x.jobAt(owner))
	if err != nil && reroutable(err) {
		return x.svc.Gate.WaitOwner(ctx, x.jobAt(owner))
	}
	return pass, err
}

// owner looks the key's owner up, and notes it for the record.
func (x *exchange) owner() (table.Owner, bool) {
	owner, ok := x.svc.Owner(x.key)
	x.note.Slice, x.note.Epoch = owner.Slice, owner.Epoch
	return owner, ok
}

// askOwner makes one attempt at the server that the gate gave a place on, which
// is the key's owner unless it changed in that very moment.
func (x *exchange) askOwner(ctx context.Context, pass gate.Permit) (gate.Outcome, error) {
	owner, ok := x.owner()
	if !ok || owner.Server != pass.Server() {
		return gate.Cancel(), errMoved
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	fl := x.newFlight(owner.Server, cancel)
	all := x.f.flightsOf(x.svc.Name)
	all.add(fl)
	defer all.remove(fl)
	x.flight = fl
	return x.attempt(ctx, cancel, pass, owner)
}

// newFlight returns the flight of the next attempt. The first one is part of
// the exchange; a later one may still be looked at while the next begins.
func (x *exchange) newFlight(to ident.Server, cancel context.CancelCauseFunc) *flight {
	fl := &x.first
	if x.flight != nil || fl.cancel != nil {
		fl = &flight{}
	}
	fl.key, fl.server, fl.safe, fl.cancel = x.key, to, x.rule.Then.Idempotent, cancel
	return fl
}

// reroutable reports whether another owner would help.
func reroutable(err error) bool {
	switch kinds.Of(err) {
	case kinds.NoOwner, kinds.Misrouted, kinds.NoServer:
		return true
	}
	return errors.Is(err, errMoved)
}

// mayRepeat reports whether the request certainly did not run, or may run
// twice, and its body can be sent again.
func (x *exchange) mayRepeat(err error) bool {
	if x.sent || x.crashes > 1 || barredFor(err) > 0 {
		return false
	}
	if _, again := x.body.reader(); !again {
		return false
	}
	var fail *relay.Failure
	if !errors.As(err, &fail) {
		return true
	}
	return !fail.Sent || fail.Refused || x.rule.Then.Idempotent
}

// job describes the request to the gate.
func (x *exchange) job(owner ident.Server) gate.Job {
	return gate.Job{
		Service: x.svc.Name, Caller: x.note.Caller, Key: x.key, Slice: x.note.Slice,
		Class: class(x.rule.Then.Class), Server: owner, Deadline: x.by, LatencyTarget: x.rule.Then.Aim, Size: x.size(), Bytes: x.r.ContentLength,
		Idempotent: x.rule.Then.Idempotent,
	}
}

// jobAt describes a request for a key to the gate.
func (x *exchange) jobAt(owner table.Owner) gate.Job {
	j := x.job(owner.Server)
	j.Epoch, j.HotKey = owner.Epoch, owner.Hot
	j.MaxOwnerWait = cmp.Or(x.rule.Then.Wait, x.f.MaxOwnerWait)
	return j
}

// size is the body's length; a rule that calls its requests long makes the
// length of a short body meaningless.
func (x *exchange) size() int64 {
	switch x.rule.Then.Size {
	case match.Long:
		return sizes.LongBytes
	case match.Short:
		return 0 // whatever it weighs, its work is no longer than others'
	}
	return x.r.ContentLength
}

func class(c match.Class) gate.Class {
	switch c {
	case match.Urgent:
		return gate.High
	case match.Bulk:
		return gate.Low
	default:
		return gate.Normal
	}
}

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(
	ctx context.Context, cancel context.CancelCauseFunc, pass gate.Permit, owner table.Owner,
) (out gate.Outcome, err error) {
	x.note.Attempts++
	x.note.Server = pass.Server()
	sight := x.svc.Gate.Inspect(pass.Server())
	x.note.Remote, x.note.Load, x.note.LoadAge = sight.Remote, sight.Load, sight.LoadAge
	to, ok := x.svc.Addr(pass.Server())
	if !ok {
		return gate.Outcome{Kind: kinds.NoServer}, errNoAddr
	}
	// A panic between here and Done would keep the place for ever.
	defer func() {
		if v := recover(); v != nil {
			pass.Done(gate.Outcome{Kind: kinds.Internal})
			panic(v)
		}
	}()
	answer, err := x.ask(ctx, cancel, to, owner)
	if err != nil {
		return x.failed(pass, err), x.diverted(ctx, err)
	}
	return x.passOn(pass, answer)
}

// diverted tells an attempt that was ended because its key moved from one whose
// caller went away. It may have run, unless nothing was sent.
func (x *exchange) diverted(ctx context.Context, err error) error {
	var fail *relay.Failure
	if !errors.Is(context.Cause(ctx), errMoved) || !errors.As(err, &fail) {
		return err
	}
	if !fail.Sent || x.rule.Then.Idempotent {
		return errMoved
	}
	return kinds.Wrap(kinds.Unknown, err, "the server is silent and its keys have moved")
}

func (x *exchange) ask(
	ctx context.Context, cancel context.CancelCauseFunc, to netip.AddrPort, owner table.Owner,
) (*relay.Response, error) {
	body, ok := x.body.reader()
	if !ok {
		return nil, errSpent
	}
	if err := x.barred(); err != nil {
		return nil, err
	}
	if x.flight != nil && !x.flight.departs() {
		return nil, errMoved
	}
	answer, err := x.f.Relay.Send(ctx, cancel, x.r, body, to, &relay.Meta{
		ID: x.note.ID, Caller: x.note.Caller, Service: x.svc.Name,
		Key: x.key, Slice: owner.Slice, Epoch: owner.Epoch, Deadline: x.by, Server: owner.Server,
	})
	if err == nil {
		err = x.whole(answer)
	}
	if err == nil && x.flight != nil && !x.flight.lands() {
		answer.Close()
		return nil, x.overtaken()
	}
	return answer, err
}

// holdAnswer is up to where an answer is taken whole before its caller gets the
// first byte of it. A server that breaks off is then noticed while the caller can
// still be told so, or the request be sent again; larger answers are streamed.
const holdAnswer = 64 << 10

// report hands a server's own word on its load to the gate.
func (x *exchange) report(s ident.Server, h http.Header) {
	if x.f.Headers.Load == nil {
		return
	}
	running, waiting, ok := x.f.Headers.Load(h)
	if ok {
		x.svc.Gate.Report(s, running+waiting, 0)
	}
	x.told, x.running, x.waiting = ok, running, waiting
}

// whole takes a short answer in.
func (x *exchange) whole(answer *relay.Response) error {
	x.report(answer.Server(), answer.Header())
	if err := answer.Buffer(holdAnswer); err != nil {
		answer.Close()
		return err
	}
	return nil
}

// overtaken is for an answer that began in the moment in which its attempt was
// ended: its body would break off.
func (x *exchange) overtaken() error {
	if x.rule.Then.Idempotent {
		return errMoved
	}
	return kinds.New(kinds.Unknown, "the server is silent and its keys have moved")
}

// failed tells the gate how an attempt without an answer ended, and the server
// that nobody waits for its work any more.
func (x *exchange) failed(pass gate.Permit, err error) gate.Outcome {
	var fail *relay.Failure
	if barredFor(err) > 0 {
		return gate.Cancel() // it says nothing about the server
	}
	if !errors.As(err, &fail) {
		return gate.Outcome{Kind: kinds.Of(err)}
	}
	if fail.ConnClosed {
		x.accuse(pass.Server())
	}
	if fail.Sent && !fail.Refused {
		x.ran = true
		x.cancel(pass.Server())
	}
	switch {
	case fail.Refused:
		x.svc.RecordAttempt(pass.Server(), true)
		x.report(pass.Server(), fail.Header)
	case fail.Kind == kinds.NoServer, fail.Kind == kinds.Unknown:
		x.svc.RecordAttempt(pass.Server(), false)
	}
	return gate.Outcome{Kind: fail.Kind, Refused: fail.Refused}
}

func (x *exchange) cancel(s ident.Server) {
	if x.f.Cancel != nil {
		x.f.Cancel.Cancel(x.svc.Name, s, x.note.ID)
	}
}

// nameOf is the request id as the value of a header.
func (x *exchange) nameOf() []string {
	if x.named {
		return x.r.Header[x.f.Headers.ID][:1:1]
	}
	return []string{string(x.note.ID)}
}

// passOn copies the answer to the caller. A server that answers with its own
// fault counts as failing, however quickly it does so.
func (x *exchange) passOn(pass gate.Permit, answer *relay.Response) (gate.Outcome, error) {
	x.sent = true
	x.svc.RecordAttempt(pass.Server(), true)
	if x.f.OnAnswer != nil && x.told {
		x.f.OnAnswer(pass.Server(), assign.EstimateWork(answer.FirstByte, x.running, x.waiting))
	}
	x.note.Status = answer.Status()
	x.w.Header()[x.f.Headers.ID] = x.nameOf()
	w, end := x.drain(answer.Length())
	n, err := answer.Copy(w)
	end()
	out := gate.Outcome{Kind: kinds.Of(err), Latency: answer.FirstByte, Bytes: n + max(x.r.ContentLength, 0)}
	x.note.FirstByte, x.note.Bytes = answer.FirstByte, out.Bytes
	if err != nil {
		x.cancel(pass.Server())
	}
	if err == nil && answer.Status() >= http.StatusInternalServerError {
		out.Kind = kinds.Internal
	}
	if out.Kind == kinds.None {
		x.acquit()
	}
	return out, err
}
