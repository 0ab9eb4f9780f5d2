package world

import (
	"fmt"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/seat"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Periods of what stands around the seats.
const (
	rosterEvery = 100 * time.Millisecond
	resyncEvery = 500 * time.Millisecond
	frozenAfter = 400 * time.Millisecond // until others notice a paused VM
)

// roster tells the VMs whom to suspect and who leads, again and again.
func (w *World) roster() {
	w.planAll()
	w.after(rosterEvery, w.roster)
}

func (w *World) planAll() {
	for _, v := range w.VMs {
		w.plan(v)
	}
}

// live is what the roster believes of a VM.
func (w *World) live(v *VM) bool {
	late := v.Paused() && w.now-v.pausedAt > frozenAfter
	return !v.Dead && !v.Left && !late && !w.isolated(v)
}

// isolated reports that a VM reaches none of its peers.
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

// plan tells one VM its part in each seat. VMs in the server's own data centre
// come last.
func (w *World) plan(v *VM) {
	if v.Dead {
		return
	}
	for _, s := range w.Servers {
		ranked := w.ranked(s)
		m := seat.PlanMsg{Lead: len(ranked) > 0 && ranked[0] == v}
		for _, o := range ranked {
			if o != v {
				m.Deputy = o.ID
				break
			}
		}
		if v.plans[s.Name] != m {
			v.plans[s.Name] = m
			v.Send(s.Name, m)
		}
		for _, o := range w.VMs {
			switch {
			case o == v:
			case o.Gone:
				v.Send(s.Name, seat.GoneMsg{VM: o.ID})
			case !w.live(o):
				v.Send(s.Name, seat.SuspectMsg{VM: o.ID})
			}
		}
	}
}

func (w *World) ranked(s *Server) []*VM {
	var far, near []*VM
	shift := s.index
	if w.Opt.Level > 0 {
		shift += int(w.now / w.Opt.Level)
	}
	for i := range w.VMs {
		v := w.VMs[(shift+i)%len(w.VMs)]
		switch {
		case !w.live(v):
		case v.Centre == s.Centre:
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	return append(far, near...)
}

// level makes each lead take its seats over from whoever holds them as it knows.
func (w *World) level() {
	for _, v := range w.VMs {
		for _, s := range w.Servers {
			holder := v.seats[s.Name].(seat.Seat).Status().Holder
			if !v.Dead && v.plans[s.Name].Lead && holder != v.ID && holder != "" {
				v.Send(s.Name, seat.RelieveMsg{VM: holder})
			}
		}
	}
	w.after(w.Opt.Level/2, w.level)
}

// resync stands for the watch that catches up after an outage.
func (w *World) resync() {
	if !w.Store.down() {
		w.Store.push()
	}
	w.after(resyncEvery, w.resync)
}

// planMoves stands for the planner: it spreads the keys of a server over those
// that seem well. It can be wrong about them.
func (w *World) planMoves(v *VM, c seat.PlanCmd) {
	var to []ident.Server
	for _, s := range w.Servers {
		well := !s.Dead && !s.Frozen() && !s.Drains
		if s.Name != c.Server && (well || w.chance(w.Noise.Late)) {
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
	w.after(time.Millisecond, func() { v.Send(c.Server, seat.MoveMsg{Moves: moves, Lost: c.Lost}) })
}

// heldOnce checks that one epoch of a seat has one holder.
func (w *World) heldOnce(srv ident.Server, e ident.Epoch, vm ident.VM) {
	key := fmt.Sprint(srv, "/", e)
	if by, ok := w.held[key]; ok && by != vm {
		w.errorf("epoch %d of %s held by %s and by %s", e, srv, by, vm)
	}
	w.held[key] = vm
}

// Epochs counts the authorities that were held so far, over all seats.
func (w *World) Epochs() int { return len(w.held) }
