package lessor

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// deputySeqBase is the lowest sequence number of a deputy's fences. At a server
// that checks fences, the first order of a deputy thereby ends its silent
// holder (rule 10).
const deputySeqBase = uint64(1) << 63

// reducedRevBit marks the revision of a set that is not in the table: what a
// server keeps while a batch of keys leaves it. No table revision has this bit,
// so a renewal of the whole set never extends the reduced one, or the other way
// round.
const reducedRevBit = ident.Revision(1) << 63

// serverState is what the holder knows of the backend server, and what it has
// sent to it.
type serverState struct {
	mark        lease.Mark
	markAskedAt time.Time // when the call was sent whose answer gave the mark
	answeredAt  time.Time // time of the last answer
	sendAt      time.Time // when to send again
	seq         uint64

	// newestGrant and newestFullGrant are the newest marks of any grant, and of
	// any full grant, that we sent under any epoch. No lease of ours outlasts
	// the expiry of newestGrant.
	newestGrant, newestFullGrant lease.Mark

	heldRev      ident.Revision // set that the server said it holds; zero: unknown
	confirmedRev ident.Revision // set that it confirmed under our epoch; zero: none
	targetRev    ident.Revision // set that it should hold
	targetRowRev ident.Revision // row revision that targetRev was derived from
}

// beginEpoch starts an epoch: marks stay valid, fences start anew.
func (s *serverState) beginEpoch(now time.Time) {
	s.answeredAt, s.sendAt = time.Time{}, now
	s.seq, s.heldRev, s.confirmedRev, s.targetRev, s.targetRowRev = 0, 0, 0, 0, 0
}

// noteGrant records that a grant with the current mark is sent.
func (s *serverState) noteGrant(full bool) {
	s.newestGrant = newerMark(s.newestGrant, s.mark)
	if full {
		s.newestFullGrant = newerMark(s.newestFullGrant, s.mark)
	}
}

func newerMark(a, b lease.Mark) lease.Mark {
	if b.Read.After(a.Read) {
		return b
	}
	return a
}

// contactServer sends the server what is due: a renewal, a full grant, a
// revocation, or a read where there is nothing to grant.
func (t *turn) contactServer() {
	if t.epoch == 0 || t.epoch < t.promisedBelow || t.serverGone() || !t.due(t.srv.sendAt) {
		return
	}
	t.syncTarget()
	t.srv.sendAt = t.now.Add(t.cfg.Times.CallTimeout)
	switch {
	case !t.mayRenew():
		t.readServer()
	case !t.srv.mark.Usable(t.now, t.cfg.Times):
		t.readServer()
	case t.move == moveRevoking && !t.batch.serverLost:
		t.revoke()
	case t.grantableSet().Empty():
		t.readServer()
	case t.srv.heldRev == t.srv.targetRev && t.srv.heldRev != 0:
		t.renew()
	case t.mayGrant():
		t.grant()
	default:
		t.renew()
	}
}

// syncTarget notices that the table changed the server's set. During a batch
// the set stays as it was at the start of the batch.
func (t *turn) syncTarget() {
	row := t.row()
	if t.move != moveIdle || row.Rev == t.srv.targetRowRev {
		return
	}
	if t.srv.targetRowRev == 0 {
		t.srv.heldRev = row.Rev // try a renewal first: the previous holder granted this set
	}
	t.srv.targetRev, t.srv.targetRowRev = row.Rev, row.Rev
}

// grantableSet returns the set that the server may serve now.
func (t *turn) grantableSet() table.Set {
	if t.move != moveIdle {
		return t.batch.remaining
	}
	return t.ownedSet()
}

// ownedSet returns what the table gives the server. A row's revision changes
// with its set, so the set is collected once for each revision.
func (t *turn) ownedSet() table.Set {
	if row := t.row(); row.Rev != t.cachedSetRev {
		t.cachedSet, t.cachedSetRev = t.table.SetOf(t.cfg.Server), row.Rev
	}
	return t.cachedSet
}

func (t *turn) readServer() { t.emit(ReadServerCmd{At: t.now, To: t.standby}) }

// targetServer returns the server that the keys are granted to.
func (t *turn) targetServer() ident.Server { return cmp.Or(t.standby, t.cfg.Server) }

// serverGone reports rule 5(c): the platform lists the server as gone. That
// says nothing of its standby.
func (t *turn) serverGone() bool { return t.platformGone && t.standby == "" }

func (t *turn) renew() {
	if t.cfg.flaw == flawRenewGrants {
		t.grant()
		return
	}
	t.srv.noteGrant(false)
	t.sendOrder(t.newOrder(t.srv.targetRev), false)
}

func (t *turn) grant() {
	set := t.grantableSet()
	o := t.newOrder(t.srv.targetRev)
	o.Full, o.Slices, o.Keys, o.Except = true, set.Slices, set.Keys, set.Except
	if t.cfg.flaw == flawRenewGrants {
		all := t.ownedSet()
		o.Slices, o.Keys, o.Except = all.Slices, all.Keys, all.Except
	}
	t.srv.noteGrant(true)
	t.sendOrder(o, false)
}

// revoke ends everything that is not in the batch's remaining set. It extends
// no lease.
func (t *turn) revoke() {
	o := t.newOrder(t.batch.remainingRev)
	o.Full = true
	o.Slices, o.Keys, o.Except = t.batch.remaining.Slices, t.batch.remaining.Keys, t.batch.remaining.Except
	t.sendOrder(o, true)
}

func (t *turn) newOrder(rev ident.Revision) server.Order {
	t.srv.seq++
	f := ident.Fence{Epoch: t.epoch, Seq: t.srv.seq}
	if t.cfg.flaw == flawSameFence {
		f = ident.Fence{Epoch: 1, Seq: 1}
	}
	return server.Order{
		Service: t.cfg.Service, Server: t.targetServer(), Lessor: t.cfg.Server, Sender: t.cfg.Self,
		Fence: f, Mark: t.srv.mark.Mark, TTL: t.cfg.Times.TTL, Rev: rev,
	}
}

func (t *turn) sendOrder(o server.Order, revoke bool) {
	t.emit(OrderCmd{Guard: t.guard(), Order: o, Revoke: revoke, At: t.now, Read: t.srv.mark.Read})
}

// updateMark stores the clock reading of an answer, unless the answer to a
// later call came first. It reports whether the server has restarted since the
// last one.
func (s *serverState) updateMark(m server.Mark, asked, now time.Time) (restarted bool) {
	if asked.Before(s.markAskedAt) {
		return false
	}
	restarted = s.mark.Boot != m.Boot && !s.mark.Read.IsZero()
	if restarted || m.At >= s.mark.At || s.mark.Read.IsZero() {
		s.mark = lease.Mark{Mark: m, Read: now}
	}
	s.markAskedAt = asked
	return restarted
}

// onReply handles an answer of the server, to a call of the holder or of the
// deputy.
func (t *turn) onReply(m ReplyMsg) {
	at, from := m.Order.At, m.Order.Order.Server
	if at.IsZero() {
		at, from = m.Read.At, cmp.Or(m.Read.To, t.cfg.Server)
	}
	if m.Kind != kinds.None || from != t.targetServer() {
		return
	}
	if t.srv.updateMark(m.Reply.Mark, at, t.now) {
		t.srv.heldRev, t.srv.confirmedRev = 0, 0
	}
	t.deputy.onReply(t, m)
	if t.epoch == 0 || at.Before(t.epochStartedAt) {
		return
	}
	t.srv.answeredAt = t.now
	t.noteAnswer()
	if m.Order.At.IsZero() {
		t.onReadReply(m)
		return
	}
	t.onOrderReply(m)
}

func (t *turn) noteAnswer() {
	if t.lease != leaseHeld {
		t.fire(leaseChart, &t.lease, "answer")
	}
	t.cancelLostBatch()
}

func (t *turn) onOrderReply(m ReplyMsg) {
	r, o := m.Reply, m.Order.Order
	if o.Fence.Epoch != t.epoch && t.cfg.flaw != flawSameFence {
		return
	}
	switch {
	case r.Done && m.Order.Revoke:
		t.onRevoked(o)
	case r.Done:
		t.srv.heldRev, t.srv.confirmedRev = r.Rev, r.Rev
		t.srv.sendAt = m.Order.At.Add(t.cfg.Times.Renew)
	case r.Reason == server.ReasonFence:
		t.onFenceRefusal(r.Fence)
	case r.Reason == server.ReasonRev:
		t.srv.heldRev, t.srv.confirmedRev, t.srv.sendAt = 0, 0, t.now
		if !t.mayGrant() {
			// Only a full grant helps, and that waits for the table. Retrying
			// at once would send the server orders as fast as it refuses them.
			t.srv.sendAt = t.now.Add(t.cfg.Times.CallTimeout)
		}
	default: // the order came too late, and the answer brought a fresh mark
		t.srv.sendAt = t.now.Add(lateRetryDelay)
	}
}

// lateRetryDelay prevents a busy loop of orders to a server whose clock
// misbehaves.
const lateRetryDelay = 10 * time.Millisecond

// onFenceRefusal handles an order that was refused for a higher fence. A later
// epoch has ended ours. So has our own deputy, if it acted because our heartbeats
// did not arrive: it goes on while no other VM takes over, and takes over
// itself when it can.
func (t *turn) onFenceRefusal(f ident.Fence) {
	if f.Epoch > t.epoch || f.Epoch == t.epoch && f.Seq >= deputySeqBase {
		t.stepDown("fenced", "the server obeys a higher fence")
	}
}

// onReadReply handles the answer to a read.
func (t *turn) onReadReply(m ReplyMsg) {
	t.srv.sendAt = t.now
	if t.grantableSet().Empty() || t.earlierStandby {
		t.srv.sendAt = m.Read.At.Add(t.cfg.Times.Renew)
	}
	t.onReadBack(m)
}
