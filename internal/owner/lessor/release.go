package lessor

import "time"

// The two ways in which a key may leave its server (rule 5). Each waits for
// everything that could still let the server serve the key: the leases that
// orders gave, and the members that could send more orders.

// allLeasesOver reports way (b): no lease for the server can still run,
// whatever the server does. This needs no contact with the server.
func (t *turn) allLeasesOver() bool {
	switch {
	case t.serverGone():
		return true
	case t.cfg.flaw == flawStandbyGone && t.platformGone, t.cfg.flaw == flawStandbyNoRevoke && t.standbyState == standbyActive:
		return true
	case t.cfg.flaw == flawNoWait:
		return t.lease == leaseSilent || t.lease == leaseExpired
	case !t.due(t.srv.newestGrant.Expiry(t.cfg.Times)):
		return false
	case t.cfg.flaw == flawIgnoreMembers:
		return true
	}
	ready := true
	for _, o := range t.others {
		end, known := t.memberEnd(o)
		if known && !o.leasesOver {
			known = t.due(end.Add(t.cfg.Times.MaxRemaining()))
		}
		ready = ready && known
	}
	return ready
}

// revokedKeysFreeAt reports way (a), after the server confirmed that it no
// longer serves the keys: the time from which nothing can give them back to it.
// The time is not known while an earlier holder may still act: it could grant
// the keys again from the table that it knows, and a server that checks fences
// forgets the fence when it restarts. Deputies need not be waited for: a
// renewal names the set that was revoked, and adds nothing.
//
// In the careful mode a full grant that was sent earlier can also be obeyed
// late, or twice, so its lease must have expired too.
func (t *turn) revokedKeysFreeAt() (time.Time, bool) {
	var at time.Time
	for _, o := range t.others {
		if o.Deputy || t.cfg.flaw == flawIgnoreMembers {
			continue
		}
		end, known := t.memberEnd(o)
		if !known {
			return time.Time{}, false
		}
		if !t.cfg.FenceChecks && !o.leasesOver {
			at = later(at, end.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	if !t.cfg.FenceChecks && t.cfg.flaw != flawLateGrant {
		at = later(at, t.batch.newestFullGrant.Expiry(t.cfg.Times))
	}
	return at, true
}

// memberEnd returns when another member ended: by its own promise, by the
// platform's list, or because its term has passed.
func (t *turn) memberEnd(o otherMember) (time.Time, bool) {
	if o.ended {
		return o.endedAt, true
	}
	end := t.priorTermsEnd
	if o.Epoch == t.epoch {
		end = later(t.deputyTermEnd.Add(t.cfg.Times.Margin), t.epochStartedAt)
	}
	return end, t.due(end)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
