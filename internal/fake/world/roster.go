package world

import (
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
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
	lives := make([]bool, len(w.VMs))
	for i, v := range w.VMs {
		lives[i] = w.live(v)
	}
	shift := w.shift()
	news := !slices.Equal(lives, w.lives) || shift != w.shifted
	w.lives, w.shifted = lives, shift
	for _, v := range w.VMs {
		w.planFor(v, news)
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

// plan tells one VM its part in each seat.
func (w *World) plan(v *VM) {
	w.lives = nil // the next planAll looks at everybody anew
	w.planFor(v, true)
}

// planFor tells one VM who leads, if that is news, and whom to suspect. VMs in
// the server's own data centre lead last.
func (w *World) planFor(v *VM, news bool) {
	if v.Dead {
		return
	}
	away := w.absent(v)
	if !news && len(away) == 0 {
		return
	}
	v.suspect(away)
	for _, s := range w.Servers {
		if news {
			w.planSeat(v, s)
		}
		for _, o := range away {
			if o.Gone {
				v.Send(s.Name, lessor.VMGoneMsg{VM: o.ID})
				continue
			}
			v.Send(s.Name, lessor.SuspectMsg{VM: o.ID})
		}
	}
}

func (w *World) planSeat(v *VM, s *Server) {
	first, next := w.ranked(s, v)
	m := lessor.RoleMsg{Preferred: first == v}
	if next != nil {
		m.Deputy = next.ID
	}
	if v.plans[s.Name] != m {
		v.plans[s.Name] = m
		v.Send(s.Name, m)
	}
}

// absent lists the VMs that are gone or not live, without one.
func (w *World) absent(v *VM) []*VM {
	var all []*VM
	for i, o := range w.VMs {
		if o != v && (o.Gone || !w.believed(i)) {
			all = append(all, o)
		}
	}
	return all
}

// believed is live, from the last look at all where there was one.
func (w *World) believed(i int) bool {
	if w.lives != nil {
		return w.lives[i]
	}
	return w.live(w.VMs[i])
}

// ranked returns the first choice for a server's seat, and the first beside v.
func (w *World) ranked(s *Server, v *VM) (first, next *VM) {
	from := s.index + w.shift()
	for _, near := range []bool{false, true} {
		for i := range w.VMs {
			k := (from + i) % len(w.VMs)
			o := w.VMs[k]
			if (o.Centre == s.Centre) != near || !w.believed(k) {
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

// shift is how far the roster has passed the seats on by now.
func (w *World) shift() int {
	if w.Opt.ReassignEvery <= 0 {
		return 0
	}
	return int(w.now / w.Opt.ReassignEvery)
}

// level makes each lead take its seats over from whoever holds them as it knows.
func (w *World) level() {
	for _, v := range w.VMs {
		for _, s := range w.Servers {
			holder := v.seats[s.Name].(lessor.Lessor).Status().Holder
			if !v.Dead && v.plans[s.Name].Preferred && holder != v.ID && holder != "" {
				v.Send(s.Name, lessor.TakeOverMsg{VM: holder})
			}
		}
	}
	w.after(w.Opt.ReassignEvery/2, w.level)
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
