package assign

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// fault draws what goes wrong next.
func (w *world) fault() {
	s := w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(w.t, "server")]
	l := w.leaders[len(w.leaders)-1]
	kind := rapid.IntRange(0, 13).Draw(w.t, "fault")
	w.note("all rows: fault %d at %s", kind, s.name)
	switch kind {
	case 0:
		s.up = false // crashed: the machine refuses connections
	case 1:
		s.up, s.silent = false, true // dark
	case 2:
		s.restart(int64(w.n) + 2)
	case 3:
		s.leaves = true
	case 4:
		s.listed = !s.listed // its entry lapsed, or is back; it may be well
	case 5:
		l.cut[s.name] = !l.cut[s.name]
	case 6:
		w.storeOK = !w.storeOK
	case 7:
		l.frozen = w.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(w.t, "freeze")) * time.Second)
	case 8:
		w.lead() // the one before goes on: it is cut off from the store alone
	case 9:
		l.alive = false
		w.lead()
	case 10:
		if row := rapid.IntRange(0, rowsHere-1).Draw(w.t, "row"); s.until[row].After(w.now) {
			s.work[row] = w.now.Add(300 * time.Millisecond)
		}
	case 12:
		w.leadUnaware()
	case 13:
		w.spoil()
	case 11:
		s.silent = !s.silent // it freezes, or thaws as if nothing had happened
	}
	for _, l := range w.leaders {
		l.hosts()
	}
}

// history plays a drawn run of faults and returns what broke.
func history(t *rapid.T, f flaw) string {
	w := newWorld(t, f)
	w.lead()
	w.run(w.now.Add(3 * time.Second))
	switch f { // rules against what few histories bring about by chance
	case flawBehind:
		w.leadUnaware()
	case flawLost:
		w.spoil()
	}
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		w.fault()
		pause := time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
		if w.broken == "" {
			w.run(w.now.Add(pause))
		}
	}
	w.run(w.now.Add(25 * time.Second))
	if w.broken == "" {
		return ""
	}
	row, _, _ := strings.Cut(strings.TrimPrefix(w.broken, "row "), " ")
	for _, line := range w.trace {
		if strings.Contains(line, " row "+row+" ") || strings.Contains(line, " all rows") {
			t.Log(line)
		}
	}
	return w.broken
}

// Servers crash, go dark, freeze, start again under their names, leave, and are cut
// off; orders are lost, answered by nobody and obeyed seconds later; leaders freeze
// and are replaced while they go on; the store is away and loses answers. A grower
// would see a truckload on one server and not on the other if two of them ever held
// the same scale.
func TestNoTwoServersHoldTheSameKeys(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		assert.Equal(t, history(t, flawNone), "")
	})
}

// A safety rule that no history breaks is a rule that nobody needs, or a history that
// proves nothing.
func TestEverySafetyRuleIsNeeded(t *testing.T) {
	names := map[flaw]string{
		flawWait: "wait", flawFlying: "flying", flawBar: "bar", flawFence: "fence", flawStale: "stale", flawBehind: "behind", flawLost: "lost",
	}
	for f, name := range names {
		t.Run(name, func(t *testing.T) {
			caught := 0
			seeds.Check(t, func(t *rapid.T) {
				if caught == 0 && history(t, f) != "" {
					caught++
				}
			})
			assert.Assert(t, caught > 0, "no history noticed")
		})
	}
}

// A server starts again under its name and knows nothing. Until it is given its keys
// under a new fence, everybody who asks for them is turned away.
func TestAServerThatStartedAgainGetsItsKeysBack(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		assert.Equal(t, w.owned(), rowsHere)
		w.servers[0].restart(99)
		for _, l := range w.leaders {
			l.hosts()
		}
		w.run(w.now.Add(2 * time.Second))
		assert.Equal(t, w.owned(), rowsHere)
		assert.Equal(t, w.broken, "")
	})
}

// The store is away for eight seconds. Nobody can agree on anything, but nothing
// needs to change either: whoever asks for a key is served all the while.
func TestKeysStayServedWhileTheStoreIsAway(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		w.servers[1].leaves, w.loseWrite = true, true
		w.leaders[0].hosts() // its keys should move; the store's last answer is lost
		w.run(w.now.Add(20 * time.Millisecond))
		w.storeOK = false
		for range 80 {
			w.run(w.now.Add(100 * time.Millisecond))
			assert.Equal(t, w.owned(), rowsHere)
		}
	})
}

// A platform allows shorter grants than this product would give, and refuses longer
// ones whole. Without heed no key has an owner, or none as soon as the store is away
// and grants become long; with grants no longer than a renewal's pause, keys would
// have no owner between two of them.
func TestGrantsAreNoLongerThanThePlatformAllows(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.most = time.Duration(rapid.IntRange(1000, 8000).Draw(t, "most")) * time.Millisecond
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		assert.Equal(t, w.owned(), rowsHere)
		w.storeOK = false
		for range 40 {
			w.run(w.now.Add(100 * time.Millisecond))
			assert.Equal(t, w.owned(), rowsHere)
		}
		assert.Equal(t, w.broken, "")
	})
}

// Rows of the stored table name servers that it does not have. All keys have an owner
// again once the longest grant that anybody may have sent has run out, and those of the
// other rows all the while.
func TestKeysOfARowThatNamesNobodyComeFree(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		w.spoil()
		w.leaders[0].alive = false
		w.lead()
		least := rowsHere
		for range 180 {
			w.run(w.now.Add(100 * time.Millisecond))
			least = min(least, w.owned())
		}
		assert.Equal(t, w.owned(), rowsHere)
		assert.Assert(t, least >= rowsHere-1)
		assert.Equal(t, w.broken, "")
	})
}

// The lease is lost, and the next leader begins at the first epoch, below the table's.
// Keys stay served: it says so until it has a higher one, and goes on from there.
func TestALeaderBelowTheTablesEpochGoesOnUnderAHigherOne(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.lead()
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		for _, l := range w.leaders {
			l.alive = false
		}
		w.leadUnaware()
		for range 80 {
			w.run(w.now.Add(100 * time.Millisecond))
			assert.Equal(t, w.owned(), rowsHere)
		}
		assert.Equal(t, w.broken, "")
	})
}

// A server leaves in good order. Its keys have other owners well within the two
// seconds for which it may still be asked.
func TestALeavingServersKeysMoveWithinASecond(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, flawNone)
		w.calm = true
		w.lead()
		w.run(w.now.Add(3 * time.Second))
		w.servers[1].leaves = true
		w.leaders[0].hosts()
		w.run(w.now.Add(1200 * time.Millisecond))
		held := 0
		for i := range rowsHere {
			if w.servers[1].until[i].After(w.now) {
				held++
			}
		}
		assert.Equal(t, held, 0)
		assert.Equal(t, w.broken, "")
	})
}
