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
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

// notices holds what backend servers say about themselves, as this VM knows it: from their
// answers, from the leader and, on the leader, from the other VMs.
type notices struct {
	log *slog.Logger
	hub *poll.Hub
	any atomic.Bool // some notice holds

	mu        sync.Mutex
	book      notice.Book
	rev       uint64 // increases with each change here
	leaderRev uint64 // of the leader's notices that are known here
	onChange  func() // called when a server has given a notice or ended it
}

func newNotices(hub *poll.Hub, log *slog.Logger) *notices {
	n := &notices{log: log, hub: hub}
	hub.SetNotices(n)
	return n
}

// subscribe sets the function that is called when a server has given a notice or ended it,
// but not when only a figure has changed, see [notices.revision].
func (n *notices) subscribe(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = fn
}

// update changes the book with do, which reports whether anything has changed, and tells
// others. The argument from is where the news come from, for the log.
func (n *notices) update(from string, do func(now time.Time) bool) {
	n.mu.Lock()
	before := n.book.Notices()
	changed := do(clock.Now())
	if changed {
		n.rev++
		n.any.Store(len(n.book.Notices()) > 0)
	}
	changes := n.book.ChangedSince(before)
	onChange := n.onChange
	n.mu.Unlock()
	for _, c := range changes {
		n.log.Info("server's notice", "server", c.Process.Server, "born", c.Process.Incarnation, "leaving", c.Notice.Leaving, "limited", c.Notice.Limited, "rate", c.Notice.Rate, "from", from)
	}
	if changed {
		n.hub.Wake()
	}
	if len(changes) > 0 && onChange != nil {
		onChange()
	}
}

// hear records what a server said with an answer to a request that was sent at a time of the
// boot clock.
func (n *notices) hear(p ident.Process, said notice.Notice, sent time.Time) {
	if said == (notice.Notice{}) && !n.any.Load() {
		return
	}
	if n.isKnown(p, said) {
		return
	}
	n.update("answer", func(now time.Time) bool { return n.book.Hear(now, p, said, sent) })
}

// isKnown reports whether a process has said the same before, and records that it still does.
func (n *notices) isKnown(p ident.Process, said notice.Notice) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Of(p) != said {
		return false
	}
	n.book.Hear(clock.Now(), p, said, time.Time{})
	return true
}

// merge adds what another VM reports to this one, which leads.
func (n *notices) merge(all []notice.Report) {
	if len(all) > 0 {
		n.update("peer", func(now time.Time) bool { return n.book.Merge(now, all) })
	}
}

// applyLeader applies the leader's notices, nil if they have not changed, from the response
// to a poll that was sent at a time. The argument reported is what the poll contained.
func (n *notices) applyLeader(asked time.Time, news *poll.Notices, reported []notice.Report) {
	if news == nil && len(reported) == 0 {
		return
	}
	n.update("leader", func(now time.Time) bool {
		n.book.MarkReported(asked)
		if news == nil {
			n.leaderRev = 0 // the leader may know newer ones: ask for all
			return false
		}
		n.leaderRev = news.Rev
		return n.book.Replace(now, asked, news.All)
	})
}

// leaderChanged prepares for a leader that knows nothing yet.
func (n *notices) leaderChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaderRev = 0
	n.book.MarkUnreported()
}

// report returns what the leader does not know yet, and the revision of its notices that are
// known here.
func (n *notices) report() ([]notice.Report, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Unreported(clock.Now()), n.leaderRev
}

// Since implements [poll.NoticeSource].
func (n *notices) Since(rev uint64) (poll.Notices, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rev == n.rev {
		return poll.Notices{}, false
	}
	return poll.Notices{Rev: n.rev, All: n.book.All(clock.Now())}, true
}

// revision returns a number that increases with each change.
func (n *notices) revision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rev
}

// of returns the notice of a process.
func (n *notices) of(p ident.Process) notice.Notice {
	if !n.any.Load() {
		return notice.Notice{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Of(p)
}

// reportOf returns what is known of a process, and false if it has given no notice.
func (n *notices) reportOf(p ident.Process) (notice.Report, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.ReportOf(clock.Now(), p)
}

// retain forgets the servers that are not listed any more.
func (n *notices) retain(list []feed.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := make(map[ident.Process]bool, len(list))
	for _, s := range list {
		listed[s.Process()] = true
	}
	if n.book.Retain(clock.Now(), func(p ident.Process) bool { return listed[p] }) {
		n.rev++
	}
	n.any.Store(len(n.book.Notices()) > 0)
}
