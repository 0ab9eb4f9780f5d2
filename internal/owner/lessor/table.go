package lessor

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// raiseMinEpoch raises the minimum epoch of the server's row in the table to
// our epoch (rule 4). From then on no write of an earlier holder can take a key
// from this server, and every full grant that we send is of a revision that no
// earlier holder can change.
func (t *turn) raiseMinEpoch() {
	row, known := t.table.Row(t.cfg.Server)
	switch {
	case t.tableVer == 0:
		t.readTable()
	case !known:
		t.storeRetryAt = t.now.Add(storeRetryDelay) // the server has not joined yet
	case t.cfg.flaw == flawMinEpoch || row.MinEpoch == t.epoch:
		t.fire(authorityChart, &t.auth, "barred")
		t.checkRecord, t.prevEpoch = false, 0
		t.emit(AcquiredCmd{Epoch: t.epoch})
		if t.standbyState == standbyActive {
			t.emit(StandbyCmd{Epoch: t.epoch, To: t.standby})
		}
	case row.MinEpoch > t.epoch:
		t.stepDown("fenced", "the table names a later epoch")
	default:
		next, err := t.table.WithMinEpoch(t.cfg.Server, t.epoch)
		if err != nil {
			t.readTable()
			return
		}
		t.putTable(next, table.Edit{Server: t.cfg.Server, Epoch: t.epoch})
	}
}

func (t *turn) readTable() {
	t.tableWritePending = false
	t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.emit(ReadTableCmd{})
}

// putTable writes the table, one write at a time. Notices of other tables
// arrive meanwhile; a write in answer to each of them made the store's calls
// grow with the square of the fleet.
func (t *turn) putTable(next table.Table, e table.Edit) {
	t.tableWritePending = true
	t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.emit(PutTableCmd{Guard: t.guard(), Table: next, Old: t.tableVer, Edit: e})
}

func (t *turn) onTable(m TableMsg) {
	if m.Kind != kinds.None {
		t.storeFailedAt = t.now
		t.storeDown = t.storeDown || m.Kind == kinds.Unavailable
		t.storeRetryAt = t.now.Add(storeRetryDelay)
		return
	}
	if m.Version != 0 {
		t.storeAnsweredAt = t.now
	}
	if m.Table.Rev < t.table.Rev {
		return // a newer table is known
	}
	if r, _ := m.Table.Row(t.cfg.Server); r.Rev != t.row().Rev && t.move == moveIdle {
		t.srv.sendAt = t.now    // the server's set changed: grant it now, not at the next renewal
		t.planRequestAt = t.now // or move it now, if it was given to a server that is lost as well
	}
	if m.Table.Rev > t.table.Rev || m.Version != 0 {
		t.table, t.tableVer = m.Table, m.Version
		t.noteWritten(t.table.Rev)
	}
	t.afterTable()
}

// Bounds of the delay after a write that lost to another writer. All lessors of
// a service write the same table object: without a growing, scattered delay
// they would conflict again and again.
const (
	conflictDelayMin = 4 * time.Millisecond
	conflictDelayMax = 256 * time.Millisecond
)

// delayAfterConflict delays the next attempt. The scatter comes from a hash of
// the names and the attempt, since a loop.Model draws no random numbers.
func (t *turn) delayAfterConflict() {
	maxDelay := min(conflictDelayMin<<min(t.tableConflicts, 10), conflictDelayMax)
	t.tableConflicts++
	h := xxhash.Sum64String(string(t.cfg.Self) + "/" + string(t.cfg.Server) + "/" + strconv.Itoa(t.tableConflicts))
	t.storeRetryAt = t.now.Add(time.Duration(h % uint64(maxDelay)))
}

func (t *turn) afterTable() {
	if row, _ := t.table.Row(t.cfg.Server); t.epoch != 0 && row.MinEpoch > t.epoch && t.cfg.flaw != flawMinEpoch {
		if t.auth == authHolding || t.auth == authFencing {
			t.stepDown("fenced", "the table names a later epoch")
			return
		}
	}
	if t.tableWritePending || t.tableConflicts > 0 && t.now.Before(t.storeRetryAt) {
		return
	}
	t.continueWithTable()
}

// continueWithTable resumes whatever waits for the table.
func (t *turn) continueWithTable() {
	switch {
	case t.auth == authFencing:
		t.raiseMinEpoch()
	case t.move == moveWriting:
		t.writeBatch()
	}
}

func (t *turn) onTablePut(m TablePutMsg) {
	t.tableWritePending = false
	switch m.Kind {
	case kinds.None:
		t.storeDown, t.tableConflicts = false, 0
		t.onEditWritten(m.Cmd.Edit, cmp.Or(m.Rev, m.Cmd.Table.Rev))
		if m.Cmd.Table.Rev < t.table.Rev {
			t.afterTable() // a later table, which contains the write, came before the answer
			return
		}
		t.onTable(TableMsg{Table: m.Cmd.Table, Version: m.Version})
	case kinds.Unavailable:
		t.storeDown = true
		t.storeRetryAt = t.now.Add(storeRetryDelay)
		t.onTableNotWritten(m)
	case kinds.Conflict:
		t.onTableNotWritten(m)
		if t.tableVer == m.Cmd.Old {
			t.tableVer = 0 // the table that was written first is not known yet
		}
		t.delayAfterConflict()
	default:
		t.tableVer = 0
		t.batch.earlierUncertain = t.batch.earlierUncertain || m.Kind == kinds.Ambiguous
		if t.auth == authFencing || t.move == moveWriting {
			t.readTable()
		}
	}
}

// onTableNotWritten settles the outcome of a write that did not happen and will
// not. An earlier write that was not answered keeps the outcome unknown (rule
// 13).
func (t *turn) onTableNotWritten(m TablePutMsg) {
	if m.Cmd.Table.Rev == t.batch.writeRev && !t.batch.earlierUncertain {
		t.batch.uncertain = false
	}
}

// row returns the table's row of this lessor's server.
func (t *turn) row() table.Row {
	r, _ := t.table.Row(t.cfg.Server)
	return r
}

// mayGrant reports whether a full grant is allowed now: only the holder may
// send one, and only of a table revision whose minimum epoch is its own epoch
// or its own previous one (rule 4).
//
// A holder that cannot learn whether its next epoch was written goes on
// granting to a standby, and to no other server: see actsAsHolder.
func (t *turn) mayGrant() bool {
	granting := t.auth == authHolding || t.standbyState == standbyActive && t.actsAsHolder()
	return granting && t.controlsRow()
}

// controlsRow reports whether only this VM can change the server's row of the
// known table, and no standby of an earlier holder can have its keys. A minimum
// epoch that names our previous epoch counts as well: only this VM may write
// under it.
func (t *turn) controlsRow() bool {
	minEpoch := t.row().MinEpoch
	ours := minEpoch == t.epoch || t.prevEpoch != 0 && minEpoch == t.prevEpoch || t.cfg.flaw == flawMinEpoch
	return t.epoch >= t.promisedBelow && !t.earlierStandby && ours
}

// mayRenew reports whether a renewal is allowed now. It adds no keys, so any
// epoch that we hold is enough, also while we replace it by a later one. Only a
// possible standby of an earlier epoch forbids it: see earlier_standby.go.
func (t *turn) mayRenew() bool {
	return t.epoch != 0 && t.epoch >= t.promisedBelow && !t.earlierStandby
}
