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

// quarantine keeps requests that crash servers from reaching more of them, see package
// poison. VMs report what they saw to the leader with their questions, and its answers
// tell all of them which requests are under suspicion. What is quarantined is kept in
// the store, for the leader after all VMs were restarted.
type quarantine struct {
	group group.Group
	p     quarantineParts
	armed atomic.Bool // the table is not empty

	mu    sync.Mutex
	table *poison.Table
	named map[poison.Fingerprint]bool // wide prints of what is quarantined, and logged as that

	object quarantineObject
}

type quarantineParts struct {
	fx.In
	Platform Platform
	Board    *poll.Hub
	Fleet    *fleet
	Log      *slog.Logger
}

func newQuarantine(lc fx.Lifecycle, p quarantineParts) *quarantine {
	q := &quarantine{p: p, table: poison.NewTable(), named: map[poison.Fingerprint]bool{}}
	q.object = quarantineObject{name: p.Platform.OwnPrefix + "quarantine", log: p.Log, readAt: time.Now()}
	p.Board.SetCases(q)
	duties(lc, &q.group, q.settle, q.keep)
	return q
}

// settleEvery is how often accusations are compared with the list of servers.
const settleEvery = 250 * time.Millisecond

func (q *quarantine) settle(ctx context.Context) error {
	life := func(s ident.Server) poison.Liveness { life, _ := q.p.Fleet.life(s); return life }
	for group.Sleep(ctx, settleEvery) {
		if q.armed.Load() {
			q.change(func(now time.Time) { q.table.Reconcile(now, life) })
		}
	}
	return nil
}

// change changes the table, tells the log what is quarantined by that, and wakes the
// VMs that wait for news.
func (q *quarantine) change(f func(now time.Time)) {
	now := clock.Now()
	q.mu.Lock()
	before := q.table.Seq()
	f(now)
	q.armed.Store(q.table.Len() > 0)
	news := q.table.Seq() != before
	if news {
		q.note(now)
	}
	q.mu.Unlock()
	if news {
		q.p.Board.Wake()
	}
}

// note logs which requests came into quarantine and which left it. The caller holds mu.
func (q *quarantine) note(now time.Time) {
	barred := map[poison.Fingerprint]bool{}
	for _, c := range q.table.Quarantined(now) {
		p := c.Fingerprint.AnyCaller()
		if !q.named[p] && !barred[p] {
			var servers []ident.Server
			for _, crash := range c.Crashes {
				servers = append(servers, crash.Server)
			}
			q.p.Log.Warn("request quarantined", "print", p.String(), "servers", servers, "for", q.table.QuarantineLeft(now, c.Fingerprint))
		}
		barred[p] = true
	}
	for p := range q.named {
		if !barred[p] {
			q.p.Log.Info("request out of quarantine", "print", p.String(), "crashes", q.table.Crashes(p))
		}
	}
	q.named = barred
}

// Suspects reports whether a request with this head is under suspicion, or any is.
func (q *quarantine) Suspects(h *poison.Head) bool {
	if h == nil || !q.armed.Load() {
		return q.armed.Load()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Suspected(*h)
}

// QuarantineLeft is for how much longer a request may reach no server.
func (q *quarantine) QuarantineLeft(p poison.Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.QuarantineLeft(clock.Now(), p)
}

// ReportCrash takes in that a server broke off under a request, and returns how many have.
// Servers that leave break off what they do not finish.
func (q *quarantine) ReportCrash(p poison.Fingerprint, s ident.Server, id ident.Request) int {
	if _, leaving := q.p.Fleet.life(s); leaving {
		return 0
	}
	n := 0
	q.change(func(now time.Time) { n = q.table.RecordCrash(now, p, s) })
	if n > 1 {
		q.p.Log.Warn("another server broke off under a request", "print", p.AnyCaller().String(), "id", id, "server", s, "crashes", n)
	}
	return n
}

// Answered takes in that a request under suspicion was answered by a server.
func (q *quarantine) Answered(p poison.Fingerprint) {
	q.change(func(now time.Time) { q.table.Clear(now, p) })
}

// Since lists the requests under suspicion that changed after a number.
func (q *quarantine) Since(seq uint64) poll.Cases {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := poll.Cases{Seq: q.table.Seq()}
	if c.Seq > seq {
		c.List = q.table.ChangesSince(clock.Now(), seq)
	}
	return c
}

// reports lists what a leader has not been told.
func (q *quarantine) reports(leader string) []poison.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Reports(clock.Now(), leader)
}

// told notes that a leader has got reports.
func (q *quarantine) told(leader string, all []poison.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.MarkReported(leader, all)
}

// heard takes in the reports of another VM, if this one leads.
func (q *quarantine) heard(all []poison.Report) {
	if _, leads := q.p.Board.Lease(); leads && len(all) > 0 {
		q.change(func(now time.Time) { q.table.AddReports(now, all) })
	}
}

// take takes in what the leader tells.
func (q *quarantine) take(leader string, all []poison.Verdict) {
	q.change(func(now time.Time) { q.table.ApplyVerdicts(now, leader, all) })
}

// count counts the requests under suspicion, and those of them in quarantine.
func (q *quarantine) count() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len(), len(q.table.Quarantined(clock.Now()))
}

// verdicts lists what is in quarantine.
func (q *quarantine) verdicts() []poison.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantine(clock.Now())
}

// readEvery is how often a VM that no leader tells anything reads what is kept.
const readEvery = time.Second

// keep brings the table and the object together: the leader reads it once and writes what
// changed. A VM that hears no leader reads it, since it may serve callers all the same, and
// so does one that starts, at once.
func (q *quarantine) keep(ctx context.Context) error {
	q.merge(q.object.read(ctx, q.p.Platform.StaleStore))
	for group.Sleep(ctx, settleEvery) {
		lease, leads := q.p.Board.Lease()
		switch {
		case leads:
			q.lead(ctx, lease.Incarnation)
		case q.p.Board.Synced(time.Now()):
			q.object.leader, q.object.readAt = "", time.Now()
		case time.Since(q.object.readAt) >= readEvery:
			q.object.leader, q.object.readAt = "", time.Now()
			q.merge(q.object.read(ctx, q.p.Platform.StaleStore))
		}
	}
	return nil
}

// lead keeps the table while this VM leads.
func (q *quarantine) lead(ctx context.Context, life string) {
	if q.object.leader != life {
		all, ok := q.object.read(ctx, q.p.Platform.Store)
		if !ok {
			return
		}
		q.object.leader = life
		q.merge(all, true)
	}
	all := q.verdicts()
	if text := signature(all); text != q.object.held {
		q.object.write(ctx, q.p.Platform.Store, all, text)
	}
}

func (q *quarantine) merge(all []poison.Verdict, ok bool) {
	if ok && len(all) > 0 {
		q.change(func(now time.Time) { q.table.Merge(now, all) })
	}
}
