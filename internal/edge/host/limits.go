package host

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/quota"
)

// limits holds the limits that backend servers state, as this VM knows them: from their
// answers, from the leader and, on the leader, from the other VMs.
type limits struct {
	log    *slog.Logger
	hub    *poll.Hub
	known  atomic.Int64  // number of limits in force
	wanted chan struct{} // receives when a gate wants permits

	mu        sync.Mutex
	book      quota.Book
	rev       uint64 // increases with each change here
	leaderRev uint64 // of the leader's limits that are known here
	onChange  func() // called when a server has a limit that had none, or the reverse
}

func newLimits(hub *poll.Hub, log *slog.Logger) *limits {
	l := &limits{log: log, hub: hub, wanted: make(chan struct{}, 1)}
	hub.SetLimits(l)
	return l
}

// subscribe sets the function that is called when a server has a limit that had none, or the
// reverse.
func (l *limits) subscribe(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = fn
}

// permitsWanted is called when a gate wants permits. It does not block.
func (l *limits) permitsWanted() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// update changes the book with do, which reports whether anything changed, and tells others
// and the log of what did. The argument from is where the news come from.
func (l *limits) update(from string, do func(now time.Time) bool) {
	l.mu.Lock()
	before := l.rates()
	changed := do(clock.Now())
	begunOrEnded := changed && l.logChanges(before, from)
	if changed {
		l.rev++
		l.known.Store(int64(l.book.Len()))
	}
	onChange := l.onChange
	l.mu.Unlock()
	if changed {
		l.hub.Wake()
	}
	if begunOrEnded && onChange != nil {
		onChange()
	}
}

// hear records what a server said with an answer to a request that was sent at a time of the
// boot clock.
func (l *limits) hear(p ident.Process, limit quota.Limit, sent time.Time) {
	if !limit.Stated && l.known.Load() == 0 {
		return
	}
	l.update("answer", func(now time.Time) bool { return l.book.Hear(now, p, limit, sent) })
}

// merge adds what another VM reports to this one, which leads.
func (l *limits) merge(all []quota.Report) {
	if len(all) == 0 {
		return
	}
	l.update("peer", func(now time.Time) bool { return l.book.Merge(now, all) })
}

// applyLeader applies the leader's limits, nil if they have not changed, from the response
// to a poll that was sent at a time. The argument reported is what the poll contained.
func (l *limits) applyLeader(asked time.Time, news *poll.Limits, reported []quota.Report) {
	if news == nil && len(reported) == 0 {
		return
	}
	l.update("leader", func(now time.Time) bool {
		l.book.MarkReported(asked)
		if news == nil {
			l.leaderRev = 0 // the leader may have heard otherwise later: ask for all it knows
			return false
		}
		l.leaderRev = news.Rev
		return l.book.Replace(now, asked, news.All)
	})
}

// leaderChanged prepares for a leader that knows nothing yet.
func (l *limits) leaderChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderRev = 0
	l.book.MarkUnreported()
}

// rates returns the limits in force. The caller holds mu.
func (l *limits) rates() map[ident.Process]quota.Limit {
	all := map[ident.Process]quota.Limit{}
	for _, r := range l.book.All(clock.Now()) {
		all[r.Process()] = r.Limit
	}
	return all
}

// logChanges logs which servers have a limit that had none, or the reverse, and reports
// whether there are any. The caller holds mu.
func (l *limits) logChanges(before map[ident.Process]quota.Limit, from string) bool {
	after := l.rates()
	begunOrEnded := false
	log := func(p ident.Process, limit quota.Limit) {
		begunOrEnded = true
		l.log.Info("server's limit", "server", p.Server, "born", p.Incarnation, "stated", limit.Stated, "rate", limit.Rate, "from", from)
	}
	for p, limit := range after {
		if !before[p].Stated {
			log(p, limit)
		}
	}
	for p := range before {
		if !after[p].Stated {
			log(p, quota.Limit{})
		}
	}
	return begunOrEnded
}

// report returns what the leader does not know yet, and the revision of its limits that are
// known here.
func (l *limits) report() ([]quota.Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Unreported(clock.Now()), l.leaderRev
}

// Limits implements [poll.LimitSource].
func (l *limits) Limits(rev uint64) (poll.Limits, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rev == l.rev {
		return poll.Limits{}, false
	}
	return poll.Limits{Rev: l.rev, All: l.book.All(clock.Now())}, true
}

// revision returns a number that increases with each change of the limits.
func (l *limits) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev
}

// of returns the limit of a process.
func (l *limits) of(p ident.Process) quota.Limit {
	if l.known.Load() == 0 {
		return quota.Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Limit(p)
}

// reportOf returns what is known of the limit of a process.
func (l *limits) reportOf(p ident.Process) (quota.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.book.All(clock.Now()) {
		if r.Process() == p {
			return r, true
		}
	}
	return quota.Report{}, false
}

// retain forgets the limits of servers that are not listed any more.
func (l *limits) retain(list []feed.Server) {
	if l.known.Load() == 0 {
		return
	}
	listed := make(map[ident.Process]bool, len(list))
	for _, s := range list {
		listed[s.Process()] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book.Retain(clock.Now(), func(p ident.Process) bool { return listed[p] }) {
		l.rev++
	}
	l.known.Store(int64(l.book.Len()))
}
