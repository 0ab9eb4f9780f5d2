package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/place"
)

// countOf160 is the decayed count of requests at 160 a second.
const countOf160 = 346

// limitedModel returns a model whose servers have limits, below zero for none, and get some
// 160 requests a second together.
func limitedModel(now time.Time, limits map[ident.Server]float64) (*Model, []place.Server) {
	m := New()
	var servers []place.Server
	for name, limit := range limits {
		m.backends[name] = &backend{Server: Server{Name: name, Slots: 4, Limited: limit >= 0, Limit: max(limit, 0)}}
		servers = append(servers, place.Server{ID: name, Weight: 4, Ramp: 1, Accepting: true})
	}
	sortServers(servers)
	m.loads.add(now, LoadMsg{Cells: map[uint16]uint32{1: countOf160}})
	return m, servers
}

// shares returns the requests a second that each server gets in balance.
func shares(m *Model, now time.Time, servers []place.Server) map[ident.Server]float64 {
	total := 0.0
	for _, s := range servers {
		total += s.Weight * s.Ramp
	}
	all := map[ident.Server]float64{}
	for _, s := range servers {
		all[s.ID] = m.loads.totalRate(now) * s.Weight * s.Ramp / total
	}
	return all
}

// Guards against a server with a limit that is given keys with more requests than it takes.
func TestKeysGoWhereThereIsRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	m, servers := limitedModel(now, map[ident.Server]float64{"a": 2, "b": 0, "c": 1000, "d": -1, "e": -1})
	m.limitWeights(now, servers)
	got := shares(m, now, servers)
	assert.Assert(t, got["a"] > 0.9 && got["a"] < 1.1, "%v", got)
	assert.Assert(t, got["b"] < 0.01, "%v", got)
	assert.Assert(t, got["c"] > 50 && got["d"] > 50 && got["e"] > 50, "%v", got)
}

// Guards against servers that all have limits and are given keys as if they had none.
func TestServersWithLimitsOnlyShareTheKeysByTheirLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	m, servers := limitedModel(now, map[ident.Server]float64{"a": 2, "b": 6})
	m.limitWeights(now, servers)
	got := shares(m, now, servers)
	assert.Assert(t, got["b"] > 2.9*got["a"] && got["b"] < 3.1*got["a"], "%v", got)
}

// Guards against servers whose weights change although none has a limit.
func TestServersWithoutLimitsKeepTheirWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	m, servers := limitedModel(now, map[ident.Server]float64{"a": -1, "b": -1})
	m.limitWeights(now, servers)
	assert.Equal(t, servers[0].Weight, 4.0)
	assert.Equal(t, servers[1].Weight, 4.0)
}
