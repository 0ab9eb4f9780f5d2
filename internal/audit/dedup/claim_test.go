package dedup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// simStore simulates the object of one request id and all attempts to claim it. The test chooses
// when each store call is executed, which stands for paused VMs as well as a slow store.
type simStore struct {
	now       time.Time
	object    object.Object
	pending   []call
	late      []call // writes already answered as Ambiguous that take effect later
	runs      int
	lostVMs   int // claims whose VM was lost before it finalized them
	lastToken int
}

// call is a store call that waits to be executed.
type call struct {
	model loop.Model
	claim Claim // for a release: the claim that it releases
	cmd   loop.Cmd
}

// outcome is the result of one store call.
type outcome int

const (
	succeeds    outcome = iota
	answerLost          // takes effect, answered Ambiguous
	writeLost           // no effect, answered Ambiguous
	appliedLate         // answered Ambiguous now, takes effect later
	unavailable         // no effect, answered Unavailable
)

// submit starts another attempt to claim the id.
func (sim *simStore) submit() {
	sim.lastToken++
	sim.step(call{model: NewClaim(Record{ID: "r-1", AttemptToken: fmt.Sprint(sim.lastToken)})}, StartMsg{})
}

// step passes a message to a model and queues the store call that it asks for.
func (sim *simStore) step(c call, msg loop.Msg) {
	next, cmds := c.model.Update(sim.now, msg)
	c.model = next
	for _, cmd := range cmds {
		c.cmd = cmd
		sim.pending = append(sim.pending, c)
	}
}

func (sim *simStore) put(c call) (object.Version, kinds.Kind) {
	cmd := c.cmd.(PutCmd)
	if sim.object.Version != cmd.Old {
		return 0, kinds.Conflict
	}
	sim.object = object.Object{Version: cmd.Old + 1, Value: cmd.Value}
	return sim.object.Version, kinds.None
}

// execute executes one call and returns it with the model that got the answer.
func (sim *simStore) execute(i int, result outcome) call {
	c := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	if _, ok := c.cmd.(GetCmd); ok {
		msg := GetMsg{Object: sim.object}
		switch {
		case result != succeeds:
			msg = GetMsg{Kind: kinds.Unavailable}
		case sim.object.Version == 0:
			msg = GetMsg{Kind: kinds.NotFound}
		}
		sim.step(c, msg)
		return c
	}
	msg := PutMsg{Kind: kinds.Ambiguous}
	switch result {
	case succeeds:
		msg.Version, msg.Kind = sim.put(c)
	case answerLost:
		sim.put(c)
	case appliedLate:
		sim.late = append(sim.late, c)
	case unavailable:
		msg.Kind = kinds.Unavailable
	}
	sim.step(c, msg)
	return c
}

// finishAttempt does what the VM does once its attempt has ended: it forwards the
// request, releases the claim, or is lost.
func (sim *simStore) finishAttempt(c call, ran, crash bool) {
	claim, isClaim := c.model.(Claim)
	release, isRelease := c.model.(Release)
	switch {
	case isRelease && release.Left():
		sim.step(c, StartMsg{}) // tries again later
	case !isClaim || !claim.Ended():
	case crash:
		sim.lostVMs++
	case claim.Owned() && ran:
		sim.runs++
	case claim.Owned(), claim.state == refused:
		sim.step(call{model: NewRelease(claim), claim: claim}, StartMsg{})
	}
}

// A request is repeated through several entry VMs, store calls fail or take effect late, and
// VMs are lost between claim and forward. The request must run at most once, and can still
// be submitted if no VM was lost and nothing ran.
func TestAtMostOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := &simStore{now: time.Unix(1_790_000_000, 0)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 9).Draw(t, "step"); {
			case kind < 2:
				sim.submit()
			case kind < 9 && len(sim.pending) > 0:
				i := rapid.IntRange(0, len(sim.pending)-1).Draw(t, "call")
				c := sim.execute(i, outcome(rapid.IntRange(int(succeeds), int(unavailable)).Draw(t, "fate")))
				sim.finishAttempt(c, rapid.Bool().Draw(t, "ran"), rapid.IntRange(0, 9).Draw(t, "crash") == 0)
			case len(sim.late) > 0:
				i := rapid.IntRange(0, len(sim.late)-1).Draw(t, "late")
				sim.put(sim.late[i])
				sim.late = slices.Delete(sim.late, i, i+1)
			}
			if sim.runs > 1 {
				t.Fatalf("ran %d times", sim.runs)
			}
		}
		sim.finish(t)
	})
}

// finish executes all pending calls, then the late writes, and then submits once more.
func (sim *simStore) finish(t *rapid.T) {
	drain := func(ran bool) {
		for range 10_000 {
			if len(sim.pending) == 0 {
				return
			}
			sim.finishAttempt(sim.execute(0, succeeds), ran, false)
		}
		t.Fatal("the store works but the attempts do not end")
	}
	drain(false)
	for _, c := range sim.late {
		sim.put(c)
	}
	before := sim.runs
	sim.submit()
	drain(true)
	switch {
	case sim.runs > 1:
		t.Fatalf("ran %d times", sim.runs)
	case before == 0 && sim.lostVMs == 0 && sim.runs == 0:
		t.Fatal("nothing ran and nobody was lost, yet the id cannot be claimed")
	}
}

// A newer version of the program wrote the claim, or it was damaged. It is not known
// whether the request ran, so it must not run again.
func TestUnreadableClaimCountsAsTaken(t *testing.T) {
	newer, err := wire.Encode(Record{FormatVersion: Version + 1, Stage: Free})
	assert.NilError(t, err)
	for _, value := range [][]byte{newer, {0xff}, nil} {
		sim := &simStore{object: object.Object{Version: 3, Value: value}}
		sim.submit()
		sim.execute(0, succeeds)
		c := sim.execute(0, succeeds)
		_, isTaken := c.model.(Claim).Taken()
		assert.Assert(t, isTaken)
	}
}

func TestNamesDifferByServiceAndID(t *testing.T) {
	assert.Equal(t, ObjectName("ledger", "r-1"), ObjectName("ledger", "r-1"))
	assert.Assert(t, ObjectName("ledger", "r-1") != ObjectName("ledger", "r-2"))
	assert.Assert(t, ObjectName("ledger", "r-1") != ObjectName("sanction", "r-1"))
}
