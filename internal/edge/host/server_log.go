package host

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
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
