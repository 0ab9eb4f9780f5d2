package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

// Term of an authority that is held: renewal, replacement of the deputy, and
// its end.

// renewTerm renews the term after a third of it, so that the authority survives
// a store outage of two thirds of the term.
func (t *turn) renewTerm() {
	if t.auth != authHolding || t.putPending || t.leaving || !t.due(t.termRenewAt) || !t.due(t.storeRetryAt) {
		return
	}
	r := t.record
	r.Token, r.Term, r.Past = t.newToken(), t.cfg.Times.Term, nil
	for _, o := range t.others {
		if !t.fullyEnded(o.Member) && o.Epoch < t.epoch {
			o.Standby = o.Standby && t.earlierStandby
			r.Past = append(r.Past, o.Member)
		}
	}
	t.writeRecord(r)
}

func (t *turn) extendTerm() {
	t.termEnd = t.cfg.Times.AuthorityEnd(t.pendingPut.At, t.pendingPut.Record.Term)
	t.termRenewAt = t.pendingPut.At.Add(t.cfg.Times.Term / 3)
}

func (t *turn) resolveTermRenewal() {
	if !t.putPending {
		return
	}
	if t.record.Token == t.pendingPut.Record.Token {
		t.onRecordWritten()
		return
	}
	if t.recordVer != t.pendingPut.Old {
		t.putPending = false // a newer record exists; a later pass tries again
		return
	}
	t.storeRetryAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.emit(t.pendingPut)
}

// startNextEpoch replaces our own epoch by the next one, to name another
// deputy, or to have a deputy again after ours has promised to stop. Renewals
// of the server's lease continue meanwhile.
func (t *turn) startNextEpoch() {
	if t.auth != authHolding || t.putPending || t.leaving || t.move != moveIdle || t.lease == leaseSilent || t.lease == leaseExpired || t.standbyState == standbyActive {
		return
	}
	want := t.role.Deputy
	if want == t.cfg.Self || t.vmIsGone(want) {
		want = ""
	}
	if want == t.record.Deputy && !t.deputyEnded() && !t.deputyRestarted || want == "" && t.record.Deputy == "" {
		return
	}
	if !t.due(t.storeRetryAt) || !t.due(t.epochStartedAt.Add(storeRetryDelay)) {
		return
	}
	if t.storeDown {
		// A write whose answer is lost would stop our grants until the store is
		// back, so check first that the store answers.
		t.readRecord()
		return
	}
	t.fire(authorityChart, &t.auth, "retake")
	t.writeRecord(t.nextRecord())
}

// expireTerm stops acting once the term is over (rule 9).
func (t *turn) expireTerm() {
	if t.epoch == 0 || t.cfg.flaw == flawPastTerm {
		return
	}
	if t.due(t.termEnd) {
		t.stepDown("expired", "the term ended without a renewal")
	}
}

// stepDown ends the authority, from whatever state.
func (t *turn) stepDown(on chart.Trigger, why string) {
	if t.auth == authReading {
		on = "fenced"
	}
	t.endAuthority(on, why)
}

func (t *turn) endAuthority(on chart.Trigger, why string) {
	t.fire(authorityChart, &t.auth, on)
	if t.epoch != 0 {
		t.emit(SteppedDownCmd{Epoch: t.epoch, Reason: why})
		t.successorNoticesLeft = successorNotices
	}
	t.epoch, t.prevEpoch, t.termEnd, t.putPending = 0, 0, time.Time{}, false
	t.storeRetryAt = t.now.Add(storeRetryDelay)
	t.abandonBatch()
	t.endStandby()
	t.others = nil
	t.checkRecord = true
}
