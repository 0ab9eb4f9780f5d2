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

// newProcessTracker returns a tracker that lists the process 100 of server s1.
func newProcessTracker() (*serverTracker, ident.Process) {
	tr := newOrderTracker()
	tr.storeUp()
	tr.replaceAll([]object.Object{entryOf("s1", 1, bornAt(100))}, 1)
	return tr, ident.Process{Server: "s1", Incarnation: 100}
}

func bornAt(incarnation int64) string { return fmt.Sprintf(`,"born":%d`, incarnation) }

// Guards against taking a server that started again under its name for the process that crashed.
func TestOnlyTheSameProcessIsAlive(t *testing.T) {
	for name, c := range map[string]struct {
		entry string
		want  poison.Liveness
	}{
		"same process":         {bornAt(100), poison.Alive},
		"later process":        {bornAt(101), poison.Gone},
		"later, and it leaves": {bornAt(101) + `,"Leaving":true`, poison.Gone},
		"earlier process":      {bornAt(99), poison.Unknown},
		"start not stated":     {"", poison.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			tr, p := newProcessTracker()
			tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, c.entry)}}, 2)
			assert.Equal(t, tr.liveness(p), c.want)
		})
	}
	tr, p := newProcessTracker()
	assert.Equal(t, tr.liveness(ident.Process{Server: "s1"}), poison.Unknown, "any process")
	tr.applyChanges([]object.Change{{Object: entryOf("s2", 2, "")}}, 2)
	assert.Equal(t, tr.liveness(ident.Process{Server: "s2"}), poison.Alive, "no process states its start")
	tr.applyChanges([]object.Change{entryGone("s1")}, 2)
	assert.Equal(t, tr.liveness(p), poison.Gone)
}

// Guards against taking servers that ended during an outage of the store for alive, because the store lists them until their entries expire.
func TestNoProcessIsAliveJustAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		tr.storeDown()
		time.Sleep(10 * time.Second)
		assert.Equal(t, tr.liveness(p), poison.Unknown)
		tr.storeUp()
		time.Sleep(poison.LivenessGrace - 1)
		assert.Equal(t, tr.liveness(p), poison.Unknown)
		time.Sleep(1)
		assert.Equal(t, tr.liveness(p), poison.Alive)
	})
}

// Guards against a VM that was suspended and judges by the list of before.
func TestAListOfBeforeTheCrashShowsNoLife(t *testing.T) {
	tr, p := newProcessTracker()
	assert.Equal(t, tr.livenessSince(poison.Crash{Process: p, At: clock.Now()}), poison.Unknown)
	assert.Equal(t, tr.livenessSince(poison.Crash{Process: p, At: tr.answeredAt.Add(-poison.LivenessGrace)}), poison.Alive)
}

// Guards against missing the crash of a server that ended silently and started again under its name before its entry expired.
func TestAnUnansweredAttemptCountsWhenItsServerStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		q := newUnansweredTest()
		q.parts.Servers = tr
		q.ReportUnanswered(unansweredPrint, p, "r")
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil))
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 2, bornAt(101))}}, 2)
		q.accuseUnanswered()
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
	})
}
