package poison

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func queryFrom(caller, query string) Fingerprint {
	return HeadOf("GET", "a.example", "/look/1?"+query).Fingerprint(caller, BodyOf(nil))
}

// Guards against a crashing request that is never found because each attempt has another
// query.
func TestACrashingRequestIsStoppedAlthoughItsQueryChanges(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	for i := range 12 {
		f.path = "/crash?page=" + strconv.Itoa(i)
		f.attempt(i % fleetVMs)
		f.advance(attemptInterval)
	}
	t.Logf("%d servers crashed; sent %d times late", f.crashes, f.lateRuns())
	f.check(t)
}

// Guards against refusing other callers of a path on which one caller's requests crash
// servers.
func TestOtherCallersQueriesOnThePathAreServed(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, queryFrom("a", "page="+strconv.Itoa(i)), first(s))
	}
	assert.Assert(t, tab.QuarantineLeft(t0, queryFrom("a", "page=9")) > 0)
	for _, query := range []string{"page=1", "page=9"} {
		assert.Equal(t, tab.QuarantineLeft(t0, queryFrom("b", query)), time.Duration(0))
	}
}

// Guards against clearing a crashing request because its caller's other queries on the path
// are answered.
func TestAnswersToOtherQueriesDoNotClearARequest(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		at := t0.Add(time.Duration(2*i) * time.Second)
		tab.RecordCrash(at, queryFrom("a", "page=1"), first(s))
		tab.Clear(at.Add(time.Second), queryFrom("a", "page=2"))
	}
	now := t0.Add(6 * time.Second)
	assert.Assert(t, tab.QuarantineLeft(now, queryFrom("a", "page=1")) > 0)
	assert.Equal(t, tab.QuarantineLeft(now, queryFrom("a", "page=2")), time.Duration(0))
}

// Guards against refusing a caller's other queries on a path although one query explains all
// crashes.
func TestACallersOtherQueriesAreServedWhileOneExplainsAllCrashes(t *testing.T) {
	tab := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, queryFrom("a", "page=1"), first(s))
	}
	assert.Equal(t, tab.QuarantineLeft(t0, queryFrom("a", "page=1")), quarantineTimes[0])
	assert.Equal(t, tab.QuarantineLeft(t0, queryFrom("a", "page=2")), time.Duration(0))
	tab.RecordCrash(t0, queryFrom("a", "page=2"), first("s4"))
	assert.Assert(t, tab.QuarantineLeft(t0, queryFrom("a", "page=3")) > 0)
	assert.Assert(t, tab.QuarantineLeft(t0, queryFrom("a", "page=1")) > 0)
}

// Guards against refusing a harmless request that ran beside another caller's crashing one
// on the same path.
func TestAQueryThatRanBesideAnotherCallersIsFreeAgain(t *testing.T) {
	tab := NewTable()
	for i, s := range []ident.Server{"s1", "s2", "s3"} {
		tab.RecordCrash(t0, queryFrom("a", "page="+strconv.Itoa(i)), first(s))
		tab.RecordCrash(t0, queryFrom("b", "sort=new"), first(s))
	}
	assert.Equal(t, tab.QuarantineLeft(t0, queryFrom("b", "sort=new")), tieWait)
	tab.RecordCrash(t0, queryFrom("a", "page=4"), first("s4"))
	assert.Equal(t, tab.QuarantineLeft(t0, queryFrom("b", "sort=new")), time.Duration(0))
	assert.Assert(t, tab.QuarantineLeft(t0, queryFrom("a", "page=5")) > 0)
}

// Guards against a caller whose crashing queries reach one server after the other because some caller of a popular query is on record for each.
func TestAPopularQueryDoesNotFreeACrashingCallersPath(t *testing.T) {
	tab, now := NewTable(), t0
	tab.RecordCrash(now, queryFrom("killer", "popular"), first("s0"))
	for i := range 4 {
		n := strconv.Itoa(i)
		now = now.Add(2 * time.Second)
		tab.RecordCrash(now, queryFrom("killer", n), first(ident.Server("s"+n)))
		tab.RecordCrash(now, queryFrom("caller "+n, "popular"), first(ident.Server("s"+n)))
		tab.Clear(now.Add(time.Second), queryFrom("answered", "popular"))
	}
	assert.Assert(t, tab.Blocked(now.Add(time.Second), queryFrom("killer", "new")))
}
