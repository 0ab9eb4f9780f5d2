package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/abort"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/load/stall"
)

// stallWatch asks, for one attempt, whether its response will not arrive, and acts on the
// verdict: it ends an attempt that may be repeated, and has the gate free the slot of any
// other. A nil stallWatch does nothing.
type stallWatch struct {
	f         *Front
	permit    gate.Permit
	cancel    context.CancelCauseFunc
	mayRepeat bool // ending the attempt to make another one is safe, and the rule allows it

	mu      sync.Mutex
	timer   *time.Timer
	sentAt  time.Time
	ended   bool          // the attempt has ended or its answer has begun
	stalled time.Duration // for how long the attempt was in flight when it was found stalled; zero if it was not
	gaveUp  bool          // the attempt was ended for that
}

// watchStall returns the watch of an attempt that is about to be made, nil while full servers
// are not known to be silent. An attempt whose body is streamed is not watched: its server
// cannot work on it before the body has arrived, which may take any time.
func (x *exchange) watchStall(permit gate.Permit, cancel context.CancelCauseFunc) *stallWatch {
	if !permit.MayStall() || x.body.stream != nil || x.f.IsClosing() {
		return nil
	}
	return &stallWatch{
		f: x.f, permit: permit, cancel: cancel,
		mayRepeat: x.rule.Then.Idempotent && x.decision.Attempts <= x.rule.Then.Retry && x.crashes <= 1,
	}
}

// onSend returns the function to call when the request is sent, nil for a nil watch.
func (w *stallWatch) onSend() func() {
	if w == nil {
		return nil
	}
	return w.start
}

// start begins to watch the attempt, which is sent now.
func (w *stallWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentAt = time.Now()
	a, s, ok := w.permit.Stall(w.sentAt)
	if !ok || w.ended {
		return
	}
	_, again := stall.Stalled(a, s)
	if w.timer == nil {
		w.timer = time.AfterFunc(again, w.check)
		return
	}
	w.timer.Reset(again)
}

// check asks for the verdict. While this VM shuts down no attempt counts as stalled: it ends
// its requests by their deadlines.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.stalled > 0 || !w.f.mayAbort(abort.Stalled, abort.Attempt{Sent: true, Repeatable: true}) {
		return
	}
	a, s, ok := w.permit.Stall(w.sentAt)
	if !ok {
		return
	}
	verdict, again := stall.Stalled(a, s)
	if verdict == stall.Waiting {
		w.timer.Reset(again)
		return
	}
	w.stalled = a.InFlight
	if w.permit.Stalled(w.mayRepeat) {
		w.gaveUp = true
		w.cancel(relay.ErrStalled)
	}
}

// end ends the watch when the answer has begun or the attempt has failed, and returns the
// attempt's result in view of it. An answer that began just as the attempt was ended is
// dropped, because its body would break off.
func (w *stallWatch) end(answer *relay.Response, err error) (*relay.Response, error) {
	if w == nil {
		return answer, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	var fail *relay.Failure
	switch {
	case err == nil && w.gaveUp:
		answer.Close()
		return nil, relay.NewStalled()
	case w.stalled > 0 && errors.As(err, &fail) && fail.Kind == kinds.Unknown:
		fail.Stalled = !fail.Refused && !fail.ConnClosed && !fail.PathLost
	}
	return answer, err
}

// noteStall records in the decision whether an attempt was found stalled.
func (x *exchange) noteStall(w *stallWatch) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stalled > 0 {
		x.decision.Stalled++
		x.decision.StalledAfter = w.stalled
	}
}
