package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// QuarantineLeft returns for how much longer a request must not be sent to any server. For
// a request that only lacks a trial, the next poll asks the leader for one.
func (q *quarantine) QuarantineLeft(p poison.Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	left := q.table.QuarantineLeft(now, p)
	if left > 0 {
		q.table.AskTrial(now, p)
	}
	return left
}

// blocks reports whether a request may run only as a trial.
func (q *quarantine) blocks(p poison.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Blocked(clock.Now(), p)
}

// StartAttempt is QuarantineLeft for a request that is about to be sent. It uses up a grant
// that allows it.
func (q *quarantine) StartAttempt(p poison.Fingerprint) (time.Duration, *poison.Trial) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	left, trial := q.table.StartAttempt(now, p)
	if trial != nil {
		q.parts.Log.Info("quarantined request is tried", "print", p.Print())
	}
	if left > 0 {
		q.table.AskTrial(now, p)
	}
	return left, trial
}

// ReturnTrial gives back the grant of an attempt that was not sent.
func (q *quarantine) ReturnTrial(trial *poison.Trial) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.ReturnTrial(trial)
}

// trialAsks takes what this VM has to tell the leader about trials.
func (q *quarantine) trialAsks() []poison.TrialAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.TrialAsks(clock.Now())
}

// restoreTrialAsks takes back what a failed poll did not bring to the leader.
func (q *quarantine) restoreTrialAsks(all []poison.TrialAsk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RestoreTrialAsks(all)
}

// applyGrants holds the grants that the leader sent in its response to a poll.
func (q *quarantine) applyGrants(asked time.Time, all []poison.TrialGrant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.ApplyGrants(asked, all)
}

// grantTrials returns the trials that another VM may make, if this VM leads.
func (q *quarantine) grantTrials(vm ident.VM, asks []poison.TrialAsk) (grants []poison.TrialGrant) {
	if len(asks) == 0 || !q.syncTerm() {
		return nil
	}
	q.update(func(now time.Time) { grants = q.table.GrantTrials(now, vm, asks) })
	q.logGrants(vm, grants)
	return grants
}

func (q *quarantine) logGrants(vm ident.VM, grants []poison.TrialGrant) {
	for _, g := range grants {
		q.parts.Log.Info("trial of a quarantined request granted", "print", g.Fingerprint.Print(), "to", vm, "within", g.StartWithin)
	}
}

// grantOwnTrials grants trials to this VM, if it leads.
func (q *quarantine) grantOwnTrials() {
	if !q.syncTerm() {
		return
	}
	asks := q.trialAsks()
	if len(asks) == 0 {
		return
	}
	lease, _ := q.parts.Hub.Lease()
	var grants []poison.TrialGrant
	q.update(func(now time.Time) {
		grants = q.table.GrantTrials(now, lease.Holder, asks)
		q.table.ApplyGrants(now, grants)
	})
	q.logGrants(lease.Holder, grants)
}

// syncTerm tells the table when a term of this VM begins or ends, and reports whether it
// leads.
func (q *quarantine) syncTerm() bool {
	lease, leads := q.parts.Hub.Lease()
	var term uint64
	if leads {
		term = lease.Epoch
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case term == q.term:
	case leads:
		q.table.BeginTerm(clock.Now())
	default:
		q.table.EndTerm()
	}
	q.term = term
	return leads
}
