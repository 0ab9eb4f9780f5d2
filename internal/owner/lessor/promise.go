package lessor

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Bounds and periods of requests to other members and to the planner.
const (
	maxEndNotices     = 256                    // notices remembered; a forgotten one only costs another question
	requestInterval   = 500 * time.Millisecond // between requests for a promise or a plan
	deputyAskInterval = 100 * time.Millisecond // between questions to the deputy about a silent server
)

// otherMember is a member that could act beside this VM (rule 6).
type otherMember struct {
	Member
	ended      bool
	endedAt    time.Time // when we learned that it has ended
	leasesOver bool      // it has ended, and no lease of its orders can still run
	noStandby  bool      // it granted nothing to a standby and will not
}

// endNotice is what we know of the end of a VM: its own promise, or its removal
// from the platform's list.
type endNotice struct {
	vm             ident.VM
	belowEpoch     ident.Epoch
	learnedAt      time.Time
	leasesOver     bool
	gone           bool
	noStandbyEpoch ident.Epoch // see PromiseMsg
}

// noteEnd remembers a notice and applies it. Notices can arrive before the
// takeover that needs them.
func (t *turn) noteEnd(n endNotice) {
	n.learnedAt = t.now
	if n.gone && t.vmIsGone(n.vm) {
		return
	}
	notices := slices.Clone(t.endNotices)
	if len(notices) >= maxEndNotices {
		notices = notices[1:]
	}
	t.endNotices = append(notices, n)
	t.others = slices.Clone(t.others)
	for i := range t.others {
		t.others[i].apply(n)
	}
	if n.gone {
		t.checkRecord = t.checkRecord || t.role.Preferred
	}
}

func (o *otherMember) apply(n endNotice) {
	o.noStandby = o.noStandby || n.noStandbyEpoch != 0 && n.noStandbyEpoch == o.Epoch
	if o.VM != n.vm || o.Epoch >= n.belowEpoch {
		return
	}
	if !o.ended {
		o.ended, o.endedAt = true, n.learnedAt
	}
	o.leasesOver = o.leasesOver || n.leasesOver
}

func (t *turn) vmIsGone(vm ident.VM) bool {
	return slices.ContainsFunc(t.endNotices, func(n endNotice) bool { return n.gone && n.vm == vm })
}

// beginOthers lists who may act beside this VM in the epoch that begins.
func (t *turn) beginOthers() {
	r := t.pendingPut.Record
	t.others = nil
	for _, m := range r.Past {
		t.others = append(t.others, otherMember{Member: m})
	}
	if r.Deputy != "" {
		t.others = append(t.others, otherMember{Member: Member{VM: r.Deputy, Epoch: r.Epoch, Deputy: true}})
	}
	for i := range t.others {
		o := &t.others[i]
		if o.VM == t.cfg.Self {
			// Our own earlier epochs end with this state.
			o.ended, o.endedAt, o.leasesOver = true, t.now, t.ownLeasesOver()
		}
		for _, n := range t.endNotices {
			o.apply(n)
		}
	}
	t.prepareAt, t.deputyAskAt = t.now, t.now
}

// fullyEnded reports whether a member can be forgotten: it has ended, and so
// has every lease of its orders.
func (t *turn) fullyEnded(m Member) bool {
	for _, o := range t.others {
		if o.Member == m && o.ended {
			return !t.now.Before(o.endedAt.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	for _, n := range t.endNotices {
		if n.gone && n.vm == m.VM {
			return !t.now.Before(n.learnedAt.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	return false
}

// deputyEnded reports whether our own deputy has promised to act no more.
func (t *turn) deputyEnded() bool {
	return slices.ContainsFunc(t.others, func(o otherMember) bool { return o.Epoch == t.epoch && o.ended })
}

// sendPrepares asks the members of earlier epochs for their promise to stop,
// until all have ended.
func (t *turn) sendPrepares() {
	if t.epoch == 0 || t.leaving || t.auth != authHolding && t.auth != authFencing {
		return
	}
	unfinished := slices.ContainsFunc(t.others, func(o otherMember) bool { return !o.ended && o.Epoch < t.epoch })
	if !unfinished || !t.due(t.prepareAt) {
		return
	}
	t.prepareAt = t.now.Add(requestInterval)
	for i, o := range t.others {
		first := slices.IndexFunc(t.others, func(p otherMember) bool { return p.VM == o.VM }) == i
		if !o.ended && o.Epoch < t.epoch && first {
			t.emit(SendCmd{To: o.VM, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch}})
		}
	}
}

// onPrepare answers a request to stop acting under epochs below one.
func (t *turn) onPrepare(m PrepareMsg) {
	if !m.Silent || m.From != t.deputy.holder || t.deputy.state == deputyOff || m.Below != t.deputy.epoch+1 {
		t.sendPromise(m)
		return
	}
	// Our holder cannot reach the server. If this VM can, it takes over, and
	// the server keeps its keys.
	if t.deputy.probedAt.IsZero() && !t.deputy.takeOver {
		t.deputy.probedAt = t.now
		t.readServer()
	}
}

// sendPromise stops this VM for good from acting under any epoch below m.Below,
// and says so to the sender.
func (t *turn) sendPromise(m PrepareMsg) {
	if m.Silent {
		t.agreeToStandby(m.Below - 1)
	}
	t.declareNoStandbyBelow(m.Below)
	if t.cfg.flaw != flawBreakPromise {
		t.promisedBelow = max(t.promisedBelow, m.Below)
		t.enforcePromise()
	}
	t.emit(SendCmd{To: m.From, Msg: PromiseMsg{
		From: t.cfg.Self, Below: m.Below, LeasesOver: t.ownLeasesOver(), NoStandbyEpoch: t.noStandbyEpoch,
		StandbyAgreed: m.Silent && t.agreedEpoch+1 == m.Below, Incarnation: t.startedAt.UnixNano(),
	}})
}

func (t *turn) enforcePromise() {
	if t.epoch != 0 && t.epoch < t.promisedBelow {
		t.stepDown("fenced", "another VM asked this one to stop")
	}
	if t.deputy.state != deputyOff && t.deputy.epoch < t.promisedBelow {
		t.endDeputy()
	}
}

// ownLeasesOver reports that no lease of an order of this VM can still run.
// Orders of an earlier process of this VM were sent before this one started.
func (t *turn) ownLeasesOver() bool {
	maxLease := t.cfg.Times.MaxRemaining()
	return !t.now.Before(t.srv.newestGrant.Expiry(t.cfg.Times)) && !t.now.Before(t.startedAt.Add(maxLease))
}

// onPromise handles a promise.
func (t *turn) onPromise(m PromiseMsg) {
	t.noteEnd(endNotice{vm: m.From, belowEpoch: m.Below, leasesOver: m.LeasesOver, noStandbyEpoch: m.NoStandbyEpoch})
	t.onStandbyAgreement(m)
	t.onUnknownEpoch(m)
	if m.Leave && m.From == t.deputy.holder && t.deputy.state != deputyOff && m.Below == t.deputy.epoch+1 {
		t.deputy.takeOver = true
		t.storeRetryAt = t.now
	}
}
