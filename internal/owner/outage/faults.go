package outage

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Fault is one kind of fault, or one request of an operator.
type Fault struct {
	Name       string
	horizon    time.Duration // how long the fleet is observed after the fault
	term       time.Duration // of an authority; zero: the default
	smallFleet bool          // use a smaller fleet, for long histories
	// inject causes the fault around a server, and returns which slices are
	// measured; nil means all of them.
	inject func(w *world.World, s *world.Server) func(slice int) bool
	naive  naiveModel
}

// Durations of the faults.
const (
	platformLag     = 5 * time.Second  // until the platform lists a lost VM as gone
	freezeTime      = 3 * time.Second  // of a frozen server
	linkCutTime     = 10 * time.Second // of a broken link
	storeOutage     = 20 * time.Second // of a store outage in which something else fails
	longStoreOutage = 10 * time.Minute
)

// Faults are the faults that are measured, in the order of the rows of the
// fault table.
var Faults = []Fault{
	{Name: "owner lost", horizon: 15 * time.Second, inject: ownerLost, naive: naiveExpiry},
	{Name: "owner frozen 3 s and back", horizon: 15 * time.Second, inject: ownerFrozen, naive: naiveAbsence(freezeTime)},
	{Name: "holder lost", horizon: 15 * time.Second, inject: holderLost, naive: naiveHolder},
	{Name: "holder paused past its term and back", horizon: 30 * time.Second, term: 10 * time.Second, inject: holderPaused, naive: naiveHolder},
	{Name: "holder cut from the store only, 10 s", horizon: 15 * time.Second, inject: holderCutFromStore, naive: naiveLinkCut},
	{Name: "holder cut from servers only, 10 s", horizon: 15 * time.Second, inject: holderCutFromServers, naive: naiveLinkCut},
	{Name: "owner and holder lost together", horizon: 20 * time.Second, inject: ownerAndHolderLost, naive: naiveExpiry},
	{Name: "holder and deputy lost together", horizon: 20 * time.Second, inject: holderAndDeputyLost, naive: naiveHolder},
	{Name: "holder restarts", horizon: 15 * time.Second, inject: holderRestarts, naive: naiveHolder},
	{Name: "data centre lost", horizon: 20 * time.Second, inject: centreLost, naive: naiveExpiry},
	{Name: "store down 10 min", horizon: longStoreOutage + 5*time.Second, smallFleet: true, inject: storeDown, naive: naiveStoreOutage(longStoreOutage)},
	{Name: "store down 20 s, owner lost", horizon: storeOutage + 15*time.Second, inject: duringStoreOutage(ownerLost), naive: naiveOwnerLostInOutage},
	{Name: "store down 20 s, owner restarts in 1 s", horizon: storeOutage + 15*time.Second, inject: duringStoreOutage(ownerRestarts), naive: naiveOwnerRestart},
	{Name: "store down 20 s, holder lost", horizon: storeOutage + 15*time.Second, inject: duringStoreOutage(holderLost), naive: naiveStoreOutage(storeOutage)},
	{Name: "store down 20 s, all VMs and servers restart", horizon: storeOutage + 15*time.Second, inject: duringStoreOutage(allVMsAndServersRestart), naive: naiveOwnerLostInOutage},
	{Name: "holder leaves in order", horizon: 10 * time.Second, inject: holderLeaves, naive: naiveHandover},
	{Name: "server drained", horizon: 10 * time.Second, inject: serverDrained, naive: naiveHandover},
	{Name: "planned move of one slice", horizon: 10 * time.Second, inject: plannedMove, naive: naiveHandover},
}

func slicesOf(w *world.World, s *world.Server) func(int) bool {
	t := w.Store.Table()
	return func(x int) bool { return t.OwnerOf(ident.Slice(x)) == s.Name }
}

func holderOf(w *world.World, s *world.Server) *world.VM {
	for _, v := range w.VMs {
		if v.ID == w.Store.Record(s.Name).Holder {
			return v
		}
	}
	return w.VMs[0]
}

func ownerLost(w *world.World, s *world.Server) func(int) bool {
	s.Kill(-1)
	return slicesOf(w, s)
}

func ownerRestarts(w *world.World, s *world.Server) func(int) bool {
	s.Kill(time.Second)
	return slicesOf(w, s)
}

func ownerFrozen(w *world.World, s *world.Server) func(int) bool {
	s.Freeze(freezeTime)
	return slicesOf(w, s)
}

func holderLost(w *world.World, s *world.Server) func(int) bool {
	holderOf(w, s).Kill(platformLag)
	return nil
}

func holderPaused(w *world.World, s *world.Server) func(int) bool {
	holderOf(w, s).Pause(15 * time.Second)
	return nil
}

func holderCutFromStore(w *world.World, s *world.Server) func(int) bool {
	w.Partition(string(holderOf(w, s).ID), "store", linkCutTime)
	return nil
}

func holderCutFromServers(w *world.World, s *world.Server) func(int) bool {
	for _, o := range w.Servers {
		w.Partition(string(holderOf(w, s).ID), string(o.Name), linkCutTime)
	}
	return nil
}

func ownerAndHolderLost(w *world.World, s *world.Server) func(int) bool {
	holderOf(w, s).Kill(platformLag)
	s.Kill(-1)
	return slicesOf(w, s)
}

func holderAndDeputyLost(w *world.World, s *world.Server) func(int) bool {
	deputy := w.Store.Record(s.Name).Deputy
	holderOf(w, s).Kill(platformLag)
	for _, v := range w.VMs {
		if v.ID == deputy {
			v.Kill(platformLag)
		}
	}
	return slicesOf(w, s)
}

func holderRestarts(w *world.World, s *world.Server) func(int) bool {
	holderOf(w, s).Restart()
	return slicesOf(w, s)
}

func centreLost(w *world.World, s *world.Server) func(int) bool {
	hit := map[ident.Server]bool{}
	for _, v := range w.VMs {
		if v.Centre == s.Centre {
			v.Kill(platformLag)
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
	w.Store.Down(longStoreOutage)
	return nil
}

func duringStoreOutage(do func(*world.World, *world.Server) func(int) bool) func(*world.World, *world.Server) func(int) bool {
	return func(w *world.World, s *world.Server) func(int) bool {
		w.Store.Down(storeOutage)
		var hit func(int) bool
		w.At(w.Now()+time.Second, func() { do(w, s) })
		if t := slicesOf(w, s); t != nil {
			hit = t
		}
		return hit
	}
}

func allVMsAndServersRestart(w *world.World, _ *world.Server) func(int) bool {
	for _, v := range w.VMs {
		v.Restart()
	}
	for _, o := range w.Servers {
		o.Kill(time.Second)
	}
	return nil
}

func holderLeaves(w *world.World, s *world.Server) func(int) bool {
	holderOf(w, s).Leave()
	return nil
}

func serverDrained(w *world.World, s *world.Server) func(int) bool {
	s.Draining = true
	for _, v := range w.VMs {
		v.Send(s.Name, lessor.DrainMsg{})
	}
	return slicesOf(w, s)
}

func plannedMove(w *world.World, s *world.Server) func(int) bool {
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
