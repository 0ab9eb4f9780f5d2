package host

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against refusing a request for ten minutes that servers cut off which announce that they leave and end at once, so that the connections break before the announcement arrives.
func TestAnAnnouncementThatArrivesAfterTheBreakCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newOrderTracker()
		servers := []ident.Server{"s1", "s2", "s3"}
		for i, s := range servers {
			tr.applyChanges([]object.Change{{Object: entryOf(s, object.Version(i+1), bornAt(100))}}, object.Cursor(i+1))
		}
		q := &quarantine{
			table: poison.NewTable(), logged: map[poison.Fingerprint]bool{},
			parts: quarantineParts{Hub: poll.NewHub("vm-1", "1"), Servers: tr, Log: slog.New(slog.DiscardHandler)},
		}
		for i, s := range servers {
			rev := object.Version(10 * (i + 1))
			q.ReportCrash(poison.Attempt{Fingerprint: unansweredPrint, Process: ident.Process{Server: s, Incarnation: 100}})
			tr.applyChanges([]object.Change{{Object: entryOf(s, rev, bornAt(100)+`,"Leaving":true`)}}, object.Cursor(rev))
			tr.applyChanges([]object.Change{entryGone(s)}, object.Cursor(rev+1))
			q.reconcile(true)
		}
		assert.Assert(t, q.QuarantineLeft(unansweredPrint) < time.Minute)
	})
}

// Guards against a VM that starts after an outage of the store, begins to lead, and takes servers that ended during the outage for alive: their entries have not expired yet.
func TestTheFirstListOfAVMShowsNoLifeBeforeIt(t *testing.T) {
	tr, p := newProcessTracker()
	crash := poison.Crash{Process: p, At: clock.Now().Add(-poison.LivenessGrace - time.Second)}
	assert.Equal(t, tr.observe([]ident.Process{p}).since(crash), poison.Unknown)
}

// Guards against a deadlock on the leader: a poll is answered under the hub's lock and reads the cases, a reconciliation reads the list of servers under the lock of the cases, and a new list is passed to the hub under the lock of the list.
func TestPollsAndListsDoNotBlockAReconciliation(t *testing.T) {
	tr := newOrderTracker()
	tr.noteListed(clock.Now())
	hub := tr.hub
	hub.SetLease(elect.Lease{Holder: "vm-1", Incarnation: "1", Epoch: 1}, true)
	q := &quarantine{
		table: poison.NewTable(), logged: map[poison.Fingerprint]bool{},
		parts: quarantineParts{Hub: hub, Servers: tr, Log: slog.New(slog.DiscardHandler)},
	}
	hub.SetCases(q)
	web := httptest.NewServer(hub.Handler(func(*poll.Request) {}))
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	assert.NilError(t, err)
	for i := range 200 {
		p := poison.HeadOf("GET", "a.example", strconv.Itoa(i)).Fingerprint("10.0.0.1", poison.BodyOf(nil))
		for _, s := range []ident.Server{"s1", "s2"} {
			q.ReportCrash(poison.Attempt{Fingerprint: p, Process: ident.Process{Server: s, Incarnation: 100}})
		}
	}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	// Not closed after a failure, since Close would wait for those that are blocked.
	var rounds atomic.Int64
	var polls group.Group
	for range 4 {
		polls.Go(func(context.Context) error {
			for ctx.Err() == nil {
				_, _ = poll.NewClient().Poll(ctx, addr, &poll.Request{VM: "vm-2"}, nil)
			}
			return nil
		})
	}
	polls.Go(func(context.Context) error {
		for ctx.Err() == nil {
			q.reconcile(true)
			rounds.Add(1)
		}
		return nil
	})
	polls.Go(func(context.Context) error {
		for rev := object.Version(1); ctx.Err() == nil; rev++ {
			tr.applyChanges([]object.Change{{Object: entryOf("s9", rev, bornAt(100))}}, object.Cursor(rev))
		}
		return nil
	})
	for ctx.Err() == nil {
		before := rounds.Load()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
			if rounds.Load() == before {
				t.Fatalf("no reconciliation for a second after %d", before)
			}
		}
	}
	assert.NilError(t, polls.Close())
	web.Close()
}

// Guards against missing a silent crash on a VM that only itself cannot reach the store, although the leader tells it that the server is gone.
func TestAVMWithoutTheStoreLearnsOfAnEndFromTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, p := newProcessTracker()
		q := newUnansweredTest()
		q.parts.Servers = tr
		tr.storeDown()
		q.ReportUnanswered(poison.Attempt{Fingerprint: unansweredPrint, Process: p})
		for rev := uint64(2); rev < 12; rev++ {
			time.Sleep(time.Second)
			tr.noteStoreSeenByLeader(time.Minute)
			tr.mergePeerList(poll.ServerList{Rev: rev, List: []feed.Server{{Name: "s2", Rev: 2}}}, 0)
			q.accuseUnanswered()
		}
		assert.Equal(t, q.table.Crashes(unansweredPrint), 1)
	})
}
