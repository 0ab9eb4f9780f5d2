package host

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// quarantine keeps requests that crash servers from reaching more servers, see package
// poison. VMs report crashes to the leader in their poll requests, and its responses tell
// all VMs which requests are suspected. Quarantined requests are also kept in the store,
// so that they outlast a restart of all VMs.
type quarantine struct {
	group    group.Group
	parts    quarantineParts
	nonEmpty atomic.Bool // whether the table has entries
	tick     atomic.Pointer[time.Time]

	mu     sync.Mutex
	table  *poison.Table
	logged map[poison.Fingerprint]bool // common parts of requests logged as quarantined
	term   uint64                      // epoch in which this VM leads and grants trials; zero if it does not lead

	object     quarantineObject
	unanswered unansweredAttempts
}

type quarantineParts struct {
	fx.In
	Platform Platform
	Hub      *poll.Hub
	Servers  *serverTracker
	Log      *slog.Logger
}

func newQuarantine(lc fx.Lifecycle, p quarantineParts) *quarantine {
	q := &quarantine{parts: p, table: poison.NewTable(), logged: map[poison.Fingerprint]bool{}}
	q.object = quarantineObject{name: p.Platform.OwnPrefix + "quarantine", log: p.Log, readAt: time.Now()}
	q.table.OnDrop = func(fp poison.Fingerprint, c poison.Crash) {
		if fp == fp.AnyCaller() || fp == fp.AnyQuery() {
			return // logged for the caller's own case
		}
		p.Log.Info("crash withdrawn: its server is alive", "print", fp.Print(), "server", c.Process.Server, "born", c.Process.Incarnation, "age", clock.Now().Sub(c.At))
	}
	p.Hub.SetCases(q)
	runWhileStarted(lc, &q.group, q.reconcileLoop, q.syncLoop)
	return q
}

// reconcileInterval is how often reported crashes are compared with the list of servers.
const reconcileInterval = 250 * time.Millisecond

func (q *quarantine) reconcileLoop(ctx context.Context) error {
	for group.Sleep(ctx, reconcileInterval) {
		now := clock.Now()
		q.tick.Store(&now)
		q.accuseUnanswered()
		q.grantOwnTrials()
		if q.nonEmpty.Load() {
			_, leads := q.parts.Hub.Lease()
			q.reconcile(leads)
		}
	}
	return nil
}

// processes lists the processes of all crashes.
func (q *quarantine) processes() []ident.Process {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Processes()
}

// reconcile compares crashes with the list of servers.
func (q *quarantine) reconcile(leads bool) {
	seen := q.parts.Servers.observe(q.processes())
	q.update(func(now time.Time) {
		if leads {
			q.table.Lead()
		}
		if len(seen.announced) > 0 {
			q.table.NoteAnnounced(func(p ident.Process) bool { return seen.announced[p] })
		}
		q.table.Reconcile(now, seen.since)
	})
}

// update changes the table with f, logs which requests entered or left quarantine, and
// wakes the VMs whose polls wait for news.
func (q *quarantine) update(f func(now time.Time)) {
	now := clock.Now()
	q.mu.Lock()
	before := q.table.Seq()
	f(now)
	q.nonEmpty.Store(q.table.Len() > 0)
	changed := q.table.Seq() != before
	if changed {
		q.logChanges(now)
	}
	q.mu.Unlock()
	if changed {
		q.parts.Hub.Wake()
	}
}

// logChanges logs which requests entered and left quarantine. The caller holds mu.
func (q *quarantine) logChanges(now time.Time) {
	quarantined := map[poison.Fingerprint]bool{}
	for _, c := range q.table.Quarantined(now) {
		p := c.Fingerprint.Common()
		if !q.logged[p] && !quarantined[p] {
			servers := q.table.CrashedServers(c.Fingerprint)
			q.parts.Log.Warn("request quarantined", "print", p.Print(), "servers", servers, "for", q.table.QuarantineLeft(now, c.Fingerprint))
		}
		quarantined[p] = true
	}
	for p := range q.logged {
		if !quarantined[p] {
			q.parts.Log.Info("request out of quarantine", "print", p.Print(), "crashes", q.table.Crashes(p))
		}
	}
	q.logged = quarantined
}

// Suspects reports whether a request for the path of this head is suspected. With a nil head it
// reports whether any request is.
func (q *quarantine) Suspects(h *poison.Head) bool {
	if h == nil || !q.nonEmpty.Load() {
		return q.nonEmpty.Load()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Suspected(*h)
}

// ReportCrash records that a process of a server broke off while it ran a request, and
// returns how many have.
func (q *quarantine) ReportCrash(a poison.Attempt) int {
	n := 0
	a.Announced = q.parts.Servers.announced(a.Process)
	q.update(func(now time.Time) {
		a.At = now
		n = q.table.Record(a)
	})
	q.logCrash(a, n)
	return n
}

// logCrash logs the second and each later process that crashed under a request.
func (q *quarantine) logCrash(a poison.Attempt, n int) {
	if n > 1 {
		q.parts.Log.Warn("another server broke off under a request", "print", a.Fingerprint.Print(), "id", a.ID,
			"server", a.Process.Server, "born", a.Process.Incarnation, "leaving", a.Announced, "crashes", n)
	}
}

// Answered records that a server answered a suspected request.
func (q *quarantine) Answered(p poison.Fingerprint) {
	q.unanswered.clear(p)
	q.update(func(now time.Time) { q.table.Clear(now, p) })
}

// Since returns the suspected requests that changed after a sequence number.
func (q *quarantine) Since(seq uint64) poll.Cases {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := poll.Cases{Seq: q.table.Seq()}
	if c.Seq > seq {
		c.List = q.table.ChangesSince(clock.Now(), seq)
	}
	return c
}

// reports returns the crash reports that a leader has not received.
func (q *quarantine) reports(leader string) []poison.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Reports(clock.Now(), leader)
}

// markReported records that a leader has received reports.
func (q *quarantine) markReported(leader string, all []poison.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.MarkReported(leader, all)
}

// addReports adds the reports of another VM. It does so even before this VM leads, because
// the response may already say that it does, which acknowledges the reports.
func (q *quarantine) addReports(all []poison.Report) {
	if len(all) > 0 {
		q.update(func(now time.Time) { q.table.AddReports(now, all) })
	}
}

// applyVerdicts applies the verdicts of the leader.
func (q *quarantine) applyVerdicts(leader string, all []poison.Verdict) {
	q.update(func(now time.Time) { q.table.ApplyVerdicts(now, leader, all) })
}

// count returns the number of suspected requests and how many of them are quarantined.
func (q *quarantine) count() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len(), len(q.table.Quarantined(clock.Now()))
}

// verdicts returns the quarantined requests.
func (q *quarantine) verdicts() []poison.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantine(clock.Now())
}

// storeReadInterval is how often a VM that receives nothing from a leader reads the
// stored quarantine.
const storeReadInterval = time.Second

// syncLoop keeps the table and the stored quarantine in step. The leader reads the object
// once and writes changes. A VM that receives nothing from a leader reads it, since it
// may still serve callers, and every VM reads it once when it starts.
func (q *quarantine) syncLoop(ctx context.Context) error {
	q.merge(q.object.read(ctx, q.parts.Platform.StaleStore))
	for group.Sleep(ctx, reconcileInterval) {
		lease, leads := q.parts.Hub.Lease()
		switch {
		case leads:
			q.syncAsLeader(ctx, lease.Incarnation)
		case q.parts.Hub.Synced(time.Now()):
			q.object.leader, q.object.readAt = "", time.Now()
		case time.Since(q.object.readAt) >= storeReadInterval:
			q.object.leader, q.object.readAt = "", time.Now()
			q.merge(q.object.read(ctx, q.parts.Platform.StaleStore))
		}
	}
	return nil
}

// syncAsLeader loads the stored quarantine once per term and writes it when it has
// changed.
func (q *quarantine) syncAsLeader(ctx context.Context, incarnation string) {
	if q.object.leader != incarnation {
		all, ok := q.object.read(ctx, q.parts.Platform.Store)
		if !ok {
			return
		}
		q.object.leader = incarnation
		q.merge(all, true)
	}
	all := q.verdicts()
	if sig := signature(all); sig != q.object.stored {
		q.object.write(ctx, q.parts.Platform.Store, all, sig)
	}
}

func (q *quarantine) merge(all []poison.Verdict, ok bool) {
	if ok && len(all) > 0 {
		q.update(func(now time.Time) { q.table.Merge(now, all) })
	}
}
