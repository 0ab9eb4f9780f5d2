package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// Views are what VMs report of each other's and of the servers' health. They are
// merged along the trees. Sent from each VM to each other, they would be n-1
// packets a second for each of n VMs, nearly all of them empty; beyond some thirty
// VMs they would exceed the 5 KB/s, and every VM would have to probe every server
// itself.
//
// So each VM answers a watcher's heartbeat up the tree, and an inner VM merges the
// answers of its subtree. The watcher sends the result to all with its next
// heartbeat: who answered, and which members are suspect. News is not delayed
// until the next heartbeat: it goes up the tree at once, merged at each step, and
// the watcher sends a heartbeat for it.
//
// A VM counts as heard when two watchers report that it answered them. The trees
// share no inner VM, so one VM that lies or is lost falsifies the report of one
// watcher only.

// Member is a 4-byte hash that identifies an entry VM or a backend server; 0
// identifies none. A collision costs an additional probe, or one of the two
// observations that a freeze needs.
type Member uint32

// MemberOf returns the identifier of a member; kind keeps entry VMs and backend
// servers apart.
func MemberOf(kind, name string) Member {
	return Member(max(1, uint32(xxhash.Sum64String(kind+"\x00"+name))))
}

// Claim lists VMs to which member Of looks frozen, maxClaimants at most: two are
// enough for a receiver to find one other than itself.
type Claim struct {
	_  struct{} `cbor:",toarray"`
	Of Member
	By []ident.VM
}

// View is what one VM, the VMs in a subtree, or all VMs report.
type View struct {
	List       uint32   `cbor:"1,keyasint,omitempty"` // sum of the peer list that Responders refers to; 0: the heartbeat's
	Responders []byte   `cbor:"2,keyasint,omitempty"` // VMs that answered; see vmSet
	Suspects   []Member `cbor:"3,keyasint,omitempty"` // members to be probed by every VM
	Claims     []Claim  `cbor:"4,keyasint,omitempty"` // members that look frozen
}

// News is a view that goes up the tree without waiting for the next heartbeat.
type News struct {
	Root ident.VM `cbor:"1,keyasint"`
	View View     `cbor:"2,keyasint"`
}

// ViewMsg replaces this VM's own view: the members that it suspects, and those
// that look frozen to it.
type ViewMsg struct {
	Suspect []Member
	Frozen  []Member
}

// ViewsCmd delivers the views of the VMs that are heard now. Each is to be handled
// as if that VM had sent it.
type ViewsCmd struct {
	Views   []PeerView
	Suspect []Member   // members that any VM suspects
	Missing []ident.VM // VMs that at least minConfirmations watchers no longer hear
}

// PeerView is one VM's view.
type PeerView struct {
	From   ident.VM
	Frozen []Member
}

const (
	// maxClaimants is the number of VMs that a Claim lists.
	maxClaimants = 2
	// minConfirmations is the number of watchers that must agree that a VM
	// answers, or that it does not.
	minConfirmations = 2
	// viewFresh is how long a watcher's view is valid: a heartbeat may be late by
	// half a period.
	viewFresh = Period + Period/2
	// maxViewDelay is the delay of a heartbeat from which its view is ignored.
	maxViewDelay = Period / 2
	// maxSuspects limits the members in one view: the servers and VMs of a data
	// centre at the largest size designed for. The rest is reported with a later
	// heartbeat, or found by each VM's own probes once that silence is noticed.
	maxSuspects = 1024
	// newsRepeat is how long a watcher repeats news: until a count that started
	// after it must have ended.
	newsRepeat = 2 * time.Second
)

// mergedView is a view that is being merged or was decoded.
type mergedView struct {
	list       *peerList // that responders refers to; nil: the responders are not known
	responders vmSet
	suspects   map[Member]bool
	claims     map[Member][]ident.VM
}

func (s *mergedView) empty() bool { return len(s.suspects) == 0 && len(s.claims) == 0 }

func (s *mergedView) addSuspect(id Member) {
	if len(s.suspects) >= maxSuspects || id == 0 {
		return
	}
	if s.suspects == nil {
		s.suspects = map[Member]bool{}
	}
	s.suspects[id] = true
}

func (s *mergedView) addClaim(id Member, by ident.VM) {
	vms, ok := s.claims[id]
	if !ok && len(s.claims) >= maxSuspects || len(vms) >= maxClaimants || id == 0 || slices.Contains(vms, by) {
		return
	}
	if s.claims == nil {
		s.claims = map[Member][]ident.VM{}
	}
	s.claims[id] = append(slices.Clip(vms), by)
}

// merge adds the contents of another view. Responders are only merged if both
// views refer to the same peer list.
func (s *mergedView) merge(o mergedView) {
	if s.list == o.list {
		s.responders.union(o.responders)
	}
	for id := range o.suspects {
		s.addSuspect(id)
	}
	for id, all := range o.claims {
		for _, by := range all {
			s.addClaim(id, by)
		}
	}
}

func (s *mergedView) responded(vm ident.VM) bool {
	at := s.list.index(vm)
	return at >= 0 && s.responders.has(at)
}

// ownView returns this VM's own view over a peer list.
func (m *Model) ownView(l *peerList) mergedView {
	s := mergedView{list: l, responders: newSet(len(l.names))}
	if i := l.index(m.self); i >= 0 {
		s.responders.add(i)
	}
	for _, id := range m.reported.Suspect {
		s.addSuspect(id)
	}
	for _, id := range m.reported.Frozen {
		s.addClaim(id, m.self)
	}
	return s
}

// encode returns the wire form for a heartbeat with the peer list listSum, or for
// an answer to it. A view without a peer list is news and has no responders.
func (s *mergedView) encode(listSum uint32) View {
	v := View{Suspects: slices.Sorted(maps.Keys(s.suspects))}
	if s.list != nil {
		v.Responders = s.responders.encode(len(s.list.names))
		if s.list.sum != listSum {
			v.List = s.list.sum
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.claims)) {
		v.Claims = append(v.Claims, Claim{Of: id, By: s.claims[id]})
	}
	return v
}

// decodeView reads a view that came with a heartbeat with the peer list listSum,
// or in answer to one.
func (m *Model) decodeView(v *View, listSum uint32) mergedView {
	s := mergedView{}
	for _, id := range v.Suspects {
		s.addSuspect(id)
	}
	for _, c := range v.Claims {
		for _, by := range c.By {
			s.addClaim(c.Of, by)
		}
	}
	if l := m.listBySum(cmp.Or(v.List, listSum)); l != nil && v.Responders != nil {
		if responders, ok := decodeSet(v.Responders, len(l.names)); ok {
			s.list, s.responders = l, responders
		}
	}
	return s
}

// onOwnView stores this VM's own view and sends it as news if it has changed.
func (m *Model) onOwnView(now time.Time, msg ViewMsg) {
	slices.Sort(msg.Suspect)
	slices.Sort(msg.Frozen)
	if slices.Equal(msg.Suspect, m.reported.Suspect) && slices.Equal(msg.Frozen, m.reported.Frozen) {
		return
	}
	m.reported = msg
	s := m.ownView(m.currentList())
	if s.empty() {
		return // an improvement can wait for the next heartbeat
	}
	for _, vm := range m.knownWatchers() {
		m.watcherOf(vm).addNews(now, s)
	}
}

// knownWatchers returns the watchers that were ever heard, this VM included if it
// is one.
func (m *Model) knownWatchers() []ident.VM {
	var all []ident.VM
	for _, vm := range slices.Sorted(maps.Keys(m.watchers)) {
		if w := m.watchers[vm]; !w.at.IsZero() {
			all = append(all, vm)
		}
	}
	return all
}

// addNews merges news that must go up the tree.
func (w *watcher) addNews(now time.Time, s mergedView) {
	if w.news == nil || now.Sub(w.newsAt) > newsRepeat {
		w.news = &mergedView{}
	}
	w.news.merge(s)
	w.newsAt, w.urgent = now, true
}

func (m *Model) onNews(now time.Time, n *News) {
	if w := m.watchers[n.Root]; w != nil {
		w.addNews(now, m.decodeView(&n.View, 0))
	}
}

// forwardNews sends merged news up the trees. It does so at each tick and not at
// each arrival: when a data centre is lost, a thousand VMs have news within a
// second.
func (m *Model) forwardNews() []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.watchers)) {
		w := m.watchers[vm]
		if !w.urgent || vm == m.self {
			continue
		}
		w.urgent = false
		if w.parent != "" {
			cmds = append(cmds, SendCmd{To: w.parent, Packet: Packet{News: &News{Root: vm, View: w.news.encode(0)}}})
		}
		w.news = nil
	}
	return cmds
}

// hasUrgentNews reports whether this watcher must send a heartbeat at once: it has
// news, or a VM no longer answers.
func (m *Model) hasUrgentNews() bool {
	w := m.watchers[m.self]
	return w != nil && w.urgent
}

// heartbeatView returns the view of a watcher's heartbeat: the latest merged
// answers, and the news since then.
func (m *Model) heartbeatView(now time.Time, w *watcher, listSum uint32) *View {
	s := mergedView{list: w.lastView.list, responders: slices.Clone(w.lastView.responders)}
	s.merge(*w.lastView)
	if w.news != nil && now.Sub(w.newsAt) <= newsRepeat {
		s.merge(*w.news)
	}
	w.urgent = false
	v := s.encode(listSum)
	return &v
}

// onWatcherView stores a watcher's merged view and reports which VMs are heard.
func (m *Model) onWatcherView(now time.Time, w *watcher, s mergedView) loop.Cmd {
	w.view, w.viewAt = s, now
	cmd := ViewsCmd{Suspect: slices.Sorted(maps.Keys(s.suspects))}
	views := m.currentViews(now)
	claims := claimsByVM(views)
	reporting := 0
	for _, group := range views {
		if len(group) > 0 {
			reporting++
		}
	}
	for _, vm := range m.currentList().names {
		heard := 0
		for _, group := range views {
			if slices.ContainsFunc(group, func(v mergedView) bool { return v.responded(vm) }) {
				heard++
			}
		}
		switch {
		case vm == m.self:
		case heard >= minConfirmations:
			cmd.Views = append(cmd.Views, PeerView{From: vm, Frozen: claims[vm]})
		case reporting-heard >= minConfirmations:
			cmd.Missing = append(cmd.Missing, vm)
		}
	}
	return cmd
}

// currentViews returns the watchers' valid views, grouped by tree index. While a
// watcher is lost, or looks lost to some VMs, there are more than three trees;
// those of one index share inner VMs, so one VM could falsify more than one of
// them.
func (m *Model) currentViews(now time.Time) (all [Watchers][]mergedView) {
	for _, vm := range slices.Sorted(maps.Keys(m.watchers)) {
		w := m.watchers[vm]
		if w.viewAt.IsZero() || now.Sub(w.viewAt) > viewFresh {
			continue
		}
		all[w.treeIndex] = append(all[w.treeIndex], w.view)
	}
	return all
}

// claimsByVM groups the claims of all views by the VM that made them.
func claimsByVM(views [Watchers][]mergedView) map[ident.VM][]Member {
	claims := map[ident.VM][]Member{}
	for _, v := range slices.Concat(views[:]...) {
		for _, id := range slices.Sorted(maps.Keys(v.claims)) {
			for _, by := range v.claims[id] {
				if !slices.Contains(claims[by], id) {
					claims[by] = append(claims[by], id)
				}
			}
		}
	}
	return claims
}

func validView(v *View) bool {
	for _, c := range v.Claims {
		if len(c.By) > maxClaimants {
			return false
		}
	}
	return len(v.Responders) <= maxVMs && len(v.Suspects) <= maxSuspects && len(v.Claims) <= maxSuspects
}
