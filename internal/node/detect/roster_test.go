package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// A server is told to leave and says so itself, while the platform's list is
// still half a minute old. It must get no new work after 3 s at the latest.
func TestALeavingServerGetsNoNewWorkWithin3Seconds(t *testing.T) {
	w := newWorld(t, 5)
	w.lag = 30 * time.Second
	w.actors["s1"].drain = true
	took := w.until("s1", Draining, 3*time.Second)
	assert.Assert(t, took <= 3*time.Second, "%v", took)
	w = newWorld(t, 5)
	w.actors["s1"].listed = vmlist.Leaving
	took = w.until("s1", Draining, 3*time.Second)
	assert.Assert(t, took <= step, "%v", took)
}

// A server vanishes and the list shows it live for another half minute. Callers
// must stop being sent there at once; that it is gone waits for the list.
func TestALaggingListDelaysOnlyTheWordGone(t *testing.T) {
	w := newWorld(t, 5)
	w.lag = 30 * time.Second
	w.run(31 * time.Second)
	w.actors["s1"].frozen = true
	w.actors["s1"].listed = vmlist.Gone
	took := w.until("s1", Frozen, 5*time.Second)
	assert.Assert(t, took <= 2*time.Second, "%v", took)
	w.run(20 * time.Second)
	assert.Equal(t, w.is("s1"), Frozen)
	w.until("s1", Gone, 15*time.Second)
}

// A server is stuck: its health endpoint answers "ready" as before, but no
// request gets an answer. What callers observe must outweigh its own word, and
// it must not be taken back every few seconds because it says that it is well.
func TestALyingHealthEndpointIsFoundOutByCallers(t *testing.T) {
	w := newWorld(t, 5)
	w.beats = false
	w.actors["s1"].frozen, w.actors["s1"].lies = true, true
	took := w.until("s1", Frozen, 10*time.Second)
	assert.Assert(t, took <= DefaultConfig.Alone+time.Second, "%v", took)
	w.run(2 * time.Minute)
	freezes := 0
	for _, c := range w.log {
		if c.To == Frozen {
			freezes++
		}
	}
	assert.Assert(t, freezes <= 7, "frozen %d times in two minutes", freezes)
	w.actors["s1"].frozen = false
	w.until("s1", Live, longHold+20*time.Second)
}

// The same server, and two other VMs say that it fails their callers too. Then
// three failures in a row are enough.
func TestOtherVMsViewsShortenTheDoubt(t *testing.T) {
	w := newWorld(t, 5)
	w.beats = false
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.actors["s1"].frozen, w.actors["s1"].lies = true, true
	took := w.until("s1", Frozen, 10*time.Second)
	assert.Assert(t, took <= 500*time.Millisecond, "%v", took)
}

// A server's control side and health endpoint are overloaded and answer nobody,
// so that other VMs without callers for it hold it frozen. But every caller here
// gets an answer, and it stays in service.
func TestCallersWhoGetAnswersOutweighEverythingElse(t *testing.T) {
	w := newWorld(t, 5)
	w.actors["s1"].noise = true
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.run(20 * time.Second)
	assert.Equal(t, w.is("s1"), Live)
}

// The list shows a server as gone that still answers, as a mistaken operator
// would cause. It gets no new work, and is gone only when it falls silent: until
// then it may hold keys.
func TestGoneTakesSilenceToo(t *testing.T) {
	w := newWorld(t, 5)
	w.actors["s1"].listed = vmlist.Gone
	w.run(20 * time.Second)
	assert.Equal(t, w.is("s1"), Draining)
	w.actors["s1"].frozen = true
	took := w.until("s1", Gone, 5*time.Second)
	assert.Assert(t, took >= DefaultConfig.Lost, "%v", took)
}

// One answer of a health endpoint says "draining" and the next ones do not. The
// server must deny it for a while before it is taken back, or requests would be
// sent to it while it shuts down.
func TestAShortWordOfDrainingIsHeeded(t *testing.T) {
	w := newWorld(t, 5)
	w.actors["s1"].drain = true
	w.until("s1", Draining, 2*time.Second)
	w.actors["s1"].drain = false
	took := w.until("s1", Live, 30*time.Second)
	assert.Assert(t, took >= DefaultConfig.Stay, "%v", took)
}

// A new server is listed as live long before it is ready. It gets no work until
// it says so and has answered several times.
func TestAListedServerJoinsOnlyWhenReady(t *testing.T) {
	w := newWorld(t, 3)
	w.actors["s9"] = &actor{listed: vmlist.Live, cold: true}
	w.run(20 * time.Second)
	assert.Equal(t, w.is("s9"), Joining)
	w.actors["s9"].cold = false
	w.until("s9", Live, 4*time.Second)
}

// A server stops for ten seconds and goes on as if nothing had happened. It is
// out meanwhile, never gone, and proves itself before it gets new work.
func TestAServerFreezesAndComesBack(t *testing.T) {
	w := newWorld(t, 5)
	w.actors["s1"].frozen = true
	w.until("s1", Frozen, 3*time.Second)
	w.run(10 * time.Second)
	w.actors["s1"].frozen = false
	took := w.until("s1", Live, 5*time.Second)
	assert.Assert(t, took <= 3*time.Second, "%v", took)
	var way []chart.State
	for _, c := range w.log {
		assert.Equal(t, c.ID, name(1))
		way = append(way, c.To)
	}
	assert.DeepEqual(t, way, []chart.State{Frozen, Joining, Live})
}

// This VM's own network fails: no server answers it. It must not declare the
// whole fleet frozen, whatever it sees; the others serve.
func TestOneObserversBrokenLinkFreezesNobody(t *testing.T) {
	w := newWorld(t, 6)
	for _, a := range w.actors {
		a.cut = true
	}
	w.run(time.Minute)
	assert.Equal(t, len(w.log), 0, "%v", w.log)
	for _, a := range w.actors {
		a.cut = false
	}
	w.run(2 * time.Second)
	for _, x := range w.m.Members() {
		assert.Assert(t, x.Accepting() && !x.Avoid)
	}
}

// Only the link from this VM to one server is broken, and two other VMs reach
// it. The server is avoided from here and stays in service for the others.
func TestALinkToOneServerIsNotThatServersFault(t *testing.T) {
	w := newWorld(t, 6)
	w.peers = func(ident.Server) bool { return false }
	w.actors["s1"].cut = true
	w.run(10 * time.Second)
	x, _ := w.m.Member("s1")
	assert.Equal(t, x.Is, Live)
	assert.Assert(t, x.Avoid)
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.until("s1", Frozen, 2*time.Second)
}

// All servers look bad and the list is empty, as after a fault of the platform.
// Nobody is declared gone, so that service goes on when the fault ends.
func TestNobodyIsGoneWhenAllLookBad(t *testing.T) {
	w := newWorld(t, 6)
	for _, a := range w.actors {
		a.frozen, a.absent = true, true
	}
	w.run(2 * time.Minute)
	assert.Equal(t, len(w.m.Members()), 6)
	assert.Equal(t, len(w.log), 0, "%v", w.log)
}

// The list says "gone" of most servers at once. That it is wrong is possible, so
// none that answers is declared gone; but what the platform says is leaving gets
// no new work, however many they are. (Found by the property below: with the
// guard against a broken list also held against this word, a server that had
// left went on getting work.)
func TestGoneOfMostStopsNewWorkAndDeclaresNobodyGone(t *testing.T) {
	w := newWorld(t, 3)
	w.actors["s0"].listed, w.actors["s1"].listed = vmlist.Gone, vmlist.Gone
	w.run(4 * time.Second)
	assert.Equal(t, w.is("s0"), Draining)
	assert.Equal(t, w.is("s1"), Draining)
	assert.Equal(t, w.is("s2"), Live)
}

// Every server claims to drain at the same moment, as a broken deployment of the
// health endpoint would. The list says live, so service goes on.
func TestAllHealthEndpointsClaimingToDrainAreNotBelieved(t *testing.T) {
	w := newWorld(t, 6)
	for _, a := range w.actors {
		a.drain = true
	}
	w.run(5 * time.Second)
	live := 0
	for _, x := range w.m.Members() {
		if x.Accepting() {
			live++
		}
	}
	assert.Assert(t, live >= 3, "%d of 6 left", live)
}

// A server freezes, seems well again to its health endpoint but is not taken
// back yet, and then a second of three freezes. One left of three would have to
// carry everything, on the word of one observer; so the second stays in.
func TestTheSecondOfThreeIsNotFrozen(t *testing.T) {
	w := newWorld(t, 3)
	w.actors["s0"].frozen, w.actors["s0"].lies = true, true
	w.until("s0", Frozen, 10*time.Second)
	w.run(4 * time.Second)
	w.actors["s1"].frozen = true
	for range 100 {
		w.run(step)
		assert.Assert(t, w.is("s0") != Frozen || w.is("s1") != Frozen)
	}
}

// Servers are replaced one after another, as on every working day: each drains,
// leaves and is followed by one of a new name. The others never look bad, and
// each successor serves within seconds.
func TestARollingRestartTouchesOneServerAtATime(t *testing.T) {
	w := newWorld(t, 4)
	for i := range 4 {
		old, fresh := name(i), name(i+4)
		w.actors[old].drain = true
		w.actors[old].listed = vmlist.Leaving
		w.until(old, Draining, 3*time.Second)
		w.run(2 * time.Second)
		w.actors[old].frozen = true
		w.actors[old].listed = vmlist.Gone
		w.actors[fresh] = &actor{listed: vmlist.Live}
		w.until(fresh, Live, 5*time.Second)
		w.until(old, Gone, 5*time.Second)
		takes := 0
		for _, x := range w.m.Members() {
			if x.Accepting() {
				takes++
			}
		}
		assert.Equal(t, takes, 4)
	}
	for _, c := range w.log {
		assert.Assert(t, c.To != Frozen, "%v", c)
	}
}

// Servers freeze, lie, drain, vanish and come back in any order. Whatever
// happens, silence alone makes nobody gone, one who truly leaves gets no work
// for more than 3 s, and more than half are never declared frozen.
func TestWhateverHappensTheRulesOfTheRosterHold(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "servers")
		w := newWorld(t, n)
		w.beats = rapid.Bool().Draw(t, "beats")
		dismissed := map[ident.Server]bool{}
		left := map[ident.Server]time.Time{}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			id := name(rapid.IntRange(0, n-1).Draw(t, "server"))
			a := w.actors[id]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				a.frozen = !a.frozen
			case 1:
				a.lies = !a.lies
			case 2:
				a.cut = !a.cut
			case 3:
				a.listed = vmlist.Leaving
				left[id] = w.now
			case 4:
				a.listed, a.frozen = vmlist.Gone, true
				dismissed[id] = true
				left[id] = w.now
			case 5:
				a.absent = true
				dismissed[id] = true
			}
			for range rapid.IntRange(1, 100).Draw(t, "time") {
				w.run(step)
				w.hold(dismissed, left)
			}
		}
	})
}
