package poll

import (
	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// ServerList is the servers as of a place in the store's sequence of changes: all of
// them, or what changed after an earlier place.
type ServerList struct {
	Rev   uint64         `json:"rev"`
	Delta bool           `json:"part,omitempty"` // the list holds only what changed
	List  []feed.Server  `json:"list"`
	Gone  []ident.Server `json:"gone,omitempty"`
	// Sum is that of all servers, see SumOf. Who has another one after taking a part
	// in has missed something.
	Sum uint64 `json:"sum,omitempty"`
}

// SumOf adds up names and revisions. It does not depend on the order.
func SumOf(list []feed.Server) uint64 {
	var sum uint64
	for _, s := range list {
		// The revision is mixed in by an odd factor: added alone, two entries that
		// exchanged their revisions would leave the sum as it was.
		sum += xxhash.Sum64String(string(s.Name)) * (2*s.Rev + 1)
	}
	return sum
}

// keptGone is how many servers that are gone are remembered: more than leave within
// the time for which a VM that is then told of them may be away.
const keptGone = 512

// listing is the servers known here, with the place at which each came or changed.
// A part is worth it because a change mostly concerns one server: with three hundred
// VMs and as many kilobytes of list, each change would otherwise be a hundred
// megabytes from the leader's network link, and nobody would hear of the next.
type listing struct {
	now  ServerList
	came map[ident.Server]uint64
	gone []gone
	from uint64 // changes after this place are known
}

type gone struct {
	name ident.Server
	at   uint64
}

// set replaces the list and notes what changed.
func (l *listing) set(next ServerList) {
	if l.came == nil {
		l.came, l.from = map[ident.Server]uint64{}, next.Rev
	}
	former := make(map[ident.Server]uint64, len(l.now.List))
	for _, s := range l.now.List {
		former[s.Name] = s.Rev
	}
	for _, s := range next.List {
		if rev, known := former[s.Name]; !known || rev != s.Rev {
			l.came[s.Name] = next.Rev
		}
		delete(former, s.Name)
	}
	for name := range former {
		delete(l.came, name)
		l.gone = append(l.gone, gone{name: name, at: next.Rev})
	}
	if over := len(l.gone) - keptGone; over > 0 {
		l.from = l.gone[over-1].at
		l.gone = append(l.gone[:0], l.gone[over:]...)
	}
	next.Sum = SumOf(next.List)
	l.now = next
}

// since returns what changed after a place, or everything where that is not known.
func (l *listing) since(rev uint64) ServerList {
	if rev < l.from {
		return l.now
	}
	part := ServerList{Rev: l.now.Rev, Delta: true, Sum: l.now.Sum}
	for _, s := range l.now.List {
		if l.came[s.Name] > rev {
			part.List = append(part.List, s)
		}
	}
	for _, g := range l.gone {
		if _, back := l.came[g.name]; g.at > rev && !back {
			part.Gone = append(part.Gone, g.name)
		}
	}
	return part
}
