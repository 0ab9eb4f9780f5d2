package lessor

import (
	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Standbys (rule 15). While the store is down no new owner can be recorded for
// the keys of a lost server, so without a standby they are unavailable for the
// rest of the outage, ten minutes on an ordinary bad day. The holder may then
// grant all keys of the server to another server, under its own authority, once
// three things are certain: no lease of the previous server can still run; no
// other VM can grant or renew one, since the deputy and all earlier members
// have ended; and any VM that takes over will wait for this one, since the
// deputy agreed (earlier_standby.go).
//
// From then on the standby is treated like the server itself: renewals, moves,
// and the waits of rule 5 apply to it alike. When the store answers again, the
// keys are revoked and written to the standby. It is chosen from the planner's
// answer only when it is needed: a server agreed on beforehand could have
// failed by then.

// runStandby grants the keys to a standby, or writes them to it in the table.
func (t *turn) runStandby() {
	if t.mayActivateStandby() {
		t.activateStandby()
	}
	if t.standbyState == standbyActive {
		t.assignToStandby()
	}
}

// mayActivateStandby reports whether a standby may have the keys now.
func (t *turn) mayActivateStandby() bool {
	if !t.standbyAllowed || t.leaving || !t.actsAsHolder() || !t.controlsRow() || t.ownedSet().Empty() {
		return false
	}
	if t.lease != leaseExpired && (t.cfg.flaw != flawEarlyStandby || t.lease != leaseSilent) {
		return false
	}
	if t.deputyAgreedEpoch != t.epoch && t.cfg.flaw != flawNoAgreement {
		return false
	}
	// A write that may take effect gives the keys to others.
	mayBeWritten := t.tableWritePending && t.move != moveIdle || t.batch.uncertain || t.batch.earlierUncertain
	planKnown := t.move == moveIdle || t.batch.serverLost && (t.move == moveRevoking || t.move == moveWriting)
	leasesOver := t.cfg.flaw == flawEarlyStandby || t.allLeasesOver()
	return planKnown && !mayBeWritten && leasesOver && t.storeUnavailable() && t.chooseStandby() != ""
}

// actsAsHolder reports whether this VM acts as the holder: it holds the
// authority, or it held it and replaces its own epoch by a later one
// (startNextEpoch). The store can fail during that, and a server that is lost
// meanwhile needs a standby as well.
//
// While it is unknown whether the record of the next epoch was written, the
// present epoch counts. A successor that reads the later record finds this VM
// named as a holder that allows a standby. The deputy of that later epoch never
// got a heartbeat under it and cannot rule a standby out, so the successor
// waits for this VM's end. Once the record is known to be written, the next
// epoch counts, with its own deputy, and the minimum epoch in the table, which
// names our previous epoch, protects the row.
func (t *turn) actsAsHolder() bool {
	switch t.auth {
	case authHolding:
		return true
	case authWriting, authUnsure:
		return t.epoch != 0 && t.standbyAllowed
	case authFencing:
		return t.standbyAllowed && t.storeUnavailable() && t.controlsRow()
	}
	return false
}

// storeUnavailable reports that the store was asked and has not answered for a
// while.
func (t *turn) storeUnavailable() bool {
	return t.storeFailedAt.After(t.storeAnsweredAt) && t.now.Sub(t.storeAnsweredAt) > storeFreshFor
}

// chooseStandby picks one of the servers that the planner would move the keys
// to. The start is a hash of the server's name, so that servers that are lost
// together do not all load the same standby.
func (t *turn) chooseStandby() ident.Server {
	plan := t.lostPlan
	if t.move != moveIdle {
		plan = t.batch.moves
	}
	n := len(plan)
	if n == 0 {
		return ""
	}
	from := int(xxhash.Sum64String(string(t.cfg.Server)) % uint64(n))
	for i := range n {
		if to := plan[(from+i)%n].To; to != "" && to != t.cfg.Server && to != t.standby {
			return to
		}
	}
	return ""
}

// activateStandby makes another server the one that is granted the keys.
func (t *turn) activateStandby() {
	to := t.chooseStandby()
	if t.move != moveIdle {
		t.fire(moveChart, &t.move, "drop")
	}
	t.batch, t.lostPlan = batch{}, nil
	t.fire(standChart, &t.standbyState, "lend")
	t.lastStandbyEpoch = t.epoch
	if t.putPending {
		t.lastStandbyEpoch = max(t.lastStandbyEpoch, t.pendingPut.Record.Epoch)
	}
	t.switchServer(to)
}

// switchServer starts anew with another server. The newest marks stay: they
// bound every lease of ours, at any server.
func (t *turn) switchServer(to ident.Server) {
	t.standby = to
	c := t.srv
	t.srv = serverState{seq: c.seq, newestGrant: c.newestGrant, newestFullGrant: c.newestFullGrant, answeredAt: t.now, sendAt: t.now}
	if t.lease != leaseNone {
		t.fire(leaseChart, &t.lease, "forget")
	}
	t.emit(StandbyCmd{Epoch: t.epoch, To: to})
}

// assignToStandby writes the keys to the standby when the store is back: they
// have moved once and stay where the caches are warm. A standby that the table
// no longer lists gives its keys up as the planner says.
func (t *turn) assignToStandby() {
	if t.auth != authHolding || t.lease != leaseHeld || t.move != moveIdle || len(t.moveQueue) > 0 || !t.serverUpToDate() {
		return
	}
	if !t.storeAnsweredRecently() || !t.due(t.planRequestAt) || !t.canWriteOnceRevoked() {
		return
	}
	t.planRequestAt = t.now.Add(requestInterval)
	if _, known := t.table.Row(t.standby); !known {
		t.emit(PlanCmd{Server: t.cfg.Server})
		return
	}
	set := t.ownedSet()
	t.moveQueue = make([]table.Move, 0, len(set.Keys)+len(set.Slices))
	for _, k := range set.Keys {
		t.moveQueue = append(t.moveQueue, table.Move{Key: k, To: t.standby})
	}
	for _, x := range set.Slices {
		t.moveQueue = append(t.moveQueue, table.Move{Slice: x, To: t.standby})
	}
	t.changed = true
}

// canWriteOnceRevoked reports whether keys that are revoked now could be
// written at once. A new epoch begins with a full grant, and after one, revoked
// keys are unserved until no copy of that grant can be obeyed any more.
func (t *turn) canWriteOnceRevoked() bool {
	at, known := t.revokedKeysFreeAt()
	if !t.cfg.FenceChecks && t.cfg.flaw != flawLateGrant {
		at = later(at, t.srv.newestFullGrant.Expiry(t.cfg.Times))
	}
	return known && t.due(at)
}

// endEmptyStandby ends the standby after the last of its keys was written to
// others.
func (t *turn) endEmptyStandby() {
	if t.standbyState != standbyActive || !t.ownedSet().Empty() {
		return
	}
	t.fire(standChart, &t.standbyState, "return")
	t.lastStandbyEpoch = 0
	t.switchServer("")
}

// endStandby forgets the standby when the authority ends. The standby's lease
// expires by itself, and a successor waits for that.
func (t *turn) endStandby() {
	t.standbyAllowed, t.earlierStandby = false, false
	if t.standbyState == standbyActive {
		t.fire(standChart, &t.standbyState, "return")
		t.switchServer("")
	}
}

// beginStandbyEpoch sets the standby state for a new epoch.
func (t *turn) beginStandbyEpoch() {
	t.standbyAllowed, t.deputyAgreedEpoch, t.deputyRestarted = t.pendingPut.Record.Standby, 0, false
	if t.firstEpoch == 0 {
		t.firstEpoch = t.epoch
	}
	for i := range t.others {
		t.others[i].noStandby = t.others[i].noStandby || t.declaredNoStandby(t.others[i].Member)
	}
	t.earlierStandby = t.earlierStandbyPossible()
}

// onStandbyAgreement notes that our deputy agrees to a standby. Its process
// must be the one known since the epoch began: an earlier process of that VM
// may have declared that there is no standby, and the present one would not
// know.
func (t *turn) onStandbyAgreement(m PromiseMsg) {
	if !t.actsAsHolder() || !m.StandbyAgreed || m.Below != t.epoch+1 || m.From != t.record.Deputy {
		return
	}
	if t.deputyRestarted || m.Incarnation != t.deputyIncarnation || m.Incarnation == 0 {
		return
	}
	t.deputyAgreedEpoch = t.epoch
}
