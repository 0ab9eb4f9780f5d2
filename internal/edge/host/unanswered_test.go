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
		q.ReportUnanswered(unansweredPrint, "s1", "r")
		q.ReportUnanswered(unansweredPrint, "s2", "r")
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil))
		q.parts.Servers.applyChanges([]object.Change{entryGone("s1")}, 2)
		q.accuseUnanswered()
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
		assert.Assert(t, q.Suspects(nil))
	})
}

// Guards against accusing the requests that a server left unanswered when it left as
// announced.
func TestAServerThatLeavesAsAnnouncedAccusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newUnansweredTest()
		q.parts.Servers.applyChanges([]object.Change{{Object: entryOf("s1", 2, `,"Leaving":true`)}}, 2)
		time.Sleep(time.Second)
		q.parts.Servers.applyChanges([]object.Change{entryGone("s1")}, 3)
		q.ReportUnanswered(unansweredPrint, "s1", "r")
		q.accuseUnanswered()
		assert.Assert(t, !q.Suspects(nil))
		time.Sleep(leftTime)
		q.parts.Servers.applyChanges([]object.Change{entryGone("s2")}, 4)
		assert.Assert(t, !q.parts.Servers.hasLeft("s1"), "it is forgotten")
	})
}

// Guards against accusing the requests that a server cuts off when it ends after its announced departure from the list.
func TestAServerThatHasLeftAsAnnouncedDoesNotCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newUnansweredTest()
		q.parts.Servers.applyChanges([]object.Change{{Object: entryOf("s1", 2, `,"Leaving":true`)}}, 2)
		time.Sleep(time.Second)
		q.parts.Servers.applyChanges([]object.Change{entryGone("s1")}, 3)
		assert.Equal(t, q.ReportCrash(unansweredPrint, "s1", "r"), 0)
		assert.Assert(t, !q.Suspects(nil))
	})
}
