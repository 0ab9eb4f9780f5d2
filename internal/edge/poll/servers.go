package poll

import (
	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

// ServerList is the list of servers as of a revision: all servers, or a delta to an
// earlier revision.
type ServerList struct {
	Rev   uint64         `json:"rev"`
	Delta bool           `json:"part,omitempty"` // List and Gone hold only what changed
	List  []feed.Server  `json:"list"`
	Gone  []ident.Server `json:"gone,omitempty"`
	// Sum is the checksum of all servers, see SumOf. A VM that gets another sum after
	// applying a delta has missed a change.
	Sum uint64 `json:"sum,omitempty"`
}

// SumOf returns a checksum of names and revisions that does not depend on their order.
func SumOf(list []feed.Server) uint64 {
	var sum uint64
	for _, s := range list {
		// The revision is used as an odd factor. If it were added, the sum would not
		// change when two entries exchange their revisions.
		sum += xxhash.Sum64String(string(s.Name)) * (2*s.Rev + 1)
	}
	return sum
}

// maxKeptGone is how many removed servers are remembered. It is more than leave during
// the longest absence after which a VM still gets a delta.
const maxKeptGone = 512

// serverHistory holds the servers known here with the revision at which each was added or
// changed. Most changes concern one server, so it can produce deltas: with three hundred
// VMs and a list of three hundred kilobytes, each change would otherwise send a hundred
// megabytes over the leader's network link and delay the next one.
type serverHistory struct {
	current      ServerList
	changedAt    map[ident.Server]uint64
	gone         []goneServer
	completeFrom uint64 // all changes after this revision are known
}

type goneServer struct {
	name ident.Server
	at   uint64
}

// set replaces the list and records what changed.
func (l *serverHistory) set(next ServerList) {
	if l.changedAt == nil {
		l.changedAt, l.completeFrom = map[ident.Server]uint64{}, next.Rev
	}
	oldRevs := make(map[ident.Server]uint64, len(l.current.List))
	for _, s := range l.current.List {
		oldRevs[s.Name] = s.Rev
	}
	for _, s := range next.List {
		if rev, known := oldRevs[s.Name]; !known || rev != s.Rev {
			l.changedAt[s.Name] = next.Rev
		}
		delete(oldRevs, s.Name)
	}
	for name := range oldRevs {
		delete(l.changedAt, name)
		l.gone = append(l.gone, goneServer{name: name, at: next.Rev})
	}
	if over := len(l.gone) - maxKeptGone; over > 0 {
		l.completeFrom = l.gone[over-1].at
		l.gone = append(l.gone[:0], l.gone[over:]...)
	}
	next.Sum = SumOf(next.List)
	l.current = next
}

// since returns what changed after a revision, or the complete list if that is not known.
func (l *serverHistory) since(rev uint64) ServerList {
	if rev < l.completeFrom {
		return l.current
	}
	delta := ServerList{Rev: l.current.Rev, Delta: true, Sum: l.current.Sum}
	for _, s := range l.current.List {
		if l.changedAt[s.Name] > rev {
			delta.List = append(delta.List, s)
		}
	}
	for _, g := range l.gone {
		if _, back := l.changedAt[g.name]; g.at > rev && !back {
			delta.Gone = append(delta.Gone, g.name)
		}
	}
	return delta
}
