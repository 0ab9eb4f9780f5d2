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

// A server is told to leave and reports draining, while the platform's list is
// half a minute behind. It must get no new work after 3 s at the latest.
func TestALeavingServerGetsNoNewWorkWithin3Seconds(t *testing.T) {
	w := newSim(t, 5)
	w.lag = 30 * time.Second
	w.servers["s1"].drain = true
	took := w.until("s1", Draining, 3*time.Second)
	assert.Assert(t, took <= 3*time.Second, "%v", took)
	w = newSim(t, 5)
	w.servers["s1"].listed = vmlist.Leaving
	took = w.until("s1", Draining, 3*time.Second)
	assert.Assert(t, took <= step, "%v", took)
}

// A server vanishes and the list shows it as live for another half minute. It must
// get no more calls at once; only the state gone waits for the list.
func TestALaggingListDelaysOnlyGone(t *testing.T) {
	w := newSim(t, 5)
	w.lag = 30 * time.Second
	w.run(31 * time.Second)
	w.servers["s1"].frozen = true
	w.servers["s1"].listed = vmlist.Gone
	took := w.until("s1", Frozen, 5*time.Second)
	assert.Assert(t, took <= 2*time.Second, "%v", took)
	w.run(20 * time.Second)
	assert.Equal(t, w.state("s1"), Frozen)
	w.until("s1", Gone, 15*time.Second)
}

// A server hangs: its health endpoint still answers "ready", but no request gets
// an answer. Failed calls must outweigh the health report, and the server must not
// be taken back every few seconds because of it.
func TestFailedCallsOutweighALyingHealthEndpoint(t *testing.T) {
	w := newSim(t, 5)
	w.heartbeats = false
	w.servers["s1"].frozen, w.servers["s1"].onlyHealth = true, true
	took := w.until("s1", Frozen, 10*time.Second)
	assert.Assert(t, took <= DefaultConfig.CallsAlone+time.Second, "%v", took)
	w.run(2 * time.Minute)
	freezes := 0
	for _, c := range w.changes {
		if c.To == Frozen {
			freezes++
		}
	}
	assert.Assert(t, freezes <= 7, "frozen %d times in two minutes", freezes)
	w.servers["s1"].frozen = false
	w.until("s1", Live, maxFreezeHold+20*time.Second)
}

// The same server, and two other VMs report that it fails their calls too. Three
// failures in a row must then be enough.
func TestOtherVMsViewsSpeedUpAFreeze(t *testing.T) {
	w := newSim(t, 5)
	w.heartbeats = false
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.servers["s1"].frozen, w.servers["s1"].onlyHealth = true, true
	took := w.until("s1", Frozen, 10*time.Second)
	assert.Assert(t, took <= 500*time.Millisecond, "%v", took)
}

// A server's control and health endpoints are overloaded and answer nobody, so
// other VMs without calls to it report it as frozen. All calls from this VM are
// answered, so it must stay in service.
func TestAnsweredCallsOutweighEverythingElse(t *testing.T) {
	w := newSim(t, 5)
	w.servers["s1"].onlyCalls = true
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.run(20 * time.Second)
	assert.Equal(t, w.state("s1"), Live)
}

// The list shows a server as gone that still answers, for example by an operator's
// mistake. It must get no new work, but be gone only when it is silent: until then
// it may hold keys.
func TestGoneRequiresSilence(t *testing.T) {
	w := newSim(t, 5)
	w.servers["s1"].listed = vmlist.Gone
	w.run(20 * time.Second)
	assert.Equal(t, w.state("s1"), Draining)
	w.servers["s1"].frozen = true
	took := w.until("s1", Gone, 5*time.Second)
	assert.Assert(t, took >= DefaultConfig.GoneAfter, "%v", took)
}

// One health report says "draining" and the next ones do not. The server must deny
// it for StayAfter before it is taken back, or requests would be sent to it while
// it shuts down.
func TestAShortDrainReportIsHonoured(t *testing.T) {
	w := newSim(t, 5)
	w.servers["s1"].drain = true
	w.until("s1", Draining, 2*time.Second)
	w.servers["s1"].drain = false
	took := w.until("s1", Live, 30*time.Second)
	assert.Assert(t, took >= DefaultConfig.StayAfter, "%v", took)
}

// A new server is listed as live long before it is ready. It must get no work
// until it reports ready and has answered several times.
func TestAListedServerJoinsOnlyWhenReady(t *testing.T) {
	w := newSim(t, 3)
	w.servers["s9"] = &fakeServer{listed: vmlist.Live, notReady: true}
	w.run(20 * time.Second)
	assert.Equal(t, w.state("s9"), Joining)
	w.servers["s9"].notReady = false
	w.until("s9", Live, 4*time.Second)
}

// A server stops for ten seconds and continues as if nothing had happened. It must
// be out of use meanwhile, never gone, and answer several times before it gets new
// work.
func TestAServerFreezesAndComesBack(t *testing.T) {
	w := newSim(t, 5)
	w.servers["s1"].frozen = true
	w.until("s1", Frozen, 3*time.Second)
	w.run(10 * time.Second)
	w.servers["s1"].frozen = false
	took := w.until("s1", Live, 5*time.Second)
	assert.Assert(t, took <= 3*time.Second, "%v", took)
	var states []chart.State
	for _, c := range w.changes {
		assert.Equal(t, c.ID, name(1))
		states = append(states, c.To)
	}
	assert.DeepEqual(t, states, []chart.State{Frozen, Joining, Live})
}

// This VM's own network fails and no server answers it. It must not declare the
// whole fleet frozen, since the servers still serve others.
func TestOneObserversBrokenLinkFreezesNobody(t *testing.T) {
	w := newSim(t, 6)
	for _, a := range w.servers {
		a.cut = true
	}
	w.run(time.Minute)
	assert.Equal(t, len(w.changes), 0, "%v", w.changes)
	for _, a := range w.servers {
		a.cut = false
	}
	w.run(2 * time.Second)
	for _, x := range w.m.Members() {
		assert.Assert(t, x.Accepting() && !x.Avoid)
	}
}

// Only the link from this VM to one server is broken, and two other VMs reach it.
// The server must be avoided here and stay in service for the others.
func TestABrokenLinkToOneServerDoesNotFreezeIt(t *testing.T) {
	w := newSim(t, 6)
	w.peers = func(ident.Server) bool { return false }
	w.servers["s1"].cut = true
	w.run(10 * time.Second)
	x, _ := w.m.Member("s1")
	assert.Equal(t, x.Is, Live)
	assert.Assert(t, x.Avoid)
	w.peers = func(id ident.Server) bool { return id == "s1" }
	w.until("s1", Frozen, 2*time.Second)
}

// All servers look frozen and the list is empty, as after a fault of the platform.
// None may be declared gone, so that service continues when the fault ends.
func TestNoServerIsGoneWhenAllLookFrozen(t *testing.T) {
	w := newSim(t, 6)
	for _, a := range w.servers {
		a.frozen, a.absent = true, true
	}
	w.run(2 * time.Minute)
	assert.Equal(t, len(w.m.Members()), 6)
	assert.Equal(t, len(w.changes), 0, "%v", w.changes)
}

// The list says "gone" of most servers at once, which may be wrong, so none that
// answers may be declared gone; but none of them may get new work. The guard
// against a broken list once blocked this too, and a server that had left got work.
func TestAListOfMostlyGoneOnlyStopsNewWork(t *testing.T) {
	w := newSim(t, 3)
	w.servers["s0"].listed, w.servers["s1"].listed = vmlist.Gone, vmlist.Gone
	w.run(4 * time.Second)
	assert.Equal(t, w.state("s0"), Draining)
	assert.Equal(t, w.state("s1"), Draining)
	assert.Equal(t, w.state("s2"), Live)
}

// Every server reports draining at the same moment, as after a broken deployment
// of the health endpoint. The list says live, so service must continue.
func TestAllHealthEndpointsClaimingToDrainAreNotBelieved(t *testing.T) {
	w := newSim(t, 6)
	for _, a := range w.servers {
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

// A server freezes, its health endpoint recovers but it is not taken back yet, and
// then a second of three servers freezes. The last one would have to carry the
// whole load on one observer's judgement, so the second must stay in use.
func TestTheSecondOfThreeIsNotFrozen(t *testing.T) {
	w := newSim(t, 3)
	w.servers["s0"].frozen, w.servers["s0"].onlyHealth = true, true
	w.until("s0", Frozen, 10*time.Second)
	w.run(4 * time.Second)
	w.servers["s1"].frozen = true
	for range 100 {
		w.run(step)
		assert.Assert(t, w.state("s0") != Frozen || w.state("s1") != Frozen)
	}
}

// Servers are replaced one after another, as on every working day: each drains,
// leaves, and is followed by one with a new name. The others must never look
// frozen, and each successor must serve within seconds.
func TestARollingRestartTouchesOneServerAtATime(t *testing.T) {
	w := newSim(t, 4)
	for i := range 4 {
		old, fresh := name(i), name(i+4)
		w.servers[old].drain = true
		w.servers[old].listed = vmlist.Leaving
		w.until(old, Draining, 3*time.Second)
		w.run(2 * time.Second)
		w.servers[old].frozen = true
		w.servers[old].listed = vmlist.Gone
		w.servers[fresh] = &fakeServer{listed: vmlist.Live}
		w.until(fresh, Live, 5*time.Second)
		w.until(old, Gone, 5*time.Second)
		accepting := 0
		for _, x := range w.m.Members() {
			if x.Accepting() {
				accepting++
			}
		}
		assert.Equal(t, accepting, 4)
	}
	for _, c := range w.changes {
		assert.Assert(t, c.To != Frozen, "%v", c)
	}
}

// Servers freeze, lie, drain, vanish and recover in any order. Silence alone must
// never make one gone, a server that leaves must get no work for more than 3 s,
// and no more than half may be declared frozen.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "servers")
		w := newSim(t, n)
		w.heartbeats = rapid.Bool().Draw(t, "beats")
		listedGone := map[ident.Server]bool{}
		left := map[ident.Server]time.Time{}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			id := name(rapid.IntRange(0, n-1).Draw(t, "server"))
			a := w.servers[id]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				a.frozen = !a.frozen
			case 1:
				a.onlyHealth = !a.onlyHealth
			case 2:
				a.cut = !a.cut
			case 3:
				a.listed = vmlist.Leaving
				left[id] = w.now
			case 4:
				a.listed, a.frozen = vmlist.Gone, true
				listedGone[id] = true
				left[id] = w.now
			case 5:
				a.absent = true
				listedGone[id] = true
			}
			for range rapid.IntRange(1, 100).Draw(t, "time") {
				w.run(step)
				w.checkInvariants(listedGone, left)
			}
		}
	})
}
