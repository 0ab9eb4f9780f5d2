package lessor

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Taking over while a standby of an earlier epoch may exist (rule 15). A holder
// that is cut off from the store can grant its server's keys to a standby
// (standby.go) long after another VM took over, and its successor cannot see
// that: the store does not know, and a server that reports no lease can be
// granted the keys a moment later. If the successor renewed the owner's lease
// meanwhile, one key would have two owners.
//
// The deputy prevents this: a holder needs its agreement to a standby, and a
// successor needs its declaration that it never agreed and never will. A
// process gives one of the two for an epoch, never both. A deputy that takes
// over relies on its own declaration, so a lost holder costs no more than
// without standbys; any other VM that takes over asks the deputy. Without the
// declaration the successor waits for the earlier holder's end, and grants the
// keys to no server before.

// declareNoStandby makes the deputy's declaration, before it takes over itself.
func (t *turn) declareNoStandby() {
	if t.deputy.state != deputyOff && t.deputy.epoch == t.record.Epoch {
		t.declareNoStandbyBelow(t.deputy.epoch + 1)
	}
}

// declareNoStandbyBelow declares that there is no standby under the newest
// epoch below e for which this VM is sure. A holder is sure if it granted to no
// standby and gives the epoch up; a deputy is sure if it did not agree to one.
// As deputy, only a process that the holder has known since the epoch began can
// be sure: one that started later may have forgotten what it agreed to.
func (t *turn) declareNoStandbyBelow(e ident.Epoch) {
	if t.epoch != 0 && t.epoch < e && t.lastStandbyEpoch < t.epoch {
		t.noStandbyEpoch = max(t.noStandbyEpoch, t.epoch)
	}
	if t.deputy.state != deputyOff && t.deputy.clockEchoed && t.deputy.epoch < e && t.agreedEpoch < t.deputy.epoch {
		t.noStandbyEpoch = max(t.noStandbyEpoch, t.deputy.epoch)
	}
}

// agreeToStandby agrees to a standby under epoch e, unless this VM has declared
// that there is none.
func (t *turn) agreeToStandby(e ident.Epoch) {
	if t.noStandbyEpoch < e {
		t.agreedEpoch = max(t.agreedEpoch, e)
	}
}

// knownNoStandby reports, before we replace the record, whether a member of an
// earlier epoch certainly has no standby and will have none. Any VM that grants
// under an epoch has made sure of all earlier epochs, and tells its deputy so.
func (t *turn) knownNoStandby(m Member) bool {
	if t.epoch != 0 && t.epoch == t.record.Epoch && m.Epoch < t.epoch && !t.earlierStandby {
		return true
	}
	if t.deputy.state != deputyOff && t.deputy.noEarlierStandby && t.deputy.epoch == t.record.Epoch && m.Epoch < t.deputy.epoch {
		return true
	}
	return t.declaredNoStandby(m)
}

// declaredNoStandby reports the same from this VM's own declaration or that of
// another member.
func (t *turn) declaredNoStandby(m Member) bool {
	ours := m.VM == t.cfg.Self && t.firstEpoch != 0 && m.Epoch >= t.firstEpoch && m.Epoch > t.lastStandbyEpoch
	if ours || m.Epoch == t.noStandbyEpoch || t.cfg.flaw == flawIgnoreStandby {
		return true
	}
	return slices.ContainsFunc(t.endNotices, func(n endNotice) bool { return n.noStandbyEpoch != 0 && n.noStandbyEpoch == m.Epoch })
}

// checkEarlierStandbys clears earlierStandby once every earlier holder that
// might have a standby is known to have none, or has ended together with all
// its leases.
func (t *turn) checkEarlierStandbys() {
	if t.epoch == 0 || !t.earlierStandby {
		return
	}
	t.earlierStandby = t.earlierStandbyPossible()
	if !t.earlierStandby {
		t.srv.sendAt = t.now
	}
}

func (t *turn) earlierStandbyPossible() bool {
	possible := false
	for _, o := range t.others {
		if !o.Standby || o.noStandby {
			continue
		}
		end, known := t.memberEnd(o)
		if known && !o.leasesOver {
			known = t.due(end.Add(t.cfg.Times.MaxRemaining()))
		}
		possible = possible || !known
	}
	return possible
}
