package lessor_test

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
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// fault is one fault, or one request of an operator.
type fault struct {
	Kind string
	At   time.Duration
	For  time.Duration
	A, B int // select the VMs and servers it applies to
}

func (f fault) String() string { return fmt.Sprintf("%s(%d,%d)@%v+%v", f.Kind, f.A, f.B, f.At, f.For) }

// faultKinds lists some kinds several times, to draw them more often.
var faultKinds = []string{
	"pause", "pause", "killvm", "restartvm", "leavevm", "cutpeer", "cutpeer", "cutserver", "cutserver",
	"cutstore", "freeze", "freeze", "killserver", "store", "store", "noise", "noise", "drain",
	"move", "move", "move", "hot",
}

// Times of a history. settleTime bounds the recovery after the faults have
// ended: a term that must be waited out, the platform's lag in listing a lost
// VM as gone, and the time of a takeover and a move.
const (
	faultsEnd  = 8 * time.Second
	shortTerm  = 7 * time.Second
	settleTime = shortTerm + 8*time.Second
)

// history is one run of the simulated fleet: its options and its faults.
type history struct {
	opt    world.Options
	noise  world.Noise
	faults []fault
}

// mode is how a service's servers and its settings are set up.
type mode struct {
	Checks  bool // servers check fences
	Standby bool // standbys are allowed
}

var modes = []mode{{}, {Checks: true}, {Standby: true}, {Checks: true, Standby: true}}

func (m mode) String() string { return fmt.Sprintf("checks=%v,stand=%v", m.Checks, m.Standby) }

// A standby needs a lost server during a store outage, and the histories must
// reach that often: so such a pair is drawn together, and further faults around
// it.
var (
	storeFaultKinds = []string{"store", "store", "holderstore", "holderstore"}
	ownerFaultKinds = []string{"killserver", "freeze", "loneserver", "holderserver"}
	extraFaultKinds = []string{
		"pause", "restartvm", "holderpause", "holderkill", "holderrestart", "deputyrestart", "deputykill",
		"lendkill", "lendfreeze", "cutpeer", "freeze", "deputystore", "leavevm", "move", "drain", "store",
	}
)

func drawServerLoss(rt *rapid.T, faults []fault) []fault {
	if rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
		return faults
	}
	at, b := rapid.IntRange(300, 4000).Draw(rt, "from"), rapid.IntRange(0, 3).Draw(rt, "server")
	draw := func(kinds []string, late, least, most int) {
		faults = append(faults, fault{
			Kind: rapid.SampledFrom(kinds).Draw(rt, "how"),
			At:   time.Duration(at+rapid.IntRange(0, late).Draw(rt, "later")) * time.Millisecond,
			For:  time.Duration(rapid.IntRange(least, most).Draw(rt, "long")) * time.Millisecond,
			A:    rapid.IntRange(0, 3).Draw(rt, "vm"), B: b,
		})
	}
	draw(storeFaultKinds, 200, 1500, 5000)
	draw(ownerFaultKinds, 500, 1000, 5000)
	for range rapid.IntRange(0, 4).Draw(rt, "more") {
		draw(extraFaultKinds, 3500, 50, 4000)
	}
	return faults
}

func drawHistory(rt *rapid.T, m mode) history {
	h := history{opt: world.Options{
		Seed: rapid.Uint64().Draw(rt, "seed"), FenceChecks: m.Checks, Standby: m.Standby, Skew: 5, Term: shortTerm,
		VMs: rapid.IntRange(2, 4).Draw(rt, "vms"), Servers: rapid.IntRange(2, 3).Draw(rt, "servers"),
	}}
	if rapid.Bool().Draw(rt, "noisy") {
		h.noise = world.Noise{
			Drop: 20, Duplicate: 20, Delay: 20, Stall: 1, MaxDelay: 1500 * time.Millisecond, MaxStall: 3 * time.Second,
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
	if m.Standby {
		h.faults = drawServerLoss(rt, h.faults)
	}
	return h
}

// run applies the faults, ends them, and lets the system recover.
func (h history) run() *world.World {
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
		w.Partition(string(v.ID), string(o.ID), f.For)
	case "cutserver":
		w.Partition(string(v.ID), string(s.Name), f.For)
	case "cutstore":
		w.Partition(string(v.ID), "store", f.For)
	case "freeze":
		s.Freeze(f.For)
	case "killserver":
		s.Kill(f.For)
	case "store":
		w.Store.Down(f.For)
	case "noise":
		w.Noise = world.Noise{
			Drop: 100, Duplicate: 100, Delay: 100, Stall: 2, MaxDelay: 2500 * time.Millisecond, MaxStall: f.For,
		}
		w.At(w.Now()+f.For, func() { w.Noise = world.Noise{} })
	case "drain", "move", "hot":
		applyRequest(w, f)
	default:
		applyToActor(w, f, s)
	}
}

// applyToActor applies a fault to a VM or server that acts for a server now.
func applyToActor(w *world.World, f fault, s *world.Server) {
	rec := w.Store.Record(s.Name)
	holder, deputy := vmOf(w, rec.Holder), vmOf(w, rec.Deputy)
	switch f.Kind {
	case "holderstore":
		w.Partition(string(holder.ID), "store", f.For)
	case "holderserver":
		w.Partition(string(holder.ID), string(s.Name), f.For)
	case "loneserver": // only one VM reaches it
		for i, v := range w.VMs {
			if i != f.A%len(w.VMs) {
				w.Partition(string(v.ID), string(s.Name), f.For)
			}
		}
	case "holderpause":
		holder.Pause(f.For)
	case "holderkill":
		if alive(w) > 1 && !holder.Dead {
			holder.Kill(f.For / 2)
		}
	case "deputyrestart":
		deputy.Restart()
	case "holderrestart":
		holder.Restart()
	case "deputystore":
		w.Partition(string(deputy.ID), "store", f.For)
	case "deputykill":
		if alive(w) > 1 && !deputy.Dead {
			deputy.Kill(f.For / 2)
		}
	case "lendkill":
		if by := w.Standby(s.Name); by != nil {
			by.Kill(f.For)
		}
	case "lendfreeze":
		if by := w.Standby(s.Name); by != nil {
			by.Freeze(f.For)
		}
	}
}

func vmOf(w *world.World, id ident.VM) *world.VM {
	for _, v := range w.VMs {
		if v.ID == id {
			return v
		}
	}
	return w.VMs[0]
}

// applyRequest applies a request of an operator or a planner.
func applyRequest(w *world.World, f fault) {
	s := w.Servers[f.A%len(w.Servers)]
	to := w.Servers[f.B%len(w.Servers)]
	var m lessor.MoveMsg
	switch f.Kind {
	case "drain":
		s.Draining = true
		for _, v := range w.VMs {
			v.Send(s.Name, lessor.DrainMsg{})
			w.At(w.Now()+f.For, func() { s.Draining = false; v.Send(s.Name, lessor.UndrainMsg{}) })
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

// unserved lists slices of live servers that no server serves at the end.
func unserved(w *world.World) []string {
	var out []string
	for x := range 6 {
		if !w.Served(x) {
			out = append(out, fmt.Sprintf("slice %d of %s is served by nobody", x, w.Store.Table().OwnerOf(ident.Slice(x))))
		}
	}
	return out
}

// Guards against two servers that serve one key, and against keys that stay unserved. At any moment,
// also together, VMs pause, die, restart and leave, links and the store fail, servers freeze or lose
// their memory, messages are late or duplicated. Lessors write alone or through one writer per VM.
func TestHistoriesKeepOneOwner(t *testing.T) {
	for _, m := range modes {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			withStandby := 0
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, m)
				w := h.run()
				if w.StandbyServed() {
					withStandby++
				}
				bad := append(w.Check(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v\n%s", h, strings.Join(bad, "\n"))
			})
			t.Logf("a standby served in %d histories", withStandby)
			assert.Equal(t, withStandby > 0, m.Standby)
		})
		t.Run(m.String()+"/joined", func(t *testing.T) {
			t.Parallel()
			shared, sent := 0, 0
			defer func() {
				t.Logf("%d edits shared a write, %d went to the coordinator", shared, sent)
				assert.Assert(t, t.Failed() || shared > 0 && sent > 0, "the histories never batched edits")
			}()
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, m)
				h.opt.NewWriter = newBatchingWriter
				w := h.run()
				shared, sent = shared+w.Count.Joined, sent+w.Count.Forwarded
				bad := append(w.Check(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v\n%s", h, strings.Join(bad, "\n"))
			})
		})
	}
}
