package host

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

var unansweredPrint = poison.HeadOf("GET", "a.example", "/x").Fingerprint("10.0.0.1", poison.BodyOf(nil))

// attemptOf returns an attempt of a request at a server that does not state its start.
func attemptOf(p poison.Fingerprint, s ident.Server) poison.Attempt {
	return poison.Attempt{Fingerprint: p, ID: "r", Process: ident.Process{Server: s}}
}

// newUnansweredTest returns a quarantine that knows servers s1 and s2.
func newUnansweredTest() *quarantine {
	tr := newOrderTracker()
	tr.replaceAll([]object.Object{entryOf("s1", 1, ""), entryOf("s2", 1, "")}, 1)
	return &quarantine{
		table: poison.NewTable(), logged: map[poison.Fingerprint]bool{},
		parts: quarantineParts{Hub: poll.NewHub("vm-1", "1"), Servers: tr, Log: slog.New(slog.DiscardHandler)},
	}
}

// entryOf returns a version of the entry of a server with additional JSON fields.
func entryOf(s ident.Server, v object.Version, fields string) object.Object {
	return object.Object{Name: "servers/" + string(s), Version: v, Value: []byte(`{"Name":"` + string(s) + `"` + fields + `}`)}
}

func entryGone(s ident.Server) object.Change {
	return object.Change{Object: object.Object{Name: "servers/" + string(s)}}
}

// Guards against missing the crash of a server that ended without closing its connections,
// and against suspecting its request before.
func TestAnUnansweredRequestIsSuspectedOnceItsServerHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newUnansweredTest()
		q.ReportUnanswered(attemptOf(unansweredPrint, "s1"))
		q.ReportUnanswered(attemptOf(unansweredPrint, "s2"))
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil))
		q.parts.Servers.applyChanges([]object.Change{entryGone("s1")}, 2)
		q.accuseUnanswered()
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
		assert.Assert(t, q.Suspects(nil))
	})
}

// leave lets a server announce that it leaves and, a second later, leave.
func (q *quarantine) leave(s ident.Server) {
	q.parts.Servers.applyChanges([]object.Change{{Object: entryOf(s, 10, `,"Leaving":true`)}}, 10)
	time.Sleep(time.Second)
	q.parts.Servers.applyChanges([]object.Change{entryGone(s)}, 11)
}

// Guards against refusing for long, or sending on, requests that servers leave unanswered or cut off as they leave.
func TestRequestsThatServersCutOffAsTheyLeaveAreTriedSoon(t *testing.T) {
	for name, report := range map[string]func(q *quarantine, s ident.Server){
		"unanswered": func(q *quarantine, s ident.Server) { q.ReportUnanswered(attemptOf(unansweredPrint, s)) },
		"cut off":    func(q *quarantine, s ident.Server) { q.ReportCrash(attemptOf(unansweredPrint, s)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newUnansweredTest()
				q.parts.Servers.applyChanges([]object.Change{{Object: entryOf("s3", 2, "")}}, 2)
				for _, s := range []ident.Server{"s1", "s2", "s3"} {
					assert.Assert(t, q.QuarantineLeft(unansweredPrint) == 0)
					q.leave(s)
					report(q, s)
					q.accuseUnanswered()
				}
				left := q.QuarantineLeft(unansweredPrint)
				assert.Assert(t, left > 0 && left <= 5*time.Second, "%v", left)
			})
		})
	}
}

// Guards against memory that grows with each server that leaves.
func TestADepartureIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newUnansweredTest()
		q.leave("s1")
		assert.Assert(t, q.parts.Servers.announced(ident.Process{Server: "s1"}))
		time.Sleep(leftTime)
		q.parts.Servers.applyChanges([]object.Change{entryGone("s2")}, 12)
		assert.Assert(t, !q.parts.Servers.announced(ident.Process{Server: "s1"}))
	})
}
