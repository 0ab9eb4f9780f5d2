package fleet

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// State is what the fleet knows of a service as a whole.
type State struct {
	Full   Full `json:"f,omitempty"`
	Places int  `json:"p,omitempty"` // requests that one server holds, see [Places]; zero if unknown
}

// merge returns the state with what another one adds.
func (s State) merge(other State) State {
	return State{Full: max(s.Full, other.Full), Places: max(s.Places, other.Places)}
}

// Book is what a VM knows of the load of all servers: the leader's lists, and the states of
// services, which outlive a leader. The zero value knows nothing.
type Book struct {
	entries map[ident.Process]known
	newest  map[ident.Server]int64 // newest process of each server
	states  map[ident.Service]State
	rev     uint64                  // of states, increases with each change here
	leader  map[ident.Service]State // states that the leader is known to know
}

// known is an entry and when its ages held.
type known struct {
	Entry
	at time.Time
}

// Apply handles a list whose ages held at a time. It returns the entries that are news, with
// ages as of that time. An entry that is older than the one known, or of an earlier process
// of its server, is none. A load report stays until a newer one comes: a new leader may know
// less than the one before.
func (b *Book) Apply(at time.Time, list []Entry) []Entry {
	if b.entries == nil {
		b.entries, b.newest = map[ident.Process]known{}, map[ident.Server]int64{}
	}
	var news []Entry
	for _, e := range list {
		old, ok := b.entries[e.Process()]
		if ok && !at.After(old.at) || e.Incarnation < b.newest[e.Server] {
			continue
		}
		if ok {
			e = old.mergeAges(at, e)
		}
		b.put(at, e)
		news = append(news, e)
	}
	return news
}

// put stores an entry, and forgets the earlier process of its server.
func (b *Book) put(at time.Time, e Entry) {
	if last, ok := b.newest[e.Server]; ok && last != e.Incarnation {
		delete(b.entries, ident.Process{Server: e.Server, Incarnation: last})
	}
	b.newest[e.Server] = e.Incarnation
	b.entries[e.Process()] = known{Entry: e, at: at}
}

// mergeAges returns the entry e, whose ages hold at a time, with the reports of k where they
// are newer.
func (k known) mergeAges(at time.Time, e Entry) Entry {
	passed := at.Sub(k.at)
	if k.LoadAge > 0 && (e.LoadAge == 0 || k.LoadAge+passed < e.LoadAge) {
		e.Load, e.LoadAge = k.Load, k.LoadAge+passed
	}
	if k.ServedAge > 0 && (e.ServedAge == 0 || k.ServedAge+passed < e.ServedAge) {
		e.ServedAge = k.ServedAge + passed
	}
	return e
}

// Count returns the number of entries that are at most maxAge old, and their mean age.
func (b *Book) Count(now time.Time, maxAge time.Duration) (n int, mean time.Duration) {
	var sum time.Duration
	for _, k := range b.entries {
		if age := now.Sub(k.at); age <= maxAge {
			n++
			sum += age
		}
	}
	return n, sum / time.Duration(max(n, 1))
}

// Retain forgets the processes that are not listed any more.
func (b *Book) Retain(listed func(ident.Process) bool) {
	for p := range b.entries {
		if !listed(p) {
			delete(b.entries, p)
			delete(b.newest, p.Server)
		}
	}
}

// State returns what is known of a service.
func (b *Book) State(svc ident.Service) State { return b.states[svc] }

// Learn adds to what is known of services.
func (b *Book) Learn(all map[ident.Service]State) {
	for svc, s := range all {
		next := b.states[svc].merge(s)
		if next == b.states[svc] {
			continue
		}
		if b.states == nil {
			b.states = map[ident.Service]State{}
		}
		b.states[svc] = next
		b.rev++
	}
}

// LearnFromLeader adds what the leader knows of services.
func (b *Book) LearnFromLeader(all map[ident.Service]State) {
	b.Learn(all)
	b.leader = maps.Clone(all)
}

// LeaderChanged prepares for a leader that knows nothing yet.
func (b *Book) LeaderChanged() { b.leader = nil }

// Unknown returns what the leader does not know of services.
func (b *Book) Unknown() map[ident.Service]State {
	var all map[ident.Service]State
	for svc, s := range b.states {
		if b.leader[svc].merge(s) == b.leader[svc] {
			continue
		}
		if all == nil {
			all = map[ident.Service]State{}
		}
		all[svc] = s
	}
	return all
}

// States returns what is known of services, and a revision that increases with each change.
func (b *Book) States() (map[ident.Service]State, uint64) { return maps.Clone(b.states), b.rev }
