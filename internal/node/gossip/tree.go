package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Peer is an entry VM that takes part in the gossip.
type Peer struct {
	VM     ident.VM
	Centre ident.Centre
}

// rank returns a pseudo-random rank of a VM, which differs for each salt and is the
// same on every VM (rendezvous hashing).
func rank(salt string, vm ident.VM) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(vm))
}

// WatchOrder returns the VMs in the order in which they watch the store. It is the
// same on every VM that has the same peers.
func WatchOrder(peers []Peer) []ident.VM { return watchOrder(peers) }

// watchOrder returns the VMs in the order in which they watch the store: the first
// of each data centre, then the second of each, so that the first few are in
// different data centres.
func watchOrder(peers []Peer) []ident.VM {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Compare(rank("watch", a.VM), rank("watch", b.VM)) })
	next := make(map[ident.Centre]int)
	rounds := make(map[ident.VM]int, len(sorted))
	for _, p := range sorted {
		rounds[p.VM] = next[p.Centre]
		next[p.Centre]++
	}
	slices.SortStableFunc(sorted, func(a, b Peer) int { return cmp.Compare(rounds[a.VM], rounds[b.VM]) })
	out := make([]ident.VM, len(sorted))
	for i, p := range sorted {
		out[i] = p.VM
	}
	return out
}

// tree is the heartbeat tree of one root, as seen from this VM.
type tree struct {
	parent      ident.VM
	children    []ident.VM
	descendants [][]ident.VM // for each child, the VMs in its subtree
	height      int          // number of levels below this VM
}

// fanOut is the number of children of a VM in a tree. More children make the tree
// flatter and its inner VMs busier; with 4, a heartbeat reaches 520 VMs in 5
// steps.
const fanOut = 4

// newTree places all VMs in a heap. The trees of the watchers use one shuffled
// order, each rotated by index/3 of its length, with the first VMs in watch order
// at the end. Only the first quarter of a heap of fan-out 4 has children, so a VM
// has children in at most one of these trees: its loss breaks one tree only, and
// no VM carries the load of two.
func newTree(watchOrder []ident.VM, root ident.VM, index int, self ident.VM) tree {
	first := watchOrder[:min(Watchers, len(watchOrder))]
	rest := slices.Clone(watchOrder[len(first):])
	rest = slices.DeleteFunc(rest, func(vm ident.VM) bool { return vm == root })
	slices.SortFunc(rest, func(a, b ident.VM) int { return cmp.Compare(rank("tree", a), rank("tree", b)) })
	cut := len(rest) * index / Watchers
	order := slices.Concat([]ident.VM{root}, rest[cut:], rest[:cut])
	for _, vm := range first {
		if vm != root {
			order = append(order, vm)
		}
	}
	return heapTree(order, self)
}

// chooseTreeIndex returns the index of this VM's own tree. It keeps the current
// one unless a watcher before it in watch order has the same; a new watcher takes
// the index that the other two leave free. Two trees with one index would double
// the load of their inner VMs, and one VM could falsify the views of two watchers.
func (m *Model) chooseTreeIndex(now time.Time) int {
	w := m.watchers[m.self]
	starting := w == nil || w.at.IsZero()
	var used [Watchers]bool
	others := 0
	for i, vm := range m.order {
		if vm == m.self {
			if !starting {
				break
			}
			continue
		}
		if index, ok := m.treeIndexOf(now, i, vm); ok && others < Watchers-1 {
			used[index] = true
			others++
		}
	}
	if !starting && !used[w.treeIndex] {
		return w.treeIndex
	}
	return slices.Index(used[:], false) // two watchers leave at least one of three free
}

// treeIndexOf returns the tree index of a watcher that was heard lately or is
// expected soon. At the start, the first VMs in watch order have the index of
// their position.
func (m *Model) treeIndexOf(now time.Time, pos int, vm ident.VM) (int, bool) {
	if w := m.watchers[vm]; w != nil && !w.at.IsZero() {
		return w.treeIndex, now.Sub(w.at) <= watcherTimeout
	}
	return pos, pos < Watchers && !m.isSilent(now, vm)
}

// heapTree returns the neighbours of one VM in a heap.
func heapTree(order []ident.VM, self ident.VM) tree {
	at := slices.Index(order, self)
	if at < 0 {
		return tree{}
	}
	var t tree
	if at > 0 {
		t.parent = order[(at-1)/fanOut]
	}
	first := min(at*fanOut+1, len(order))
	t.children = order[first:min(first+fanOut, len(order))]
	for i := range t.children {
		t.descendants = append(t.descendants, subtree(order, first+i))
	}
	for i := first; i < len(order); i = i*fanOut + 1 {
		t.height++
	}
	return t
}

// subtree returns a VM of a heap and all VMs below it.
func subtree(order []ident.VM, at int) []ident.VM {
	var all []ident.VM
	for from, to := at, at+1; from < len(order); from, to = from*fanOut+1, to*fanOut+1 {
		all = append(all, order[from:min(to, len(order))]...)
	}
	return all
}
