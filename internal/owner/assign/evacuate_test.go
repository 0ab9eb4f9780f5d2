package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// heldRows counts the rows that the given servers hold.
func (sim *simulation) heldRows(servers []*fakeServer) (n int) {
	for _, s := range servers {
		for _, until := range s.until {
			if until.After(sim.now) {
				n++
			}
		}
	}
	return n
}

// Guards against keys that stay in an evacuated data centre, or all leave it in one moment.
func TestTheKeysOfAnEvacuatedDataCentreMoveInSteps(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		there := sim.servers[1:3]
		for _, s := range there {
			s.evacuated = true
		}
		before := sim.heldRows(there)
		sim.leaders[0].sendServers()
		sim.runUntil(sim.now.Add(100 * time.Millisecond))
		assert.Assert(t, sim.heldRows(there) >= before/2, "%d of %d left", sim.heldRows(there), before)
		sim.runUntil(sim.now.Add(evacuationSpread + time.Second))
		assert.Equal(t, sim.heldRows(there), 0)
		assert.Equal(t, sim.ownedRows(), simRows)
		for _, s := range there {
			s.evacuated = false
		}
		sim.leaders[0].sendServers()
		sim.runUntil(sim.now.Add(5 * time.Second))
		assert.Assert(t, sim.heldRows(there) > 0, "the data centre gets no keys back")
		assert.Equal(t, sim.violation, "")
	})
}

// Guards against keys that nobody may serve any more because all data centres are evacuated at once and no server can take them.
func TestKeysKeepTheirOwnersWhenEverythingIsEvacuated(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		for _, s := range sim.servers {
			s.evacuated = true
		}
		sim.leaders[0].sendServers()
		sim.runUntil(sim.now.Add(5 * time.Second))
		assert.Equal(t, sim.ownedRows(), simRows)
		assert.Equal(t, sim.violation, "")
	})
}
