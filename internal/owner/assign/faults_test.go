package assign

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// injectFault draws the next fault.
func (sim *simulation) injectFault() {
	s := sim.servers[rapid.IntRange(0, len(sim.servers)-1).Draw(sim.t, "server")]
	l := sim.leaders[len(sim.leaders)-1]
	kind := rapid.IntRange(0, 15).Draw(sim.t, "fault")
	sim.tracef("all rows: fault %d at %s", kind, s.name)
	switch kind {
	case 0:
		s.up = false // crashed: the machine refuses connections
	case 1:
		s.up, s.silent = false, true // the machine is lost: no answer of any kind
	case 2:
		s.restart(int64(sim.seq) + 2)
	case 3:
		s.leaving = true
	case 4:
		s.listed = !s.listed // its list entry expired or is back; the server may be healthy
	case 5:
		l.unreachable[s.name] = !l.unreachable[s.name]
	case 6:
		sim.storeOK = !sim.storeOK
	case 7:
		l.frozenUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(sim.t, "freeze")) * time.Second)
	case 8:
		sim.newLeader() // the old leader goes on, cut off only from the store
	case 9:
		l.alive = false
		sim.newLeader()
	case 10:
		if row := rapid.IntRange(0, simRows-1).Draw(sim.t, "row"); s.until[row].After(sim.now) {
			s.busyUntil[row] = sim.now.Add(300 * time.Millisecond)
		}
	case 12:
		sim.newUnawareLeader()
	case 13:
		sim.corruptRow()
	case 14:
		l.relayed[s.name] = !l.relayed[s.name]
	case 15:
		for _, s := range sim.servers[:2] { // the servers of one data centre
			s.evacuated = !s.evacuated
		}
	case 11:
		s.silent = !s.silent // it freezes, or continues as if nothing had happened
	}
	for _, l := range sim.leaders {
		l.sendServers()
	}
}

// losePathsStepByStep makes the leader reach all servers but one through another VM, and
// then not at all.
func (sim *simulation) losePathsStepByStep() {
	for _, s := range sim.servers[1:] {
		sim.leaders[0].relayed[s.name] = true
	}
	sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(sim.t, "relayed")) * time.Millisecond))
	for _, s := range sim.servers[1:] {
		sim.leaders[0].relayed[s.name], sim.leaders[0].unreachable[s.name] = false, true
	}
	sim.runUntil(sim.now.Add(7 * time.Second))
}

// runFaults runs a random sequence of faults and returns the first violation found.
func runFaults(t *rapid.T, f flaw) string {
	sim := newSim(t, f)
	sim.newLeader()
	sim.runUntil(sim.now.Add(3 * time.Second))
	switch f { // faults that random sequences seldom produce
	case flawAcceptForeignTable:
		sim.newUnawareLeader()
	case flawSkipLostWait:
		sim.corruptRow()
	case flawIgnoreDelay:
		sim.losePathsStepByStep()
	}
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		sim.injectFault()
		pause := time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
		if sim.violation == "" {
			sim.runUntil(sim.now.Add(pause))
		}
	}
	sim.runUntil(sim.now.Add(25 * time.Second))
	sim.logViolation()
	return sim.violation
}

// logViolation logs the events of the row whose owner was violated.
func (sim *simulation) logViolation() {
	if sim.violation == "" {
		return
	}
	row, _, _ := strings.Cut(strings.TrimPrefix(sim.violation, "row "), " ")
	for _, line := range sim.trace {
		if strings.Contains(line, " row "+row+" ") || strings.Contains(line, " all rows") {
			sim.t.Log(line)
		}
	}
}

// Guards against two servers that own the same keys at once, so that callers see a record on only
// one of them. Servers crash, freeze, restart, leave and are cut off; orders are lost, unanswered
// or late; leaders freeze and go on after they are replaced; the store fails and loses answers.
func TestNoTwoServersHoldTheSameKeys(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		assert.Equal(t, runFaults(t, flawNone), "")
	})
}

// Breaks each safety rule in turn. If no run detects it, either the rule is not needed or
// the tests prove nothing.
func TestEverySafetyRuleIsNeeded(t *testing.T) {
	names := map[flaw]string{
		flawSkipWait: "wait", flawIgnoreInFlight: "flying", flawIgnoreOldTerm: "bar", flawKeepFence: "fence", flawActBeforeWrite: "stale", flawAcceptForeignTable: "behind", flawSkipLostWait: "lost", flawIgnoreDelay: "relay",
	}
	for f, name := range names {
		t.Run(name, func(t *testing.T) {
			caught := 0
			seeds.Check(t, func(t *rapid.T) {
				if caught == 0 && runFaults(t, f) != "" {
					caught++
				}
			})
			assert.Assert(t, caught > 0, "no history noticed")
		})
	}
}

// A server restarts under its name without any keys. Until it is granted its keys under a
// new fence, every request for them is rejected.
func TestARestartedServerGetsItsKeysBack(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		assert.Equal(t, sim.ownedRows(), simRows)
		sim.servers[0].restart(99)
		for _, l := range sim.leaders {
			l.sendServers()
		}
		sim.runUntil(sim.now.Add(2 * time.Second))
		assert.Equal(t, sim.ownedRows(), simRows)
		assert.Equal(t, sim.violation, "")
	})
}

// During a store outage of eight seconds no change can be agreed, but none is needed: every
// key must stay served.
func TestKeysStayServedWhileTheStoreIsAway(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		sim.servers[1].leaving, sim.loseWriteAnswer = true, true
		sim.leaders[0].sendServers() // its keys should move, but the answer of that write is lost
		sim.runUntil(sim.now.Add(20 * time.Millisecond))
		sim.storeOK = false
		for range 80 {
			sim.runUntil(sim.now.Add(100 * time.Millisecond))
			assert.Equal(t, sim.ownedRows(), simRows)
		}
	})
}

// A platform may allow only shorter grants than usual and rejects all longer ones. If that were
// ignored, no key would have an owner, or none once the store fails and grants become long. If
// grants lasted no longer than the renewal interval, keys would have no owner between two renewals.
func TestGrantsAreNoLongerThanThePlatformAllows(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.maxGrant = time.Duration(rapid.IntRange(1000, 8000).Draw(t, "most")) * time.Millisecond
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		assert.Equal(t, sim.ownedRows(), simRows)
		sim.storeOK = false
		for range 40 {
			sim.runUntil(sim.now.Add(100 * time.Millisecond))
			assert.Equal(t, sim.ownedRows(), simRows)
		}
		assert.Equal(t, sim.violation, "")
	})
}

// Rows of the stored table name unknown servers. Their keys must have an owner again once
// the longest grant that anybody may have sent has expired; the other rows stay owned.
func TestKeysOfARowWithAnUnknownOwnerAreReassigned(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		sim.corruptRow()
		sim.leaders[0].alive = false
		sim.newLeader()
		least := simRows
		for range 180 {
			sim.runUntil(sim.now.Add(100 * time.Millisecond))
			least = min(least, sim.ownedRows())
		}
		assert.Equal(t, sim.ownedRows(), simRows)
		assert.Assert(t, least >= simRows-1)
		assert.Equal(t, sim.violation, "")
	})
}

// The lease is lost, and the next leader starts at the first epoch, below the table's. It
// must report that until it has a higher epoch, and keys must stay served throughout.
func TestALeaderBelowTheTablesEpochRaisesItsEpoch(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		for _, l := range sim.leaders {
			l.alive = false
		}
		sim.newUnawareLeader()
		for range 80 {
			sim.runUntil(sim.now.Add(100 * time.Millisecond))
			assert.Equal(t, sim.ownedRows(), simRows)
		}
		assert.Equal(t, sim.violation, "")
	})
}

// A server leaves in good order. Its keys must have other owners well within the two
// seconds for which it still answers.
func TestALeavingServersKeysMoveWithinASecond(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.calm = true
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		sim.servers[1].leaving = true
		sim.leaders[0].sendServers()
		sim.runUntil(sim.now.Add(1200 * time.Millisecond))
		held := 0
		for i := range simRows {
			if sim.servers[1].until[i].After(sim.now) {
				held++
			}
		}
		assert.Equal(t, held, 0)
		assert.Equal(t, sim.violation, "")
	})
}
