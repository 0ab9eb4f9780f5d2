package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// returnState is the part of a simulation that concerns a store which returns from an older
// copy. The table of each era is an object of its own.
type returnState struct {
	era    object.Era
	copies []tableCopy // the tables of all times
	copied []byte      // the table of the era before, as of the copy
	sole   bool        // leaders know that there is no other
}

type tableCopy struct {
	at    time.Time
	table []byte
}

func (sim *simulation) addCopy() {
	sim.copies = append(sim.copies, tableCopy{at: sim.now, table: sim.table})
}

// returnStore lets the store return from a copy of the given age.
func (sim *simulation) returnStore(age time.Duration) {
	sim.era, sim.storeOK = sim.era+1, true
	if sim.era == 1 {
		sim.era = 2
	}
	for i, c := range sim.copies { // not from before the first table
		if i == 0 || !c.at.After(sim.now.Add(-age)) {
			sim.copied = c.table
		}
	}
	sim.table, sim.version = nil, 0
	sim.tracef("all rows: the store returns in era %d", sim.era)
}

// claimInNewEra makes the newest leader claim the lease again after a return.
func (l *leader) claimInNewEra() {
	sim := l.sim
	if l.era == sim.era {
		return
	}
	sim.maxEpoch++
	l.era = sim.era
	l.auth.Epoch, l.auth.OldTermEnd = sim.maxEpoch, sim.now.Add(elect.Term+elect.Margin)
	sim.tracef("all rows: a leader goes on as %d", sim.maxEpoch)
}

// withCopy adds what a leader reads of the era before if there is no table of the present one.
func (l *leader) withCopy(msg ReadResultMsg) ReadResultMsg {
	sim := l.sim
	if msg.Kind != kinds.None || msg.Version != 0 || sim.era < 2 {
		return msg
	}
	t, err := ranges.Decode(sim.copied)
	if err != nil {
		sim.t.Fatal(err)
	}
	msg.Table, msg.Copy, msg.Served = t, true, l.known
	return msg
}

// publish records what a leader tells other VMs.
func (l *leader) publish(cmd PublishCmd) {
	if cmd.Full || l.served == nil {
		l.served = map[int]ident.Server{}
	}
	for _, a := range cmd.Changes {
		for i := int(a.First) / rowWidth; i <= int(a.Last)/rowWidth; i++ {
			l.served[i] = a.Server
		}
	}
}

// knownServed returns what the newest leader has published, to the one that replaces it.
func (sim *simulation) knownServed() []ranges.Assignment {
	if len(sim.leaders) == 0 {
		return nil
	}
	var all []ranges.Assignment
	last := sim.leaders[len(sim.leaders)-1]
	if last.era == sim.era {
		return nil // the lead was lost before the store returned
	}
	for i, s := range last.served {
		all = append(all, ranges.Assignment{Span: ranges.Span{First: uint16(i * rowWidth), Last: uint16(i*rowWidth + rowWidth - 1)}, Server: s})
	}
	return all
}

// runReturns runs a random sequence of faults and returns of the store, and returns the
// first violation found.
func runReturns(t *rapid.T, f flaw) string {
	sim := newSim(t, f)
	sim.era, sim.sole = 1, rapid.Bool().Draw(t, "sole")
	sim.newLeader()
	sim.runUntil(sim.now.Add(3 * time.Second))
	if f != flawNone { // a history that random sequences seldom produce
		sim.loseLeaderAfterMoves()
	}
	for range rapid.IntRange(1, 10).Draw(t, "faults") {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			sim.storeOK = false
			sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "away")) * time.Millisecond))
			sim.returnStore(time.Duration(rapid.IntRange(0, 8000).Draw(t, "age")) * time.Millisecond)
		case 1:
			sim.sole = false
			sim.leaders[len(sim.leaders)-1].alive = rapid.Bool().Draw(t, "alive")
			sim.newLeader()
		default:
			if sim.injectFault(); len(sim.leaders) > 1 {
				sim.sole = false
			}
		}
		if sim.violation == "" {
			sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond))
		}
	}
	sim.runUntil(sim.now.Add(30 * time.Second))
	sim.logViolation()
	return sim.violation
}

// Guards against two owners of a key after the store has returned from an older copy, among
// all other faults.
func TestNoTwoServersHoldTheSameKeysWhenTheStoreReturns(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		assert.Equal(t, runReturns(t, flawNone), "")
	})
}

// Breaks each safety rule of a return in turn.
func TestEverySafetyRuleOfAReturnIsNeeded(t *testing.T) {
	for f, name := range map[flaw]string{flawTrustCopy: "copy", flawKeepTop: "top"} {
		t.Run(name, func(t *testing.T) {
			caught := 0
			seeds.Check(t, func(t *rapid.T) {
				if caught == 0 && runReturns(t, f) != "" {
					caught++
				}
			})
			assert.Assert(t, caught > 0, "no history noticed")
		})
	}
}

// loseLeaderAfterMoves lets the store return from a copy of before some moves, under the next
// leader.
func (sim *simulation) loseLeaderAfterMoves() {
	sim.servers[1].leaving = true
	sim.leaders[0].sendServers()
	sim.runUntil(sim.now.Add(2 * time.Second))
	sim.leaders[0].alive, sim.sole = false, false
	sim.returnStore(3 * time.Second)
	sim.newLeader()
	sim.runUntil(sim.now.Add(20 * time.Second))
}

// returnAfterMoves makes a server leave, and lets the store return from a copy of before.
func returnAfterMoves(t *rapid.T) *simulation {
	sim := newSim(t, flawNone)
	sim.calm, sim.era, sim.sole = true, 1, true
	sim.newLeader()
	sim.runUntil(sim.now.Add(3 * time.Second))
	sim.servers[1].leaving = true
	sim.leaders[0].sendServers()
	sim.runUntil(sim.now.Add(2 * time.Second))
	sim.storeOK = false
	return sim
}

// Guards against keys that lose their owner although their leader knows the table.
func TestKeysStayOwnedWhenTheStoreReturns(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := returnAfterMoves(t)
		for range 2 {
			sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "away")) * time.Millisecond))
			sim.returnStore(3 * time.Second)
			for range 100 {
				sim.runUntil(sim.now.Add(100 * time.Millisecond))
				assert.Equal(t, sim.ownedRows(), simRows)
			}
			sim.storeOK = false
		}
		assert.Equal(t, sim.violation, "")
	})
}

// Guards against a next leader that takes keys from owners that did not change in the time
// that the store has lost. The others have an owner once all grants have expired.
func TestUnchangedOwnersKeepTheirKeysWhenTheLeaderIsLostWithTheStore(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := returnAfterMoves(t)
		moved := 0
		for i := range simRows {
			if sim.servers[1].maxFence[i] > 0 {
				moved++
			}
		}
		sim.leaders[0].alive = false
		sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "away")) * time.Millisecond))
		sim.returnStore(3 * time.Second)
		sim.newLeader()
		for range 160 {
			sim.runUntil(sim.now.Add(100 * time.Millisecond))
			assert.Assert(t, sim.ownedRows() >= simRows-moved, "%d of %d, %d moved", sim.ownedRows(), simRows, moved)
		}
		assert.Equal(t, sim.ownedRows(), simRows)
		assert.Equal(t, sim.violation, "")
	})
}
