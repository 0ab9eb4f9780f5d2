package lessor

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// maxBatch bounds how many keys are on their way at once: requests for them
// wait, and one update of the table should end the wait for all of them. The
// keys of a lost server wait anyway and go all together.
const maxBatch = 512

// maxQueue bounds the moves that wait for their batch. The planner asks again.
const maxQueue = 1 << 17

// batch is a set of keys on its way from this server to others.
type batch struct {
	moves []table.Move
	lost  bool           // the server is silent; nothing can be revoked
	keep  table.Set      // what the server keeps
	cut   ident.Revision // names keep while the table does not give it yet
	from  ident.Revision // row revision at the start
	full  lease.Mark     // newest full grant that can include the keys

	confirmed bool
	clearAt   time.Time // no grant of before can add the keys again from here on
	asked     time.Time // when the read-back was sent

	rev   ident.Revision // table revision that the pending write would make
	doubt bool           // a write may have taken effect
	hung  bool           // an earlier write may still do so
	edit  table.Edit     // of the newest write
	gave  ident.Revision // first table known to have the moves; zero: none
}

func (t *turn) onMove(m MoveMsg) {
	if m.Lost {
		t.lostPlan = m.Moves
		return
	}
	if t.auth == holding && len(t.queue)+len(m.Moves) <= maxQueue {
		t.queue = append(slices.Clip(t.queue), m.Moves...)
	}
}

// startBatch takes the next moves that still make sense.
func (t *turn) startBatch() {
	if t.auth != holding || !t.mayGrant() || t.move != rest || t.leaving {
		return
	}
	lost := t.lease == out || t.lost()
	if !lost && (t.lease != held || len(t.queue) == 0 || !t.upToDate() || !t.leavesAtOnce() || !t.storeIsFresh()) {
		return
	}
	plan, limit := t.queue, maxBatch
	if lost {
		plan, limit = t.lostPlan, len(t.lostPlan)
	}
	n := min(len(plan), limit)
	moves := t.sensible(plan[:n])
	if lost {
		t.lostPlan = nil
	} else {
		t.queue = plan[n:]
	}
	if len(moves) == 0 {
		t.acted = t.acted || n > 0
		return
	}
	t.open(moves, lost)
}

// upToDate reports whether the server has confirmed that it holds what the
// table gives it. A batch that began before would revoke down to a set of which
// the server never got a part: a revocation adds nothing, and the reduced set
// counts as granted, so the keys that it had just gained would stay unserved
// until the next change of its row.
func (t *turn) upToDate() bool {
	t.sync()
	return t.srv.want != 0 && t.srv.sure == t.srv.want
}

// storeIsFresh reports whether the store answered lately, and asks it if not. A
// planned move that is begun into an outage leaves its keys without an owner
// until the store is back, for nothing: the old owner could have kept them.
func (t *turn) storeIsFresh() bool {
	if t.now.Sub(t.seen) <= storeFresh {
		return true
	}
	if t.due(t.storeAt) {
		t.readTable()
	}
	return false
}

// sensible keeps the moves whose subject is still this server's and whose next
// owner is known, each subject once. Hot keys come before slices: a key that is
// not apart belongs to whoever owns its slice, so once the slice has moved, the
// key is no longer this server's to give and the whole batch would be refused.
func (t *turn) sensible(moves []table.Move) []table.Move {
	type subject struct {
		x ident.Slice
		k ident.Key
	}
	seen := map[subject]bool{}
	var out []table.Move
	for _, m := range moves {
		at := subject{m.Slice, m.Key}
		if m.Key != "" {
			at.x = 0
		}
		_, known := t.tab.Row(m.To)
		back := m.Key != "" && m.To == ""
		stays := m.To == t.cfg.Server && !t.holds(m, moves)
		if seen[at] || t.tab.From(m) != t.cfg.Server || stays || !known && !back {
			continue
		}
		seen[at] = true
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b table.Move) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

func rank(m table.Move) int {
	if m.Key != "" {
		return 0
	}
	return 1
}

// holds reports whether a move keeps a hot key here while its slice leaves by
// another one of the moves.
func (t *turn) holds(m table.Move, moves []table.Move) bool {
	if _, apart := t.tab.HotOwner(m.Key); m.Key == "" || apart {
		return false
	}
	x := ident.SliceOf(m.Key, t.tab.Slices())
	return slices.ContainsFunc(moves, func(o table.Move) bool {
		return o.Key == "" && o.Slice == x && o.To != t.cfg.Server && t.tab.From(o) == t.cfg.Server
	})
}

func (t *turn) open(moves []table.Move, lost bool) {
	next, err := t.tab.WithMoves(t.cfg.Server, t.row().MinEpoch, moves...)
	if err != nil {
		return
	}
	t.fire(moveChart, &t.move, "begin")
	t.b = batch{
		moves: moves, lost: lost, keep: next.SetOf(t.cfg.Server),
		cut:  cutRev | ident.Revision(t.epoch&(1<<23-1))<<40 | ident.Revision(t.srv.seq&(1<<40-1)),
		from: t.row().Rev, full: t.srv.full,
	}
	t.srv.want, t.srv.next = t.b.cut, t.now
}

// revoked takes the server's word that it serves no more than the rest.
func (t *turn) revoked(o server.Order) {
	t.srv.rev, t.srv.sure = o.Rev, o.Rev
	t.srv.next = t.now
	if t.move != revoking || o.Rev != t.b.cut {
		return
	}
	t.fire(moveChart, &t.move, "confirm")
	t.b.confirmed, t.b.asked = true, time.Time{}
}

// runBatch drives the batch on when a rule allows it.
func (t *turn) runBatch() {
	switch t.move {
	case revoking:
		if t.runOut() {
			t.fire(moveChart, &t.move, "out")
			t.clashes = 0
			t.writeBatch()
		}
	case settling:
		t.settle()
	case writing:
		if t.down && !t.b.lost && !t.b.doubt && !t.b.hung {
			t.cancelMove()
			return
		}
		if t.due(t.storeAt) {
			t.b.hung = t.b.hung || t.tabBusy // the write was not answered at all
			t.retryTable()
		}
	}
}

// settle waits until nothing can give the revoked keys back to the server, and
// in the careful mode asks the server once more after that.
func (t *turn) settle() {
	if t.runOut() {
		t.fire(moveChart, &t.move, "out")
		t.writeBatch()
		return
	}
	at, known := t.clearAt()
	if !known || !t.due(at) {
		return
	}
	if t.cfg.FenceChecks || t.cfg.flaw == flawReadback {
		t.fire(moveChart, &t.move, "clear")
		t.writeBatch()
		return
	}
	if t.b.asked.IsZero() || t.due(t.b.asked.Add(2*t.cfg.Times.CallTimeout)) {
		t.b.clearAt, t.b.asked = at, t.now
		t.readServer()
	}
}

// readBack takes the careful mode's second look: a delayed full grant, obeyed
// after the revocation, shows as another set, and the revocation is repeated.
func (t *turn) readBack(m ReplyMsg) {
	if t.move != settling || t.b.asked.IsZero() || m.Read.At.Before(t.b.clearAt) || m.Read.At.Before(t.b.asked) {
		return
	}
	if m.Reply.Rev == t.b.cut || m.Reply.Left <= 0 {
		t.fire(moveChart, &t.move, "clear")
		t.writeBatch()
		return
	}
	t.fire(moveChart, &t.move, "stale")
	t.srv.next = t.now
}

// writeBatch updates the table, and goes on from whatever it reads: only this
// seat can take a key from this server, so a key that is no longer the server's
// is one whose move took effect.
func (t *turn) writeBatch() {
	left := t.sensible(t.b.moves)
	if len(left) == 0 {
		t.noteGiven(t.tab.Rev)
		t.written()
		return
	}
	if t.tabVer == 0 || t.b.lost && t.now.Sub(t.seen) > storeFresh {
		t.readTable()
		return
	}
	edit := table.Edit{Server: t.cfg.Server, Epoch: t.epoch, Rev: t.row().Rev, Moves: left}
	if t.cfg.flaw == flawBar {
		edit.Epoch = t.row().MinEpoch
	}
	next, err := t.tab.WithEdit(edit)
	if err != nil {
		t.readTable()
		return
	}
	t.b.rev, t.b.doubt, t.b.edit = next.Rev, true, edit
	t.putTable(next, edit)
}

// noteGiven remembers the first table that has the batch's moves. By the time that
// this seat can act on it, the next owner may have given the keys on: named by the
// table of that moment, the later move would come first in the history of
// ownership, and whoever asks there who had a key is told the wrong server.
func (t *turn) noteGiven(rev ident.Revision) {
	if t.move == writing && t.b.gave == 0 && len(t.sensible(t.b.moves)) == 0 {
		t.b.gave = rev
	}
}

// wrote takes the store's word that an edit was written. Another VM may have taken
// the seat over while the answer was on its way: the moves are in force, nobody
// else was told so, and without a word from here the history of ownership would
// name a server as the key's owner that had given it away.
func (t *turn) wrote(e table.Edit, rev ident.Revision) {
	switch {
	case len(e.Moves) == 0:
	case t.move == writing && sameEdit(t.b.edit, e):
		t.b.gave = rev
	case sameEdit(t.owed, e):
		t.owed = table.Edit{}
		t.do(MovedCmd{Moves: e.Moves, Epoch: e.Epoch, Rev: rev})
	}
}

// sameEdit reports whether two edits with moves are one, or tries of one. Each that
// takes effect gives its server's row a new revision.
func sameEdit(a, b table.Edit) bool { return len(a.Moves) > 0 && a.Epoch == b.Epoch && a.Rev == b.Rev }

// written ends the batch. A full grant from the new table follows: the server
// may have held less than the set that it kept.
func (t *turn) written() {
	t.fire(moveChart, &t.move, "written")
	t.do(MovedCmd{Moves: t.b.moves, Epoch: t.epoch, Rev: t.b.gave})
	if t.b.lost {
		t.planAt = t.now // for what the server was given while it was lost
	}
	t.b = batch{}
	t.srv.next = t.now
	t.comeHome()
}

// endBatch forgets a batch that was not written, or whose fate a successor will
// see in the table.
func (t *turn) endBatch() {
	if t.move == writing && t.b.doubt {
		t.owed = t.b.edit
	}
	if t.move != rest {
		t.fire(moveChart, &t.move, "drop")
	}
	t.b = batch{}
	t.queue, t.lostPlan = nil, nil
	t.srv.from = 0
	if t.lease != none {
		t.fire(leaseChart, &t.lease, "forget")
	}
}

// cancelMove gives the keys back to a server that lives when the store went away
// before their move was written. No write can take effect any more, so the table
// still gives them to it; the planner asks again later.
func (t *turn) cancelMove() {
	t.fire(moveChart, &t.move, "drop")
	t.b = batch{}
	t.srv.from = 0
	t.srv.next = t.now
}

// cancelLost keeps the keys where they are when a silent server answers before
// its keys were written to others. A write that may have taken effect is never
// taken back.
func (t *turn) cancelLost() {
	t.lostPlan = nil
	if t.move == rest || !t.b.lost || t.move == writing && t.b.doubt {
		return
	}
	t.cancelMove()
}
