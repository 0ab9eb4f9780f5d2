package poison

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func requestFrom(caller string) Fingerprint {
	return HeadOf("GET", "a.example", "/look/1").Fingerprint(caller, BodyOf(nil))
}

// crashAnswered lets a request crash one server for each caller, each followed by an answer
// to another caller of the same request.
func crashAnswered(tab *Table, callers ...string) (now time.Time) {
	now = t0
	for i, caller := range callers {
		tab.RecordCrash(now, requestFrom(caller), first(ident.Server("s"+strconv.Itoa(i))))
		tab.Clear(now.Add(time.Second), requestFrom("answered"))
		now = now.Add(2 * time.Second)
	}
	return now
}

// Guards against refusing harmless callers because the same request of others crashes
// servers.
func TestCallersWithoutACrashSinceTheirLastAnswerAreServed(t *testing.T) {
	tab := NewTable()
	tab.RecordCrash(t0.Add(-time.Minute), requestFrom("answered"), first("s0"))
	now := crashAnswered(tab, "a", "b", "c")
	for _, caller := range []string{"a", "b", "c"} {
		assert.Assert(t, tab.QuarantineLeft(now, requestFrom(caller)) > 9*time.Minute)
	}
	assert.Equal(t, tab.Crashes(requestFrom("a")), 3)
	for _, caller := range []string{"answered", "new"} {
		assert.Equal(t, tab.QuarantineLeft(now, requestFrom(caller)), time.Duration(0))
	}
}

// Guards against counting the crashes of a caller that was answered since.
func TestAnAnsweredCallersCrashesCountForNobody(t *testing.T) {
	tab := NewTable()
	crashAnswered(tab, "a", "b")
	tab.Clear(t0.Add(4*time.Second), requestFrom("a"))
	tab.RecordCrash(t0.Add(5*time.Second), requestFrom("c"), first("s2"))
	for _, caller := range []string{"a", "b", "c"} {
		assert.Equal(t, tab.QuarantineLeft(t0.Add(6*time.Second), requestFrom(caller)), time.Duration(0))
	}
	assert.Equal(t, tab.Crashes(requestFrom("b")), 2)
}

// Guards against a quarantine that ends early because each caller's own crashes are
// forgotten sooner.
func TestCrashesOfSeveralCallersAreKeptAsLongAsTheirQuarantine(t *testing.T) {
	tab := NewTable()
	now := crashAnswered(tab, "a", "b", "c", "d")
	later := now.Add(quarantineTimes[1] - time.Minute)
	tab.Reconcile(later, livenessFrom(nil))
	assert.Assert(t, tab.QuarantineLeft(later, requestFrom("a")) > 0)
	tab.Reconcile(now.Add(quarantineTimes[1]+retention), livenessFrom(nil))
	assert.Equal(t, tab.Len(), 0)
	assert.Equal(t, len(tab.callers), 0)
}

// Guards against a quarantine of several callers that a restart ends and no operator can.
func TestTheQuarantineOfSeveralCallersIsSavedAndLifted(t *testing.T) {
	tab := NewTable()
	now := crashAnswered(tab, "a", "b", "c")
	next := NewTable()
	next.Merge(now, tab.Quarantine(now))
	assert.Equal(t, next.QuarantineLeft(now, requestFrom("b")), tab.QuarantineLeft(now, requestFrom("b")))
	assert.Assert(t, next.QuarantineLeft(now, requestFrom("b")) > 0)
	printed := requestFrom("c").Common()
	assert.Assert(t, tab.QuarantineLeft(now, printed) > 0)
	assert.Equal(t, tab.Crashes(printed), 3)
	tab.Release(now, printed)
	assert.Equal(t, len(tab.Quarantine(now)), 0)
}

// Guards against freeing a crashing request because one that many callers repeat was on
// record for all of its crashes and more.
func TestARequestOfManyCallersDoesNotFreeACrashingOne(t *testing.T) {
	tab := NewTable()
	now := crashAnswered(tab, "a", "b", "c", "d", "e")
	for i := range 4 {
		tab.RecordCrash(now, other, first(ident.Server("s"+strconv.Itoa(i))))
	}
	assert.Assert(t, tab.QuarantineLeft(now, other) > 0)
}

// Guards against refusing the callers of a popular request that ran beside a crashing one.
func TestAPopularRequestIsFreeBesideACrashingOne(t *testing.T) {
	tab := NewTable()
	now := crashAnswered(tab, "a", "b", "c", "d", "e", "f")
	for i := range 6 {
		tab.RecordCrash(now, other, first(ident.Server("s"+strconv.Itoa(i))))
	}
	assert.Equal(t, tab.QuarantineLeft(now, requestFrom("a")), time.Duration(0))
	assert.Equal(t, tab.QuarantineLeft(now, other), quarantineTimes[2])
}

// Guards against refusing several callers of a popular request because a rack with the
// servers that ran it was lost.
func TestServersThatAreLostTogetherCountOnceForSeveralCallers(t *testing.T) {
	tab := NewTable()
	for i, caller := range []string{"a", "b", "c", "d"} {
		tab.RecordCrash(t0.Add(time.Duration(i)*simultaneousTime/8), requestFrom(caller), first(ident.Server("s"+strconv.Itoa(i))))
	}
	tab.Clear(t0.Add(simultaneousTime), requestFrom("answered"))
	for _, caller := range []string{"a", "b", "c", "d"} {
		assert.Equal(t, tab.QuarantineLeft(t0.Add(simultaneousTime), requestFrom(caller)), time.Duration(0))
	}
}

// Guards against refusing a popular request for ten minutes because a rack with the servers of several callers is lost.
func TestARequestOfServersThatAreLostTogetherIsTriedSoon(t *testing.T) {
	tab := NewTable()
	for i, caller := range []string{"a", "b", "c"} {
		tab.RecordCrash(t0.Add(time.Duration(i)*simultaneousTime/8), requestFrom(caller), first(ident.Server("s"+caller)))
	}
	left := tab.QuarantineLeft(t0.Add(simultaneousTime+tieWait), requestFrom("new"))
	assert.Assert(t, left <= trialRetryAfter, "refused for %v", left)
}
