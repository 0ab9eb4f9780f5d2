package place

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Plan returns the moves that should be made now, in order. The same input gives the same
// plan, so two VMs with the same input agree without communicating.
func Plan(in Input) []Move {
	p := newPlan(in)
	if len(p.accepting) == 0 || len(in.Owners) == 0 {
		return nil
	}
	p.placeOrphans()
	p.balance()
	return p.moves()
}

// item is what moves as one unit: a slice, or one of its hot keys.
type item struct {
	slice  ident.Slice
	hot    int // index in Input.Hot, or -1
	load   float64
	prev   int // index of the server before the plan, -1 for none
	host   int
	reason Reason
}

// host is a server with the items placed on it.
type host struct {
	Server
	capacity float64
	load     float64
	count    int   // number of items
	items    []int // sorted by load in descending order when needed
	sorted   bool
	stuck    bool // no item can be moved away from it
}

func (h *host) ratio() float64 { return h.load / h.capacity }

func (h *host) itemRatio() float64 { return float64(h.count) / h.capacity }

type plan struct {
	in           Input
	hosts        []host
	accepting    []int
	items        []item
	total        float64
	meanRatio    float64 // load per unit of capacity
	balanceMoves int
	byRatio      *hostHeap            // accepting servers by load ratio
	byCount      *hostHeap            // accepting servers by item ratio
	centres      map[string]*hostHeap // by load ratio, for each data centre
}

func newPlan(in Input) *plan {
	p := &plan{in: in, centres: map[string]*hostHeap{}}
	index := make(map[ident.Server]int, len(in.Servers))
	for _, s := range in.Servers {
		h := host{Server: s, capacity: cmp.Or(s.Weight, 1) * cmp.Or(s.Ramp, 1)}
		index[s.ID] = len(p.hosts)
		if s.Accepting {
			p.accepting = append(p.accepting, len(p.hosts))
		}
		p.hosts = append(p.hosts, h)
	}
	p.addItems(index)
	capacity := 0.0
	for _, i := range p.accepting {
		capacity += p.hosts[i].capacity
	}
	if capacity > 0 {
		p.meanRatio = p.total / capacity
	}
	return p
}

// addItems adds the slices, and the hot keys that are owned apart or have enough load.
func (p *plan) addItems(index map[ident.Server]int) {
	find := func(id ident.Server) int {
		if i, ok := index[id]; ok {
			return i
		}
		return -1
	}
	p.items = make([]item, len(p.in.Owners))
	counts := make([]int, len(p.hosts))
	for s, owner := range p.in.Owners {
		load := 1.0
		if p.in.Loads != nil {
			load = p.in.Loads[s]
		}
		at := find(owner)
		p.items[s] = item{slice: ident.Slice(s), hot: -1, load: load, prev: at, host: at}
		p.total += load
		if at >= 0 {
			counts[at]++
		}
	}
	for i := range p.hosts {
		p.hosts[i].items = make([]int, 0, counts[i]+len(p.in.Hot))
	}
	p.addHotKeys(find)
	for i := range p.items {
		if at := p.items[i].host; at >= 0 {
			p.hosts[at].load += p.items[i].load
			p.hosts[at].count++
			p.hosts[at].items = append(p.hosts[at].items, i)
		}
	}
}

// minHotShare is the share of a server's fair load from which a key is an item by itself.
// Smaller keys move with their slices.
const minHotShare = 0.05

func (p *plan) addHotKeys(find func(ident.Server) int) {
	minLoad := p.total / float64(max(1, len(p.accepting))) * minHotShare
	for i, h := range p.in.Hot {
		if int(h.Slice) >= len(p.in.Owners) || h.Owner == "" && h.Load < minLoad {
			continue
		}
		s := &p.items[h.Slice]
		load := min(h.Load, s.load)
		s.load -= load
		at := s.prev
		if h.Owner != "" {
			at = find(h.Owner)
		}
		p.items = append(p.items, item{slice: h.Slice, hot: i, load: load, prev: at, host: at})
	}
}

// placeOrphans finds new owners for all items that have none or whose owner does not accept
// keys. The largest go first, each to the least loaded server.
//
// Items without recent requests add no load to any server. Placed by load, all of them would
// go to the one server that is least loaded at the moment: when a quiet service loses a
// server, a single other one would get all its keys, and have twice the keys of the rest
// when requests come. So these items go to the servers with the fewest items.
func (p *plan) placeOrphans() {
	p.buildHeaps()
	var orphans []int
	for i := range p.items {
		x := &p.items[i]
		switch {
		case x.host < 0:
			x.reason = Orphan
		case !p.hosts[x.host].Accepting:
			x.reason = Drain
		default:
			continue
		}
		orphans = append(orphans, i)
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(p.items[b].load, p.items[a].load) })
	for _, i := range orphans {
		if p.items[i].load > 0 {
			p.assign(i, p.leastLoaded(p.items[i].slice))
		} else {
			p.assign(i, p.byCount.top())
		}
	}
}

// buildHeaps builds the heaps of accepting servers.
func (p *plan) buildHeaps() {
	p.byRatio = newHostHeap(p.hosts, p.accepting, (*host).ratio)
	p.byCount = newHostHeap(p.hosts, p.accepting, (*host).itemRatio)
	byCentre := map[string][]int{}
	for _, i := range p.accepting {
		c := string(p.hosts[i].Centre)
		byCentre[c] = append(byCentre[c], i)
	}
	for c, list := range byCentre {
		p.centres[c] = newHostHeap(p.hosts, list, (*host).ratio)
	}
}

// homeTolerance is the load ratio, relative to the mean, up to which a server near a slice's
// callers is preferred: a hop between data centres costs 1.5 ms, which outweighs a little
// more load.
const homeTolerance = 1.02

// leastLoaded returns where an item of slice s should go: the least loaded server near its
// callers if that has room, and otherwise the least loaded of all.
func (p *plan) leastLoaded(s ident.Slice) int {
	best := p.byRatio.top()
	if p.in.Homes == nil || p.in.Homes[s] == "" {
		return best
	}
	near := p.centres[string(p.in.Homes[s])]
	if near == nil || p.hosts[near.top()].ratio() > p.meanRatio*homeTolerance {
		return best
	}
	return near.top()
}

// assign moves an item to a server and updates loads, counts and heaps.
func (p *plan) assign(i, to int) {
	x := &p.items[i]
	if x.host >= 0 {
		p.hosts[x.host].load -= x.load
		p.hosts[x.host].count--
		p.fixHeaps(x.host)
	}
	x.host = to
	p.hosts[to].load += x.load
	p.hosts[to].count++
	p.hosts[to].items = append(p.hosts[to].items, i)
	p.hosts[to].sorted = false
	p.fixHeaps(to)
}

func (p *plan) fixHeaps(h int) {
	if !p.hosts[h].Accepting {
		return
	}
	p.byRatio.fix(h)
	p.byCount.fix(h)
	p.centres[string(p.hosts[h].Centre)].fix(h)
}

// moves returns the difference between the initial and the final placement.
func (p *plan) moves() []Move {
	var out []Move
	for i := range p.items {
		x := &p.items[i]
		if x.hot >= 0 {
			out = p.hotMove(out, x)
			continue
		}
		if x.host != x.prev {
			out = append(out, Move{Slice: x.slice, From: p.in.Owners[x.slice], To: p.hosts[x.host].ID, Reason: x.reason})
		}
	}
	slices.SortStableFunc(out, func(a, b Move) int { return cmp.Compare(reasonOrder(a.Reason), reasonOrder(b.Reason)) })
	return out
}

func reasonOrder(w Reason) int {
	return slices.Index([]Reason{Hold, Orphan, Drain, Join, Excess, Fill}, w)
}

// hotMove appends the move for a hot key, if there is one.
func (p *plan) hotMove(out []Move, x *item) []Move {
	h := p.in.Hot[x.hot]
	slice := &p.items[x.slice]
	apart := h.Owner != ""
	from := h.Owner
	if !apart {
		from = p.in.Owners[x.slice]
	}
	m := Move{Slice: x.slice, Key: h.Key, From: from, To: p.hosts[x.host].ID, Reason: x.reason}
	switch {
	case x.host == slice.host && !apart:
		return out // it moves, or stays, with its slice
	case x.host == slice.host && m.From == m.To:
		m.Reason = Join
	case x.host == x.prev && apart:
		return out
	case x.host == x.prev:
		m.Reason = Hold
	}
	return append(out, m)
}

// sortItems sorts the items of a server by load, the largest first, and drops those that
// have moved away.
func (p *plan) sortItems(h int) []int {
	x := &p.hosts[h]
	if x.sorted {
		return x.items
	}
	x.items = slices.DeleteFunc(x.items, func(i int) bool { return p.items[i].host != h })
	slices.SortFunc(x.items, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.items[b].load, p.items[a].load), cmp.Compare(a, b))
	})
	x.items = slices.Compact(x.items)
	x.sorted = true
	return x.items
}

// largestItem returns the largest item of a server with a load above zero and of at most
// room, or -1.
func (p *plan) largestItem(h int, room float64) int {
	items := p.sortItems(h)
	from := sort.Search(len(items), func(k int) bool { return p.items[items[k]].load <= room })
	for _, i := range items[from:] {
		if p.items[i].load <= 0 {
			return -1
		}
		if p.items[i].host == h {
			return i
		}
	}
	return -1
}

// hostHeap is a heap of servers, with the lowest key at the top.
type hostHeap struct {
	hosts   []host
	key     func(*host) float64
	members []int
	index   map[int]int
}

func newHostHeap(hosts []host, members []int, key func(*host) float64) *hostHeap {
	hp := &hostHeap{hosts: hosts, key: key, members: slices.Clone(members), index: make(map[int]int, len(members))}
	for k, h := range hp.members {
		hp.index[h] = k
	}
	heap.Init(hp)
	return hp
}

func (hp *hostHeap) top() int { return hp.members[0] }

func (hp *hostHeap) fix(h int) { heap.Fix(hp, hp.index[h]) }

// Len implements heap.Interface.
func (hp *hostHeap) Len() int { return len(hp.members) }

// Less implements heap.Interface.
func (hp *hostHeap) Less(i, j int) bool {
	a, b := &hp.hosts[hp.members[i]], &hp.hosts[hp.members[j]]
	return cmp.Or(cmp.Compare(hp.key(a), hp.key(b)), cmp.Compare(hp.members[i], hp.members[j])) < 0
}

// Swap implements heap.Interface.
func (hp *hostHeap) Swap(i, j int) {
	hp.members[i], hp.members[j] = hp.members[j], hp.members[i]
	hp.index[hp.members[i]], hp.index[hp.members[j]] = i, j
}

// Push implements heap.Interface; a hostHeap never grows.
func (hp *hostHeap) Push(any) {}

// Pop implements heap.Interface; a hostHeap never shrinks.
func (hp *hostHeap) Pop() any { return nil }
