package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// keepLists of VMs are understood, and a watcher's tree is laid by a new one
	// only when it is settled for so long that all VMs have read it. Laid by a
	// list that half of the VMs do not know yet, trees miss a part of them, and
	// every VM would probe every server until the list is known.
	keepLists = 4
	settled   = 1500 * time.Millisecond
)

// peerList is a list of VMs, by name and in watch order.
type peerList struct {
	sum   uint32
	names []ident.VM
	order []ident.VM
	at    time.Time // when it came
	trees map[treeName]tree
}

type treeName struct {
	root ident.VM
	turn int
}

func listOf(now time.Time, peers []Peer) *peerList {
	l := &peerList{at: now, order: watchOrder(peers), trees: map[treeName]tree{}}
	l.names = slices.Sorted(slices.Values(l.order))
	h := xxhash.New()
	for _, vm := range l.order { // the order says the data centres too
		_, _ = h.WriteString(string(vm) + "\x00") // never fails
	}
	l.sum = uint32(h.Sum64())
	return l
}

func (l *peerList) place(vm ident.VM) int {
	i, ok := slices.BinarySearch(l.names, vm)
	if !ok {
		return -1
	}
	return i
}

// setList takes a new list.
func (m *Model) setList(l *peerList) {
	m.lists = slices.Insert(m.lists, 0, l)
	if len(m.lists) > keepLists {
		m.lists = m.lists[:keepLists]
	}
}

// list is the present one.
func (m *Model) list() *peerList { return m.lists[0] }

// oldList is the newest that all VMs have had the time to read. A VM that knew
// nobody before goes by what it has.
func (m *Model) oldList(now time.Time) *peerList {
	for _, l := range m.lists {
		if now.Sub(l.at) >= settled && len(l.names) > 1 {
			return l
		}
	}
	return m.list()
}

// listBy finds a list; nil if it is not known.
func (m *Model) listBy(sum uint32) *peerList {
	for _, l := range m.lists {
		if l.sum == sum {
			return l
		}
	}
	return nil
}

// treeOf returns the tree of a root by a list, built at first use.
func (m *Model) treeOf(l *peerList, root ident.VM, turn int) tree {
	name := treeName{root, turn}
	t, ok := l.trees[name]
	if !ok {
		t = newTree(l.order, root, turn, m.self)
		l.trees[name] = t
	}
	return t
}

// below are the places of those below each child.
func (l *peerList) below(t tree) map[ident.VM]set {
	all := make(map[ident.VM]set, len(t.children))
	for i, child := range t.children {
		s := newSet(len(l.names))
		for _, vm := range t.below[i] {
			s.add(l.place(vm))
		}
		all[child] = s
	}
	return all
}
