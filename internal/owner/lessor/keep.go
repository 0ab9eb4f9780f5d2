package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

// An authority once won: its term is renewed, its deputy replaced, and it ends.

// refresh renews the term at a third of it, so that a store outage of two
// thirds of the term ends no authority.
func (t *turn) refresh() {
	if t.auth != holding || t.putting || t.leaving || !t.due(t.freshAt) || !t.due(t.storeAt) {
		return
	}
	r := t.rec
	r.Token, r.Term, r.Past = t.newToken(), t.cfg.Times.Term, nil
	for _, o := range t.others {
		if !t.longEnded(o.Member) && o.Epoch < t.epoch {
			o.Stand = o.Stand && t.lent
			r.Past = append(r.Past, o.Member)
		}
	}
	t.write(r)
}

func (t *turn) extend() {
	t.until = t.cfg.Times.AuthorityEnd(t.put.At, t.put.Record.Term)
	t.freshAt = t.put.At.Add(t.cfg.Times.Term / 3)
}

func (t *turn) judgeRefresh() {
	if !t.putting {
		return
	}
	if t.rec.Token == t.put.Record.Token {
		t.settlePut()
		return
	}
	if t.ver != t.put.Old {
		t.putting = false // overtaken; a later duty tries afresh
		return
	}
	t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.do(t.put)
}

// retake starts a new epoch over our own, to name another deputy or to have one
// again after ours has yielded. Renewals go on meanwhile.
func (t *turn) retake() {
	if t.auth != holding || t.putting || t.leaving || t.move != rest || t.lease == silent || t.lease == out || t.stand == away {
		return
	}
	want := t.plan.Deputy
	if want == t.cfg.Self || t.isGone(want) {
		want = ""
	}
	if want == t.rec.Deputy && !t.deputyEnded() && !t.twice || want == "" && t.rec.Deputy == "" {
		return
	}
	if !t.due(t.storeAt) || !t.due(t.wonAt.Add(storePause)) {
		return
	}
	if t.down {
		// A write whose answer is lost would keep us from granting until the
		// store is back, so look first whether it is there.
		t.readRecord()
		return
	}
	t.fire(authorityChart, &t.auth, "retake")
	t.write(t.nextRecord())
}

// expire stops acting once the term is over (rule 9).
func (t *turn) expire() {
	if t.epoch == 0 || t.cfg.flaw == flawTerm {
		return
	}
	if t.due(t.until) {
		t.step("expired", "the term ended without a renewal")
	}
}

// step gives the authority up, from whatever state.
func (t *turn) step(on chart.Trigger, why string) {
	if t.auth == reading {
		on = "fenced"
	}
	t.drop(on, why)
}

func (t *turn) drop(on chart.Trigger, why string) {
	t.fire(authorityChart, &t.auth, on)
	if t.epoch != 0 {
		t.do(SteppedDownCmd{Epoch: t.epoch, Reason: why})
		t.tells = tellTimes
	}
	t.epoch, t.former, t.until, t.putting = 0, 0, time.Time{}, false
	t.storeAt = t.now.Add(storePause)
	t.endBatch()
	t.endStand()
	t.others = nil
	t.want = true
}
