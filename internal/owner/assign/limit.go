package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/owner/place"
)

const (
	// limitUse is the share of its limit for which a server is given keys. Requests come in
	// bursts, and loads are known only approximately.
	limitUse = 0.5
	// minWeight is the weight of a server that takes hardly any requests. It is above zero,
	// which would mean the usual weight.
	minWeight = 1e-6
)

// limitWeights lowers the weights of servers that limit their requests, so that their keys
// get no more than limitUse of their limits. In balance, a server's load is its weight times
// the load per unit of weight, which the servers without a binding limit determine.
func (m *Model) limitWeights(now time.Time, servers []place.Server) {
	bound := make([]bool, len(servers))
	loadPerWeight := 0.0
	for changed := true; changed; {
		changed = false
		load, weight := m.loads.totalRate(now), 0.0
		for i, s := range servers {
			switch {
			case !s.Accepting:
			case bound[i]:
				load -= m.limitRoom(s)
			default:
				weight += s.Weight * s.Ramp
			}
		}
		loadPerWeight = 1 // all servers have binding limits: they share the keys by these
		if weight > 0 {
			loadPerWeight = max(load, 0) / weight
		}
		for i, s := range servers {
			if s.Accepting && !bound[i] && m.backends[s.ID].Limited && m.limitRoom(s) < s.Weight*s.Ramp*loadPerWeight {
				bound[i], changed = true, true
			}
		}
	}
	for i := range servers {
		if s := &servers[i]; bound[i] {
			s.Weight = max(m.limitRoom(*s)/max(loadPerWeight, minWeight)/s.Ramp, minWeight)
		}
	}
}

// limitRoom returns how many requests a second a server with a limit is given keys for.
func (m *Model) limitRoom(s place.Server) float64 { return m.backends[s.ID].Limit * limitUse }
