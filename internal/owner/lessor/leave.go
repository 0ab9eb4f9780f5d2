package lessor

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// leavePatience is how long a VM that shuts down waits for an update of the
// table whose fate is not known yet. A successor would find out as well; this
// only spares it the work.
const leavePatience = time.Second

// onDrain notes that the server leaves, or stays after all. Every member is
// told, so that a successor goes on where the holder stopped.
func (t *turn) onDrain(msg loop.Msg) {
	_, want := msg.(DrainMsg)
	switch {
	case want && t.drain == serving:
		t.fire(drainChart, &t.drain, "drain")
	case !want && t.drain != serving:
		t.fire(drainChart, &t.drain, "undrain")
	}
}

// runDrain asks for a plan until the server owns nothing.
func (t *turn) runDrain() {
	if t.auth != holding || t.drain == serving {
		return
	}
	empty := t.owned().Empty()
	switch {
	case t.drain == draining && empty:
		t.fire(drainChart, &t.drain, "empty")
		t.do(DrainedCmd{})
	case t.drain == drained && !empty:
		t.fire(drainChart, &t.drain, "fill")
	case t.drain == draining && t.lease == held && t.move == rest && len(t.queue) == 0 && t.due(t.planAt):
		t.planAt = t.now.Add(askPause)
		t.do(PlanCmd{Server: t.cfg.Server})
	}
}

// runLeave hands the seat over and closes. The holder stops first and then
// tells its deputy, which has most of a lease's time to take over.
func (t *turn) runLeave() {
	if !t.leaving || t.auth == closed {
		return
	}
	if t.move == writing && !t.due(t.leaveAt.Add(leavePatience)) {
		return
	}
	t.leaveHolder()
	t.leaveDeputy()
	if t.auth == reading || t.auth == taking || t.auth == doubting {
		t.drop("fenced", "this VM leaves")
	}
	t.fire(authorityChart, &t.auth, "close")
	t.do(LeftCmd{})
}

func (t *turn) leaveHolder() {
	if t.epoch == 0 {
		return
	}
	epoch, heir := t.epoch, t.rec.Deputy
	t.vouchBelow(epoch + 1)
	t.floor = max(t.floor, epoch+1)
	if t.auth == holding {
		t.drop("hand", "this VM leaves")
	} else {
		t.drop("fenced", "this VM leaves")
	}
	if heir != "" {
		t.do(SendCmd{To: heir, Msg: PromiseMsg{From: t.cfg.Self, Below: epoch + 1, Leave: true, Clean: t.vouch}})
	}
}

func (t *turn) leaveDeputy() {
	if t.d.state == off {
		return
	}
	t.promise(PrepareMsg{From: t.d.holder, Below: t.d.epoch + 1})
}

// answerClosed still answers a request to yield: the sender waits for it. And it
// still reports a move whose answer came late.
func (t *turn) answerClosed(msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch m := msg.(type) {
	case PrepareMsg:
		t.promise(m)
	case TablePutMsg:
		if m.Kind == kinds.None {
			t.wrote(m.Cmd.Edit, cmp.Or(m.Rev, m.Cmd.Table.Rev))
		}
	}
	return t.Lessor, t.cmds
}
