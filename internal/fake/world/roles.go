package world

import (
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Timing of the parts that the world simulates around the lessors.
const (
	roleInterval        = 100 * time.Millisecond
	resyncInterval      = 500 * time.Millisecond
	pauseDetectionDelay = 400 * time.Millisecond // until other VMs suspect a paused one
)

// refreshRoles stands in for failure detection and the assignment of lessors: it
// periodically tells the VMs whom to suspect and which servers' lessors they should hold.
func (w *World) refreshRoles() {
	w.updateVMs()
	w.after(roleInterval, w.refreshRoles)
}

// updateVMs evaluates which VMs are live and informs every VM.
func (w *World) updateVMs() {
	lives := make([]bool, len(w.VMs))
	for i, v := range w.VMs {
		lives[i] = w.seemsLive(v)
	}
	shift := w.roleShift()
	changed := !slices.Equal(lives, w.lastLive) || shift != w.lastShift
	w.lastLive, w.lastShift = lives, shift
	for _, v := range w.VMs {
		w.updateVM(v, changed)
	}
}

// seemsLive reports whether the simulated failure detection considers a VM live.
func (w *World) seemsLive(v *VM) bool {
	late := v.Paused() && w.now-v.pausedSince > pauseDetectionDelay
	return !v.Dead && !v.Left && !late && !w.isolated(v)
}

// isolated reports whether a VM is cut off from all of its peers.
func (w *World) isolated(v *VM) bool {
	others := 0
	for _, o := range w.VMs {
		if o == v || o.Dead {
			continue
		}
		if !w.isCut(string(v.ID), string(o.ID)) {
			return false
		}
		others++
	}
	return others > 0
}

// resendRoles sends a VM its role for each server again, as after a restart.
func (w *World) resendRoles(v *VM) {
	w.lastLive = nil // makes the next updateVMs evaluate all VMs again
	w.updateVM(v, true)
}

// updateVM tells one VM whom to suspect and, if anything changed, its roles.
func (w *World) updateVM(v *VM, changed bool) {
	if v.Dead {
		return
	}
	suspects := w.suspects(v)
	if !changed && len(suspects) == 0 {
		return
	}
	v.reportSuspects(suspects)
	for _, s := range w.Servers {
		if changed {
			w.sendRole(v, s)
		}
		for _, o := range suspects {
			if o.Gone {
				v.Send(s.Name, lessor.VMGoneMsg{VM: o.ID})
				continue
			}
			v.Send(s.Name, lessor.SuspectMsg{VM: o.ID})
		}
	}
}

// sendRole sends a VM its role for one server, unless it was the last one sent.
func (w *World) sendRole(v *VM, s *Server) {
	first, next := w.rankVMs(s, v)
	m := lessor.RoleMsg{Preferred: first == v}
	if next != nil {
		m.Deputy = next.ID
	}
	if v.lastRoles[s.Name] != m {
		v.lastRoles[s.Name] = m
		v.Send(s.Name, m)
	}
}

// suspects lists the VMs other than v that are gone or not live.
func (w *World) suspects(v *VM) []*VM {
	var all []*VM
	for i, o := range w.VMs {
		if o != v && (o.Gone || !w.believedLive(i)) {
			all = append(all, o)
		}
	}
	return all
}

// believedLive returns the result of the last updateVMs for VM i, or evaluates it
// now if there is none.
func (w *World) believedLive(i int) bool {
	if w.lastLive != nil {
		return w.lastLive[i]
	}
	return w.seemsLive(w.VMs[i])
}

// rankVMs returns the preferred holder of a server's lessor, and the best candidate
// other than v. VMs in the server's own data centre rank last.
func (w *World) rankVMs(s *Server, v *VM) (first, next *VM) {
	from := s.index + w.roleShift()
	for _, near := range []bool{false, true} {
		for i := range w.VMs {
			k := (from + i) % len(w.VMs)
			o := w.VMs[k]
			if (o.Centre == s.Centre) != near || !w.believedLive(k) {
				continue
			}
			if first == nil {
				first = o
			}
			if o != v {
				return first, o
			}
		}
	}
	return first, nil
}

// roleShift returns how many times the roles have been reassigned, each time to the
// next VM in order.
func (w *World) roleShift() int {
	if w.Opt.ReassignEvery <= 0 {
		return 0
	}
	return int(w.now / w.Opt.ReassignEvery)
}

// takeOverLessors periodically makes each preferred holder take over its lessors from the
// holders that it knows of.
func (w *World) takeOverLessors() {
	for _, v := range w.VMs {
		for _, s := range w.Servers {
			holder := v.lessors[s.Name].(lessor.Lessor).Status().Holder
			if !v.Dead && v.lastRoles[s.Name].Preferred && holder != v.ID && holder != "" {
				v.Send(s.Name, lessor.TakeOverMsg{VM: holder})
			}
		}
	}
	w.after(w.Opt.ReassignEvery/2, w.takeOverLessors)
}

// resync stands in for the store watch, which catches up after an outage.
func (w *World) resync() {
	if !w.Store.isDown() {
		w.Store.notifyWatchers()
	}
	w.after(resyncInterval, w.resync)
}

// planMoves stands in for the placement planner: it spreads the keys of a server over
// the servers that seem healthy. With probability Noise.Delay it also picks one that
// is not, as a planner with outdated information does.
func (w *World) planMoves(v *VM, c lessor.PlanCmd) {
	var to []ident.Server
	for _, s := range w.Servers {
		well := !s.Dead && !s.Frozen() && !s.Draining
		if s.Name != c.Server && (well || w.chance(w.Noise.Delay)) {
			to = append(to, s.Name)
		}
	}
	if len(to) == 0 {
		return
	}
	set := v.table.SetOf(c.Server)
	var moves []table.Move
	for _, x := range set.Slices {
		moves = append(moves, table.Move{Slice: x, To: to[len(moves)%len(to)]})
	}
	for _, k := range set.Keys {
		moves = append(moves, table.Move{Key: k, To: to[len(moves)%len(to)]})
	}
	w.after(time.Millisecond, func() { v.Send(c.Server, lessor.MoveMsg{Moves: moves, Lost: c.Lost}) })
}

// checkSingleHolder checks that an epoch of a server's lessor has only one holder.
func (w *World) checkSingleHolder(srv ident.Server, e ident.Epoch, vm ident.VM) {
	key := fmt.Sprint(srv, "/", e)
	if by, ok := w.epochHolders[key]; ok && by != vm {
		w.errorf("epoch %d of %s held by %s and by %s", e, srv, by, vm)
	}
	w.epochHolders[key] = vm
}

// Epochs returns the number of epochs held so far, over the lessors of all servers.
func (w *World) Epochs() int { return len(w.epochHolders) }
