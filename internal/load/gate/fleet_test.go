package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

func fleetCore(incarnation int64) *Core {
	c := NewCore(Config{Seed: 1})
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 2, Conns: 10, Incarnation: incarnation}})
	return c
}

// Guards against entries that are used as fresh once no leader sends lists.
func TestEntriesAreNotUsedAfterASecond(t *testing.T) {
	c := fleetCore(7)
	c.ApplyFleet(epoch, epoch.Add(-300*time.Millisecond), []fleet.Entry{{Server: "a", Incarnation: 7, Load: 5}, {Server: "unknown"}}, 10)
	e, age, ok := c.byName["a"].fleet.fresh(epoch)
	assert.Assert(t, ok)
	assert.Equal(t, e.Load, 5)
	assert.Equal(t, age, 300*time.Millisecond)
	_, _, ok = c.byName["a"].fleet.fresh(epoch.Add(701 * time.Millisecond))
	assert.Assert(t, !ok)
}

// Guards against what is known of an earlier process of a server that is used for the next.
func TestEntriesOfAnEarlierProcessAreNotUsed(t *testing.T) {
	c := fleetCore(7)
	c.ApplyFleet(epoch, epoch, []fleet.Entry{{Server: "a", Incarnation: 7, Load: 5}}, 10)
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 2, Conns: 10, Incarnation: 8}})
	_, _, ok := c.byName["a"].fleet.fresh(epoch)
	assert.Assert(t, !ok)
	c.ApplyFleet(epoch, epoch, []fleet.Entry{{Server: "a", Incarnation: 7, Load: 5}}, 10)
	_, _, ok = c.byName["a"].fleet.fresh(epoch)
	assert.Assert(t, !ok)
}
