package poison

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// tieWait is the time from the last crash of a tie to the first trial. By then all VMs
	// have reported what ran on the server.
	tieWait = 2 * time.Second
	// trialRetryAfter is how long the caller of a request that waits for a trial should
	// wait, at least, before it sends the request again.
	trialRetryAfter = time.Second
	// trialStartTime is how long a VM may wait for the attempt that a grant allows, and
	// trialRunTime how long that attempt may take.
	trialStartTime = 4 * time.Second
	trialRunTime   = 4 * time.Second
	// maxTrialTime is the time after which a grant has ended whatever its VM did.
	maxTrialTime = trialStartTime + trialRunTime
	// maxUnresolvedTrials is the number of trials, ended by neither an answer nor a crash,
	// after which a request waits for its full quarantine again.
	maxUnresolvedTrials = 2
	// askLifetime is how long a VM that asked for a trial is taken to want one.
	askLifetime = 5 * time.Second
)

// TrialAsk is what a VM tells the leader about trials of a request: that it refused the
// request although a trial is due or, if Unused, that it had no attempt for its grant.
type TrialAsk struct {
	Fingerprint Fingerprint `json:"print"`
	Unused      bool        `json:"unused,omitempty"`
}

// TrialGrant allows its receiver a single attempt of a quarantined request, to be sent
// within a time that counts from when the receiver asked.
type TrialGrant struct {
	Fingerprint Fingerprint   `json:"print"`
	StartWithin time.Duration `json:"within"`
}

// heldGrant is a grant on the VM that received it.
type heldGrant struct {
	from, until time.Time
	used        bool
}

// trialClient is the part of a table that asks for trials and holds this VM's grants.
type trialClient struct {
	wanted map[Fingerprint]bool       // refused since the last poll although a trial is due
	held   map[Fingerprint]*heldGrant // by trialKey
	unused map[Fingerprint]bool       // grants that ended without an attempt since the last poll
}

// trialKey returns the fingerprint under which a grant is held. The attempt that uses it may
// have another query than the one for which it was granted.
func trialKey(fp Fingerprint) Fingerprint { return fp.AnyQuery() }

// mayStart reports whether a request may use a grant now. A crash after the grant voids it.
func (tc *trialClient) mayStart(now time.Time, c *Case, fp Fingerprint) bool {
	g := tc.held[trialKey(fp)]
	return g != nil && !g.used && now.Before(g.until) && !c.lastCrash().After(g.from)
}

// ask records that a trial of a request is wanted here.
func (tc *trialClient) ask(fp Fingerprint) {
	if tc.wanted == nil {
		tc.wanted = map[Fingerprint]bool{}
	}
	if len(tc.wanted) < maxReports {
		tc.wanted[fp] = true
	}
}

// take returns the asks for the next poll and forgets them: a request that comes again
// asks again.
func (tc *trialClient) take(now time.Time) []TrialAsk {
	for fp, g := range tc.held {
		if now.Before(g.until) {
			continue
		}
		if !g.used {
			tc.noteUnused(fp)
		}
		delete(tc.held, fp)
	}
	var all []TrialAsk
	for fp := range tc.unused {
		all = append(all, TrialAsk{Fingerprint: fp, Unused: true})
	}
	for fp := range tc.wanted {
		if tc.held[trialKey(fp)] == nil {
			all = append(all, TrialAsk{Fingerprint: fp})
		}
	}
	tc.wanted, tc.unused = nil, nil
	return all
}

func (tc *trialClient) noteUnused(fp Fingerprint) {
	if tc.unused == nil {
		tc.unused = map[Fingerprint]bool{}
	}
	tc.unused[fp] = true
}

// RestoreTrialAsks takes back what a failed poll did not bring to the leader.
func (t *Table) RestoreTrialAsks(all []TrialAsk) {
	for _, a := range all {
		if a.Unused {
			t.client.noteUnused(a.Fingerprint)
			continue
		}
		t.client.ask(a.Fingerprint)
	}
}

// AskTrial notes that a request was refused here, if a trial of it is due.
func (t *Table) AskTrial(now time.Time, fp Fingerprint) {
	if t.trialDue(now, fp) {
		t.client.ask(fp)
	}
}

// TrialAsks takes what this VM has to tell the leader about trials.
func (t *Table) TrialAsks(now time.Time) []TrialAsk { return t.client.take(now) }

// ApplyGrants holds the grants that the leader gave to this VM, which asked at a time.
func (t *Table) ApplyGrants(asked time.Time, all []TrialGrant) {
	for _, g := range all {
		if t.client.held == nil {
			t.client.held = map[Fingerprint]*heldGrant{}
		}
		t.client.held[trialKey(g.Fingerprint)] = &heldGrant{from: asked, until: asked.Add(min(g.StartWithin, trialStartTime))}
	}
}

// Trial is an attempt that used up a grant; nil for one that needed none.
type Trial struct{ grant *heldGrant }

// StartAttempt must be called just before a request is sent. It returns how much longer the
// request must not be sent; zero if it may. If that is so by a grant, it uses up the grant.
func (t *Table) StartAttempt(now time.Time, fp Fingerprint) (left time.Duration, trial *Trial) {
	if left = t.QuarantineLeft(now, fp); left > 0 {
		return left, nil
	}
	if !t.Blocked(now, fp) {
		return 0, nil
	}
	g := t.client.held[trialKey(fp)]
	g.used = true
	return 0, &Trial{g}
}

// ReturnTrial gives back the grant of an attempt that was not sent.
func (t *Table) ReturnTrial(trial *Trial) { trial.grant.used = false }

// Blocked reports whether a request may run only as a trial.
func (t *Table) Blocked(now time.Time, fp Fingerprint) bool {
	return slices.ContainsFunc(t.judged(fp), func(c *Case) bool { return t.caseBlocked(now, c) })
}

// trialDue reports whether a request is blocked and all that keeps it from running is that
// no trial is granted.
func (t *Table) trialDue(now time.Time, fp Fingerprint) bool {
	for _, c := range t.judged(fp) {
		if t.caseBlocked(now, c) && t.quarantineEnd(c).After(now) {
			return false
		}
	}
	return t.Blocked(now, fp)
}

// caseBlocked reports whether the requests of a case may run only as trials.
func (t *Table) caseBlocked(now time.Time, c *Case) bool {
	return !t.quarantineEnd(c).IsZero() && now.Before(c.forgetAt())
}

// lastCrash returns the time of the last crash, zero if there is none.
func (c *Case) lastCrash() time.Time {
	if n := len(c.Crashes); n > 0 {
		return c.Crashes[n-1].At
	}
	return time.Time{}
}

// unresolvedTrials returns the number of trials since the last crash or answer.
func (c *Case) unresolvedTrials() int {
	if !c.lastCrash().Before(c.triedAt) || !c.cleared.Before(c.triedAt) {
		return 0
	}
	return c.trials
}

// sharesCrash reports whether a process crashed under both requests.
func (c *Case) sharesCrash(other *Case) bool {
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return other.has(crash.Process) })
}

// rivals reports whether two fingerprints are of the same request, or of requests that
// share a crash, so that their trials must not overlap.
func (t *Table) rivals(a, b Fingerprint) bool {
	if a.Common() == b.Common() {
		return true
	}
	return slices.ContainsFunc(t.casesOf(a), func(c *Case) bool {
		return slices.ContainsFunc(t.casesOf(b), c.sharesCrash)
	})
}

// runningTrial is a grant on the leader that gave it.
type runningTrial struct {
	fp    Fingerprint
	vm    ident.VM
	start time.Time
}
