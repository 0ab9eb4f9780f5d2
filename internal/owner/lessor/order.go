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

// deputySeq is the lowest sequence of a deputy's fences. A deputy that acts
// thereby ends its silent holder at a checking server (rule 10).
const deputySeq = uint64(1) << 63

// cutRev marks the revision of a set that the table does not give: what a
// server keeps while a batch of keys leaves it. No table revision has this bit,
// so a renewal for the whole set can never extend the reduced one or the other
// way round.
const cutRev = ident.Revision(1) << 63

// contact is what the holder knows of the server, and what it sent it.
type contact struct {
	mark  lease.Mark
	asked time.Time // when the call was sent whose answer gave the mark
	heard time.Time // last answer
	next  time.Time // when to send again
	seq   uint64

	// used and full are the newest marks of any grant, and of any full grant,
	// that we sent under any epoch. No lease of ours outlasts used.Out.
	used, full lease.Mark

	rev  ident.Revision // set that the server said it holds; zero: unknown
	sure ident.Revision // set that it confirmed under our epoch; zero: none
	want ident.Revision // set that it should hold
	from ident.Revision // row revision that want stands for
}

// begin starts an epoch: marks stay good, fences start anew.
func (c *contact) begin(now time.Time) {
	c.heard, c.next = time.Time{}, now
	c.seq, c.rev, c.sure, c.want, c.from = 0, 0, 0, 0, 0
}

// use notes that a grant with the mark goes out.
func (c *contact) use(full bool) {
	c.used = newest(c.used, c.mark)
	if full {
		c.full = newest(c.full, c.mark)
	}
}

func newest(a, b lease.Mark) lease.Mark {
	if b.Read.After(a.Read) {
		return b
	}
	return a
}

// tend sends the server what is due: a renewal, a full grant, a revocation, or
// a mere question where there is nothing to grant.
func (t *turn) tend() {
	if t.epoch == 0 || t.epoch < t.floor || t.lost() || !t.due(t.srv.next) {
		return
	}
	t.sync()
	t.srv.next = t.now.Add(t.cfg.Times.CallTimeout)
	switch {
	case !t.mayRenew():
		t.readServer()
	case !t.srv.mark.Usable(t.now, t.cfg.Times):
		t.readServer()
	case t.move == revoking && !t.b.lost:
		t.revoke()
	case t.granted().Empty():
		t.readServer()
	case t.srv.rev == t.srv.want && t.srv.rev != 0:
		t.renew()
	case t.mayGrant():
		t.grant()
	default:
		t.renew()
	}
}

// sync notices that the table changed the server's set. During a batch the set
// stays as the batch began it.
func (t *turn) sync() {
	row := t.row()
	if t.move != rest || row.Rev == t.srv.from {
		return
	}
	if t.srv.from == 0 {
		t.srv.rev = row.Rev // try a renewal first: the predecessor granted this set
	}
	t.srv.want, t.srv.from = row.Rev, row.Rev
}

// granted is the set that the server may serve now.
func (t *turn) granted() table.Set {
	if t.move != rest {
		return t.b.keep
	}
	return t.owned()
}

// owned is what the table gives the server. A row's revision changes with its
// set, so the set is collected once for each.
func (t *turn) owned() table.Set {
	if row := t.row(); row.Rev != t.mineAt {
		t.mine, t.mineAt = t.tab.SetOf(t.cfg.Server), row.Rev
	}
	return t.mine
}

func (t *turn) readServer() { t.do(ReadServerCmd{At: t.now, To: t.by}) }

// server is whom the seat's keys are granted to.
func (t *turn) server() ident.Server { return cmp.Or(t.by, t.cfg.Server) }

// lost reports rule 5(c): the platform lists the server as gone. It says nothing
// of one that stands by.
func (t *turn) lost() bool { return t.gone && t.by == "" }

func (t *turn) renew() {
	if t.cfg.flaw == flawAdd {
		t.grant()
		return
	}
	t.srv.use(false)
	t.send(t.order(t.srv.want), false)
}

func (t *turn) grant() {
	set := t.granted()
	o := t.order(t.srv.want)
	o.Full, o.Slices, o.Keys, o.Except = true, set.Slices, set.Keys, set.Except
	if t.cfg.flaw == flawAdd {
		all := t.owned()
		o.Slices, o.Keys, o.Except = all.Slices, all.Keys, all.Except
	}
	t.srv.use(true)
	t.send(o, false)
}

// revoke ends everything that is not in the batch's remaining set. It extends
// nothing.
func (t *turn) revoke() {
	o := t.order(t.b.cut)
	o.Full = true
	o.Slices, o.Keys, o.Except = t.b.keep.Slices, t.b.keep.Keys, t.b.keep.Except
	t.send(o, true)
}

func (t *turn) order(rev ident.Revision) server.Order {
	t.srv.seq++
	f := ident.Fence{Epoch: t.epoch, Seq: t.srv.seq}
	if t.cfg.flaw == flawFence {
		f = ident.Fence{Epoch: 1, Seq: 1}
	}
	return server.Order{
		Service: t.cfg.Service, Server: t.server(), Lessor: t.cfg.Server, Sender: t.cfg.Self,
		Fence: f, Mark: t.srv.mark.Mark, TTL: t.cfg.Times.TTL, Rev: rev,
	}
}

func (t *turn) send(o server.Order, revoke bool) {
	t.do(OrderCmd{Guard: t.guard(), Order: o, Revoke: revoke, At: t.now, Read: t.srv.mark.Read})
}

// newMark takes the clock reading of an answer, unless a later call's answer
// came before it. It reports whether the server started anew since.
func (c *contact) newMark(m server.Mark, asked, now time.Time) (restarted bool) {
	if asked.Before(c.asked) {
		return false
	}
	restarted = c.mark.Boot != m.Boot && !c.mark.Read.IsZero()
	if restarted || m.At >= c.mark.At || c.mark.Read.IsZero() {
		c.mark = lease.Mark{Mark: m, Read: now}
	}
	c.asked = asked
	return restarted
}

// onReply takes an answer of the server, whether it came to the holder's call
// or to the deputy's.
func (t *turn) onReply(m ReplyMsg) {
	at, from := m.Order.At, m.Order.Order.Server
	if at.IsZero() {
		at, from = m.Read.At, cmp.Or(m.Read.To, t.cfg.Server)
	}
	if m.Kind != kinds.None || from != t.server() {
		return
	}
	if t.srv.newMark(m.Reply.Mark, at, t.now) {
		t.srv.rev, t.srv.sure = 0, 0
	}
	t.d.onReply(t, m)
	if t.epoch == 0 || at.Before(t.wonAt) {
		return
	}
	t.srv.heard = t.now
	t.answered()
	if m.Order.At.IsZero() {
		t.onRead(m)
		return
	}
	t.onOrdered(m)
}

func (t *turn) answered() {
	if t.lease != held {
		t.fire(leaseChart, &t.lease, "answer")
	}
	t.cancelLost()
}

func (t *turn) onOrdered(m ReplyMsg) {
	r, o := m.Reply, m.Order.Order
	if o.Fence.Epoch != t.epoch && t.cfg.flaw != flawFence {
		return
	}
	switch {
	case r.Done && m.Order.Revoke:
		t.revoked(o)
	case r.Done:
		t.srv.rev, t.srv.sure = r.Rev, r.Rev
		t.srv.next = m.Order.At.Add(t.cfg.Times.Renew)
	case r.Reason == server.ReasonFence:
		t.refused(r.Fence)
	case r.Reason == server.ReasonRev:
		t.srv.rev, t.srv.sure, t.srv.next = 0, 0, t.now
		if !t.mayGrant() {
			// Only a full grant helps, and that waits for the table. Asking again
			// at once would send the server orders as fast as it refuses them.
			t.srv.next = t.now.Add(t.cfg.Times.CallTimeout)
		}
	default: // late: the answer brought a fresh mark
		t.srv.next = t.now.Add(lateGap)
	}
}

// lateGap keeps a server whose clock misbehaves from being asked in a busy
// loop.
const lateGap = 10 * time.Millisecond

// refused handles an order that came under a higher fence. A later epoch ended
// ours. So did our own deputy, when it acted because we were silent to it: it
// goes on as long as nobody takes over, and it will take over when it can.
func (t *turn) refused(f ident.Fence) {
	if f.Epoch > t.epoch || f.Epoch == t.epoch && f.Seq >= deputySeq {
		t.step("fenced", "the server obeys a higher fence")
	}
}

// onRead takes the answer to a question.
func (t *turn) onRead(m ReplyMsg) {
	t.srv.next = t.now
	if t.granted().Empty() || t.lent {
		t.srv.next = m.Read.At.Add(t.cfg.Times.Renew)
	}
	t.readBack(m)
}
