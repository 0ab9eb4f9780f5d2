package lessor_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/world"
)

// runStall freezes one server for a while. It returns how many keys moved, how
// long after the start of the stall the first one did, and the owner of the
// server's first slice at the end.
func runStall(t *testing.T, seed uint64, checks bool, moveDelay, stall time.Duration) (int, time.Duration, ident.Server) {
	w := world.New(world.Options{
		Seed: seed, VMs: 3, Servers: 3, FenceChecks: checks, Skew: 5, MoveDelay: moveDelay, NewWriter: newBatchingWriter,
	})
	w.Run(2*time.Second + time.Duration(seed)*7*time.Millisecond)
	before, from := w.Count.Moves, w.Now()
	w.Servers[0].Freeze(stall)
	first := time.Duration(0)
	for w.Now() < from+stall+4*time.Second {
		w.Run(w.Now() + 5*time.Millisecond)
		if first == 0 && w.Count.Moves > before {
			first = w.Now() - from
		}
	}
	assert.Equal(t, len(w.Check()), 0, "seed %d: %v", seed, w.Errs)
	assert.Equal(t, len(unserved(w)), 0)
	return w.Count.Moves - before, first, w.Store.Table().OwnerOf(0)
}

// Servers stop for a second now and then, to collect garbage. Without a move delay a third of the
// keys changes owner each time, with cold caches and more load. With it the keys stay, and are
// served again as soon as the server resumes.
func TestMoveDelayKeepsTheKeysOfAStalledServer(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				moved, _, _ := runStall(t, seed, checks, 0, 1200*time.Millisecond)
				assert.Assert(t, moved > 0, "seed %d: the stall must be one that moves keys", seed)
				moved, _, owner := runStall(t, seed, checks, time.Second, 1200*time.Millisecond)
				assert.Equal(t, moved, 0, "seed %d", seed)
				assert.Equal(t, owner, ident.Server("s0"), "seed %d", seed)
			}
		})
	}
}

// A server does not come back: its keys must move as they do without a move
// delay, later by that delay and not more.
func TestKeysMoveOnceTheMoveDelayIsOver(t *testing.T) {
	const moveDelay = time.Second
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				_, soon, _ := runStall(t, seed, checks, 0, 5*time.Second)
				moved, late, owner := runStall(t, seed, checks, moveDelay, 5*time.Second)
				assert.Assert(t, moved > 0 && owner != "s0", "seed %d: nobody got the keys", seed)
				more := late - soon
				assert.Assert(t, more >= moveDelay-50*time.Millisecond && more <= moveDelay+200*time.Millisecond,
					"seed %d: %v without a move delay, %v with", seed, soon, late)
			}
		})
	}
}
