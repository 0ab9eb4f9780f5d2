package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// deputy is the state of a VM as deputy. Without a deputy, a holder that is
// lost during a store outage would make its server's keys unavailable until the
// store is back: no VM could prove that it may renew the lease. The deputy may,
// because the holder authorised it by its heartbeats, and because a renewal
// changes no ownership (rule 10).
type deputy struct {
	state            chart.State
	epoch            ident.Epoch
	holder           ident.VM
	termEnd          time.Time // end of the holder's term, counted from before we sent our clock
	heartbeatAt      time.Time
	rev              ident.Revision
	seq              uint64
	sendAt           time.Time
	probedAt         time.Time // when we read from the server for a holder that cannot reach it
	takeOver         bool      // the holder left, or we reach a server that it does not
	clockEchoed      bool      // the holder has echoed this process's clock under this epoch
	noEarlierStandby bool      // no standby of an earlier epoch can hold the keys
}

// sendHeartbeat tells the deputy that its holder is alive, until the deputy is
// asked to stop.
func (t *turn) sendHeartbeat() {
	if !t.actsAsHolder() || t.record.Deputy == "" || t.deputyEnded() || t.earlierStandby || t.standbyState == standbyActive || t.lease == leaseSilent || t.lease == leaseExpired {
		return
	}
	if !t.due(t.heartbeatAt) {
		return
	}
	t.heartbeatAt = t.nextHeartbeat()
	m := HeartbeatMsg{From: t.cfg.Self, Epoch: t.epoch, Mark: t.srv.mark.Mark, Rev: t.srv.targetRev, NoStandby: t.record.format() == RecordVersion}
	if t.deputyClock > 0 {
		m.Left, m.Echo, m.Incarnation = t.termEnd.Sub(t.now), t.deputyClock, t.deputyIncarnation
		t.deputyTermEnd = t.termEnd
	}
	t.emit(SendCmd{To: t.record.Deputy, Msg: m})
}

// nextHeartbeat returns the next multiple of the heartbeat period on this VM's
// clock, so that the heartbeats of all its lessors fall due together and share
// packets. It is never more than one period away, so the deputy's silence
// timeout still counts the same number of heartbeats.
func (t *turn) nextHeartbeat() time.Time {
	period := t.cfg.Times.Heartbeat
	return t.now.Add(period - time.Duration(t.now.UnixNano())%period)
}

// onClock notes the deputy's clock, for the next heartbeat to echo.
func (t *turn) onClock(m ClockMsg) {
	if !t.actsAsHolder() || m.Epoch != t.epoch || m.From != t.record.Deputy {
		return
	}
	if m.Incarnation != t.deputyIncarnation {
		t.deputyRestarted = t.standbyAllowed && (t.deputyRestarted || t.deputyIncarnation != 0)
		t.deputyClock, t.deputyIncarnation = 0, m.Incarnation
	}
	t.deputyClock = max(t.deputyClock, m.At)
}

func (t *turn) onHeartbeat(m HeartbeatMsg) {
	switch {
	case t.epoch > m.Epoch:
		t.emit(SendCmd{To: m.From, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch}})
		return
	case t.epoch != 0 && t.epoch < m.Epoch:
		t.stepDown("fenced", "a heartbeat arrived under a later epoch")
	case m.Epoch < t.promisedBelow || m.Epoch < t.deputy.epoch:
		return
	}
	if t.leaving {
		t.sendPromise(PrepareMsg{From: m.From, Below: m.Epoch + 1})
		return
	}
	if m.Epoch > t.deputy.epoch {
		t.endDeputy()
		t.deputy.epoch, t.deputy.holder = m.Epoch, m.From
	}
	if t.deputy.state != deputyWatching {
		t.fire(deputyChart, &t.deputy.state, "beat")
	}
	t.deputy.heartbeatAt, t.deputy.rev, t.deputy.noEarlierStandby = t.now, m.Rev, m.NoStandby
	t.successorNoticesLeft = 0
	if m.Mark.Boot != 0 || m.Mark.At != 0 {
		t.srv.markFromHeartbeat(m.Mark, t.now)
	}
	if m.Echo > 0 && m.Incarnation == t.startedAt.UnixNano() {
		termEnd := t.cfg.Times.AuthorityEnd(t.startedAt.Add(m.Echo), m.Left)
		t.deputy.termEnd = later(t.deputy.termEnd, termEnd)
		t.deputy.clockEchoed = true
	}
	t.sendClock(m)
}

// clockAgeDivisor is the fraction of a term after which the deputy sends its
// holder a new reading of its clock.
//
// A reading serves for one thing: the remaining term in a heartbeat is counted
// from it. An old reading can only make that term shorter, by its age. A
// sixtieth costs 30 s of a term of 30 min, so the deputy still outlasts a store
// outage of 19.5 min after the holder's last renewal of the term, instead of
// 20; a reading with each heartbeat would double the messages of every lessor.
const clockAgeDivisor = 60

// sendClock sends the holder our clock when the reading that its heartbeat
// echoes is missing, of an earlier process, or old. It depends on the heartbeat
// alone, so a lost message is repeated with the next heartbeat, and a holder or
// deputy that has just restarted gets a reading at once: the holder echoes
// none, the deputy does not know the one that is echoed.
func (t *turn) sendClock(m HeartbeatMsg) {
	at := max(t.now.Sub(t.startedAt), 1)
	known := m.Echo > 0 && m.Incarnation == t.startedAt.UnixNano()
	if known && at-m.Echo < t.cfg.Times.Term/clockAgeDivisor {
		return
	}
	t.emit(SendCmd{To: m.From, Msg: ClockMsg{From: t.cfg.Self, Epoch: m.Epoch, At: at, Incarnation: t.startedAt.UnixNano()}})
}

// runDeputy goes from watching to renewing when the holder is silent. It tries
// to take over at the same time (acquire.go), and does not wait for the
// outcome: a lease that the holder renewed just before it was lost can have as
// little as 350 ms left, and it takes 100 ms to notice that the store does not
// answer.
func (t *turn) runDeputy() {
	t.runProbe()
	switch t.deputy.state {
	case deputyWatching:
		if t.due(t.deputy.heartbeatAt.Add(t.cfg.Times.SilenceTimeout)) {
			t.fire(deputyChart, &t.deputy.state, "silent")
			t.storeRetryAt, t.deputy.sendAt = t.now, t.now
			t.emit(DeputyActiveCmd{Epoch: t.deputy.epoch})
		}
	case deputyRenewing:
		t.renewAsDeputy()
	}
}

// renewAsDeputy extends what the server still holds, and nothing else. At a
// server that checks fences, the first such order ends the silent holder.
func (t *turn) renewAsDeputy() {
	if t.epoch != 0 || !t.now.Before(t.deputy.termEnd) || !t.due(t.deputy.sendAt) {
		return
	}
	t.deputy.sendAt = t.now.Add(t.cfg.Times.CallTimeout)
	if !t.srv.mark.Usable(t.now, t.cfg.Times) {
		t.readServer()
		return
	}
	t.deputy.seq++
	o := server.Order{
		Service: t.cfg.Service, Server: t.cfg.Server, Lessor: t.cfg.Server, Sender: t.cfg.Self,
		Fence: ident.Fence{Epoch: t.deputy.epoch, Seq: deputySeqBase + t.deputy.seq},
		Mark:  t.srv.mark.Mark, TTL: t.cfg.Times.TTL, Rev: t.deputy.rev,
	}
	if t.cfg.flaw == flawDeputyGrants {
		set := t.ownedSet()
		o.Full, o.Rev, o.Slices, o.Keys, o.Except = true, t.row().Rev, set.Slices, set.Keys, set.Except
	}
	t.srv.noteGrant(false)
	t.emit(OrderCmd{Guard: Guard{Until: t.deputy.termEnd}, Order: o, At: t.now, Read: t.srv.mark.Read})
}

// onReply handles the answer to a deputy's order or read.
func (d *deputy) onReply(t *turn, m ReplyMsg) {
	if d.state == deputyOff {
		return
	}
	if m.Order.At.IsZero() {
		d.sendAt = t.now
		if !d.probedAt.IsZero() && !m.Read.At.Before(d.probedAt) {
			d.probedAt, d.takeOver = time.Time{}, true
			t.storeRetryAt = t.now
		}
		return
	}
	r := m.Reply
	switch {
	case r.Done || r.Reason == server.ReasonRev:
		d.sendAt = m.Order.At.Add(t.cfg.Times.Renew)
	case r.Reason == server.ReasonFence && r.Fence.Epoch > d.epoch:
		t.endDeputy()
	default:
		d.sendAt = t.now.Add(lateRetryDelay)
	}
}

// runProbe promises to stop when the server did not answer this VM either.
func (t *turn) runProbe() {
	if t.deputy.probedAt.IsZero() || !t.due(t.deputy.probedAt.Add(2*t.cfg.Times.CallTimeout)) {
		return
	}
	t.deputy.probedAt = time.Time{}
	t.sendPromise(PrepareMsg{From: t.deputy.holder, Below: t.deputy.epoch + 1, Silent: true})
}

func (t *turn) endDeputy() {
	if t.deputy.state != deputyOff {
		t.fire(deputyChart, &t.deputy.state, "end")
	}
	t.deputy = deputy{state: t.deputy.state}
}
