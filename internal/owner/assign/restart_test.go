package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against giving a server that started again under its name its full share while it warms up.
func TestAServerThatStartedAgainCountsAsCold(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	m.setServers(now, []Server{{Name: "s1", Incarnation: 1}})
	now = now.Add(time.Minute)
	m.setServers(now, []Server{{Name: "s1", Incarnation: 2, Cold: 10 * time.Second}})
	in := m.planInput(now, &draft{})
	assert.Equal(t, in.Servers[0].Ramp, warmupCapacity)
}

// Guards against keys at cold servers, whose owners could serve only a few requests a second.
func TestCappedServersGetKeysOnlyIfAllAreCapped(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	servers := []Server{{Name: "s1", Capped: true}, {Name: "s2"}}
	m.setServers(now, servers)
	m.updateAllAvoided(now)
	in := m.planInput(now, &draft{})
	assert.Assert(t, !in.Servers[0].Accepting && in.Servers[1].Accepting)
	servers[1].Leaving = true
	m.setServers(now, servers)
	m.updateAllAvoided(now)
	in = m.planInput(now, &draft{})
	assert.Assert(t, in.Servers[0].Accepting && !in.Servers[1].Accepting)
}

// Guards against keys that stay with servers that shed requests.
func TestSheddingServersGetKeysOnlyIfAllShed(t *testing.T) {
	m, now := New(), time.Unix(1000, 0)
	m.setServers(now, []Server{{Name: "s1", Shedding: true}, {Name: "s2"}})
	m.updateAllAvoided(now)
	in := m.planInput(now, &draft{})
	assert.Assert(t, !in.Servers[0].Accepting && in.Servers[1].Accepting)
	m.setServers(now, []Server{{Name: "s1", Shedding: true}, {Name: "s2", Shedding: true}})
	m.updateAllAvoided(now)
	in = m.planInput(now, &draft{})
	assert.Assert(t, in.Servers[0].Accepting && in.Servers[1].Accepting)
}
