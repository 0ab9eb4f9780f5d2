package seat_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/seat"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// fault is one thing that goes wrong, or that an operator does.
type fault struct {
	Kind string
	At   time.Duration
	For  time.Duration
	A, B int
}

func (f fault) String() string { return fmt.Sprintf("%s(%d,%d)@%v+%v", f.Kind, f.A, f.B, f.At, f.For) }

// faultKinds are weighed by how often they stand here.
var faultKinds = []string{
	"pause", "pause", "killvm", "restartvm", "leavevm", "cutpeer", "cutpeer", "cutserver", "cutserver",
	"cutstore", "freeze", "freeze", "killserver", "store", "store", "noise", "noise", "drain",
	"move", "move", "move", "hot",
}

// settle is the bound on recovery once the faults have ended: a term that must
// be waited out, the platform's lag, and what a take-over and a move need.
const (
	faultsEnd  = 8 * time.Second
	shortTerm  = 7 * time.Second
	settleTime = shortTerm + 8*time.Second
)

type history struct {
	opt    world.Options
	noise  world.Noise
	faults []fault
}

func drawHistory(rt *rapid.T, checks bool) history {
	h := history{opt: world.Options{
		Seed: rapid.Uint64().Draw(rt, "seed"), Checks: checks, Skew: 5, Term: shortTerm,
		VMs: rapid.IntRange(2, 4).Draw(rt, "vms"), Servers: rapid.IntRange(2, 3).Draw(rt, "servers"),
	}}
	if rapid.Bool().Draw(rt, "noisy") {
		h.noise = world.Noise{
			Drop: 20, Double: 20, Late: 20, Stall: 1, MaxLate: 1500 * time.Millisecond, MaxStall: 3 * time.Second,
		}
	}
	for range rapid.IntRange(1, 9).Draw(rt, "faults") {
		h.faults = append(h.faults, fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
			At:   time.Duration(rapid.IntRange(300, 7000).Draw(rt, "at")) * time.Millisecond,
			For:  time.Duration(rapid.IntRange(50, 5000).Draw(rt, "for")) * time.Millisecond,
			A:    rapid.IntRange(0, 3).Draw(rt, "a"), B: rapid.IntRange(0, 3).Draw(rt, "b"),
		})
	}
	return h
}

// play runs the faults, ends them, and lets the world settle.
func (h history) play() *world.World {
	w := world.New(h.opt)
	w.Noise = h.noise
	for _, f := range h.faults {
		w.At(f.At, func() { apply(w, f) })
	}
	w.Run(faultsEnd)
	w.Noise = world.Noise{}
	for _, v := range w.VMs {
		if v.Paused() {
			v.Resume()
		}
	}
	w.Heal()
	w.Run(faultsEnd + settleTime)
	return w
}

func apply(w *world.World, f fault) {
	v, o := w.VMs[f.A%len(w.VMs)], w.VMs[f.B%len(w.VMs)]
	s := w.Servers[f.B%len(w.Servers)]
	switch f.Kind {
	case "pause":
		v.Pause(f.For)
	case "killvm":
		if alive(w) > 1 {
			v.Kill(f.For / 2)
		}
	case "restartvm":
		v.Restart()
	case "leavevm":
		if alive(w) > 1 {
			v.Leave()
		}
	case "cutpeer":
		w.Cut(string(v.ID), string(o.ID), f.For)
	case "cutserver":
		w.Cut(string(v.ID), string(s.Name), f.For)
	case "cutstore":
		w.Cut(string(v.ID), "store", f.For)
	case "freeze":
		s.Freeze(f.For)
	case "killserver":
		s.Kill(f.For)
	case "store":
		w.Store.Down(f.For)
	case "noise":
		w.Noise = world.Noise{
			Drop: 100, Double: 100, Late: 100, Stall: 2, MaxLate: 2500 * time.Millisecond, MaxStall: f.For,
		}
		w.At(w.Now()+f.For, func() { w.Noise = world.Noise{} })
	default:
		applyWish(w, f)
	}
}

// applyWish is what operators and planners ask for.
func applyWish(w *world.World, f fault) {
	s := w.Servers[f.A%len(w.Servers)]
	to := w.Servers[f.B%len(w.Servers)]
	var m seat.MoveMsg
	switch f.Kind {
	case "drain":
		s.Drains = true
		for _, v := range w.VMs {
			v.Send(s.Name, seat.DrainMsg{})
			w.At(w.Now()+f.For, func() { s.Drains = false; v.Send(s.Name, seat.UndrainMsg{}) })
		}
		return
	case "move":
		for x := range ident.Slice(6) {
			if w.Store.Table().OwnerOf(x) == s.Name && (int(x)+f.B)%2 == 0 {
				m.Moves = append(m.Moves, table.Move{Slice: x, To: to.Name})
			}
		}
	case "hot":
		k := w.Hot[f.B%len(w.Hot)]
		m.Moves = []table.Move{{Key: k, To: to.Name}}
	}
	for _, v := range w.VMs {
		for _, s := range w.Servers {
			v.Send(s.Name, m)
		}
	}
}

func alive(w *world.World) int {
	n := 0
	for _, v := range w.VMs {
		if !v.Dead && !v.Left {
			n++
		}
	}
	return n
}

// unserved lists slices of live servers without an owner at the end.
func unserved(w *world.World) []string {
	var out []string
	for x := range 6 {
		if !w.Served(x) {
			out = append(out, fmt.Sprintf("slice %d of %s is served by nobody", x, w.Store.Table().OwnerOf(ident.Slice(x))))
		}
	}
	return out
}

// Anything goes wrong at any moment, together or twice: VMs pause, die, restart
// and leave, links and the store break, servers freeze or lose their memory,
// messages are late or doubled. A user would see one truckload credited by two
// servers, or a scale that nobody serves. Each seat writes the table for itself,
// or one writer on each VM joins the edits of its seats.
func TestHistoriesKeepOneOwner(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			t.Parallel()
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, checks)
				w := h.play()
				bad := append(w.Judge(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v\n%s", h, strings.Join(bad, "\n"))
			})
		})
		t.Run(fmt.Sprintf("checks=%v/joined", checks), func(t *testing.T) {
			t.Parallel()
			shared, sent := 0, 0
			defer func() {
				t.Logf("%d edits shared a write, %d went to the hub", shared, sent)
				assert.Assert(t, t.Failed() || shared > 0 && sent > 0, "the histories never joined edits")
			}()
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, checks)
				h.opt.Join = joined
				w := h.play()
				shared, sent = shared+w.Count.Joined, sent+w.Count.Forwarded
				bad := append(w.Judge(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v\n%s", h, strings.Join(bad, "\n"))
			})
		})
	}
}
