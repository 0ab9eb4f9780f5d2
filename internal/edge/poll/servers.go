package poll

import (
	"fmt"
	"time"

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
	// Leaving is how long the sender has known that servers of List leave.
	Leaving map[ident.Server]time.Duration `json:"leaving,omitempty"`
	// Since is since when all servers that leave do so, as known on this VM. It is not sent.
	Since map[ident.Server]time.Time `json:"-"`
	// Sum is the checksum of all servers, see SumOf. A VM that gets another sum after
	// applying a delta has missed a change.
	Sum uint64 `json:"sum,omitempty"`
	// Digest is that of all servers, see DigestOf. It is not part of a list that is sent.
	Digest uint32 `json:"-"`
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

// DigestOf returns a short checksum of which processes are listed, never zero. The same servers
// have the same digest whatever the revisions of their entries.
func DigestOf(list []feed.Server) uint32 {
	var sum uint64
	for _, s := range list {
		sum += xxhash.Sum64String(fmt.Sprint(s.Name, s.Addr, s.Incarnation, s.Leaving))
	}
	return uint32(sum^sum>>32) | 1
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
func (h *serverHistory) set(next ServerList) {
	if h.changedAt == nil {
		h.changedAt, h.completeFrom = map[ident.Server]uint64{}, next.Rev
	}
	oldRevs := make(map[ident.Server]uint64, len(h.current.List))
	for _, s := range h.current.List {
		oldRevs[s.Name] = s.Rev
	}
	for _, s := range next.List {
		if rev, known := oldRevs[s.Name]; !known || rev != s.Rev {
			h.changedAt[s.Name] = next.Rev
		}
		delete(oldRevs, s.Name)
	}
	for name := range oldRevs {
		delete(h.changedAt, name)
		h.gone = append(h.gone, goneServer{name: name, at: next.Rev})
	}
	if over := len(h.gone) - maxKeptGone; over > 0 {
		h.completeFrom = h.gone[over-1].at
		h.gone = append(h.gone[:0], h.gone[over:]...)
	}
	next.Sum, next.Digest = SumOf(next.List), DigestOf(next.List)
	h.current = next
}

// noteLeaving adds for how long the servers of the list have been leaving.
func (l *ServerList) noteLeaving(now time.Time, since map[ident.Server]time.Time) {
	l.Leaving = nil
	for _, s := range l.List {
		at, leaving := since[s.Name]
		if !leaving {
			continue
		}
		if l.Leaving == nil {
			l.Leaving = map[ident.Server]time.Duration{}
		}
		l.Leaving[s.Name] = max(now.Sub(at), 0)
	}
}

// since returns what changed after a revision, or the complete list if that is not known.
func (h *serverHistory) since(rev uint64) ServerList {
	if rev < h.completeFrom {
		return h.current
	}
	delta := ServerList{Rev: h.current.Rev, Delta: true, Sum: h.current.Sum}
	for _, s := range h.current.List {
		if h.changedAt[s.Name] > rev {
			delta.List = append(delta.List, s)
		}
	}
	for _, g := range h.gone {
		if _, back := h.changedAt[g.name]; g.at > rev && !back {
			delta.Gone = append(delta.Gone, g.name)
		}
	}
	return delta
}

// ServersSince returns what changed among the servers after a revision that another VM knows, and
// whether there is anything to tell.
func (h *Hub) ServersSince(rev uint64) (ServerList, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serversSince(rev)
}

// serversSince is ServersSince for a caller that holds mu.
func (h *Hub) serversSince(rev uint64) (ServerList, bool) {
	if h.servers.current.Rev <= rev {
		return ServerList{}, false
	}
	l := h.servers.since(rev)
	l.noteLeaving(time.Now(), h.servers.current.Since)
	return l, true
}
