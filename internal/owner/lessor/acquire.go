package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Retry periods. They are short compared with a lease, so that a takeover
// survives a lost message, and long compared with the response time of a
// healthy store.
const (
	storeRetryDelay   = 250 * time.Millisecond // after the store failed
	suspicionLifetime = 5 * time.Second        // how long a suspicion counts
)

type suspicion struct {
	vm    ident.VM
	until time.Time
}

func (t *turn) onRole(m RoleMsg) {
	// On its first role message a new process checks whether its predecessor on
	// this VM was the holder: other VMs see this VM as live, so none of them
	// would take over.
	if !t.hasRole || m.Preferred && !t.role.Preferred {
		t.checkRecord = true
	}
	t.role, t.hasRole = m, true
}

func (t *turn) onSuspect(m SuspectMsg) {
	kept := make([]suspicion, 0, len(t.suspicions)+1)
	for _, s := range t.suspicions {
		if s.vm != m.VM && t.now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	t.suspicions = append(kept, suspicion{vm: m.VM, until: t.now.Add(suspicionLifetime)})
	t.checkRecord = t.checkRecord || t.role.Preferred
}

// onTakeOver notes which holder to replace. Like a suspicion it only makes the
// preferred VM read the record. Unlike a suspicion, which counts for seconds, it
// applies to one read: two VMs that both consider themselves preferred would
// otherwise take the authority from each other all that time.
func (t *turn) onTakeOver(m TakeOverMsg) {
	if t.role.Preferred && !t.leaving {
		t.replaceHolder, t.checkRecord = m.VM, true
	}
}

// shouldTakeOver reports whether the record, as just read, should be replaced
// by one that names this VM.
func (t *turn) shouldTakeOver() bool {
	if t.leaving {
		return false
	}
	if t.deputy.state == deputyRenewing || t.deputy.takeOver {
		return t.deputy.epoch >= t.record.Epoch
	}
	h := t.record.Holder
	return h == t.cfg.Self || t.role.Preferred && (h == "" || h == t.replaceHolder || t.vmIsGone(h) || t.isSuspect(h))
}

func (t *turn) isSuspect(vm ident.VM) bool {
	for _, s := range t.suspicions {
		if s.vm == vm && t.now.Before(s.until) {
			return true
		}
	}
	return false
}

// startTakeOver reads the record if a takeover is wanted.
func (t *turn) startTakeOver() {
	if t.auth != authIdle || t.leaving {
		return
	}
	wanted := t.checkRecord || t.deputy.state == deputyRenewing || t.deputy.takeOver
	if wanted && t.due(t.storeRetryAt) {
		t.fire(authorityChart, &t.auth, "seek")
		t.readRecord()
	}
}

func (t *turn) readRecord() {
	t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.emit(ReadRecordCmd{At: t.now})
}

func (t *turn) onRecord(m RecordMsg) {
	if m.Kind != kinds.None && m.Kind != kinds.NotFound {
		t.onStoreFailure()
		return
	}
	if m.Version < t.recordVer || m.Version == 0 && m.Cmd.At.IsZero() {
		return // a newer answer came before
	}
	t.record, t.recordVer, t.recordReadAt = m.Record, m.Version, t.now
	t.storeDown, t.storeAnsweredAt = false, t.now
	if t.deputy.epoch < t.record.Epoch {
		t.endDeputy() // the epoch that we were deputy of is over
	}
	ours := t.putPending && t.record.Token == t.pendingPut.Record.Token
	if t.epoch != 0 && t.record.Epoch > t.epoch && !ours {
		t.stepDown("fenced", "another VM took over")
		return
	}
	t.afterRecordRead()
}

func (t *turn) afterRecordRead() {
	switch t.auth {
	case authReading:
		takeOver := t.shouldTakeOver()
		t.replaceHolder = ""
		if !takeOver {
			t.checkRecord, t.deputy.takeOver = false, false
			t.fire(authorityChart, &t.auth, "absent")
			return
		}
		t.fire(authorityChart, &t.auth, "write")
		t.declareNoStandby()
		t.writeRecord(t.nextRecord())
	case authUnsure:
		t.resolveTakeOver()
	case authHolding:
		t.resolveTermRenewal()
	}
}

// onStoreFailure handles a call to the store that certainly had no effect.
func (t *turn) onStoreFailure() {
	t.storeDown = true
	t.storeRetryAt = t.now.Add(storeRetryDelay)
	if t.auth == authReading {
		t.replaceHolder = ""
		t.fire(authorityChart, &t.auth, "absent")
	}
}

// nextRecord returns the record that makes this VM the holder and replaces the
// one that was read. Every member of an earlier epoch that may still act stays
// listed: in the careful mode nothing else stops its orders.
func (t *turn) nextRecord() Record {
	old := t.record
	t.priorTermsEnd = t.cfg.Times.PriorAuthorityEnd(t.recordReadAt, max(old.Term, t.cfg.Times.Term))
	r := Record{
		V: RecordVersion, Epoch: max(old.Epoch+1, t.promisedBelow), Holder: t.cfg.Self,
		Deputy: t.role.Deputy, Term: t.cfg.Times.Term, Token: t.newToken(),
	}
	if r.Deputy == t.cfg.Self || t.vmIsGone(r.Deputy) {
		r.Deputy = ""
	}
	r.Standby = t.cfg.Standby && r.Deputy != ""
	for _, m := range append(old.members(), old.Past...) {
		if t.fullyEnded(m) {
			continue
		}
		m.Standby = m.Standby && !t.knownNoStandby(m)
		r.Past = append(r.Past, m)
	}
	return r
}

// members lists who may act under the record's own epoch.
func (r Record) members() []Member {
	var out []Member
	if r.Holder != "" {
		out = append(out, Member{VM: r.Holder, Epoch: r.Epoch, Standby: r.Standby})
	}
	if r.Deputy != "" {
		out = append(out, Member{VM: r.Deputy, Epoch: r.Epoch, Deputy: true})
	}
	return out
}

func (t *turn) writeRecord(r Record) {
	t.pendingPut = PutRecordCmd{Record: r, Old: t.recordVer, At: t.now}
	t.putPending, t.earlierPutUncertain = true, false
	t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.emit(t.pendingPut)
}

func (t *turn) onRecordPut(m RecordPutMsg) {
	if !t.putPending || m.Cmd.Record.Token != t.pendingPut.Record.Token {
		return
	}
	if t.cfg.flaw == flawAssumeWritten && m.Kind == kinds.Ambiguous {
		m.Kind, m.Version = kinds.None, t.pendingPut.Old+1
	}
	switch {
	case m.Kind == kinds.None:
		t.record, t.recordVer, t.storeDown = t.pendingPut.Record, max(t.recordVer, m.Version), false
		t.onRecordWritten()
	case m.Kind == kinds.Unavailable && !t.earlierPutUncertain:
		t.onRecordNotWritten()
	default:
		t.storeDown = t.storeDown || m.Kind == kinds.Ambiguous
		// A conflict also needs a read: the write that came first can be our
		// own, sent earlier with its answer lost.
		t.readBackRecord()
	}
}

func (t *turn) onRecordWritten() {
	t.putPending = false
	t.storeRetryAt = t.now
	if t.auth == authWriting || t.auth == authUnsure {
		t.beginEpoch()
		return
	}
	if t.auth == authHolding {
		t.extendTerm()
	}
}

// onRecordNotWritten handles a write that certainly did not happen.
func (t *turn) onRecordNotWritten() {
	t.putPending = false
	t.onStoreFailure()
	if t.auth != authWriting {
		return
	}
	if t.epoch != 0 {
		t.fire(authorityChart, &t.auth, "keep")
		return
	}
	t.fire(authorityChart, &t.auth, "refused")
}

// readBackRecord reads the record after a write with an unknown outcome. Until
// the record shows the outcome, the write can still take effect, so a later
// attempt that certainly failed does not settle it.
func (t *turn) readBackRecord() {
	t.earlierPutUncertain = true
	if t.auth == authWriting {
		t.fire(authorityChart, &t.auth, "doubt")
	}
	t.readRecord()
}

// resolveTakeOver decides a takeover with an unknown outcome from the record
// that was read back.
func (t *turn) resolveTakeOver() {
	switch {
	case t.record.Token == t.pendingPut.Record.Token:
		t.onRecordWritten()
	case t.recordVer == t.pendingPut.Old:
		// Not written yet. Repeating the same write is safe: both copies name
		// the same old version, so at most one takes effect.
		t.fire(authorityChart, &t.auth, "again")
		t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
		t.emit(t.pendingPut)
	default:
		t.putPending = false
		t.endAuthority("lost", "another VM took over first")
	}
}

// beginEpoch begins the epoch that the store has confirmed.
func (t *turn) beginEpoch() {
	t.fire(authorityChart, &t.auth, "won")
	t.checkRecord, t.deputy.takeOver, t.successorNoticesLeft = false, false, 0
	t.prevEpoch = 0
	mayStillMove := t.tableWritePending || t.batch.uncertain || t.batch.earlierUncertain // may still move keys under its minimum epoch
	if t.epoch != 0 && t.row().MinEpoch == t.epoch && !mayStillMove {
		t.prevEpoch = t.epoch
	}
	t.epoch = t.pendingPut.Record.Epoch
	t.termEnd = t.cfg.Times.AuthorityEnd(t.pendingPut.At, t.pendingPut.Record.Term)
	t.epochStartedAt = t.now
	t.tableWritePending, t.tableConflicts = false, 0
	t.termRenewAt = t.now.Add(t.cfg.Times.Term / 3)
	t.deputyTermEnd, t.deputyClock, t.deputyIncarnation, t.heartbeatAt = time.Time{}, 0, 0, t.now
	t.srv.beginEpoch(t.now)
	t.abandonBatch()
	t.beginOthers()
	t.beginStandbyEpoch()
	t.endDeputy()
	if t.epoch < t.promisedBelow {
		t.stepDown("fenced", "promised never to act under this epoch")
		return
	}
	t.raiseMinEpoch()
}

// retryStore continues after a call that was not answered in time.
func (t *turn) retryStore() {
	switch t.auth {
	case authReading:
		if t.due(t.storeRetryAt) {
			t.onStoreFailure()
		}
	case authWriting, authUnsure:
		if t.due(t.storeRetryAt) {
			t.readBackRecord()
		}
	case authFencing:
		t.retryTable()
	case authHolding:
		if t.putPending && t.due(t.storeRetryAt) {
			t.readRecord()
		}
	}
}

// retryTable continues after a delay, with the newest table if it is known.
func (t *turn) retryTable() {
	if !t.due(t.storeRetryAt) {
		return
	}
	if t.tableWritePending || t.tableConflicts == 0 || t.tableVer == 0 {
		t.readTable()
		return
	}
	t.continueWithTable()
}
