package host

import (
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// newOrderTracker returns a tracker whose lists the test passes to it, at times of its own.
func newOrderTracker() *serverTracker {
	return &serverTracker{
		plat: Platform{Decode: jsonDecoder{}, Servers: "servers/"}, state: state.New(nil), hub: poll.NewHub("vm-1", "1"), log: slog.New(slog.DiscardHandler),
		services: map[ident.Service]feed.Service{}, loggedFaults: map[ident.Server]bool{}, dropped: map[ident.Server]bool{},
		notices: &notices{}, shedders: &shedders{hub: poll.NewHub("vm-1", "1")},
	}
}

// Guards against dropping crashes because their servers, lost around an outage of the store,
// count as alive between the end of the wait for them and their removal.
func TestAServerThatIsMissingAfterAnOutageNeverCountsAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newOrderTracker()
		servers := []ident.Server{"s1", "s2", "s3"}
		var all []object.Object
		for i, s := range servers {
			all = append(all, object.Object{Name: "servers/" + string(s), Version: object.Version(i + 1), Value: []byte(`{"Name":"` + string(s) + `"}`)})
		}
		tr.replaceAll(all, 3)
		tab := poison.NewTable()
		p := poison.HeadOf("GET", "a.example", "/x").Fingerprint("10.0.0.1", poison.BodyOf(nil))
		tr.storeDown()
		for _, s := range servers {
			tab.RecordCrash(time.Now(), p, ident.Process{Server: s})
			time.Sleep(3500 * time.Millisecond)
		}
		tr.replaceAll(nil, 4)
		time.Sleep(member.RelistTime)
		tab.Reconcile(time.Now(), tr.observe(tab.Processes()).since)
		assert.Equal(t, tab.Crashes(p), len(servers))
		tr.mu.Lock()
		tr.members.Expire(time.Now())
		tr.mu.Unlock()
		assert.Equal(t, tr.livenessOf(ident.Process{Server: "s1"}), poison.Unlisted)
	})
}

// Guards against losing the reports of a VM that polls just before another one begins to
// lead, and takes its answer for a receipt.
func TestReportsThatArriveBeforeTheTermAreNotConfirmed(t *testing.T) {
	hub := poll.NewHub("vm-1", "life-1")
	q := &quarantine{table: poison.NewTable(), logged: map[poison.Fingerprint]bool{}, parts: quarantineParts{Hub: hub, Log: slog.New(slog.DiscardHandler)}}
	reporter := poison.NewTable()
	p := poison.HeadOf("GET", "a.example", "/x").Fingerprint("10.0.0.1", poison.BodyOf(nil))
	reporter.RecordCrash(time.Now(), p, ident.Process{Server: "s1"})
	reports := reporter.Reports(time.Now(), "life-1")
	web := httptest.NewServer(hub.Handler(func(req *poll.Request) {
		q.addReports(req.Reports)
		hub.SetLease(elect.Lease{Holder: "vm-1", Incarnation: "life-1", Epoch: 1}, true)
	}))
	defer web.Close()
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	assert.NilError(t, err)
	resp, err := poll.NewClient().Poll(t.Context(), addr, &poll.Request{VM: "vm-2", Reports: reports}, nil)
	assert.NilError(t, err)
	if resp.IsLeader { // as the poller does
		reporter.MarkReported(resp.Lease.Incarnation, reports)
	}
	assert.Assert(t, q.table.Crashes(p) == 1 || len(reporter.Reports(time.Now(), "life-1")) > 0, "the crash is lost")
}
