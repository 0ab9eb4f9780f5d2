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

// world is one request id, its object, and everybody who tries to claim it.
// Every call waits until the test lets it happen: a pause, a freeze and a slow
// store are all the same thing here.
type world struct {
	now  time.Time
	obj  object.Object
	out  []call
	late []call // writes already answered as Ambiguous that take effect later
	runs int
	lost int // claims whose VM was lost before it settled
	tok  int
}

type call struct {
	model loop.Model
	claim Claim // for a release: what it gives back
	cmd   loop.Cmd
}

type fate int

const (
	fine fate = iota
	lost
	blank
	tardy
	down
)

func (w *world) submit() {
	w.tok++
	w.step(call{model: NewClaim(Receipt{ID: "r-1", Tok: fmt.Sprint(w.tok)})}, StartMsg{})
}

// step hands a message to a model and queues the call that it asks for.
func (w *world) step(c call, msg loop.Msg) {
	next, cmds := c.model.Update(w.now, msg)
	c.model = next
	for _, cmd := range cmds {
		c.cmd = cmd
		w.out = append(w.out, c)
	}
}

func (w *world) put(c call) (object.Version, kinds.Kind) {
	cmd := c.cmd.(PutCmd)
	if w.obj.Version != cmd.Old {
		return 0, kinds.Conflict
	}
	w.obj = object.Object{Version: cmd.Old + 1, Value: cmd.Value}
	return w.obj.Version, kinds.None
}

// carry lets one call happen and returns the model that got the answer.
func (w *world) carry(i int, f fate) call {
	c := w.out[i]
	w.out = slices.Delete(w.out, i, i+1)
	if _, ok := c.cmd.(GetCmd); ok {
		msg := GetMsg{Object: w.obj}
		switch {
		case f != fine:
			msg = GetMsg{Kind: kinds.Unavailable}
		case w.obj.Version == 0:
			msg = GetMsg{Kind: kinds.NotFound}
		}
		w.step(c, msg)
		return c
	}
	msg := PutMsg{Kind: kinds.Ambiguous}
	switch f {
	case fine:
		msg.Version, msg.Kind = w.put(c)
	case lost:
		w.put(c)
	case tardy:
		w.late = append(w.late, c)
	case down:
		msg.Kind = kinds.Unavailable
	}
	w.step(c, msg)
	return c
}

// settle is what the VM does once its attempt has ended: forward, or not.
func (w *world) settle(c call, ran, crash bool) {
	claim, isClaim := c.model.(Claim)
	release, isRelease := c.model.(Release)
	switch {
	case isRelease && release.Left():
		w.step(c, StartMsg{}) // begins again later
	case !isClaim || !claim.Ended():
	case crash:
		w.lost++
	case claim.Owned() && ran:
		w.runs++
	case claim.Owned(), claim.state == refused:
		w.step(call{model: NewRelease(claim), claim: claim}, StartMsg{})
	}
}

// A hauler's receipt is sent again and again through several entry VMs. Calls
// to the store are delayed, refused, answered never, or take effect long after
// they were given up; VMs are lost between claim and forward. Whatever the
// order, the truckload is credited at most once; and where no VM was lost and
// nothing ran, the hauler can still submit it.
func TestAtMostOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1_790_000_000, 0)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 9).Draw(t, "step"); {
			case kind < 2:
				w.submit()
			case kind < 9 && len(w.out) > 0:
				i := rapid.IntRange(0, len(w.out)-1).Draw(t, "call")
				c := w.carry(i, fate(rapid.IntRange(int(fine), int(down)).Draw(t, "fate")))
				w.settle(c, rapid.Bool().Draw(t, "ran"), rapid.IntRange(0, 9).Draw(t, "crash") == 0)
			case len(w.late) > 0:
				i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
				w.put(w.late[i])
				w.late = slices.Delete(w.late, i, i+1)
			}
			if w.runs > 1 {
				t.Fatalf("ran %d times", w.runs)
			}
		}
		w.finish(t)
	})
}

// finish lets everything that is out happen, late writes last, and then submits
// once more.
func (w *world) finish(t *rapid.T) {
	drain := func(ran bool) {
		for range 10_000 {
			if len(w.out) == 0 {
				return
			}
			w.settle(w.carry(0, fine), ran, false)
		}
		t.Fatal("the store works and the attempts do not end")
	}
	drain(false)
	for _, c := range w.late {
		w.put(c)
	}
	before := w.runs
	w.submit()
	drain(true)
	switch {
	case w.runs > 1:
		t.Fatalf("ran %d times", w.runs)
	case before == 0 && w.lost == 0 && w.runs == 0:
		t.Fatal("nothing ran and nobody was lost, yet the id cannot be claimed")
	}
}

// A newer version of the program wrote the claim, or it was damaged. Nobody can
// tell whether the request ran, so it must not run again.
func TestUnreadableClaimCountsAsTaken(t *testing.T) {
	newer, err := wire.Encode(Receipt{V: Version + 1, Stage: Free})
	assert.NilError(t, err)
	for _, value := range [][]byte{newer, {0xff}, nil} {
		w := &world{obj: object.Object{Version: 3, Value: value}}
		w.submit()
		w.carry(0, fine)
		c := w.carry(0, fine)
		_, isTaken := c.model.(Claim).Taken()
		assert.Assert(t, isTaken)
	}
}

func TestNamesDifferByServiceAndID(t *testing.T) {
	assert.Equal(t, NameOf("ledger", "r-1"), NameOf("ledger", "r-1"))
	assert.Assert(t, NameOf("ledger", "r-1") != NameOf("ledger", "r-2"))
	assert.Assert(t, NameOf("ledger", "r-1") != NameOf("sanction", "r-1"))
}
