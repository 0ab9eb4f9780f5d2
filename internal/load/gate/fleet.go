package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// fleetView is what all VMs together know of a server, as of a time. The zero value knows
// nothing.
type fleetView struct {
	fleet.Entry
	at time.Time // when the ages of the entry held; zero if there is no entry
}

// maxFleetAge bounds the age of what the fleet knows; older entries are not used.
const maxFleetAge = time.Second

// fresh returns the entry and its age, and false if there is none that may be used.
func (v *fleetView) fresh(now time.Time) (e fleet.Entry, age time.Duration, ok bool) {
	age = now.Sub(v.at)
	return v.Entry, age, !v.at.IsZero() && age <= maxFleetAge
}

// SetSilent sets whether the service's full servers answer nothing. The fleet-wide limits of
// servers, the selection by expected completion time and the detection of stalled attempts
// are on only then.
func (c *Core) SetSilent(now time.Time, silent bool) {
	c.silent = silent
	c.refresh(now)
}

// ApplyFleet handles a list of what all VMs know, whose ages held at a time. The argument
// places is the number of requests that one server of the service holds, running and
// waiting; zero if unknown.
func (c *Core) ApplyFleet(now, at time.Time, list []fleet.Entry, places int) {
	c.places = places
	for _, e := range list {
		s := c.byName[e.Server]
		if s == nil || s.info.Incarnation != e.Incarnation {
			continue
		}
		s.fleet = fleetView{Entry: e, at: at}
	}
	c.applyPlaces(now, at, list)
	c.refresh(now)
}

// SetSilent sets whether the service's full servers answer nothing, see [Core.SetSilent].
func (g *Gate) SetSilent(silent bool) {
	g.update(func(now time.Time) { g.core.SetSilent(now, silent) })
}

// ApplyFleet handles a list of what all VMs know, see [Core.ApplyFleet].
func (g *Gate) ApplyFleet(at time.Time, list []fleet.Entry, places int) {
	g.update(func(now time.Time) { g.core.ApplyFleet(now, at, list, places) })
}
