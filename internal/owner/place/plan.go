package place

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Plan returns the moves that should be made now, in order. The same input gives
// the same plan, so two VMs that see the same agree without talking.
func Plan(in Input) []Move {
	p := newPlan(in)
	if len(p.takers) == 0 || len(in.Owners) == 0 {
		return nil
	}
	p.rescue()
	p.balance()
	return p.moves()
}

// item is what moves as one: a slice, or one of its hot keys.
type item struct {
	slice ident.Slice
	hot   int // index in Input.Hot, or -1
	load  float64
	was   int // server index before, -1 for none
	now   int
	why   Reason
}

// host is a server with what it has.
type host struct {
	Server
	capacity float64
	load     float64
	count    int   // items that it has
	items    []int // by load, the largest first; sorted at first use
	sorted   bool
	stuck    bool // nothing can be moved away from it
}

func (h *host) ratio() float64 { return h.load / h.capacity }

func (h *host) crowd() float64 { return float64(h.count) / h.capacity }

type plan struct {
	in      Input
	hosts   []host
	takers  []int
	items   []item
	total   float64
	mean    float64 // load for each unit of capacity
	spent   int
	byRatio *ladder            // takers, the least loaded first
	byCount *ladder            // takers, those with the fewest items first
	centres map[string]*ladder // the same for each data centre
}

func newPlan(in Input) *plan {
	p := &plan{in: in, centres: map[string]*ladder{}}
	index := make(map[ident.Server]int, len(in.Servers))
	for _, s := range in.Servers {
		h := host{Server: s, capacity: cmp.Or(s.Weight, 1) * cmp.Or(s.Ramp, 1)}
		index[s.ID] = len(p.hosts)
		if s.Accepting {
			p.takers = append(p.takers, len(p.hosts))
		}
		p.hosts = append(p.hosts, h)
	}
	p.addItems(index)
	capacity := 0.0
	for _, i := range p.takers {
		capacity += p.hosts[i].capacity
	}
	if capacity > 0 {
		p.mean = p.total / capacity
	}
	return p
}

// addItems lists slices and the hot keys that are apart or large enough to be.
func (p *plan) addItems(index map[ident.Server]int) {
	find := func(id ident.Server) int {
		if i, ok := index[id]; ok {
			return i
		}
		return -1
	}
	p.items = make([]item, len(p.in.Owners))
	per := make([]int, len(p.hosts))
	for s, owner := range p.in.Owners {
		load := 1.0
		if p.in.Loads != nil {
			load = p.in.Loads[s]
		}
		at := find(owner)
		p.items[s] = item{slice: ident.Slice(s), hot: -1, load: load, was: at, now: at}
		p.total += load
		if at >= 0 {
			per[at]++
		}
	}
	for i := range p.hosts {
		p.hosts[i].items = make([]int, 0, per[i]+len(p.in.Hot))
	}
	p.addHot(find)
	for i := range p.items {
		if at := p.items[i].now; at >= 0 {
			p.hosts[at].load += p.items[i].load
			p.hosts[at].count++
			p.hosts[at].items = append(p.hosts[at].items, i)
		}
	}
}

// hotShare is the share of a server's fair load from which a key is looked at by
// itself. Smaller keys travel with their slices.
const hotShare = 0.05

func (p *plan) addHot(find func(ident.Server) int) {
	least := p.total / float64(max(1, len(p.takers))) * hotShare
	for i, h := range p.in.Hot {
		if int(h.Slice) >= len(p.in.Owners) || h.Owner == "" && h.Load < least {
			continue
		}
		s := &p.items[h.Slice]
		load := min(h.Load, s.load)
		s.load -= load
		at := s.was
		if h.Owner != "" {
			at = find(h.Owner)
		}
		p.items = append(p.items, item{slice: h.Slice, hot: i, load: load, was: at, now: at})
	}
}

// rescue finds new owners for everything that has none or whose owner does not
// take keys. The largest go first, each to the least loaded server.
//
// What nobody asked for lately weighs nothing wherever it goes. By load alone
// all of it would go to the one server that is least loaded at the moment: a
// quiet service that lost a server would put that server's keys on a single
// other one, which then has twice the keys of the rest when they are asked for.
// So it goes to those that have the fewest.
func (p *plan) rescue() {
	p.climb()
	var homeless []int
	for i := range p.items {
		x := &p.items[i]
		switch {
		case x.now < 0:
			x.why = Orphan
		case !p.hosts[x.now].Accepting:
			x.why = Drain
		default:
			continue
		}
		homeless = append(homeless, i)
	}
	slices.SortStableFunc(homeless, func(a, b int) int { return cmp.Compare(p.items[b].load, p.items[a].load) })
	for _, i := range homeless {
		if p.items[i].load > 0 {
			p.put(i, p.least(p.items[i].slice))
		} else {
			p.put(i, p.byCount.top())
		}
	}
}

// climb builds the ladders.
func (p *plan) climb() {
	p.byRatio = newLadder(p.hosts, p.takers, (*host).ratio)
	p.byCount = newLadder(p.hosts, p.takers, (*host).crowd)
	byCentre := map[string][]int{}
	for _, i := range p.takers {
		c := string(p.hosts[i].Centre)
		byCentre[c] = append(byCentre[c], i)
	}
	for c, list := range byCentre {
		p.centres[c] = newLadder(p.hosts, list, (*host).ratio)
	}
}

// homeRoom is how much above the mean a server near a slice's callers may be and
// still be preferred: a step between data centres costs 1.5 ms, which a little
// more load does not outweigh.
const homeRoom = 1.02

// least returns where an item should go: the least loaded server near its
// callers if that has room, and otherwise the least loaded of all.
func (p *plan) least(s ident.Slice) int {
	best := p.byRatio.top()
	if p.in.Homes == nil || p.in.Homes[s] == "" {
		return best
	}
	near := p.centres[string(p.in.Homes[s])]
	if near == nil || p.hosts[near.top()].ratio() > p.mean*homeRoom {
		return best
	}
	return near.top()
}

// put gives an item to a server and keeps the books.
func (p *plan) put(i, to int) {
	x := &p.items[i]
	if x.now >= 0 {
		p.hosts[x.now].load -= x.load
		p.hosts[x.now].count--
		p.settle(x.now)
	}
	x.now = to
	p.hosts[to].load += x.load
	p.hosts[to].count++
	p.hosts[to].items = append(p.hosts[to].items, i)
	p.hosts[to].sorted = false
	p.settle(to)
}

func (p *plan) settle(h int) {
	if !p.hosts[h].Accepting {
		return
	}
	p.byRatio.fix(h)
	p.byCount.fix(h)
	p.centres[string(p.hosts[h].Centre)].fix(h)
}

// moves compares where everything was with where it is.
func (p *plan) moves() []Move {
	var out []Move
	for i := range p.items {
		x := &p.items[i]
		if x.hot >= 0 {
			out = p.hotMove(out, x)
			continue
		}
		if x.now != x.was {
			out = append(out, Move{Slice: x.slice, From: p.in.Owners[x.slice], To: p.hosts[x.now].ID, Reason: x.why})
		}
	}
	slices.SortStableFunc(out, func(a, b Move) int { return cmp.Compare(order(a.Reason), order(b.Reason)) })
	return out
}

func order(w Reason) int {
	return slices.Index([]Reason{Hold, Orphan, Drain, Join, Excess, Fill}, w)
}

// hotMove says what changes for a key that was looked at by itself.
func (p *plan) hotMove(out []Move, x *item) []Move {
	h := p.in.Hot[x.hot]
	slice := &p.items[x.slice]
	apart := h.Owner != ""
	from := h.Owner
	if !apart {
		from = p.in.Owners[x.slice]
	}
	m := Move{Slice: x.slice, Key: h.Key, From: from, To: p.hosts[x.now].ID, Reason: x.why}
	switch {
	case x.now == slice.now && !apart:
		return out // it goes, or stays, with its slice
	case x.now == slice.now && m.From == m.To:
		m.Reason = Join
	case x.now == x.was && apart:
		return out
	case x.now == x.was:
		m.Reason = Hold
	}
	return append(out, m)
}

// sortItems orders what a server has, the largest first, and drops what it no
// longer has.
func (p *plan) sortItems(h int) []int {
	x := &p.hosts[h]
	if x.sorted {
		return x.items
	}
	x.items = slices.DeleteFunc(x.items, func(i int) bool { return p.items[i].now != h })
	slices.SortFunc(x.items, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.items[b].load, p.items[a].load), cmp.Compare(a, b))
	})
	x.items = slices.Compact(x.items)
	x.sorted = true
	return x.items
}

// largest returns the largest item of a server with a load of at most room and
// above zero, or -1.
func (p *plan) largest(h int, room float64) int {
	items := p.sortItems(h)
	from := sort.Search(len(items), func(k int) bool { return p.items[items[k]].load <= room })
	for _, i := range items[from:] {
		if p.items[i].load <= 0 {
			return -1
		}
		if p.items[i].now == h {
			return i
		}
	}
	return -1
}

// ladder is a heap of servers, the one with the least of something at the top.
type ladder struct {
	hosts []host
	of    func(*host) float64
	list  []int
	at    map[int]int
}

func newLadder(hosts []host, members []int, of func(*host) float64) *ladder {
	l := &ladder{hosts: hosts, of: of, list: slices.Clone(members), at: make(map[int]int, len(members))}
	for k, h := range l.list {
		l.at[h] = k
	}
	heap.Init(l)
	return l
}

func (l *ladder) top() int { return l.list[0] }

func (l *ladder) fix(h int) { heap.Fix(l, l.at[h]) }

// Len implements heap.Interface.
func (l *ladder) Len() int { return len(l.list) }

// Less implements heap.Interface.
func (l *ladder) Less(i, j int) bool {
	a, b := &l.hosts[l.list[i]], &l.hosts[l.list[j]]
	return cmp.Or(cmp.Compare(l.of(a), l.of(b)), cmp.Compare(l.list[i], l.list[j])) < 0
}

// Swap implements heap.Interface.
func (l *ladder) Swap(i, j int) {
	l.list[i], l.list[j] = l.list[j], l.list[i]
	l.at[l.list[i]], l.at[l.list[j]] = i, j
}

// Push implements heap.Interface; a ladder never grows.
func (l *ladder) Push(any) {}

// Pop implements heap.Interface; a ladder never shrinks.
func (l *ladder) Pop() any { return nil }
