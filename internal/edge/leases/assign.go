package leases

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Assign picks the VM that should hold a server's lessor (the preferred holder) and
// the VM that should be its deputy, out of the live VMs, by rendezvous hashing: every
// VM computes the same result, and when a VM comes or goes only its own lessors move.
// Both VMs are in another data centre than the server where that is possible, so
// that the loss of one data centre never takes a server and its authority
// together, and in two different data centres where that is possible too.
// The deputy depends on the preferred holder, not on the server: the lessors of one
// preferred holder then share one deputy for each data centre of their servers, and
// their heartbeats share packets.
func Assign(svc ident.Service, srv ident.Server, centre ident.Centre, live []vmlist.VM) (preferred, deputy ident.VM) {
	first := best(string(svc)+"\x00"+string(srv), live, func(vm vmlist.VM) int {
		if vm.Centre == centre {
			return 1
		}
		return 0
	})
	if first == nil {
		return "", ""
	}
	return first.ID, deputyOf(first, centre, live)
}

// deputyOf picks the deputy for a preferred holder's lessors whose servers are in
// centre.
func deputyOf(preferred *vmlist.VM, centre ident.Centre, live []vmlist.VM) ident.VM {
	vm := best("deputy\x00"+string(preferred.ID), live, func(vm vmlist.VM) int {
		switch {
		case vm.ID == preferred.ID:
			return skip
		case vm.Centre != centre && vm.Centre != preferred.Centre:
			return 0
		case vm.Centre != centre:
			return 1
		}
		return 2
	})
	if vm == nil {
		return ""
	}
	return vm.ID
}

// skip is the rank that excludes a VM in best.
const skip = -1

// best returns the VM with the lowest rank; among VMs of equal rank, the one with
// the highest hash of name and VM.
func best(name string, live []vmlist.VM, rank func(vmlist.VM) int) *vmlist.VM {
	var found *vmlist.VM
	var foundRank int
	var foundHash uint64
	for i := range live {
		r := rank(live[i])
		if r == skip {
			continue
		}
		h := xxhash.Sum64String(name + "\x00" + string(live[i].ID))
		if found == nil || r < foundRank || r == foundRank && h > foundHash {
			found, foundRank, foundHash = &live[i], r, h
		}
	}
	return found
}

// Spread is the simplest Planner: it gives each slice and key of the server that
// leaves to the usable server that owns the fewest slices at that point.
func Spread(_ *state.Service, tab table.Table, from ident.Server, usable []ident.Server) []table.Move {
	if len(usable) == 0 {
		return nil
	}
	owned := map[ident.Server]int{}
	for x := range ident.Slice(tab.Slices()) {
		owned[tab.OwnerOf(x)]++
	}
	next := func() ident.Server {
		to := slices.MinFunc(usable, func(a, b ident.Server) int { return owned[a] - owned[b] })
		owned[to]++
		return to
	}
	set := tab.SetOf(from)
	moves := make([]table.Move, 0, len(set.Slices)+len(set.Keys))
	for _, x := range set.Slices {
		moves = append(moves, table.Move{Slice: x, To: next()})
	}
	for _, key := range set.Keys {
		moves = append(moves, table.Move{Key: key, To: next()})
	}
	return moves
}
