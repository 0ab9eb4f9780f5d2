package gate

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/cost"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// Stats holds the gate's counters since its start and its current gauges.
type Stats struct {
	Started  uint64                `json:"started"` // attempts sent to a server
	Queued   uint64                `json:"queued"`  // requests that had to wait
	Refused  map[kinds.Kind]uint64 `json:"refused"`
	Retries  uint64                `json:"retries"`
	Hedges   uint64                `json:"hedges"`
	Canceled uint64                `json:"canceled"`
	Waiting  int                   `json:"waiting"` // in the queues now
	Held     int                   `json:"held"`    // waiting in move queues for an owner now
	Running  int                   `json:"running"` // on backend servers now
	Ejected  int                   `json:"ejected"` // servers ejected for bad health
	Cold     int                   `json:"cold"`    // cold servers that get only few requests
	// RefusedCold counts the requests refused because the owner of their key is cold.
	RefusedCold uint64 `json:"refused_cold"`
	Limited     int    `json:"limited"` // servers that limit their requests
	// RefusedLimited counts the requests refused because of the limit of a server.
	RefusedLimited uint64 `json:"refused_limited"`
	Shedding       int    `json:"shedding"` // servers that want no requests from this VM
	// RefusedShedding counts the requests refused because of that.
	RefusedShedding uint64 `json:"refused_shedding"`
	// Stalled counts the attempts whose server passed them over, StalledRetried those of them
	// that were retried, and StalledLeft those that went on without a slot.
	Stalled        uint64 `json:"stalled"`
	StalledRetried uint64 `json:"stalled_retried"`
	StalledLeft    uint64 `json:"stalled_left"`
	PlacesDelayed  int    `json:"places_delayed"` // servers at the limit of all VMs
	// RefusedPlaces counts the requests refused because this VM's turn at the owner of their
	// key came too late.
	RefusedPlaces uint64        `json:"refused_places"`
	Overload      bool          `json:"overload"`
	Budget        float64       `json:"budget"` // retries left in the budget
	Servers       []ServerStats `json:"servers"`
	// Costs are the estimated service times of the requests of each rule.
	Costs []cost.RuleEstimate `json:"costs"`
}

// ServerStats holds the gauges of one backend server.
type ServerStats struct {
	Name    ident.Server  `json:"name"`
	Running int           `json:"running"`
	Limit   int           `json:"limit"`
	Waiting int           `json:"waiting"`
	Latency time.Duration `json:"latency"`
	State   string        `json:"state"`
}

// Overload reports whether some queue is standing. A queue that is standing because of
// an owner's hot keys only blocks retries to that owner, see [Core.MayRetry].
func (c *Core) Overload() bool {
	over := false
	c.forEachLanes(func(ls *lanePair) {
		for k := range ls.bySize {
			over = over || ls.bySize[k].q.Standing()
		}
	})
	return over
}

// Stats returns counters and gauges.
func (c *Core) Stats(now time.Time) Stats {
	s := c.stats
	s.Refused = maps.Clone(c.stats.Refused)
	s.Waiting, s.Held, s.Running = c.waiting, c.moveQueues.n, c.running
	s.Ejected = c.monitor.Ejected()
	s.Overload = c.Overload()
	s.Budget = c.retryBudget.Remaining()
	s.Costs = c.completion.costs.Rules()
	for _, srv := range c.servers {
		s.Servers = append(s.Servers, srv.stats(now))
		if srv.cap.capped {
			s.Cold++
		}
		if srv.permits.limited {
			s.Limited++
		}
		if srv.shedding(now) > 0 {
			s.Shedding++
		}
		if srv.crowded(now) {
			s.PlacesDelayed++
		}
	}
	return s
}

func (s *server) stats(now time.Time) ServerStats {
	n := 0
	if s.ownLanes != nil {
		n = s.ownLanes.len()
	}
	return ServerStats{
		Name: s.info.Name, Running: s.running, Limit: s.maxRunning(now), Waiting: n,
		Latency: s.load.Latency(), State: string(s.health.State()),
	}
}

// Inspect returns the current state of a server, see [Gate.Inspect].
func (c *Core) Inspect(now time.Time, name ident.Server) Snapshot {
	if s := c.byName[name]; s != nil {
		v := Snapshot{Running: s.running, Limit: s.maxRunning(now), Slots: s.info.Slots}
		if s.ownLanes != nil {
			v.Waiting = s.ownLanes.len()
		}
		if !s.reportedAt.IsZero() {
			v.Load, v.LoadAge = s.reportedLoad, now.Sub(s.reportedAt)
		}
		v.Cold, v.Limited, v.Shedding = s.cap.capped, s.permits.limited, s.shedding(now)
		v.addEstimate(now, s)
		v.Remote = c.cfg.Centre != "" && s.info.Centre != c.cfg.Centre
		return v
	}
	v := Snapshot{
		Running: c.running, Limit: int(c.concurrency[sizes.Short]), Waiting: c.shared.len(), Limited: c.sharedDenied(now) > 0, Shedding: c.allShedding(now),
	}
	for _, s := range c.servers {
		v.addEstimate(now, s)
	}
	return v
}

// addEstimate adds the places of a server and the estimated requests there, with the age of
// the oldest report. A server without a recent report adds its places only.
func (v *Snapshot) addEstimate(now time.Time, s *server) {
	if !s.placesOn {
		return
	}
	v.Places += s.places.Held()
	if n, age := s.estimate(now); s.places.Known(now) {
		v.Estimate, v.EstimateAge = v.Estimate+n, max(v.EstimateAge, age)
	}
}
