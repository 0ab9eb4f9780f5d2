package front

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// hedgeAttempt is one of two concurrent attempts of a hedged request.
type hedgeAttempt struct {
	permit gate.Permit
	to     destination
	cancel context.CancelCauseFunc
	watch  *stallWatch
	answer *relay.Response
	err    error
}

// mayHedge reports whether a second attempt may be started when the answer is slow.
func (x *exchange) mayHedge() bool {
	return x.rule.Then.Hedge > 0 && x.rule.Then.Idempotent && x.body.stream == nil
}

// race makes an attempt and, if no answer has begun after the time that the rule sets, a
// second one at another server, if the gate has a slot and budget for it. The first
// answer wins; the other attempt is canceled and its slot released at once. It returns
// the winner, or the last failure.
//
// This serves lookups that one briefly slow server would delay: without it, one caller in
// a hundred waits although fifteen other servers are idle.
func (x *exchange) race(ctx context.Context, permit gate.Permit) *hedgeAttempt {
	done := make(chan *hedgeAttempt, 2)
	x.startAttempt(ctx, permit, done)
	wait := max(x.rule.Then.Hedge, x.svc.Gate.HedgeAfter())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	running := 1
	for {
		select {
		case t := <-done:
			running--
			x.noteStall(t.watch)
			x.noteGaveUp(ctx, t.err)
			if t.err == nil || running == 0 {
				x.releaseLosers(running, done)
				return t
			}
			t.permit.Done(x.handleFailure(t.to, t.err))
		case <-timer.C:
			second, ok := permit.Hedge()
			if !ok {
				timer.Reset(wait) // no server had a free slot; one may have soon
				continue
			}
			x.startAttempt(ctx, second, done)
			running++
		}
	}
}

// startAttempt starts an attempt in a goroutine.
func (x *exchange) startAttempt(ctx context.Context, permit gate.Permit, done chan<- *hedgeAttempt) {
	x.decision.Attempts++
	x.noteListAge()
	ctx, cancel := context.WithCancelCause(ctx)
	t := &hedgeAttempt{permit: permit, to: x.destinationOf(permit.Server()), cancel: cancel, watch: x.watchStall(permit, cancel)}
	x.hedgeAttempts = append(x.hedgeAttempts, t)
	x.f.group.Go(func(context.Context) error {
		t.err = x.recovered(func() (err error) {
			to, err := x.addressOf(permit.Server())
			if err != nil {
				return err
			}
			t.answer, err = x.send(ctx, cancel, to, table.Owner{Server: permit.Server()}, t.watch)
			return err
		})
		done <- t
		return nil
	})
}

// releaseLosers waits for the attempts that lost, releases their slots and tells their
// servers to stop.
func (x *exchange) releaseLosers(running int, done <-chan *hedgeAttempt) {
	if running == 0 {
		return
	}
	svc, f, id := x.svc, x.f, x.decision.ID
	f.group.Go(func(context.Context) error {
		for range running {
			t := <-done
			if t.answer != nil {
				t.answer.Close()
			}
			t.permit.Done(gate.Cancel())
			if f.Cancel != nil {
				f.Cancel.Cancel(svc.Name, t.permit.Server(), id)
			}
		}
		return nil
	})
}

// sendHedged is like sendToServer, with a race. The losers are canceled before the
// winner's answer is copied, because that can take long.
func (x *exchange) sendHedged(ctx context.Context, permit gate.Permit) (gate.Permit, gate.Outcome, error) {
	t := x.race(ctx, permit)
	x.decision.Server = t.permit.Server()
	if t.err != nil {
		return t.permit, x.handleFailure(t.to, t.err), t.err
	}
	for _, loser := range x.hedgeAttempts {
		if loser != t {
			loser.cancel(errHedgeLost)
		}
	}
	out, err := x.copyAnswer(t.to, t.answer)
	return t.permit, out, err
}

var errHedgeLost = kinds.New(kinds.Canceled, "another attempt answered first")
