package outage

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Fault is one kind of fault, or one wish of an operator.
type Fault struct {
	Name    string
	horizon time.Duration // watched after the fault
	term    time.Duration // of an authority; zero: the default
	small   bool          // a smaller world, for long histories
	// do causes the fault around a server, and returns which slices count; nil
	// means all of them.
	do    func(w *world.World, s *world.Server) func(slice int) bool
	naive naive
}

// Durations of the faults.
const (
	lag     = 5 * time.Second  // until the platform lists a lost VM as gone
	stall   = 3 * time.Second  // a frozen server
	cut     = 10 * time.Second // a link
	outage  = 20 * time.Second // a store outage in which something else fails
	longOut = 10 * time.Minute
)

// Faults are the rows of the table.
var Faults = []Fault{
	{Name: "owner lost", horizon: 15 * time.Second, do: ownerLost, naive: naiveExpiry},
	{Name: "owner frozen 3 s and back", horizon: 15 * time.Second, do: ownerFrozen, naive: naiveFor(stall)},
	{Name: "holder lost", horizon: 15 * time.Second, do: holderLost, naive: naiveHolder},
	{Name: "holder paused past its term and back", horizon: 30 * time.Second, term: 10 * time.Second, do: holderPaused, naive: naiveHolder},
	{Name: "holder cut from the store only, 10 s", horizon: 15 * time.Second, do: cutStore, naive: naiveCut},
	{Name: "holder cut from servers only, 10 s", horizon: 15 * time.Second, do: cutServers, naive: naiveCut},
	{Name: "owner and holder lost together", horizon: 20 * time.Second, do: bothLost, naive: naiveExpiry},
	{Name: "holder and deputy lost together", horizon: 20 * time.Second, do: bothVMsLost, naive: naiveHolder},
	{Name: "holder restarts", horizon: 15 * time.Second, do: holderRestarts, naive: naiveHolder},
	{Name: "data centre lost", horizon: 20 * time.Second, do: centreLost, naive: naiveExpiry},
	{Name: "store down 10 min", horizon: longOut + 5*time.Second, small: true, do: storeDown, naive: naiveOutage(longOut)},
	{Name: "store down 20 s, owner lost", horizon: outage + 15*time.Second, do: storeAnd(ownerLost), naive: naiveLost},
	{Name: "store down 20 s, owner restarts in 1 s", horizon: outage + 15*time.Second, do: storeAnd(ownerRestarts), naive: naiveBack},
	{Name: "store down 20 s, holder lost", horizon: outage + 15*time.Second, do: storeAnd(holderLost), naive: naiveOutage(outage)},
	{Name: "store down 20 s, all VMs and servers restart", horizon: outage + 15*time.Second, do: storeAnd(allRestart), naive: naiveLost},
	{Name: "holder leaves in order", horizon: 10 * time.Second, do: holderLeaves, naive: naiveHandover},
	{Name: "server drained", horizon: 10 * time.Second, do: drained, naive: naiveHandover},
	{Name: "planned move of one slice", horizon: 10 * time.Second, do: planned, naive: naiveHandover},
}

func of(w *world.World, s *world.Server) func(int) bool {
	t := w.Store.Table()
	return func(x int) bool { return t.OwnerOf(ident.Slice(x)) == s.Name }
}

func holder(w *world.World, s *world.Server) *world.VM {
	for _, v := range w.VMs {
		if v.ID == w.Store.Record(s.Name).Holder {
			return v
		}
	}
	return w.VMs[0]
}

func ownerLost(w *world.World, s *world.Server) func(int) bool {
	s.Kill(-1)
	return of(w, s)
}

func ownerRestarts(w *world.World, s *world.Server) func(int) bool {
	s.Kill(time.Second)
	return of(w, s)
}

func ownerFrozen(w *world.World, s *world.Server) func(int) bool {
	s.Freeze(stall)
	return of(w, s)
}

func holderLost(w *world.World, s *world.Server) func(int) bool {
	holder(w, s).Kill(lag)
	return nil
}

func holderPaused(w *world.World, s *world.Server) func(int) bool {
	holder(w, s).Pause(15 * time.Second)
	return nil
}

func cutStore(w *world.World, s *world.Server) func(int) bool {
	w.Partition(string(holder(w, s).ID), "store", cut)
	return nil
}

func cutServers(w *world.World, s *world.Server) func(int) bool {
	for _, o := range w.Servers {
		w.Partition(string(holder(w, s).ID), string(o.Name), cut)
	}
	return nil
}

func bothLost(w *world.World, s *world.Server) func(int) bool {
	holder(w, s).Kill(lag)
	s.Kill(-1)
	return of(w, s)
}

func bothVMsLost(w *world.World, s *world.Server) func(int) bool {
	deputy := w.Store.Record(s.Name).Deputy
	holder(w, s).Kill(lag)
	for _, v := range w.VMs {
		if v.ID == deputy {
			v.Kill(lag)
		}
	}
	return of(w, s)
}

func holderRestarts(w *world.World, s *world.Server) func(int) bool {
	holder(w, s).Restart()
	return of(w, s)
}

func centreLost(w *world.World, s *world.Server) func(int) bool {
	hit := map[ident.Server]bool{}
	for _, v := range w.VMs {
		if v.Centre == s.Centre {
			v.Kill(lag)
		}
	}
	t := w.Store.Table()
	for _, o := range w.Servers {
		if o.Centre == s.Centre {
			hit[o.Name] = true
			o.Kill(-1)
		}
	}
	return func(x int) bool { return hit[t.OwnerOf(ident.Slice(x))] }
}

func storeDown(w *world.World, _ *world.Server) func(int) bool {
	w.Store.Down(longOut)
	return nil
}

func storeAnd(do func(*world.World, *world.Server) func(int) bool) func(*world.World, *world.Server) func(int) bool {
	return func(w *world.World, s *world.Server) func(int) bool {
		w.Store.Down(outage)
		var hit func(int) bool
		w.At(w.Now()+time.Second, func() { do(w, s) })
		if t := of(w, s); t != nil {
			hit = t
		}
		return hit
	}
}

func allRestart(w *world.World, _ *world.Server) func(int) bool {
	for _, v := range w.VMs {
		v.Restart()
	}
	for _, o := range w.Servers {
		o.Kill(time.Second)
	}
	return nil
}

func holderLeaves(w *world.World, s *world.Server) func(int) bool {
	holder(w, s).Leave()
	return nil
}

func drained(w *world.World, s *world.Server) func(int) bool {
	s.Draining = true
	for _, v := range w.VMs {
		v.Send(s.Name, lessor.DrainMsg{})
	}
	return of(w, s)
}

func planned(w *world.World, s *world.Server) func(int) bool {
	to := w.Servers[0]
	if to == s {
		to = w.Servers[1]
	}
	set := w.Store.Table().SetOf(s.Name)
	x := set.Slices[0]
	for _, v := range w.VMs {
		v.Send(s.Name, lessor.MoveMsg{Moves: []table.Move{{Slice: x, To: to.Name}}})
	}
	return func(y int) bool { return y == int(x) }
}
