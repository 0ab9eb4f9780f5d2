package poison

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// aliveMargin is the least time from the opening of a connection to the sending of an attempt,
// and from the end of the attempt to a request on that connection, whose answer withdraws
// the crash. Reports age on their way to the leader, where all of these look younger.
const aliveMargin = 2 * time.Second

// Life is a time during which one process of a server is known to have run: from the
// opening of a connection to it until a request was sent on that connection, which it
// answered. The process that answers on a connection is the one that accepted it.
type Life struct{ From, Until time.Time }

// life returns the life that a report of an answer shows; the zero Life, which withdraws
// nothing, if its VM does not state the age of the connection.
func (r Report) life(now time.Time) Life {
	if r.Opened <= 0 {
		return Life{}
	}
	return Life{From: now.Add(-r.Opened), Until: now.Add(-r.Alive)}
}

// includes reports whether the attempt that ended with a crash was sent and ended within the
// life, by aliveMargin at both ends. The process may have ended at any time in between.
func (l Life) includes(crash Crash) bool {
	return crash.SentAt.Sub(l.From) >= aliveMargin && l.Until.Sub(crash.At) >= aliveMargin
}

// proof is an answer that disproved a crash, to be reported to the leader.
type proof struct {
	fingerprint Fingerprint // of one of the cases with the crash
	crashAt     time.Time
	life        Life
}

// report returns the proof in the form for the leader.
func (p proof) report(now time.Time, s ident.Server) Report {
	return Report{
		Fingerprint: p.fingerprint, Server: s, Age: now.Sub(p.crashAt), sentAt: p.life.Until,
		Alive: max(now.Sub(p.life.Until), 1), Opened: max(now.Sub(p.life.From), 1),
	}
}

// disprovedBy reports whether a process of a server outlived the crash, so that it was
// none: at any time a server has one process.
func (crash Crash) disprovedBy(l Life, s ident.Server) bool {
	return crash.Process.Server == s && !crash.Confirmed && l.includes(crash)
}

// ServerAnswered records that a process of a server ran during a time, because it answered.
// It withdraws the unconfirmed crashes of that server that were on record at the last
// Reconcile and lie in that time, and reports whether there were any.
func (t *Table) ServerAnswered(l Life, s ident.Server) bool {
	bounds, accused := t.accused[s]
	if !accused || !l.includes(bounds) {
		return false
	}
	delete(t.accused, s)
	found := false
	for fp, c := range t.cases {
		t.drop(l.Until, c, func(crash Crash) bool {
			if !crash.disprovedBy(l, s) {
				return false
			}
			t.noteProof(proof{fingerprint: fp, crashAt: crash.At, life: l}, s)
			found = true
			return true
		})
	}
	return found
}

// noteProof keeps a proof for the leader, with the earliest crash that was withdrawn and not
// reported.
func (t *Table) noteProof(p proof, s ident.Server) {
	if last, ok := t.proofs[s]; ok && last.crashAt.Before(p.crashAt) {
		p.fingerprint, p.crashAt = last.fingerprint, last.crashAt
	}
	t.proofs[s] = p
}

// addProof applies the proof with which another VM withdrew a crash at crashAt. A case that
// keeps the crash in spite of it is shared again. VMs of an earlier version withdraw crashes
// by answers that prove nothing here, and would do so again.
func (t *Table) addProof(l Life, crashAt time.Time, s ident.Server) {
	if l == (Life{}) {
		return
	}
	for _, c := range t.cases {
		dropped := t.drop(l.Until, c, func(crash Crash) bool { return crash.disprovedBy(l, s) })
		if !dropped && c.crashedSince(crashAt.Add(-aliveMargin), s) {
			t.markChanged(c)
		}
	}
}

// crashedSince reports whether a process of a server crashed under the request after a time.
func (c *Case) crashedSince(at time.Time, s ident.Server) bool {
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return crash.Process.Server == s && crash.At.After(at) })
}

// accuse lists the servers of a case's unconfirmed crashes for ServerAnswered, each with the
// last time of sending and the first end of an attempt: a life that does not include these
// includes no crash.
func (t *Table) accuse(c *Case) {
	for _, crash := range c.Crashes {
		s := crash.Process.Server
		if crash.Confirmed {
			continue
		}
		bounds, known := t.accused[s]
		if !known || crash.At.Before(bounds.At) {
			bounds.At = crash.At
		}
		if crash.SentAt.After(bounds.SentAt) {
			bounds.SentAt = crash.SentAt
		}
		t.accused[s] = bounds
	}
}

// forgetOldProofs forgets the proofs of crashes that no leader remembers.
func (t *Table) forgetOldProofs(now time.Time) {
	for s, p := range t.proofs {
		if now.Sub(p.life.Until) >= retention {
			delete(t.proofs, s)
		}
	}
}

// markProofReported records that a leader has received the report of a proof, unless there
// is a later proof by now.
func (t *Table) markProofReported(r Report) {
	if p, ok := t.proofs[r.Server]; ok && p.life.Until.Equal(r.sentAt) {
		delete(t.proofs, r.Server)
	}
}

// Accused reports whether a server had an unconfirmed crash at the last Reconcile.
func (t *Table) Accused(s ident.Server) bool {
	_, accused := t.accused[s]
	return accused
}
