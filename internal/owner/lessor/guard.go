package lessor

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// A take-over and the stand-bys of earlier epochs (rule 15). A holder that is
// cut off from the store can let another server stand by for its own (stand.go)
// long after somebody took the seat over, and its successor cannot see it: the
// store does not know, and the server that is asked can be granted the keys a
// moment later. The successor would renew the owner's lease meanwhile, and one
// key would have two owners.
//
// What keeps the two apart is the deputy: its holder needs its agreement, and a
// successor needs its word that it never agreed and never will. A process gives
// one of the two for an epoch, never both. The deputy itself takes over on its
// own word, so that a lost holder costs nothing more than without stand-bys;
// whoever else takes over asks it. Without its word the successor waits for the
// earlier holder's end, and lets no server have the keys before.

// claim is the deputy's own word, given before it takes over.
func (t *turn) claim() {
	if t.d.state != off && t.d.epoch == t.rec.Epoch {
		t.vouchBelow(t.d.epoch + 1)
	}
}

// vouchBelow notes that there is no stand-by under the newest epoch below one
// that we are sure of: as its holder, because we never let one have the keys and
// hold the epoch no more; as its deputy, because we did not agree. Only a
// process that the holder knows, and knew from the epoch's start, can be sure:
// one that started since may have forgotten what it agreed to.
func (t *turn) vouchBelow(e ident.Epoch) {
	if t.epoch != 0 && t.epoch < e && t.stoodAt < t.epoch {
		t.vouch = max(t.vouch, t.epoch)
	}
	if t.d.state != off && t.d.sure && t.d.epoch < e && t.agreed < t.d.epoch {
		t.vouch = max(t.vouch, t.d.epoch)
	}
}

// agree is the opposite word.
func (t *turn) agree(e ident.Epoch) {
	if t.vouch < e {
		t.agreed = max(t.agreed, e)
	}
}

// knownClean reports, before we replace the record, whether a member of an
// earlier epoch certainly has no stand-by and will have none. Whoever grants
// under an epoch has made sure of all epochs before, and tells its deputy so.
func (t *turn) knownClean(m Member) bool {
	if t.epoch != 0 && t.epoch == t.rec.Epoch && m.Epoch < t.epoch && !t.lent {
		return true
	}
	if t.d.state != off && t.d.clear && t.d.epoch == t.rec.Epoch && m.Epoch < t.d.epoch {
		return true
	}
	return t.wordIsClean(m)
}

// wordIsClean reports the same as far as it is our own word or another's.
func (t *turn) wordIsClean(m Member) bool {
	ours := m.VM == t.cfg.Self && t.first != 0 && m.Epoch >= t.first && m.Epoch > t.stoodAt
	if ours || m.Epoch == t.vouch || t.cfg.flaw == flawForget {
		return true
	}
	return slices.ContainsFunc(t.words, func(w word) bool { return w.clean != 0 && w.clean == m.Epoch })
}

// watchGuard notices that the last earlier holder that might have let a stand-by
// have the keys is known not to, or is over with all its leases.
func (t *turn) watchGuard() {
	if t.epoch == 0 || !t.lent {
		return
	}
	t.lent = t.mayBeLent()
	if !t.lent {
		t.srv.next = t.now
	}
}

func (t *turn) mayBeLent() bool {
	open := false
	for _, o := range t.others {
		if !o.Stand || o.clean {
			continue
		}
		end, known := t.endOf(o)
		if known && !o.quiet {
			known = t.due(end.Add(t.cfg.Times.MaxRemaining()))
		}
		open = open || !known
	}
	return open
}
