package host

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// logChanges logs which servers are new, have started again, are leaving or gone. The caller
// holds mu.
func (t *serverTracker) logChanges(list []feed.Server) {
	now := make(map[ident.Server]feed.Server, len(list))
	var added, restarted, leaving, gone []ident.Server
	for _, s := range list {
		last, known := t.lastLogged[s.Name]
		switch {
		case !known:
			added = append(added, s.Name)
		case s.Incarnation != last.Incarnation:
			restarted = append(restarted, s.Name)
		case s.Leaving && !last.Leaving:
			leaving = append(leaving, s.Name)
		}
		now[s.Name] = s
	}
	for name := range t.lastLogged {
		if _, listed := now[name]; !listed {
			gone = append(gone, name)
		}
	}
	t.lastLogged = now
	if len(added)+len(restarted)+len(leaving)+len(gone) > 0 {
		t.log.Info("servers", "rev", object.Version(t.rev).Revision(), "from", t.source, "listage", t.hub.Age(poll.Servers), "late", t.news.age, "count", len(list), "came", added, "restarted", restarted, "leave", leaving, "gone", gone)
	}
}

// maxLoggedRejections bounds the names in the log line about rejected entries.
const maxLoggedRejections = 8

// noteRejected records which entries of some news as of a revision this VM does not take since
// it knows their servers as removed, and logs them if they are others than before. The caller
// holds mu.
func (t *serverTracker) noteRejected(news []member.Entry[feed.Server], rev uint64) {
	rejections := t.members.Rejected(news)
	names := make([]ident.Server, 0, len(rejections))
	for _, r := range rejections {
		names = append(names, r.Name)
	}
	if slices.Equal(names, t.rejected) {
		return
	}
	t.rejected = names
	if len(names) == 0 {
		return
	}
	first := rejections[0]
	t.log.Warn("entries of servers rejected as removed", "rev", object.Version(rev).Revision(), "from", t.source, "count", len(names),
		"servers", names[:min(len(names), maxLoggedRejections)], "written", object.Version(first.Rev).Revision(), "removed", object.Version(first.RemovedRev).Revision())
}

// counts returns the number of known servers, and of those that the last news listed and this VM
// takes for removed.
func (t *serverTracker) counts() (known, rejected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list()), len(t.rejected)
}
