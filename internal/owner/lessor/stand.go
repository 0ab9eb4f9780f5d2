package lessor

import (
	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// A stand-by (rule 15). While the store is down nobody can write down a new
// owner for the keys of a lost server, so without one they are unavailable for
// the rest of the outage, ten minutes on an ordinary bad day. The holder may
// then let another server have the seat's whole set, under the seat's own
// authority, once three things are certain: that no lease of the server before
// can run any more; that nobody else can grant or renew one, since the deputy
// and all earlier members have ended; and that whoever takes the seat over will
// wait for us, since the deputy agreed (guard.go).
//
// From then on the seat does with the stand-by what it did with its own server:
// renewals, moves, and the waits of rule 5 count for it alike. When the store
// answers again, the keys are revoked and written to the server that has them.
// It is chosen from the planner's answer at that moment and no sooner, so a
// name that is agreed beforehand cannot have become a bad one.

// runStand lends the keys to a stand-by, or writes them to it.
func (t *turn) runStand() {
	if t.mayLend() {
		t.lend()
	}
	if t.stand == away {
		t.settleKeys()
	}
}

// mayLend reports whether a stand-by may have the keys now.
func (t *turn) mayLend() bool {
	if !t.stands || t.leaving || !t.reigns() || !t.isBarred() || t.owned().Empty() {
		return false
	}
	if t.lease != out && (t.cfg.flaw != flawEager || t.lease != silent) {
		return false
	}
	if t.allowed != t.epoch && t.cfg.flaw != flawAgree {
		return false
	}
	// A write that may take effect gives the keys to others.
	written := t.tabBusy && t.move != rest || t.b.doubt || t.b.hung
	plan := t.move == rest || t.b.lost && (t.move == revoking || t.move == writing)
	over := t.cfg.flaw == flawEager || t.runOut()
	return plan && !written && over && t.storeIsLost() && t.choose() != ""
}

// reigns reports whether this VM acts as the holder: it holds the seat, or it held it
// and replaces its own epoch by a later one (retake). The store can go away in the
// middle of that, and a server that is lost meanwhile needs its stand-by no less.
//
// While it is not known whether the record of the next epoch was written, it lends
// under the present one. A successor that reads the later record finds this VM named
// as a holder with a stand-by, and the deputy of that epoch, which no beat ever told
// of it, cannot vouch for the opposite: so it waits for this VM's end. Once the record
// is known to be written, the next epoch counts, with its own deputy, and the bar of
// our own former epoch guards the table for it.
func (t *turn) reigns() bool {
	switch t.auth {
	case holding:
		return true
	case taking, doubting:
		return t.epoch != 0 && t.stands
	case barring:
		return t.stands && t.storeIsLost() && t.isBarred()
	}
	return false
}

// storeIsLost reports that the store has not answered for a while, and was
// asked.
func (t *turn) storeIsLost() bool {
	return t.missed.After(t.seen) && t.now.Sub(t.seen) > storeFresh
}

// choose picks one of the servers that the planner would give the keys to. The
// name decides which, so that servers that are lost together do not all burden
// the first.
func (t *turn) choose() ident.Server {
	plan := t.lostPlan
	if t.move != rest {
		plan = t.b.moves
	}
	n := len(plan)
	if n == 0 {
		return ""
	}
	from := int(xxhash.Sum64String(string(t.cfg.Server)) % uint64(n))
	for i := range n {
		if to := plan[(from+i)%n].To; to != "" && to != t.cfg.Server && to != t.by {
			return to
		}
	}
	return ""
}

// lend makes another server the one that is granted the keys.
func (t *turn) lend() {
	to := t.choose()
	if t.move != rest {
		t.fire(moveChart, &t.move, "drop")
	}
	t.b, t.lostPlan = batch{}, nil
	t.fire(standChart, &t.stand, "lend")
	t.stoodAt = t.epoch
	if t.putting {
		t.stoodAt = max(t.stoodAt, t.put.Record.Epoch)
	}
	t.turnTo(to)
}

// turnTo starts anew with another server. The newest marks stay: no lease of
// ours, at whichever server, outlasts them.
func (t *turn) turnTo(to ident.Server) {
	t.by = to
	c := t.srv
	t.srv = contact{seq: c.seq, used: c.used, full: c.full, heard: t.now, next: t.now}
	if t.lease != none {
		t.fire(leaseChart, &t.lease, "forget")
	}
	t.do(StandbyCmd{Epoch: t.epoch, To: to})
}

// settleKeys writes the keys to the stand-by when the store is back: they have
// moved once and stay where they are warm. A stand-by that the table does not
// know any more is emptied as the planner says.
func (t *turn) settleKeys() {
	if t.auth != holding || t.lease != held || t.move != rest || len(t.queue) > 0 || !t.upToDate() {
		return
	}
	if !t.storeIsFresh() || !t.due(t.planAt) || !t.leavesAtOnce() {
		return
	}
	t.planAt = t.now.Add(askPause)
	if _, known := t.tab.Row(t.by); !known {
		t.do(PlanCmd{Server: t.cfg.Server})
		return
	}
	set := t.owned()
	t.queue = make([]table.Move, 0, len(set.Keys)+len(set.Slices))
	for _, k := range set.Keys {
		t.queue = append(t.queue, table.Move{Key: k, To: t.by})
	}
	for _, x := range set.Slices {
		t.queue = append(t.queue, table.Move{Slice: x, To: t.by})
	}
	t.acted = true
}

// leavesAtOnce reports whether keys that are revoked now could be written at once.
// A new epoch begins with a full grant, and after one revoked keys are served by
// nobody until no copy of it can be obeyed any more.
func (t *turn) leavesAtOnce() bool {
	at, known := t.clearAt()
	if !t.cfg.FenceChecks && t.cfg.flaw != flawLate {
		at = later(at, t.srv.full.Expiry(t.cfg.Times))
	}
	return known && t.due(at)
}

// comeHome ends the stand-by after the last of its keys was written to others.
func (t *turn) comeHome() {
	if t.stand != away || !t.owned().Empty() {
		return
	}
	t.fire(standChart, &t.stand, "return")
	t.stoodAt = 0
	t.turnTo("")
}

// endStand forgets the stand-by with the authority. Its lease runs out by
// itself, and whoever takes over waits for that.
func (t *turn) endStand() {
	t.stands, t.lent = false, false
	if t.stand == away {
		t.fire(standChart, &t.stand, "return")
		t.turnTo("")
	}
}

// beginStand starts an epoch.
func (t *turn) beginStand() {
	t.stands, t.allowed, t.twice = t.put.Record.Stand, 0, false
	if t.first == 0 {
		t.first = t.epoch
	}
	for i := range t.others {
		t.others[i].clean = t.others[i].clean || t.wordIsClean(t.others[i].Member)
	}
	t.lent = t.mayBeLent()
}

// onAgreed notes that our deputy agrees to a stand-by. Its process must be the
// one that we knew from the epoch's start: one before may have given its word
// for the opposite, and this one would not know.
func (t *turn) onAgreed(m PromiseMsg) {
	if !t.reigns() || !m.Agreed || m.Below != t.epoch+1 || m.From != t.rec.Deputy {
		return
	}
	if t.twice || m.Born != t.echoBorn || m.Born == 0 {
		return
	}
	t.allowed = t.epoch
}
