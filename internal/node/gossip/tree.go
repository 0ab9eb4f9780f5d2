package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Peer is an entry VM that takes part in the exchange.
type Peer struct {
	VM     ident.VM
	Centre ident.Centre
}

// rank orders VMs pseudo-randomly and differently for each salt, with the same
// outcome on every VM (rendezvous hashing).
func rank(salt string, vm ident.VM) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(vm))
}

// WatchOrder lists the VMs in the order in which they are to watch the store.
// It is the same on every VM that is given the same peers.
func WatchOrder(peers []Peer) []ident.VM { return watchOrder(peers) }

// watchOrder lists the VMs in the order in which they are to watch the store:
// the first of each data centre, then the second of each, so that the first few
// stand in different centres.
func watchOrder(peers []Peer) []ident.VM {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Compare(rank("watch", a.VM), rank("watch", b.VM)) })
	turn := make(map[ident.Centre]int)
	turns := make(map[ident.VM]int, len(sorted))
	for _, p := range sorted {
		turns[p.VM] = turn[p.Centre]
		turn[p.Centre]++
	}
	slices.SortStableFunc(sorted, func(a, b Peer) int { return cmp.Compare(turns[a.VM], turns[b.VM]) })
	out := make([]ident.VM, len(sorted))
	for i, p := range sorted {
		out[i] = p.VM
	}
	return out
}

// tree is the fan-out tree of one root, as seen from this VM.
type tree struct {
	parent   ident.VM
	children []ident.VM
	below    [][]ident.VM // with each child, those below it
	height   int          // levels below this VM
}

// fan is the number of children of a VM in a tree. More make the tree flatter
// and its inner VMs busier; with 4, 520 VMs are reached in 5 steps.
const fan = 4

// newTree places all VMs as a heap. The trees of the watchers use one shuffled
// order, each rotated by another third, its turn, with the first few in watch
// order at its end. Only the first quarter of a heap of fan-out 4 has children,
// so a VM is an inner one of at most one of these trees: its loss breaks one
// tree and leaves the others whole, and no VM carries the work of two.
func newTree(watchOrder []ident.VM, root ident.VM, turn int, self ident.VM) tree {
	first := watchOrder[:min(Watchers, len(watchOrder))]
	rest := slices.Clone(watchOrder[len(first):])
	rest = slices.DeleteFunc(rest, func(vm ident.VM) bool { return vm == root })
	slices.SortFunc(rest, func(a, b ident.VM) int { return cmp.Compare(rank("tree", a), rank("tree", b)) })
	cut := len(rest) * turn / Watchers
	order := slices.Concat([]ident.VM{root}, rest[cut:], rest[:cut])
	for _, vm := range first {
		if vm != root {
			order = append(order, vm)
		}
	}
	return place(order, self)
}

// turnOf is the turn of this VM's own tree. It keeps the one it has unless a
// watcher before it has the same; one that begins takes the turn that the other
// two watchers leave. With another's turn it would double the work of that one's
// inner VMs, and one VM could spoil the word of two watchers.
func (m *Model) turnOf(now time.Time) int {
	r := m.roots[m.self]
	begins := r == nil || r.at.IsZero()
	var used [Watchers]bool
	others := 0
	for i, vm := range m.order {
		if vm == m.self {
			if !begins {
				break
			}
			continue
		}
		if turn, ok := m.heardTurn(now, i, vm); ok && others < Watchers-1 {
			used[turn] = true
			others++
		}
	}
	if !begins && !used[r.turn] {
		return r.turn
	}
	return slices.Index(used[:], false) // one of three is free
}

// heardTurn is the turn of a watcher that was heard lately, or is to be heard
// soon: at the start the first in watch order have the turns of their places.
func (m *Model) heardTurn(now time.Time, place int, vm ident.VM) (int, bool) {
	if r := m.roots[vm]; r != nil && !r.at.IsZero() {
		return r.turn, now.Sub(r.at) <= silent
	}
	return place, place < Watchers && !m.isSilent(now, vm)
}

// place finds the neighbours of one VM in a heap.
func place(order []ident.VM, self ident.VM) tree {
	at := slices.Index(order, self)
	if at < 0 {
		return tree{}
	}
	var t tree
	if at > 0 {
		t.parent = order[(at-1)/fan]
	}
	first := min(at*fan+1, len(order))
	t.children = order[first:min(first+fan, len(order))]
	for i := range t.children {
		t.below = append(t.below, under(order, first+i))
	}
	for i := first; i < len(order); i = i*fan + 1 {
		t.height++
	}
	return t
}

// under lists a VM of a heap and all below it.
func under(order []ident.VM, at int) []ident.VM {
	var all []ident.VM
	for from, to := at, at+1; from < len(order); from, to = from*fan+1, to*fan+1 {
		all = append(all, order[from:min(to, len(order))]...)
	}
	return all
}
