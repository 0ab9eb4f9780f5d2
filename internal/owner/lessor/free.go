package lessor

import "time"

// The two ways in which a key may leave its server (rule 5). Each is a wait for
// everything that could still let the server serve the key: the leases that
// orders gave, and the members that could give more orders.

// runOut reports way (b): whatever the server does, no lease for it can run any
// more. Nobody needs to reach the server for this.
func (t *turn) runOut() bool {
	switch {
	case t.lost():
		return true
	case t.cfg.flaw == flawGone && t.gone, t.cfg.flaw == flawReturn && t.stand == away:
		return true
	case t.cfg.flaw == flawWait:
		return t.lease == silent || t.lease == out
	case !t.due(t.srv.used.Expiry(t.cfg.Times)):
		return false
	case t.cfg.flaw == flawOthers:
		return true
	}
	ready := true
	for _, o := range t.others {
		end, known := t.endOf(o)
		if known && !o.quiet {
			known = t.due(end.Add(t.cfg.Times.MaxRemaining()))
		}
		ready = ready && known
	}
	return ready
}

// clearAt reports way (a), after the server confirmed that it serves the keys no
// more: from when on nothing can give them back to it. It is not known while an
// earlier holder may still act, for such a holder would grant them again from
// the table that it knows; and a checking server that restarts has forgotten
// the fence that would stop it. Deputies need not be waited for: a renewal
// names the set that was revoked, and adds nothing.
//
// In the careful mode a full grant that was sent before can also be obeyed
// late, or twice, so its lease must have run out too.
func (t *turn) clearAt() (time.Time, bool) {
	var at time.Time
	for _, o := range t.others {
		if o.Deputy || t.cfg.flaw == flawOthers {
			continue
		}
		end, known := t.endOf(o)
		if !known {
			return time.Time{}, false
		}
		if !t.cfg.FenceChecks && !o.quiet {
			at = later(at, end.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	if !t.cfg.FenceChecks && t.cfg.flaw != flawLate {
		at = later(at, t.b.full.Expiry(t.cfg.Times))
	}
	return at, true
}

// endOf returns when another member ended: by its own word, by the platform's
// list, or because its term has passed.
func (t *turn) endOf(o other) (time.Time, bool) {
	if o.done {
		return o.at, true
	}
	end := t.pastEnd
	if o.Epoch == t.epoch {
		end = later(t.told.Add(t.cfg.Times.Margin), t.wonAt)
	}
	return end, t.due(end)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
