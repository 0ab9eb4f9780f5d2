package poison

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// candidate is a request for which VMs have asked for trials.
type candidate struct {
	fp        Fingerprint // as last asked for
	askedAt   time.Time
	grantedAt time.Time
	grantedTo ident.VM
	// othersAskedAt is when a VM other than grantedTo asked last.
	othersAskedAt time.Time
}

// trialGranter is the part of a table that grants trials while its VM leads. It is the half
// open state of a circuit breaker that all VMs share: one attempt at a time, of one of the
// requests that may have caused the same crash.
type trialGranter struct {
	from       time.Time // grants of earlier leaders have ended by then; zero if the VM does not lead
	running    []runningTrial
	candidates map[Fingerprint]*candidate // by what all attempts have in common
}

// BeginTerm records that this VM begins to lead. It grants trials only once those that the
// previous leader granted must have ended.
func (t *Table) BeginTerm(now time.Time) { t.granter = trialGranter{from: now.Add(maxTrialTime)} }

// EndTerm records that this VM does not lead.
func (t *Table) EndTerm() { t.granter = trialGranter{} }

// GrantTrials handles what a VM tells the leader about trials, and returns the grants for
// this VM.
func (t *Table) GrantTrials(now time.Time, vm ident.VM, all []TrialAsk) []TrialGrant {
	t.endTrials(now)
	for _, a := range all {
		if a.Unused {
			t.unusedTrial(vm, a.Fingerprint)
		}
	}
	var grants []TrialGrant
	for _, a := range all {
		if a.Unused || !t.trialDue(now, a.Fingerprint) {
			continue
		}
		t.noteAsk(now, vm, a.Fingerprint)
		if t.mayGrant(now, vm, a.Fingerprint) {
			grants = append(grants, t.grant(now, vm, a.Fingerprint))
		}
	}
	return grants
}

// endTrials forgets the trials that have ended and candidates that nobody asks for.
func (t *Table) endTrials(now time.Time) {
	running := t.granter.running[:0]
	for _, r := range t.granter.running {
		if now.Before(r.start.Add(maxTrialTime)) && !t.resolved(r) {
			running = append(running, r)
		}
	}
	t.granter.running = running
	for fp, c := range t.granter.candidates {
		if now.Sub(c.askedAt) > retention {
			delete(t.granter.candidates, fp)
		}
	}
}

// resolved reports whether a trial ended with an answer or a crash. An answer to another
// caller's request, which only clears the case of any caller, does not count.
func (t *Table) resolved(r runningTrial) bool {
	all := t.casesOf(r.fp)
	if len(all) == 0 {
		return false
	}
	return !all[0].cleared.Before(r.start) || !all[0].lastCrash().Before(r.start)
}

// unusedTrial ends the trial for which a VM had no attempt. It does not count.
func (t *Table) unusedTrial(vm ident.VM, fp Fingerprint) {
	for i, r := range t.granter.running {
		if r.vm != vm || trialKey(r.fp) != trialKey(fp) {
			continue
		}
		t.granter.running = append(t.granter.running[:i], t.granter.running[i+1:]...)
		for _, c := range t.casesOf(r.fp) {
			c.trials = max(c.trials-1, 0)
			t.markChanged(c)
		}
		return
	}
}

// noteAsk records that a VM wants a trial of a request.
func (t *Table) noteAsk(now time.Time, vm ident.VM, fp Fingerprint) {
	if t.granter.candidates == nil {
		t.granter.candidates = map[Fingerprint]*candidate{}
	}
	c := t.granter.candidates[fp.Common()]
	if c == nil {
		c = &candidate{}
		t.granter.candidates[fp.Common()] = c
	}
	c.fp, c.askedAt = fp, now
	if vm != c.grantedTo {
		c.othersAskedAt = now
	}
}

// mayGrant reports whether a VM may try a request now. Trials rotate among the requests
// that share crashes, and among the VMs that ask for the same one.
func (t *Table) mayGrant(now time.Time, vm ident.VM, fp Fingerprint) bool {
	if t.granter.from.IsZero() || now.Before(t.granter.from) {
		return false
	}
	for _, r := range t.granter.running {
		if t.rivals(r.fp, fp) {
			return false
		}
	}
	own := t.granter.candidates[fp.Common()]
	if vm == own.grantedTo && isRecent(now, own.othersAskedAt) {
		return false
	}
	for _, c := range t.granter.candidates {
		waitsLonger := isRecent(now, c.askedAt) && c.grantedAt.Before(own.grantedAt)
		if waitsLonger && t.rivals(c.fp, fp) && t.trialDue(now, c.fp) {
			return false
		}
	}
	return true
}

func isRecent(now, asked time.Time) bool { return now.Sub(asked) <= askLifetime }

// grant grants a VM the trial of a request.
func (t *Table) grant(now time.Time, vm ident.VM, fp Fingerprint) TrialGrant {
	own := t.granter.candidates[fp.Common()]
	own.grantedAt, own.grantedTo, own.othersAskedAt = now, vm, time.Time{}
	t.granter.running = append(t.granter.running, runningTrial{fp: fp, vm: vm, start: now})
	for _, c := range t.casesOf(fp) {
		c.trials, c.triedAt = c.unresolvedTrials()+1, now
		t.markChanged(c)
	}
	return TrialGrant{Fingerprint: fp, StartWithin: trialStartTime}
}
