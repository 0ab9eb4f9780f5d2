package lessor

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// leaveWriteTimeout is how long a VM that shuts down waits for a table write
// with an unknown outcome. A successor would find the outcome out as well; the
// wait only saves it the work.
const leaveWriteTimeout = time.Second

// onDrain notes that the server is to be drained, or stays after all. Every
// member gets the message, so that a successor continues where the holder
// stopped.
func (t *turn) onDrain(msg loop.Msg) {
	_, want := msg.(DrainMsg)
	switch {
	case want && t.drain == drainOff:
		t.fire(drainChart, &t.drain, "drain")
	case !want && t.drain != drainOff:
		t.fire(drainChart, &t.drain, "undrain")
	}
}

// runDrain requests a plan until the server owns nothing.
func (t *turn) runDrain() {
	if t.auth != authHolding || t.drain == drainOff {
		return
	}
	empty := t.ownedSet().Empty()
	switch {
	case t.drain == drainActive && empty:
		t.fire(drainChart, &t.drain, "empty")
		t.emit(DrainedCmd{})
	case t.drain == drainDone && !empty:
		t.fire(drainChart, &t.drain, "fill")
	case t.drain == drainActive && t.lease == leaseHeld && t.move == moveIdle && len(t.moveQueue) == 0 && t.due(t.planRequestAt):
		t.planRequestAt = t.now.Add(requestInterval)
		t.emit(PlanCmd{Server: t.cfg.Server})
	}
}

// runLeave hands the authority over and closes. The holder stops first and then
// notifies its deputy, which has most of a lease's time to take over.
func (t *turn) runLeave() {
	if !t.leaving || t.auth == authClosed {
		return
	}
	if t.move == moveWriting && !t.due(t.leaveStartedAt.Add(leaveWriteTimeout)) {
		return
	}
	t.handOver()
	t.resignDeputy()
	if t.auth == authReading || t.auth == authWriting || t.auth == authUnsure {
		t.endAuthority("fenced", "this VM is shutting down")
	}
	t.fire(authorityChart, &t.auth, "close")
	t.emit(LeftCmd{})
}

func (t *turn) handOver() {
	if t.epoch == 0 {
		return
	}
	epoch, successor := t.epoch, t.record.Deputy
	t.declareNoStandbyBelow(epoch + 1)
	t.promisedBelow = max(t.promisedBelow, epoch+1)
	if t.auth == authHolding {
		t.endAuthority("hand", "this VM is shutting down")
	} else {
		t.endAuthority("fenced", "this VM is shutting down")
	}
	if successor != "" {
		t.emit(SendCmd{To: successor, Msg: PromiseMsg{From: t.cfg.Self, Below: epoch + 1, Leave: true, NoStandbyEpoch: t.noStandbyEpoch}})
	}
}

func (t *turn) resignDeputy() {
	if t.deputy.state == deputyOff {
		return
	}
	t.sendPromise(PrepareMsg{From: t.deputy.holder, Below: t.deputy.epoch + 1})
}

// answerClosed still answers a PrepareMsg, since its sender waits for the
// promise, and still reports a move whose answer came late.
func (t *turn) answerClosed(msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch m := msg.(type) {
	case PrepareMsg:
		t.sendPromise(m)
	case TablePutMsg:
		if m.Kind == kinds.None {
			t.onEditWritten(m.Cmd.Edit, cmp.Or(m.Rev, m.Cmd.Table.Rev))
		}
	}
	return t.Lessor, t.cmds
}
