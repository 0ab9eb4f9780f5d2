package poison

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// askAndStart asks a table whose VM leads for a trial of a request, and reports whether an
// attempt may then be sent.
func askAndStart(tab *Table, now time.Time, fp Fingerprint) bool {
	tab.AskTrial(now, fp)
	tab.ApplyGrants(now, tab.GrantTrials(now, "vm-1", tab.TrialAsks(now)))
	left, _ := tab.StartAttempt(now, fp)
	return left == 0
}

// newTie returns the table of a leader in which two requests share three crashes, and the
// time from which they may be tried.
func newTie() (*Table, time.Time) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, crashing, first(s))
		tab.RecordCrash(t0, other, first(s))
	}
	tab.BeginTerm(t0.Add(-maxTrialTime))
	return tab, t0.Add(tieWait)
}

func ask(fp Fingerprint) []TrialAsk { return []TrialAsk{{Fingerprint: fp}} }

// Guards against many VMs that try a crashing request at once when its quarantine ends.
func TestOneVMTriesARequestWhenItsQuarantineEnds(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	for i := range CrashThreshold {
		f.attempt(i)
		f.advance(attemptInterval)
	}
	f.advance(quarantineTimes[0] - attemptInterval - time.Second)
	assert.Equal(t, f.crashes, CrashThreshold)
	for range 30 {
		f.attemptAtOnce([]int{0, 1, 2, 3, 4, 5, 6, 7, 8})
		f.advance(time.Second)
	}
	assert.Equal(t, f.crashes, CrashThreshold+1)
	assert.Equal(t, len(f.runs), CrashThreshold+1, "one VM sent it")
}

// Guards against refusing a harmless request for good because it is in flight beside a
// crashing one at each crash.
func TestTheNeighbourOfACrashingRequestIsServedAgain(t *testing.T) {
	const total = 76
	f, served := newFleet(870*time.Millisecond), 0
	ownerFrom := f.now
	for i := range total {
		vm := i % 4
		if !f.now.Before(ownerFrom) {
			before := f.crashes
			besideRan := f.mayPass(vm, "/beside")
			if f.attempt(vm); f.crashes > before {
				ownerFrom = f.now.Add(attemptInterval)
				if besideRan {
					f.vms[vm].RecordCrash(f.now, f.fingerprint(vm, "/beside"), first(f.lastServer()))
				}
			} else if besideRan {
				served++
				f.vms[vm].Clear(f.now, f.fingerprint(vm, "/beside"))
			}
		}
		f.advance(pollTime)
	}
	t.Logf("%d of %d served, %d servers crashed, %d sends late", served, total, f.crashes, f.lateRuns())
	f.check(t)
	assert.Assert(t, f.crashes <= CrashThreshold+1, f.history.String())
	assert.Assert(t, served > 0, f.history.String())
	assert.Assert(t, f.mayPass(0, "/beside"), "it stays free")
}

// Guards against two trials at once after a change of leader, and against trials without a
// leader.
func TestANewLeaderWaitsForTheGrantsOfThePreviousOne(t *testing.T) {
	tab, due := newTie()
	assert.Equal(t, len(tab.GrantTrials(due, "vm-1", ask(crashing))), 1)
	tab.BeginTerm(due)
	assert.Equal(t, len(tab.GrantTrials(due.Add(maxTrialTime-1), "vm-2", ask(other))), 0)
	assert.Equal(t, len(tab.GrantTrials(due.Add(maxTrialTime), "vm-2", ask(other))), 1)
	tab.EndTerm()
	assert.Equal(t, len(tab.GrantTrials(due.Add(time.Minute), "vm-2", ask(other))), 0)
}

// Guards against a trial that is lost because its attempt found no server, and against one
// that lasts although its VM had no attempt.
func TestATrialThatWasNotSentIsNotLost(t *testing.T) {
	tab, due := newTie()
	vm := NewTable()
	vm.ApplyVerdicts(due, "L1", tab.ChangesSince(due, 0))
	vm.AskTrial(due, other)
	vm.ApplyGrants(due, tab.GrantTrials(due, "vm-2", vm.TrialAsks(due)))
	_, trial := vm.StartAttempt(due, other)
	assert.Assert(t, trial != nil)
	vm.ReturnTrial(trial)
	assert.Equal(t, vm.QuarantineLeft(due.Add(trialStartTime-1), other), time.Duration(0))
	end := due.Add(trialStartTime)
	assert.Equal(t, vm.QuarantineLeft(end, other), trialRetryAfter)
	assert.Equal(t, len(tab.GrantTrials(end, "vm-1", ask(crashing))), 0)
	assert.Equal(t, len(tab.GrantTrials(end, "vm-2", vm.TrialAsks(end))), 0)
	assert.Equal(t, len(tab.GrantTrials(end, "vm-1", ask(crashing))), 1)
	assert.Equal(t, tab.cases[other].unresolvedTrials(), 0)
}

// Guards against trying a request without end whose trials end with neither an answer nor a
// crash, also when the leader changes in between.
func TestARequestWhoseTrialsShowNothingWaitsForItsQuarantine(t *testing.T) {
	tab, now := newTie()
	assert.Assert(t, maxUnresolvedTrials < maxLateRuns, "one more may crash a server")
	for range maxUnresolvedTrials {
		assert.Equal(t, len(tab.GrantTrials(now, "vm-1", ask(crashing))), 1)
		next := NewTable()
		next.BeginTerm(now)
		now = now.Add(maxTrialTime)
		next.ApplyVerdicts(now, "L1", tab.ChangesSince(now, 0))
		tab = next
	}
	assert.Equal(t, tab.QuarantineLeft(now, crashing), quarantineTimes[0]-maxTrialTime)
	assert.Equal(t, len(tab.GrantTrials(now, "vm-1", ask(crashing))), 0)
	tab.RecordCrash(now, crashing, first("s4"))
	assert.Equal(t, tab.QuarantineLeft(now, crashing), quarantineTimes[1])
}

// Guards against trying one of two rivals, or at one of two VMs, again and again.
func TestTrialsRotateAmongRivalsAndVMs(t *testing.T) {
	tab, now := newTie()
	assert.Equal(t, len(tab.GrantTrials(now, "vm-1", ask(crashing))), 1)
	tab.GrantTrials(now, "vm-2", ask(crashing))
	tab.GrantTrials(now, "vm-1", ask(other))
	now = now.Add(maxTrialTime - time.Second)
	tab.GrantTrials(now, "vm-2", ask(crashing))
	tab.GrantTrials(now, "vm-1", ask(other))
	now = now.Add(time.Second)
	assert.Equal(t, len(tab.GrantTrials(now, "vm-2", ask(crashing))), 0, "the other request is next")
	assert.Equal(t, len(tab.GrantTrials(now, "vm-1", ask(other))), 1)
	now = now.Add(maxTrialTime - time.Second)
	tab.GrantTrials(now, "vm-2", ask(crashing))
	now = now.Add(time.Second)
	assert.Equal(t, len(tab.GrantTrials(now, "vm-1", ask(crashing))), 0, "the other VM is next")
	assert.Equal(t, len(tab.GrantTrials(now, "vm-2", ask(crashing))), 1)
}

// Guards against making the third of three rivals wait although a trial of another has
// ended.
func TestTheNextTrialFollowsAnAnswer(t *testing.T) {
	tab, due := newTie()
	third := HeadOf("GET", "a.example", "/look/3").Fingerprint("10.0.0.1", BodyOf(nil))
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, third, first(s))
	}
	assert.Equal(t, len(tab.GrantTrials(due, "vm-1", ask(other))), 1)
	assert.Equal(t, len(tab.GrantTrials(due, "vm-1", ask(third))), 0)
	tab.Clear(due.Add(time.Second), other)
	assert.Equal(t, len(tab.GrantTrials(due.Add(time.Second), "vm-1", ask(third))), 1)
}

// Guards against delaying the trial of a request for one that shares no crash with it.
func TestUnrelatedRequestsAreTriedAtOnce(t *testing.T) {
	tab, due := newTie()
	unrelated := HeadOf("GET", "a.example", "/look/3").Fingerprint("10.0.0.1", BodyOf(nil))
	for _, s := range []ident.Server{"s7", "s8", "s9"} {
		tab.RecordCrash(t0.Add(-quarantineTimes[0]), unrelated, first(s))
	}
	assert.Equal(t, len(tab.GrantTrials(due, "vm-1", append(ask(crashing), ask(unrelated)...))), 2)
}

// Guards against a request that is never tried because its query differs between attempts.
func TestAGrantAllowsAnAttemptWithAnotherQuery(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, queryFrom("a", "page="+strconv.Itoa(i)), first(s))
	}
	tab.BeginTerm(t0)
	due := t0.Add(quarantineTimes[0])
	assert.Assert(t, tab.QuarantineLeft(due, queryFrom("a", "page=8")) > 0)
	tab.AskTrial(due, queryFrom("a", "page=8"))
	tab.ApplyGrants(due, tab.GrantTrials(due, "vm-1", tab.TrialAsks(due)))
	left, trial := tab.StartAttempt(due, queryFrom("a", "page=9"))
	assert.Equal(t, left, time.Duration(0))
	assert.Assert(t, trial != nil)
	assert.Assert(t, tab.QuarantineLeft(due, queryFrom("a", "page=10")) > 0, "one attempt for a grant")
}

// Guards against VMs that forget a request, and serve it, while the leader still grants trials that nobody uses.
func TestNoVMForgetsARequestBeforeItsLeader(t *testing.T) {
	vm, leader := newFollowed(t)
	leader.BeginTerm(t0)
	end := t0.Add(2 * (quarantineTimes[0] + retention))
	for now := t0; now.Before(end); now = now.Add(time.Second) {
		assert.Assert(t, vm.Blocked(now, crashing), "free after %v", now.Sub(t0))
		if now.Sub(t0)%(30*time.Second) == 0 {
			vm.AskTrial(now, crashing)
		}
		vm.ApplyGrants(now, leader.GrantTrials(now, "vm", vm.TrialAsks(now)))
		pollOnce(now, vm, leader, "L1")
		vm.Reconcile(now, isGone)
		leader.Reconcile(now, isGone)
	}
}

// Guards against counting a trial that was never made because the poll that said so failed.
func TestAnUnusedGrantIsReportedAfterAFailedPoll(t *testing.T) {
	tab, due := newTie()
	vm := NewTable()
	vm.ApplyVerdicts(due, "L1", tab.ChangesSince(due, 0))
	vm.AskTrial(due, other)
	vm.ApplyGrants(due, tab.GrantTrials(due, "vm-2", vm.TrialAsks(due)))
	end := due.Add(trialStartTime)
	vm.RestoreTrialAsks(vm.TrialAsks(end))
	tab.GrantTrials(end, "vm-2", vm.TrialAsks(end))
	assert.Equal(t, tab.cases[other].unresolvedTrials(), 0)
	assert.Equal(t, len(vm.TrialAsks(end)), 0)
}
