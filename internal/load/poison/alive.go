package poison

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// aliveMargin is how long after a crash a request must have been sent whose answer proves
// that the server was alive. Reports age on their way to the leader, where the proof thus
// looks younger than it is.
const aliveMargin = 2 * time.Second

// proof is an answer that disproved a crash, to be reported to the leader.
type proof struct {
	fingerprint     Fingerprint // of one of the cases with the crash
	crashAt, sentAt time.Time
}

// report returns the proof in the form for the leader.
func (p proof) report(now time.Time, s ident.Server) Report {
	alive := max(now.Sub(p.sentAt), 1)
	return Report{Fingerprint: p.fingerprint, Server: s, Age: now.Sub(p.crashAt), Alive: alive, sentAt: p.sentAt}
}

// disprovedBy reports whether the answer of a server to a request sent at sentAt proves that
// the server had not ended. No other process ever has the server's id.
func (crash Crash) disprovedBy(sentAt time.Time, s ident.Server) bool {
	return crash.Server == s && !crash.Confirmed && sentAt.Sub(crash.At) >= aliveMargin
}

// ServerAnswered records that a server has answered a request that was sent to it at sentAt,
// whatever its answer was. It withdraws the unconfirmed crashes of that server that were on
// record at the last Reconcile and happened before sentAt, and reports whether there were any.
func (t *Table) ServerAnswered(sentAt time.Time, s ident.Server) bool {
	at, accused := t.accused[s]
	if !accused || sentAt.Sub(at) < aliveMargin {
		return false
	}
	delete(t.accused, s)
	found := false
	for fp, c := range t.cases {
		t.drop(sentAt, c, func(crash Crash) bool {
			if !crash.disprovedBy(sentAt, s) {
				return false
			}
			t.proofs[s], found = proof{fingerprint: fp, crashAt: crash.At, sentAt: sentAt}, true
			return true
		})
	}
	return found
}

// addProof applies the proof of another VM. A case that keeps its crash in spite of it is
// shared again, because that VM has withdrawn the crash.
func (t *Table) addProof(sentAt time.Time, s ident.Server) {
	for _, c := range t.cases {
		dropped := t.drop(sentAt, c, func(crash Crash) bool { return crash.disprovedBy(sentAt, s) })
		if !dropped && c.has(s) {
			t.markChanged(c)
		}
	}
}

// accuse lists the servers of a case's unconfirmed crashes for ServerAnswered, each with the
// time of its first one.
func (t *Table) accuse(c *Case) {
	for _, crash := range c.Crashes {
		at, known := t.accused[crash.Server]
		if !crash.Confirmed && (!known || crash.At.Before(at)) {
			t.accused[crash.Server] = crash.At
		}
	}
}

// forgetOldProofs forgets the proofs of crashes that no leader remembers.
func (t *Table) forgetOldProofs(now time.Time) {
	for s, p := range t.proofs {
		if now.Sub(p.sentAt) >= retention {
			delete(t.proofs, s)
		}
	}
}

// markProofReported records that a leader has received the report of a proof, unless there
// is a later proof by now.
func (t *Table) markProofReported(r Report) {
	if p, ok := t.proofs[r.Server]; ok && p.sentAt.Equal(r.sentAt) {
		delete(t.proofs, r.Server)
	}
}

// Accused reports whether a server had an unconfirmed crash at the last Reconcile.
func (t *Table) Accused(s ident.Server) bool {
	_, accused := t.accused[s]
	return accused
}
