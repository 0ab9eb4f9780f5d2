package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// maxLists is the number of peer lists that a VM keeps, so that it understands
	// VMs that read the list earlier or later.
	maxLists = 4
	// settleTime is the age at which a watcher starts to use a new list for its
	// tree, since all VMs have read it by then. A tree built from a list that half
	// of the VMs do not know yet misses a part of them, and every VM would probe
	// every server until the list is known.
	settleTime = 1500 * time.Millisecond
)

// peerList is one version of the list of VMs.
type peerList struct {
	// sum identifies the list, with the VMs' data centres.
	sum uint32
	// names are the VMs sorted by name. The index of a VM in names is its index in
	// a vmSet.
	names []ident.VM
	// order is the watch order; see watchOrder.
	order []ident.VM
	at    time.Time // when this VM read it
	trees map[treeKey]tree
}

// treeKey identifies the tree of a watcher; see newTree for index.
type treeKey struct {
	root  ident.VM
	index int
}

func newPeerList(now time.Time, peers []Peer) *peerList {
	l := &peerList{at: now, order: watchOrder(peers), trees: map[treeKey]tree{}}
	l.names = slices.Sorted(slices.Values(l.order))
	h := xxhash.New()
	for _, vm := range l.order { // the order depends on the data centres too
		_, _ = h.WriteString(string(vm) + "\x00") // never fails
	}
	l.sum = uint32(h.Sum64())
	return l
}

// index returns the index of a VM in names, or -1.
func (l *peerList) index(vm ident.VM) int {
	i, ok := slices.BinarySearch(l.names, vm)
	if !ok {
		return -1
	}
	return i
}

// setList makes l the current list.
func (m *Model) setList(l *peerList) {
	m.lists = slices.Insert(m.lists, 0, l)
	if len(m.lists) > maxLists {
		m.lists = m.lists[:maxLists]
	}
}

// currentList returns the list that was set last.
func (m *Model) currentList() *peerList { return m.lists[0] }

// settledList returns the newest list that all VMs have had the time to read. A VM
// that knew no other VM before uses its current list.
func (m *Model) settledList(now time.Time) *peerList {
	for _, l := range m.lists {
		if now.Sub(l.at) >= settleTime && len(l.names) > 1 {
			return l
		}
	}
	return m.currentList()
}

// listBySum returns the list with a sum, or nil if it is not known.
func (m *Model) listBySum(sum uint32) *peerList {
	for _, l := range m.lists {
		if l.sum == sum {
			return l
		}
	}
	return nil
}

// treeOf returns the tree of a root over a list, built at first use.
func (m *Model) treeOf(l *peerList, root ident.VM, index int) tree {
	key := treeKey{root, index}
	t, ok := l.trees[key]
	if !ok {
		t = newTree(l.order, root, index, m.self)
		l.trees[key] = t
	}
	return t
}

// descendants returns, for each child in a tree, the set of VMs in its subtree,
// the child included.
func (l *peerList) descendants(t tree) map[ident.VM]vmSet {
	all := make(map[ident.VM]vmSet, len(t.children))
	for i, child := range t.children {
		s := newSet(len(l.names))
		for _, vm := range t.descendants[i] {
			s.add(l.index(vm))
		}
		all[child] = s
	}
	return all
}
