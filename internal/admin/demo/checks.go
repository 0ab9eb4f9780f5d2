package demo

import (
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Time limits that the promises name.
const (
	drainGrace    = 3 * time.Second // a leaving server gets no new work after this
	rulesDeadline = 7 * time.Second // an accepted revision is in force everywhere
)

// checkResult is the result of the checks of one promise of the router.
type checkResult struct {
	promise   string
	checks    int
	failures  []string
	timeBound bool // the promise has a time limit in seconds, which a busy machine alone can exceed
}

// passed reports whether the promise was checked at least once and never broken. A
// promise that was never checked counts as not passed.
func (r *checkResult) passed() bool { return r.checks > 0 && len(r.failures) == 0 }

// check counts one check, and records a failure unless ok.
func (r *checkResult) check(ok bool, format string, args ...any) {
	r.checks++
	if !ok {
		r.failures = append(r.failures, fmt.Sprintf(format, args...))
	}
}

func allPassed(all []checkResult) bool {
	return !slices.ContainsFunc(all, func(r checkResult) bool { return !r.passed() })
}

// runChecks checks all promises. Tests refer to them by their index.
func runChecks(e *evidence) []checkResult {
	return []checkResult{
		checkOneOwner(e), checkAssignmentsSurvive(e), checkAnswersIntact(e), checkRefusedDidNotRun(e), checkAtMostOnce(e), checkDraining(e), checkShutdown(e), checkRules(e), checkStoreOutage(e), checkReport(e),
	}
}

// checkOneOwner checks that each request for a key ran on the server that the table in
// the store named as the key's owner at that time. An owner gives up a key before the
// table is changed, and the new owner is granted the key only after that. So the table
// changes between the last request on the old owner and the first on the new one.
//
// The order of moves is taken from the history of the store's table and not from the
// VMs' logs: a VM logs a move when it learns that the table has it. By then others may
// have moved the key again. If another VM has taken over its authority, it logs nothing.
func checkOneOwner(e *evidence) checkResult {
	r := checkResult{promise: "a key has at most one owner at any moment"}
	for _, s := range e.served {
		if s.Fence != (ident.Fence{}) {
			owner := e.ownerAt(s.Key, s.At)
			r.check(s.Server == owner, "%s ran %s on %s while %q owned it", s.Key, s.ID, s.Server, owner)
		}
	}
	return r
}

// checkAssignmentsSurvive checks that every acknowledged move is in the history of the
// store's table, and that no later table reverted it. A table that is based on an outdated
// one would revert moves.
func checkAssignmentsSurvive(e *evidence) checkResult {
	r := checkResult{promise: "an acknowledged assignment survives"}
	storedMoves := stepsBetween(e.tableHistory)
	for _, m := range e.moves {
		if m.Key == "" {
			r.check(storedMoves.take(m), "slice %d was given by %s to %s, and the store has no such table", m.Slice, m.PrevOwner, m.Server)
		}
	}
	for i := 1; i < len(e.tableHistory); i++ {
		older, newer := e.tableHistory[i-1].Table, e.tableHistory[i].Table
		r.check(newer.Rev > older.Rev, "table revision %d came after %d", newer.Rev, older.Rev)
		for _, row := range older.Rows {
			newRow, _ := newer.Row(row.Name)
			r.check(newRow.Rev >= row.Rev && newRow.MinEpoch >= row.MinEpoch, "revision %d was not made from %d: %s", newer.Rev, older.Rev, row.Name)
		}
	}
	r.check(len(e.tableHistory) > 0 && e.finalTable.Digest() == e.tableHistory[len(e.tableHistory)-1].Digest(), "the last table is not the last that was written")
	r.check(e.finalTable.Rev >= e.maxTableRev, "VMs worked by table revision %d, the store has %d", e.maxTableRev, e.finalTable.Rev)
	for slice := range e.finalTable.Slices() {
		owner := e.finalTable.OwnerOf(ident.Slice(slice))
		r.check(owner != e.lostServer && e.drainedAt[owner].IsZero(), "slice %d still belongs to %s", slice, owner)
	}
	return r
}

// checkAnswersIntact checks that each answer belongs to its request and is complete, by
// its text, checksum and length.
func checkAnswersIntact(e *evidence) checkResult {
	r := checkResult{promise: "a caller receives the whole answer to their own request"}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.ok() {
			r.check(a.intact, "%s got an answer that is not its own or not whole", a.id)
		}
	}
	return r
}

// checkRefusedDidNotRun checks by the servers' own records that requests which were
// answered as not run did not run. A request ID may have run at most as often as it got
// another answer, plus the router's own retries of it.
func checkRefusedDidNotRun(e *evidence) checkResult {
	r := checkResult{promise: "what is refused as not run did not run"}
	ran := runCounts(e)
	allowed, refused := map[ident.Request]int{}, map[ident.Request]int{}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.ran == kinds.RanNo {
			refused[a.id]++
		} else {
			allowed[a.id] += 1 + a.internalRetries()
		}
	}
	for id := range refused {
		r.check(ran[id] <= allowed[id], "%s ran %d times, %d answers allow it", id, ran[id], allowed[id])
	}
	return r
}

// internalRetries returns how often the router may retry the request by itself. It
// retries only idempotent requests; see the rule "lookups".
func (a *attempt) internalRetries() int {
	if a.class == classLookup {
		return 2
	}
	return 0
}

// runCounts returns how often each request ran, by the servers' own records.
func runCounts(e *evidence) map[ident.Request]int {
	n := map[ident.Request]int{}
	for _, s := range e.served {
		n[s.ID]++
	}
	return n
}

// checkAtMostOnce checks that no submission ran twice. Only submissions that were sent
// more than once count as checks.
func checkAtMostOnce(e *evidence) checkResult {
	r := checkResult{promise: "a submission runs at most once"}
	ran, sent, answered := runCounts(e), map[ident.Request]int{}, map[ident.Request]bool{}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.class == classSubmission {
			sent[a.id]++
			answered[a.id] = answered[a.id] || a.ok()
		}
	}
	for id, n := range sent {
		if n > 1 {
			r.check(ran[id] <= 1, "%s was sent %d times and ran %d times", id, n, ran[id])
		}
		if answered[id] && ran[id] != 1 {
			r.check(false, "%s was answered as done and ran %d times", id, ran[id])
		}
	}
	return r
}

// checkDraining checks that a draining server gets no new requests after drainGrace.
func checkDraining(e *evidence) checkResult {
	r := checkResult{promise: "a leaving server gets no new work after 3 s", timeBound: true}
	lateRuns, runs := map[ident.Server]int{}, map[ident.Server]int{}
	for _, s := range e.served {
		at, ok := e.drainedAt[s.Server]
		if !ok {
			continue
		}
		runs[s.Server]++
		if s.At.After(at.Add(drainGrace)) {
			lateRuns[s.Server]++
		}
	}
	end := lastServed(e)
	for name, at := range e.drainedAt {
		if runs[name] > 0 && end.Sub(at) > drainGrace {
			r.check(lateRuns[name] == 0, "%s got %d requests more than 3 s after it began to leave", name, lateRuns[name])
		}
	}
	return r
}

func lastServed(e *evidence) (end time.Time) {
	for _, s := range e.served {
		if s.At.After(end) {
			end = s.At
		}
	}
	return end
}

// checkShutdown checks that the shutdown of an entry VM broke none of the requests that
// were in flight through it.
func checkShutdown(e *evidence) checkResult {
	r := checkResult{promise: "a graceful shutdown cuts off no request"}
	for i := range e.attempts {
		a := &e.attempts[i]
		if a.vm == e.leftVM && a.start.Before(e.shutdownEnd) && a.start.Add(a.took).After(e.shutdownStart) {
			r.check(!a.connBroke, "%s was cut off", a.id)
		}
	}
	return r
}

// checkRules checks that the edit of the rules was accepted by a majority of the entry
// VMs, was in force on all of them within rulesDeadline, and was not reverted.
func checkRules(e *evidence) checkResult {
	r := checkResult{promise: "accepted rules are in force everywhere within 7 s and never revert", timeBound: true}
	for i, at := range e.ruleEdit.inForceAt {
		r.check(!at.IsZero() && at.Sub(e.ruleEdit.writtenAt) <= rulesDeadline, "entry VM %d had revision %d in force at %v", i+1, e.ruleEdit.rev, at)
	}
	r.check(e.ruleEdit.quorum.Rev >= e.ruleEdit.rev && 2*e.ruleEdit.quorum.Confirmed > e.ruleEdit.quorum.Live,
		"revision %d was called accepted when %d of %d entry VMs held it", e.ruleEdit.rev, e.ruleEdit.quorum.Confirmed, e.ruleEdit.quorum.Live)
	r.check(!e.ruleEdit.reverted, "an entry VM went back to an older revision")
	return r
}

// moveSettleTime is the time after the end of the store's outage within which moves that
// the outage interrupted are finished.
const moveSettleTime = 3 * time.Second

// checkStoreOutage checks that lookups during the store's outage succeed, because owners
// keep their leases without the store. Keys that were being moved when the outage began
// are exempt: their old owner has given them up, and whether the table was updated cannot
// be known before the store is back.
func checkStoreOutage(e *evidence) checkResult {
	r := checkResult{promise: "an outage of the store alone stops no lookup"}
	moving := map[ident.Slice]bool{}
	for _, m := range e.moves {
		if m.At.After(e.outageStart) && m.At.Before(e.outageEnd.Add(moveSettleTime)) {
			moving[m.Slice] = true
		}
	}
	for i := range e.attempts {
		a := &e.attempts[i]
		during := a.start.After(e.outageStart) && a.start.Add(a.took).Before(e.outageEnd)
		if a.class == classLookup && during && !moving[ident.SliceOf(a.key, e.finalTable.Slices())] {
			r.check(a.ok(), "%s was answered %d", a.id, a.status)
		}
	}
	return r
}

// checkReport checks that the report contains every submission that ran, with its rule
// and with the server that ran it by that server's own record.
func checkReport(e *evidence) checkResult {
	r := checkResult{promise: "the report names the server and the rule of every submission that ran"}
	reported := map[ident.Request]record.Decision{}
	for i := range e.report.Rows {
		if row := &e.report.Rows[i]; row.Action == record.Route && row.Ran == kinds.RanYes {
			reported[row.ID] = row.Decision
		}
	}
	answered := map[ident.Request]bool{}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.class == classSubmission && a.ok() {
			answered[a.id] = true
		}
	}
	for _, s := range e.served {
		if answered[s.ID] {
			decision := reported[s.ID]
			r.check(decision.Server == s.Server && decision.Rule != "", "%s ran on %s, the report says %q under rule %q", s.ID, s.Server, decision.Server, decision.Rule)
		}
	}
	r.check(len(e.report.Gaps) == 0, "the report misses something: %v", e.report.Gaps)
	return r
}
