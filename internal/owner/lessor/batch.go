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

// maxBatchMoves bounds how many keys move at once: requests for them wait, and
// a single write of the table should end the wait for all of them. The keys of
// a lost server wait anyway and move all together.
const maxBatchMoves = 512

// maxQueuedMoves bounds the moves that wait for their batch. Moves beyond it
// are dropped; the planner asks again.
const maxQueuedMoves = 1 << 17

// batch is a set of keys that moves from this server to others.
type batch struct {
	moves           []table.Move
	serverLost      bool           // the server is silent; nothing can be revoked
	remaining       table.Set      // what the server keeps
	remainingRev    ident.Revision // revision that names the remaining set until the table gives it
	startRowRev     ident.Revision // row revision at the start
	newestFullGrant lease.Mark     // newest full grant that can include the keys

	confirmed     bool
	readBackAfter time.Time // from here on no earlier grant can add the keys again
	readBackAt    time.Time // when the read after the revocation was sent

	writeRev         ident.Revision // table revision that the pending write would make
	uncertain        bool           // a write may have taken effect
	earlierUncertain bool           // an earlier write may still take effect
	edit             table.Edit     // of the newest write
	writtenRev       ident.Revision // first table known to contain the moves; zero: none
}

func (t *turn) onMove(m MoveMsg) {
	if m.Lost {
		t.lostPlan = m.Moves
		return
	}
	if t.auth == authHolding && len(t.moveQueue)+len(m.Moves) <= maxQueuedMoves {
		t.moveQueue = append(slices.Clip(t.moveQueue), m.Moves...)
	}
}

// startBatch begins a batch with the next moves that still apply.
func (t *turn) startBatch() {
	if t.auth != authHolding || !t.mayGrant() || t.move != moveIdle || t.leaving {
		return
	}
	lost := t.lease == leaseExpired || t.serverGone()
	if !lost && (t.lease != leaseHeld || len(t.moveQueue) == 0 || !t.serverUpToDate() || !t.canWriteOnceRevoked() || !t.storeAnsweredRecently()) {
		return
	}
	plan, limit := t.moveQueue, maxBatchMoves
	if lost {
		plan, limit = t.lostPlan, len(t.lostPlan)
	}
	n := min(len(plan), limit)
	moves := t.applicable(plan[:n])
	if lost {
		t.lostPlan = nil
	} else {
		t.moveQueue = plan[n:]
	}
	if len(moves) == 0 {
		t.changed = t.changed || n > 0
		return
	}
	t.openBatch(moves, lost)
}

// serverUpToDate reports whether the server has confirmed that it holds what
// the table gives it. A batch that began before that would reduce the server to
// a set of which it never got a part: a revocation adds nothing, and the
// reduced set counts as granted, so the keys that the server had just gained
// would stay unserved until the next change of its row.
func (t *turn) serverUpToDate() bool {
	t.syncTarget()
	return t.srv.targetRev != 0 && t.srv.confirmedRev == t.srv.targetRev
}

// storeAnsweredRecently reports whether the store answered recently, and reads
// from it if not. A planned move that begins during a store outage leaves its
// keys without an owner until the store is back, while the old owner could have
// kept them.
func (t *turn) storeAnsweredRecently() bool {
	if t.now.Sub(t.storeAnsweredAt) <= storeFreshFor {
		return true
	}
	if t.due(t.storeRetryAt) {
		t.readTable()
	}
	return false
}

// applicable keeps the moves whose key or slice is still this server's and
// whose new owner is known, each key or slice once. Hot keys come before
// slices: a key without an owner of its own belongs to the owner of its slice,
// so once the slice has moved, the key is no longer this server's, and the
// table would refuse the whole batch.
func (t *turn) applicable(moves []table.Move) []table.Move {
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
		_, known := t.table.Row(m.To)
		toSliceOwner := m.Key != "" && m.To == ""
		stays := m.To == t.cfg.Server && !t.keepsHotKey(m, moves)
		if seen[at] || t.table.From(m) != t.cfg.Server || stays || !known && !toSliceOwner {
			continue
		}
		seen[at] = true
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b table.Move) int { return cmp.Compare(moveRank(a), moveRank(b)) })
	return out
}

func moveRank(m table.Move) int {
	if m.Key != "" {
		return 0
	}
	return 1
}

// keepsHotKey reports whether a move keeps a hot key here while its slice
// leaves by another one of the moves.
func (t *turn) keepsHotKey(m table.Move, moves []table.Move) bool {
	if _, ownedApart := t.table.HotOwner(m.Key); m.Key == "" || ownedApart {
		return false
	}
	x := ident.SliceOf(m.Key, t.table.Slices())
	return slices.ContainsFunc(moves, func(o table.Move) bool {
		return o.Key == "" && o.Slice == x && o.To != t.cfg.Server && t.table.From(o) == t.cfg.Server
	})
}

func (t *turn) openBatch(moves []table.Move, lost bool) {
	next, err := t.table.WithMoves(t.cfg.Server, t.row().MinEpoch, moves...)
	if err != nil {
		return
	}
	t.fire(moveChart, &t.move, "begin")
	t.batch = batch{
		moves: moves, serverLost: lost, remaining: next.SetOf(t.cfg.Server),
		remainingRev: reducedRevBit | ident.Revision(t.epoch&(1<<23-1))<<40 | ident.Revision(t.srv.seq&(1<<40-1)),
		startRowRev:  t.row().Rev, newestFullGrant: t.srv.newestFullGrant,
	}
	t.srv.targetRev, t.srv.sendAt = t.batch.remainingRev, t.now
}

// onRevoked handles the server's confirmation that it serves no more than the
// remaining set.
func (t *turn) onRevoked(o server.Order) {
	t.srv.heldRev, t.srv.confirmedRev = o.Rev, o.Rev
	t.srv.sendAt = t.now
	if t.move != moveRevoking || o.Rev != t.batch.remainingRev {
		return
	}
	t.fire(moveChart, &t.move, "confirm")
	t.batch.confirmed, t.batch.readBackAt = true, time.Time{}
}

// runBatch takes the batch to its next state when a rule allows it.
func (t *turn) runBatch() {
	switch t.move {
	case moveRevoking:
		if t.allLeasesOver() {
			t.fire(moveChart, &t.move, "out")
			t.tableConflicts = 0
			t.writeBatch()
		}
	case moveSettling:
		t.runSettling()
	case moveWriting:
		if t.storeDown && !t.batch.serverLost && !t.batch.uncertain && !t.batch.earlierUncertain {
			t.cancelBatch()
			return
		}
		if t.due(t.storeRetryAt) {
			t.batch.earlierUncertain = t.batch.earlierUncertain || t.tableWritePending // the write was not answered at all
			t.retryTable()
		}
	}
}

// runSettling waits until nothing can give the revoked keys back to the server.
// In the careful mode it then reads the server's set once more.
func (t *turn) runSettling() {
	if t.allLeasesOver() {
		t.fire(moveChart, &t.move, "out")
		t.writeBatch()
		return
	}
	at, known := t.revokedKeysFreeAt()
	if !known || !t.due(at) {
		return
	}
	if t.cfg.FenceChecks || t.cfg.flaw == flawNoReadBack {
		t.fire(moveChart, &t.move, "clear")
		t.writeBatch()
		return
	}
	if t.batch.readBackAt.IsZero() || t.due(t.batch.readBackAt.Add(2*t.cfg.Times.CallTimeout)) {
		t.batch.readBackAfter, t.batch.readBackAt = at, t.now
		t.readServer()
	}
}

// onReadBack handles the second read of the careful mode. A delayed full grant
// that was obeyed after the revocation shows as another set, and the revocation
// is repeated.
func (t *turn) onReadBack(m ReplyMsg) {
	if t.move != moveSettling || t.batch.readBackAt.IsZero() || m.Read.At.Before(t.batch.readBackAfter) || m.Read.At.Before(t.batch.readBackAt) {
		return
	}
	if m.Reply.Rev == t.batch.remainingRev || m.Reply.Left <= 0 {
		t.fire(moveChart, &t.move, "clear")
		t.writeBatch()
		return
	}
	t.fire(moveChart, &t.move, "stale")
	t.srv.sendAt = t.now
}

// writeBatch writes the moves that are still to be made in the newest known
// table. Only this lessor can take a key from this server, so a key that is no
// longer the server's is one whose move took effect.
func (t *turn) writeBatch() {
	left := t.applicable(t.batch.moves)
	if len(left) == 0 {
		t.noteWritten(t.table.Rev)
		t.finishBatch()
		return
	}
	if t.tableVer == 0 || t.batch.serverLost && t.now.Sub(t.storeAnsweredAt) > storeFreshFor {
		t.readTable()
		return
	}
	edit := table.Edit{Server: t.cfg.Server, Epoch: t.epoch, Rev: t.row().Rev, Moves: left}
	if t.cfg.flaw == flawMinEpoch {
		edit.Epoch = t.row().MinEpoch
	}
	next, err := t.table.WithEdit(edit)
	if err != nil {
		t.readTable()
		return
	}
	t.batch.writeRev, t.batch.uncertain, t.batch.edit = next.Rev, true, edit
	t.putTable(next, edit)
}

// noteWritten remembers the first table that contains the batch's moves. By the
// time this lessor handles it, the next owner may have moved the keys on. If
// the move were reported under that later table, the later move would come
// first in the ownership history, which would then name the wrong server.
func (t *turn) noteWritten(rev ident.Revision) {
	if t.move == moveWriting && t.batch.writtenRev == 0 && len(t.applicable(t.batch.moves)) == 0 {
		t.batch.writtenRev = rev
	}
}

// onEditWritten handles the store's confirmation that an edit was written.
// Another VM may have taken over while the answer was on its way: the moves are
// in force, and no other VM knows that. Unless they are reported here, the
// ownership history would still name the server that gave the keys away.
func (t *turn) onEditWritten(e table.Edit, rev ident.Revision) {
	switch {
	case len(e.Moves) == 0:
	case t.move == moveWriting && sameEdit(t.batch.edit, e):
		t.batch.writtenRev = rev
	case sameEdit(t.unreportedEdit, e):
		t.unreportedEdit = table.Edit{}
		t.emit(MovedCmd{Moves: e.Moves, Epoch: e.Epoch, Rev: rev})
	}
}

// sameEdit reports whether two edits with moves are one edit, or attempts of
// one. Every edit that takes effect gives its server's row a new revision.
func sameEdit(a, b table.Edit) bool { return len(a.Moves) > 0 && a.Epoch == b.Epoch && a.Rev == b.Rev }

// finishBatch ends the batch. A full grant from the new table follows: the
// server may have held less than the set that it kept.
func (t *turn) finishBatch() {
	t.fire(moveChart, &t.move, "written")
	t.emit(MovedCmd{Moves: t.batch.moves, Epoch: t.epoch, Rev: t.batch.writtenRev})
	if t.batch.serverLost {
		t.planRequestAt = t.now // for keys that the server was given while it was lost
	}
	t.batch = batch{}
	t.srv.sendAt = t.now
	t.endEmptyStandby()
}

// abandonBatch forgets a batch that was not written, or whose outcome a
// successor will see in the table.
func (t *turn) abandonBatch() {
	if t.move == moveWriting && t.batch.uncertain {
		t.unreportedEdit = t.batch.edit
	}
	if t.move != moveIdle {
		t.fire(moveChart, &t.move, "drop")
	}
	t.batch = batch{}
	t.moveQueue, t.lostPlan = nil, nil
	t.srv.targetRowRev = 0
	if t.lease != leaseNone {
		t.fire(leaseChart, &t.lease, "forget")
	}
}

// cancelBatch gives the keys back to a live server when the store failed before
// their move was written. No write can take effect any more, so the table still
// gives them to that server; the planner asks again later.
func (t *turn) cancelBatch() {
	t.fire(moveChart, &t.move, "drop")
	t.batch = batch{}
	t.srv.targetRowRev = 0
	t.srv.sendAt = t.now
}

// cancelLostBatch keeps the keys where they are if a silent server answers
// before its keys were written to others. A write that may have taken effect is
// never undone.
func (t *turn) cancelLostBatch() {
	t.lostPlan = nil
	if t.move == moveIdle || !t.batch.serverLost || t.move == moveWriting && t.batch.uncertain {
		return
	}
	t.cancelBatch()
}
