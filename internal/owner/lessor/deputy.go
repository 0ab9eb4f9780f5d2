package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// deputy is what a VM knows as deputy of a seat. Without one, a holder lost
// during a store outage would take its servers' keys down until the store is
// back: nobody could prove that it may renew their leases. The deputy may,
// because the holder told it so while it lived, and because a renewal changes
// nobody's ownership (rule 10).
type deputy struct {
	state  chart.State
	epoch  ident.Epoch
	holder ident.VM
	until  time.Time // as the holder told, counted from before we asked
	heard  time.Time
	rev    ident.Revision
	seq    uint64
	next   time.Time
	probe  time.Time // when we asked the server for a holder that cannot reach it
	called bool      // the holder left, or we reach a server that it does not
	sure   bool      // this very process was told of the epoch since it asked
	clear  bool      // no stand-by of an earlier epoch can hold the keys
}

// beat tells the deputy that its holder is there, until it is asked to stop.
func (t *turn) beat() {
	if !t.reigns() || t.rec.Deputy == "" || t.deputyEnded() || t.lent || t.stand == away || t.lease == silent || t.lease == out {
		return
	}
	if !t.due(t.beatAt) {
		return
	}
	t.beatAt = t.nextBeat()
	m := HeartbeatMsg{From: t.cfg.Self, Epoch: t.epoch, Mark: t.srv.mark.Mark, Rev: t.srv.want, NoStandby: t.rec.format() == RecordVersion}
	if t.echo > 0 {
		m.Left, m.Echo, m.Incarnation = t.until.Sub(t.now), t.echo, t.echoBorn
		t.told = t.until
	}
	t.do(SendCmd{To: t.rec.Deputy, Msg: m})
}

// nextBeat is the next multiple of the beat's period on this VM's clock, so that
// the beats of all its seats fall due together and share packets. It is never
// more than a period away: the deputy's count of silence stays what it was.
func (t *turn) nextBeat() time.Time {
	period := t.cfg.Times.Heartbeat
	return t.now.Add(period - time.Duration(t.now.UnixNano())%period)
}

// onAsk notes the deputy's clock, for the next beat to echo.
func (t *turn) onAsk(m ClockMsg) {
	if !t.reigns() || m.Epoch != t.epoch || m.From != t.rec.Deputy {
		return
	}
	if m.Incarnation != t.echoBorn {
		t.twice = t.stands && (t.twice || t.echoBorn != 0)
		t.echo, t.echoBorn = 0, m.Incarnation
	}
	t.echo = max(t.echo, m.At)
}

func (t *turn) onBeat(m HeartbeatMsg) {
	switch {
	case t.epoch > m.Epoch:
		t.do(SendCmd{To: m.From, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch}})
		return
	case t.epoch != 0 && t.epoch < m.Epoch:
		t.step("fenced", "a beat came under a later epoch")
	case m.Epoch < t.floor || m.Epoch < t.d.epoch:
		return
	}
	if t.leaving {
		t.promise(PrepareMsg{From: m.From, Below: m.Epoch + 1})
		return
	}
	if m.Epoch > t.d.epoch {
		t.endDeputy()
		t.d.epoch, t.d.holder = m.Epoch, m.From
	}
	if t.d.state != watching {
		t.fire(deputyChart, &t.d.state, "beat")
	}
	t.d.heard, t.d.rev, t.d.clear = t.now, m.Rev, m.NoStandby
	t.tells = 0
	if m.Mark.Boot != 0 || m.Mark.At != 0 {
		t.srv.fromBeat(m.Mark, t.now)
	}
	if m.Echo > 0 && m.Incarnation == t.born.UnixNano() {
		told := t.cfg.Times.AuthorityEnd(t.born.Add(m.Echo), m.Left)
		t.d.until = later(t.d.until, told)
		t.d.sure = true
	}
	t.ask(m)
}

// askPart is the part of a term after which the deputy gives its holder a new
// reading of its clock.
//
// A reading serves for one thing: the term that a beat tells is counted from it.
// An old one can only make the told term shorter, by its age. A sixtieth costs
// 30 s of a term of 30 min, so the deputy still outlasts a store outage of
// 19.5 min after the holder's last renewal of the term, instead of 20; asking
// with each beat would double the messages of every seat for that.
const askPart = 60

// ask gives the holder our clock when the one that its beat names is not ours or
// is old. It looks at the beat alone, so a lost question is put again with the
// next beat, and a holder or deputy that started anew is anchored at once: the
// one names no reading, the other does not know the one that is named.
func (t *turn) ask(m HeartbeatMsg) {
	at := max(t.now.Sub(t.born), 1)
	known := m.Echo > 0 && m.Incarnation == t.born.UnixNano()
	if known && at-m.Echo < t.cfg.Times.Term/askPart {
		return
	}
	t.do(SendCmd{To: m.From, Msg: ClockMsg{From: t.cfg.Self, Epoch: m.Epoch, At: at, Incarnation: t.born.UnixNano()}})
}

// runDeputy goes from watching to renewing when the holder is silent. It tries to
// take over at the same time (take.go), and does not wait for the outcome: a
// lease that the holder renewed just before it was lost can have as little as
// 350 ms left, and a store that does not answer takes 100 ms to show it.
func (t *turn) runDeputy() {
	t.runProbe()
	switch t.d.state {
	case watching:
		if t.due(t.d.heard.Add(t.cfg.Times.SilenceTimeout)) {
			t.fire(deputyChart, &t.d.state, "silent")
			t.storeAt, t.d.next = t.now, t.now
			t.do(DeputyActiveCmd{Epoch: t.d.epoch})
		}
	case renewing:
		t.renewAlone()
	}
}

// renewAlone extends what the server still holds, and nothing else. At a server
// that checks fences, the first such order ends the silent holder.
func (t *turn) renewAlone() {
	if t.epoch != 0 || !t.now.Before(t.d.until) || !t.due(t.d.next) {
		return
	}
	t.d.next = t.now.Add(t.cfg.Times.CallTimeout)
	if !t.srv.mark.Usable(t.now, t.cfg.Times) {
		t.readServer()
		return
	}
	t.d.seq++
	o := server.Order{
		Service: t.cfg.Service, Server: t.cfg.Server, Lessor: t.cfg.Server, Sender: t.cfg.Self,
		Fence: ident.Fence{Epoch: t.d.epoch, Seq: deputySeq + t.d.seq},
		Mark:  t.srv.mark.Mark, TTL: t.cfg.Times.TTL, Rev: t.d.rev,
	}
	if t.cfg.flaw == flawDeputy {
		set := t.owned()
		o.Full, o.Rev, o.Slices, o.Keys, o.Except = true, t.row().Rev, set.Slices, set.Keys, set.Except
	}
	t.srv.use(false)
	t.do(OrderCmd{Guard: Guard{Until: t.d.until}, Order: o, At: t.now, Read: t.srv.mark.Read})
}

// onReply takes the answer to a deputy's order or question.
func (d *deputy) onReply(t *turn, m ReplyMsg) {
	if d.state == off {
		return
	}
	if m.Order.At.IsZero() {
		d.next = t.now
		if !d.probe.IsZero() && !m.Read.At.Before(d.probe) {
			d.probe, d.called = time.Time{}, true
			t.storeAt = t.now
		}
		return
	}
	r := m.Reply
	switch {
	case r.Done || r.Reason == server.ReasonRev:
		d.next = m.Order.At.Add(t.cfg.Times.Renew)
	case r.Reason == server.ReasonFence && r.Fence.Epoch > d.epoch:
		t.endDeputy()
	default:
		d.next = t.now.Add(lateGap)
	}
}

// runProbe promises to stop when the server did not answer us either.
func (t *turn) runProbe() {
	if t.d.probe.IsZero() || !t.due(t.d.probe.Add(2*t.cfg.Times.CallTimeout)) {
		return
	}
	t.d.probe = time.Time{}
	t.promise(PrepareMsg{From: t.d.holder, Below: t.d.epoch + 1, Silent: true})
}

func (t *turn) endDeputy() {
	if t.d.state != off {
		t.fire(deputyChart, &t.d.state, "end")
	}
	t.d = deputy{state: t.d.state}
}
