package front

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// try is one of two attempts that race for the same answer.
type try struct {
	pass   gate.Permit
	cancel context.CancelCauseFunc
	answer *relay.Response
	err    error
}

// hedges reports whether a slow answer may be raced by a second attempt.
func (x *exchange) hedges() bool {
	return x.rule.Then.Hedge > 0 && x.rule.Then.Idempotent && x.body.stream == nil
}

// race makes an attempt and, when no answer has begun after the rule's time, a
// second one on another server, if the gate has a place and budget for it. The
// first answer wins; the other attempt is cancelled and gives its place back at
// once. It returns the winner, or the last failure.
//
// The load pattern is a lookup that one server, slow for a moment, would hold
// up: the hundredth driver waits although fifteen other servers are idle.
func (x *exchange) race(ctx context.Context, pass gate.Permit) *try {
	done := make(chan *try, 2)
	x.launch(ctx, pass, done)
	wait := max(x.rule.Then.Hedge, x.svc.Gate.HedgeAfter())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	flying := 1
	for {
		select {
		case t := <-done:
			flying--
			if t.err == nil || flying == 0 {
				x.abandon(flying, done)
				return t
			}
			t.pass.Done(x.failed(t.pass, t.err))
		case <-timer.C:
			second, ok := pass.Hedge()
			if !ok {
				timer.Reset(wait) // nobody was free; somebody may be soon
				continue
			}
			x.launch(ctx, second, done)
			flying++
		}
	}
}

// launch starts an attempt beside this goroutine.
func (x *exchange) launch(ctx context.Context, pass gate.Permit, done chan<- *try) {
	x.note.Attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	t := &try{pass: pass, cancel: cancel}
	x.racers = append(x.racers, t)
	x.f.group.Go(func(context.Context) error {
		to, ok := x.svc.Addr(pass.Server())
		if ok {
			t.answer, t.err = x.ask(ctx, cancel, to, table.Owner{Server: pass.Server()})
		} else {
			t.err = errNoAddr
		}
		done <- t
		return nil
	})
}

// abandon cancels the attempts that lost and gives their places back when they
// have ended.
func (x *exchange) abandon(flying int, done <-chan *try) {
	if flying == 0 {
		return
	}
	svc, f, id := x.svc, x.f, x.note.ID
	f.group.Go(func(context.Context) error {
		for range flying {
			t := <-done
			if t.answer != nil {
				t.answer.Close()
			}
			t.pass.Done(gate.Cancel())
			if f.Cancel != nil {
				f.Cancel.Cancel(svc.Name, t.pass.Server(), id)
			}
		}
		return nil
	})
}

// hedged is toServer with a race. The losers are cancelled before the winner's
// answer is passed on: it can take long.
func (x *exchange) hedged(ctx context.Context, pass gate.Permit) (gate.Permit, gate.Outcome, error) {
	t := x.race(ctx, pass)
	x.note.Server = t.pass.Server()
	if t.err != nil {
		return t.pass, x.failed(t.pass, t.err), t.err
	}
	for _, loser := range x.racers {
		if loser != t {
			loser.cancel(errLost)
		}
	}
	out, err := x.passOn(t.pass, t.answer)
	return t.pass, out, err
}

var errLost = kinds.New(kinds.Canceled, "another attempt answered first")
