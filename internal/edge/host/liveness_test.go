package host

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// livenessOf returns what the list shows about one process.
func (t *serverTracker) livenessOf(p ident.Process) poison.Liveness {
	return t.observe([]ident.Process{p}).live[p]
}

// newProcessTracker returns a tracker that lists the process 100 of server s1.
func newProcessTracker() (*serverTracker, ident.Process) {
	tr := newOrderTracker()
	tr.storeUp()
	tr.noteListed(clock.Now())
	tr.replaceAll([]object.Object{entryOf("s1", 1, bornAt(100))}, 1)
	return tr, ident.Process{Server: "s1", Incarnation: 100}
}

func bornAt(incarnation int64) string { return fmt.Sprintf(`,"born":%d`, incarnation) }

// Guards against taking a server that started again under its name for the process that crashed.
func TestOnlyTheSameProcessIsAlive(t *testing.T) {
	for name, c := range map[string]struct {
		crashed int64 // incarnation
		entry   string
		want    poison.Liveness
	}{
		"same process":                {100, bornAt(100), poison.Alive},
		"later process":               {100, bornAt(101), poison.Gone},
		"later, and it leaves":        {100, bornAt(101) + `,"Leaving":true`, poison.Gone},
		"earlier process":             {100, bornAt(99), poison.Unknown},
		"start not stated any more":   {100, "", poison.Unknown},
		"start not stated at first":   {0, bornAt(100), poison.Unknown},
		"no process states its start": {0, "", poison.Alive},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr, p := newProcessTracker()
				p.Incarnation = c.crashed
				tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, c.entry)}}, 2)
				time.Sleep(poison.LivenessGrace)
				assert.Equal(t, tr.livenessOf(p), c.want)
			})
		})
	}
}

// Guards against taking a process for the one that crashed because its entry lacks the start that others state.
func TestAProcessWithoutAStartIsNotKnownToBeAliveWhereOthersStateTheirs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		p.Incarnation = 0
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, "")}, {Object: entryOf("s2", 3, bornAt(100))}}, 3)
		time.Sleep(poison.LivenessGrace)
		assert.Equal(t, tr.livenessOf(p), poison.Unknown)
	})
}

// Guards against keeping the crash of a live server for good because its entry was gone for a time.
func TestAServerThatIsListedAgainIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		tab := poison.NewTable()
		fp, at := unansweredPrint, clock.Now().Add(-poison.LivenessGrace)
		tab.RecordCrash(at, fp, p)
		tr.applyChanges([]object.Change{entryGone("s1")}, 2)
		time.Sleep(poison.LivenessGrace)
		assert.Equal(t, tr.livenessOf(p), poison.Unlisted)
		tab.Reconcile(clock.Now(), tr.observe(tab.Processes()).since)
		assert.Equal(t, tab.Crashes(fp), 1)
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 3, bornAt(100))}}, 3)
		tr.noteListed(clock.Now())
		tab.Reconcile(clock.Now(), tr.observe(tab.Processes()).since)
		assert.Equal(t, tab.Crashes(fp), 0)
	})
}

// Guards against taking servers that ended during an outage of the store for alive, because the store lists them until their entries expire.
func TestNoProcessIsAliveJustAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		tr.storeDown()
		time.Sleep(10 * time.Second)
		assert.Equal(t, tr.livenessOf(p), poison.Unknown)
		tr.storeUp()
		time.Sleep(poison.LivenessGrace - time.Nanosecond)
		assert.Equal(t, tr.livenessOf(p), poison.Unknown)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, tr.livenessOf(p), poison.Alive)
	})
}

// Guards against a VM that was suspended and judges by the list of before.
func TestAListOfBeforeTheCrashShowsNoLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		old := poison.Crash{Process: p, At: tr.asOf.Add(-poison.LivenessGrace)}
		assert.Equal(t, tr.observe([]ident.Process{p}).since(old), poison.Unknown, "the first list may be of just after an outage")
		time.Sleep(poison.LivenessGrace)
		assert.Equal(t, tr.observe([]ident.Process{p}).since(old), poison.Alive)
		assert.Equal(t, tr.observe([]ident.Process{p}).since(poison.Crash{Process: p, At: tr.asOf}), poison.Unknown)
	})
}

// Guards against missing the crash of a server that ended silently and started again under its name before its entry expired.
func TestAnUnansweredAttemptCountsWhenItsServerStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		q := newUnansweredTest()
		q.parts.Servers = tr
		q.ReportUnanswered(poison.Attempt{Fingerprint: unansweredPrint, Process: p})
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil))
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, bornAt(101))}}, 2)
		q.accuseUnanswered()
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
	})
}

// Guards against missing a silent crash because the clock of the server's host was set back before it started again.
func TestAnUnansweredAttemptCountsWhenTheNextProcessStatesAnEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		q := newUnansweredTest()
		q.parts.Servers = tr
		q.ReportUnanswered(poison.Attempt{Fingerprint: unansweredPrint, Process: p})
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, "")}}, 2)
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil), "the entry may be another writer's")
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 3, bornAt(99))}}, 3)
		q.accuseUnanswered()
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
	})
}
