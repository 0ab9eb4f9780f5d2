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

// Views go through the trees. Sent from each VM to each other, they are n-1
// packets a second for each of n VMs, of which nearly all say "nothing to
// report"; beyond some thirty VMs they no longer fit the 5 KB/s, and every VM has
// to probe every server itself.
//
// So each VM answers a watcher's pulse up the tree, and an inner VM joins the
// answers below it into one. What a watcher has collected rides on its next pulse
// to all: who answered, and what is out of order. A VM that has something new to
// say does not wait for the pulse: it goes up at once, joined with others at each
// step, and the watcher sends a pulse for it.
//
// A VM counts as heard when two watchers say that it answered them. The trees
// share no inner VM, so one that lies or is lost spoils one watcher's word.

// Member names a member of a roster by four bytes; 0 names none. Two members
// that share a name cost a probe more, or one of the two witnesses of a freeze.
type Member uint32

// MemberOf names a member; sort keeps entry VMs and backend servers apart.
func MemberOf(sort, name string) Member {
	return Member(max(1, uint32(xxhash.Sum64String(sort+"\x00"+name))))
}

// Claim tells which VMs hold a member to look frozen: two of them at most, which
// is as many as a receiver can tell apart from itself and from none.
type Claim struct {
	_  struct{} `cbor:",toarray"`
	Of Member
	By []ident.VM
}

// View is what the VMs below one VM of a tree say, or all of them.
type View struct {
	List       uint32   `cbor:"1,keyasint,omitempty"` // of VMs that Here counts by; 0: the pulse's
	Responders []byte   `cbor:"2,keyasint,omitempty"` // who answered; see set
	Odd        []Member `cbor:"3,keyasint,omitempty"` // who is to be looked at more closely
	Bad        []Claim  `cbor:"4,keyasint,omitempty"` // who looks frozen
}

// News is a view that does not wait for the next pulse. It goes up the tree.
type News struct {
	Root ident.VM `cbor:"1,keyasint"`
	View View     `cbor:"2,keyasint"`
}

// ViewMsg tells what this VM holds of others, in place of what it said before.
type ViewMsg struct {
	Suspect []Member
	Frozen  []Member
}

// ViewsCmd hands out the views of the VMs that are heard now. Send each on as
// that VM's own.
type ViewsCmd struct {
	Views   []PeerView
	Suspect []Member   // as any VM finds
	Missing []ident.VM // whom enough watchers no longer hear
}

// PeerView is one VM's view.
type PeerView struct {
	From   ident.VM
	Frozen []Member
}

const (
	// claimants of a member are passed on; see Claim.
	claimants = 2
	// vouchers are the watchers that must have heard a VM.
	vouchers = 2
	// wordFor is how long a watcher's word counts: a pulse may be late by half a
	// period. lateWord is when a pulse was held back too long for its word to
	// count at all.
	wordFor  = Period + Period/2
	lateWord = Period / 2
	// maxOdd bounds the members of one view: a data centre's servers and VMs at
	// the size that is designed for. What is beyond it is said a pulse later, or
	// found by each VM's own probes when that silence is noticed.
	maxOdd = 1024
	// newsFor is how long news is repeated by a watcher: until a count that was
	// begun after it can have ended.
	newsFor = 2 * time.Second
)

// said is a view that is being put together.
type said struct {
	list *peerList // that here counts by; nil: of this view nothing is known
	here set
	odd  map[Member]bool
	bad  map[Member][]ident.VM
}

func (s *said) empty() bool { return len(s.odd) == 0 && len(s.bad) == 0 }

func (s *said) addOdd(id Member) {
	if len(s.odd) >= maxOdd || id == 0 {
		return
	}
	if s.odd == nil {
		s.odd = map[Member]bool{}
	}
	s.odd[id] = true
}

func (s *said) addBad(id Member, by ident.VM) {
	was, ok := s.bad[id]
	if !ok && len(s.bad) >= maxOdd || len(was) >= claimants || id == 0 || slices.Contains(was, by) {
		return
	}
	if s.bad == nil {
		s.bad = map[Member][]ident.VM{}
	}
	s.bad[id] = append(slices.Clip(was), by)
}

// join adds what another view says. Who is here counts only by the same list.
func (s *said) join(o said) {
	if s.list == o.list {
		s.here.join(o.here)
	}
	for id := range o.odd {
		s.addOdd(id)
	}
	for id, all := range o.bad {
		for _, by := range all {
			s.addBad(id, by)
		}
	}
}

func (s *said) has(vm ident.VM) bool {
	at := s.list.place(vm)
	return at >= 0 && s.here.has(at)
}

// word is what this VM says itself.
func (m *Model) word(l *peerList) said {
	s := said{list: l, here: newSet(len(l.names))}
	if i := l.place(m.self); i >= 0 {
		s.here.add(i)
	}
	for _, id := range m.say.Suspect {
		s.addOdd(id)
	}
	for _, id := range m.say.Frozen {
		s.addBad(id, m.self)
	}
	return s
}

// pack renders a view for a pulse of a list, or for the answer to one. Without a
// list of its own it is only news.
func (s *said) pack(by uint32) View {
	v := View{Odd: slices.Sorted(maps.Keys(s.odd))}
	if s.list != nil {
		v.Responders = s.here.pack(len(s.list.names))
		if s.list.sum != by {
			v.List = s.list.sum
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.bad)) {
		v.Bad = append(v.Bad, Claim{Of: id, By: s.bad[id]})
	}
	return v
}

// unpack reads a view that came with a pulse of a list, or in answer to one.
func (m *Model) unpack(v *View, by uint32) said {
	s := said{}
	for _, id := range v.Odd {
		s.addOdd(id)
	}
	for _, c := range v.Bad {
		for _, by := range c.By {
			s.addBad(c.Of, by)
		}
	}
	if l := m.listBy(cmp.Or(v.List, by)); l != nil && v.Responders != nil {
		if here, ok := unpack(v.Responders, len(l.names)); ok {
			s.list, s.here = l, here
		}
	}
	return s
}

// onSay takes what this VM holds, and has it told if it is new.
func (m *Model) onSay(now time.Time, msg ViewMsg) {
	slices.Sort(msg.Suspect)
	slices.Sort(msg.Frozen)
	if slices.Equal(msg.Suspect, m.say.Suspect) && slices.Equal(msg.Frozen, m.say.Frozen) {
		return
	}
	m.say = msg
	s := m.word(m.list())
	if s.empty() {
		return // that something is over can wait for the next pulse
	}
	for _, vm := range m.heardRoots() {
		m.rootOf(vm).hear(now, s)
	}
}

// heardRoots are the watchers that were heard lately, this VM included.
func (m *Model) heardRoots() []ident.VM {
	var all []ident.VM
	for _, vm := range slices.Sorted(maps.Keys(m.roots)) {
		if r := m.roots[vm]; !r.at.IsZero() {
			all = append(all, vm)
		}
	}
	return all
}

// hear takes news that is to go up.
func (r *root) hear(now time.Time, s said) {
	if r.news == nil || now.Sub(r.newsAt) > newsFor {
		r.news = &said{}
	}
	r.news.join(s)
	r.newsAt, r.unsent = now, true
}

func (m *Model) onNews(now time.Time, n *News) {
	if r := m.roots[n.Root]; r != nil {
		r.hear(now, m.unpack(&n.View, 0))
	}
}

// newsUp sends news on, at each tick and not at each arrival: when a data centre
// is lost, a thousand VMs have news within a second.
func (m *Model) newsUp() []loop.Cmd {
	var cmds []loop.Cmd
	for _, vm := range slices.Sorted(maps.Keys(m.roots)) {
		r := m.roots[vm]
		if !r.unsent || vm == m.self {
			continue
		}
		r.unsent = false
		if r.from != "" {
			cmds = append(cmds, SendCmd{To: r.from, Packet: Packet{News: &News{Root: vm, View: r.news.pack(0)}}})
		}
		r.news = nil
	}
	return cmds
}

// hurries reports whether this watcher has something for a pulse of its own:
// news, or a VM that no longer answers.
func (m *Model) hurries() bool {
	r := m.roots[m.self]
	return r != nil && r.unsent
}

// collected is what a watcher's pulse tells all: the latest count, and the news
// that came since.
func (m *Model) collected(now time.Time, r *root, by uint32) *View {
	s := said{list: r.got.list, here: slices.Clone(r.got.here)}
	s.join(*r.got)
	if r.news != nil && now.Sub(r.newsAt) <= newsFor {
		s.join(*r.news)
	}
	r.unsent = false
	v := s.pack(by)
	return &v
}

// onView takes what a watcher collected.
func (m *Model) onView(now time.Time, r *root, s said) loop.Cmd {
	r.word, r.wordAt = s, now
	cmd := ViewsCmd{Suspect: slices.Sorted(maps.Keys(s.odd))}
	words := m.words(now)
	bad := accusations(words)
	known := 0
	for _, same := range words {
		if len(same) > 0 {
			known++
		}
	}
	for _, vm := range m.list().names {
		heard := 0
		for _, same := range words {
			if slices.ContainsFunc(same, func(w said) bool { return w.has(vm) }) {
				heard++
			}
		}
		switch {
		case vm == m.self:
		case heard >= vouchers:
			cmd.Views = append(cmd.Views, PeerView{From: vm, Frozen: bad[vm]})
		case known-heard >= vouchers:
			cmd.Missing = append(cmd.Missing, vm)
		}
	}
	return cmd
}

// words are the watchers' words that count now, together where the trees share
// inner VMs: while a watcher is lost, or seems so to some, there are more than
// three trees, and one VM could spoil two of them.
func (m *Model) words(now time.Time) (all [Watchers][]said) {
	for _, vm := range slices.Sorted(maps.Keys(m.roots)) {
		r := m.roots[vm]
		if r.wordAt.IsZero() || now.Sub(r.wordAt) > wordFor {
			continue
		}
		all[r.turn] = append(all[r.turn], r.word)
	}
	return all
}

// accusations sorts the claims of all words by who made them.
func accusations(words [Watchers][]said) map[ident.VM][]Member {
	bad := map[ident.VM][]Member{}
	for _, w := range slices.Concat(words[:]...) {
		for _, id := range slices.Sorted(maps.Keys(w.bad)) {
			for _, by := range w.bad[id] {
				if !slices.Contains(bad[by], id) {
					bad[by] = append(bad[by], id)
				}
			}
		}
	}
	return bad
}

func saneView(v *View) bool {
	for _, c := range v.Bad {
		if len(c.By) > claimants {
			return false
		}
	}
	return len(v.Responders) <= maxPlace && len(v.Odd) <= maxOdd && len(v.Bad) <= maxOdd
}
