package front

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/clock"
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
	errNoAddr       = kinds.New(kinds.NoServer, "the server's address is not known on this VM")
	errBodyConsumed = kinds.New(kinds.Unknown, "the body was streamed already and cannot be sent again")
)

// forward makes attempts until one is answered or no further one is allowed.
func (x *exchange) forward(ctx context.Context) error {
	if x.svc.Divided() && x.key != "" {
		return x.sendToOwner(ctx)
	}
	start := time.Now()
	permit, err := x.svc.Gate.Enter(ctx, x.job(""))
	x.addWait(start)
	if err != nil {
		return err
	}
	x.noteOffered(permit.Server())
	for {
		var outcome gate.Outcome
		if x.mayHedge() {
			permit, outcome, err = x.sendHedged(ctx, permit)
		} else {
			outcome, err = x.sendToServer(ctx, permit)
		}
		if err == nil || !x.mayRetry(err) || x.countedAttempts() > x.maxRetries(err) {
			permit.Done(outcome)
			return err
		}
		next, ok := x.retry(ctx, permit, outcome)
		if !ok {
			return err
		}
		permit = next
	}
}

// addWait adds the time since admission was requested to the time that the request waited
// on this VM.
func (x *exchange) addWait(start time.Time) { x.decision.Wait += time.Since(start) }

// retry asks the gate to admit another attempt.
func (x *exchange) retry(ctx context.Context, permit gate.Permit, o gate.Outcome) (gate.Permit, bool) {
	defer x.addWait(time.Now())
	return permit.Retry(ctx, o)
}

// maxWithdrawn bounds the withdrawn attempts that do not count, should servers be chosen again
// that must not get requests.
const maxWithdrawn = 8

// countedAttempts returns the number of attempts without those that were withdrawn before they
// were sent.
func (x *exchange) countedAttempts() int {
	return x.decision.Attempts - min(x.decision.Withdrawn, maxWithdrawn)
}

// maxRetries returns how often the request may be retried after the error. A request that
// never left this VM may be tried on another server once whatever the rule says, because
// it was never sent.
func (x *exchange) maxRetries(err error) int {
	var fail *relay.Failure
	if errors.As(err, &fail) && !fail.Sent {
		return max(x.rule.Then.Retry, 1)
	}
	return x.rule.Then.Retry
}

// sendToServer makes one attempt at the server that the gate picked.
func (x *exchange) sendToServer(ctx context.Context, permit gate.Permit) (gate.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return x.attempt(ctx, cancel, permit, table.Owner{Server: permit.Server()})
}

// mayRetry reports whether the request certainly did not run or is idempotent, and its
// body can be sent again.
func (x *exchange) mayRetry(err error) bool {
	if x.responseStarted || x.crashes > 1 || quarantineLeft(err) > 0 {
		return false
	}
	if x.mayHaveRun && !x.rule.Then.Idempotent {
		return false
	}
	if _, again := x.body.reader(); !again {
		return false
	}
	var fail *relay.Failure
	if !errors.As(err, &fail) {
		return true
	}
	if fail.Withdrawn && !x.svc.IsListNew() {
		return false // no other server is better known
	}
	return !fail.Sent || fail.Refused || x.rule.Then.Idempotent
}

// job returns the description of the request for the gate.
func (x *exchange) job(owner ident.Server) gate.Job {
	return gate.Job{
		Service: x.svc.Name, Caller: x.decision.Caller, Key: x.key, Slice: x.decision.Slice,
		Class: gateClass(x.rule.Then.Class), Rule: x.rule.Name, Server: owner, Deadline: x.deadline, LatencyTarget: x.rule.Then.Aim, Size: x.jobSize(), Bytes: x.r.ContentLength,
		Idempotent: x.rule.Then.Idempotent,
	}
}

// jobSize returns the length of the body in bytes, as an estimate of the work. A rule
// that declares its requests long or short overrides it, because the length then says
// nothing about the work.
func (x *exchange) jobSize() int64 {
	switch x.rule.Then.Size {
	case match.Long:
		return sizes.LongBytes
	case match.Short:
		return 0 // its work is short whatever the length of the body
	}
	return x.r.ContentLength
}

func gateClass(c match.Class) gate.Class {
	switch c {
	case match.Urgent:
		return gate.High
	case match.Bulk:
		return gate.Low
	default:
		return gate.Normal
	}
}

// attempt sends the request to one server and copies its answer to the caller.
func (x *exchange) attempt(
	ctx context.Context, cancel context.CancelCauseFunc, permit gate.Permit, owner table.Owner,
) (out gate.Outcome, err error) {
	x.decision.Attempts++
	x.decision.Server = permit.Server()
	snapshot := x.svc.Gate.Inspect(permit.Server())
	x.decision.Remote, x.decision.Load, x.decision.LoadAge = snapshot.Remote, snapshot.Load, snapshot.LoadAge
	x.decision.Expected, x.decision.BasisAge = permit.Expected().Time, permit.Expected().BasisAge
	to := x.destinationOf(permit.Server())
	addr, err := x.addressOf(permit.Server())
	if err != nil {
		return x.handleFailure(to, err), err
	}
	// A panic between here and Done would otherwise leak the slot.
	defer func() {
		if v := recover(); v != nil {
			permit.Done(gate.Outcome{Kind: kinds.Internal})
			panic(v)
		}
	}()
	watch := x.watchStall(permit, cancel)
	x.noteListAge()
	answer, err := x.send(ctx, cancel, addr, owner, watch)
	x.noteStall(watch)
	if err != nil {
		x.noteGaveUp(ctx, err)
		return x.handleFailure(to, err), x.canceledByMove(ctx, err)
	}
	return x.copyAnswer(to, answer)
}

// addressOf returns the address of a server that may get requests now.
func (x *exchange) addressOf(s ident.Server) (netip.AddrPort, error) {
	addr, ok := x.svc.Addr(s)
	if !ok {
		return addr, relay.NewWithdrawn(errNoAddr)
	}
	if err := x.svc.MaySend(s, addr); err != nil {
		return addr, relay.NewWithdrawn(err)
	}
	return addr, nil
}

// canceledByMove distinguishes an attempt that was canceled because its key moved from
// one whose caller went away. Unless nothing was sent, the request may have run.
func (x *exchange) canceledByMove(ctx context.Context, err error) error {
	var fail *relay.Failure
	if !errors.Is(context.Cause(ctx), errOwnerChanged) || !errors.As(err, &fail) {
		return err
	}
	if !fail.Sent || x.rule.Then.Idempotent {
		return errOwnerChanged
	}
	return kinds.Wrap(kinds.Unknown, err, "the server does not respond and its keys have moved")
}

func (x *exchange) send(
	ctx context.Context, cancel context.CancelCauseFunc, to netip.AddrPort, owner table.Owner, watch *stallWatch,
) (*relay.Response, error) {
	if err := x.identifyStream(ctx); err != nil {
		return nil, err
	}
	body, ok := x.body.reader()
	if !ok {
		return nil, errBodyConsumed
	}
	trial, err := x.admitSuspect()
	if err != nil {
		return nil, err
	}
	if x.current != nil && !x.current.markSent() {
		x.returnUnsent(trial, errOwnerChanged)
		return nil, errOwnerChanged
	}
	process, sent, left := x.svc.Process(owner.Server), clock.Now(), time.Until(x.deadline)
	x.f.Fleet.Sent(sent, x.svc.Name, process)
	answer, err := x.relayRequest(ctx, cancel, body, to, &relay.Meta{
		ID: x.decision.ID, Caller: x.decision.Caller, Service: x.svc.Name,
		Key: x.key, Slice: owner.Slice, Epoch: owner.Epoch, Deadline: x.deadline, Server: owner.Server,
		Recipients: x.svc, MayInterrupt: x.mayInterrupt(), OnSend: watch.onSend(),
	})
	x.noteSignals(process, answer, err, sent)
	x.noteFleet(ctx, process, answer, err, sent, left)
	answer, err = watch.end(answer, err)
	if err != nil {
		x.returnUnsent(trial, err)
		return nil, err
	}
	err = x.bufferAnswer(answer)
	if err == nil && x.current != nil && !x.current.markAnswered() {
		answer.Close()
		return nil, x.answeredAfterMove()
	}
	return answer, err
}

// maxBufferedAnswer is the longest answer, in bytes, that is read whole before its first
// byte is sent to the caller. If the server breaks off, the caller can then still be told
// so, or the request be sent again. Larger answers are streamed.
const maxBufferedAnswer = 64 << 10

// reportLoad passes the load that a server reported to the gate.
func (x *exchange) reportLoad(s ident.Server, h http.Header) {
	if x.f.Headers.Load == nil {
		return
	}
	r, ok := x.f.Headers.Load(h)
	if ok {
		x.svc.Gate.Report(s, r.Running+r.Waiting, 0)
	}
	if r.Fault != "" && x.f.OnLoadFault != nil {
		x.f.OnLoadFault(s, r.Fault)
	}
	x.loadReported, x.serverRunning, x.serverWaiting = ok, r.Running, r.Waiting
}

// bufferAnswer buffers a short answer.
func (x *exchange) bufferAnswer(answer *relay.Response) error {
	x.reportLoad(answer.Server(), answer.Header())
	if err := answer.Buffer(maxBufferedAnswer); err != nil {
		answer.Close()
		return err
	}
	return nil
}

// answeredAfterMove returns the error for an answer that began just as its attempt was
// canceled: its body would break off.
func (x *exchange) answeredAfterMove() error {
	x.mayHaveRun = true
	x.recordGaveUp(record.GaveUpOwnerChanged)
	if x.rule.Then.Idempotent {
		return errOwnerChanged
	}
	return kinds.New(kinds.Unknown, "the server does not respond and its keys have moved")
}

// handleFailure returns the outcome, for the gate, of an attempt without an answer, and
// tells the server to stop work on a request that it may still run.
func (x *exchange) handleFailure(to destination, err error) gate.Outcome {
	var fail *relay.Failure
	if quarantineLeft(err) > 0 || x.body.failed {
		return gate.Cancel() // neither says anything about the server
	}
	if !errors.As(err, &fail) {
		return gate.Outcome{Kind: kinds.Of(err)}
	}
	x.decision.Via = fail.Via
	x.noteSent(to.Server, fail.SentAt)
	x.reportFailure(to, fail)
	if fail.Sent && !fail.Refused {
		x.mayHaveRun = true
		x.cancelOnServer(to.Server)
	}
	switch {
	case fail.Withdrawn:
		x.decision.Withdrawn++
	case fail.Stalled: // the server answers other requests
	case fail.Refused:
		x.noteRefusal(fail)
		x.svc.RecordAttempt(to.Server, true)
		x.reportLoad(to.Server, fail.Header)
	case fail.Kind == kinds.NoServer, fail.Kind == kinds.Unknown:
		x.svc.RecordAttempt(to.Server, false)
	}
	return gate.Outcome{Kind: fail.Kind, Refused: fail.Refused, PathLost: fail.PathLost, Stalled: fail.Stalled, Withdrawn: fail.Withdrawn}
}

func (x *exchange) cancelOnServer(s ident.Server) {
	if x.f.Cancel != nil {
		x.f.Cancel.Cancel(x.svc.Name, s, x.decision.ID)
	}
}

// idHeader returns the request id as the value of a header.
func (x *exchange) idHeader() []string {
	if x.idFromCaller {
		return x.r.Header[x.f.Headers.ID][:1:1]
	}
	return []string{string(x.decision.ID)}
}

// copyAnswer copies the answer to the caller. A status of 500 or above counts as a
// failure of the server, however quickly it came.
func (x *exchange) copyAnswer(from destination, answer *relay.Response) (gate.Outcome, error) {
	x.svc.RecordAttempt(from.Server, true)
	x.noteSent(from.Server, answer.SentAt)
	if x.isUnprovenPromise(answer) {
		return x.withholdAnswer(answer)
	}
	x.responseStarted = true
	work := time.Duration(0)
	if x.loadReported {
		work = assign.EstimateWork(answer.FirstByte, x.serverRunning, x.serverWaiting)
	}
	if x.f.OnAnswer != nil && x.loadReported {
		x.f.OnAnswer(from.Server, work)
	}
	x.decision.Status, x.decision.Via = answer.Status(), answer.Via
	x.w.Header()[x.f.Headers.ID] = x.idHeader()
	w, end := x.answerWriter(answer.Length())
	n, err := answer.Copy(w)
	end()
	out := gate.Outcome{Kind: kinds.Of(err), Latency: answer.FirstByte, Work: work, Bytes: n + max(x.r.ContentLength, 0)}
	x.decision.FirstByte, x.decision.Bytes = answer.FirstByte, out.Bytes
	if err != nil {
		x.reportBrokenAnswer(from, err)
		x.cancelOnServer(from.Server)
	}
	if err == nil && answer.Status() >= http.StatusInternalServerError {
		out.Kind = kinds.Internal
	}
	if out.Kind == kinds.None {
		x.reportAnswered()
	}
	return out, err
}
