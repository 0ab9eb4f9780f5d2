package roster

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

var t0 = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

const step = 100 * time.Millisecond

// actor is a backend server as it truly is.
type actor struct {
	listed vmlist.State
	absent bool
	frozen bool // nothing answers
	lies   bool // only the health endpoint answers, and says ready
	drain  bool // its own word
	cut    bool // our link to it is broken
	noise  bool // only callers get answers
	cold   bool // not ready yet
}

// world drives a roster of servers on a clock of its own.
type world struct {
	t      assert.TestingT
	now    time.Time
	m      *Model[ident.Server]
	actors map[ident.Server]*actor
	lag    time.Duration // of the list
	beats  bool
	peers  func(id ident.Server) bool // what other VMs hold of a server: frozen?
	log    []ChangeCmd[ident.Server]
	lists  []listAt
}

type listAt struct {
	at   time.Time
	rows []Listed[ident.Server]
}

func newWorld(t assert.TestingT, n int) *world {
	w := &world{t: t, now: t0, m: New[ident.Server](Config{}), actors: map[ident.Server]*actor{}, beats: true}
	for i := range n {
		w.actors[name(i)] = &actor{listed: vmlist.Live}
	}
	w.run(5 * time.Second)
	for i := range n {
		assert.Equal(t, w.is(name(i)), Live)
	}
	w.log = nil
	return w
}

func name(i int) ident.Server { return ident.Server("s" + strconv.Itoa(i)) }

func (w *world) is(id ident.Server) chart.State {
	x, _ := w.m.Member(id)
	return x.Is
}

func (w *world) tell(msg loop.Msg) {
	_, cmds := w.m.Update(w.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case ChangeCmd[ident.Server]:
			w.log = append(w.log, c)
			w.checkShare(c)
		case ProbeCmd[ident.Server]:
			a := w.actors[c.ID]
			if a == nil || a.cut || a.noise || a.frozen && !a.lies {
				w.tell(ProbeMsg[ident.Server]{ID: c.ID, Failed: true})
				continue
			}
			w.tell(ProbeMsg[ident.Server]{ID: c.ID, Health: server.Health{Ready: !a.cold, Drain: a.drain}})
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.list()
		for id, a := range w.actors {
			well := !a.frozen && !a.cut
			if well && w.beats && !a.noise {
				w.tell(BeatMsg[ident.Server]{ID: id})
			}
			if x, _ := w.m.Member(id); x.Takes() && !x.Avoid {
				if well {
					w.tell(CallsMsg[ident.Server]{ID: id, Good: 1})
				} else {
					w.tell(CallsMsg[ident.Server]{ID: id, Bad: 1})
				}
			}
		}
		if w.peers != nil {
			var bad []ident.Server
			for id := range w.actors {
				if w.peers(id) {
					bad = append(bad, id)
				}
			}
			w.tell(ViewMsg[ident.Server]{From: "vm2", Bad: bad})
			w.tell(ViewMsg[ident.Server]{From: "vm3", Bad: bad})
		}
		w.tell(TickMsg{})
	}
}

// list shows the platform's list as it was lag ago.
func (w *world) list() {
	var rows []Listed[ident.Server]
	for id, a := range w.actors {
		if !a.absent {
			rows = append(rows, Listed[ident.Server]{ID: id, Group: "lookup", State: a.listed})
		}
	}
	w.lists = append(w.lists, listAt{at: w.now, rows: rows})
	for len(w.lists) > 1 && !w.lists[1].at.After(w.now.Add(-w.lag)) {
		w.lists = w.lists[1:]
	}
	if !w.lists[0].at.After(w.now.Add(-w.lag)) {
		w.tell(ListMsg[ident.Server]{Rows: w.lists[0].rows})
	}
}

// until runs until a member has a state, and returns how long that took.
func (w *world) until(id ident.Server, s chart.State, most time.Duration) time.Duration {
	start := w.now
	for w.is(id) != s && w.now.Sub(start) <= most {
		w.run(step)
	}
	assert.Equal(w.t, w.is(id), s)
	return w.now.Sub(start)
}

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
		assert.Assert(t, x.Takes() && !x.Avoid)
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
		if x.Takes() {
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
			if x.Takes() {
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

func (w *world) hold(dismissed map[ident.Server]bool, left map[ident.Server]time.Time) {
	for _, x := range w.m.Members() {
		at, ok := left[x.ID]
		if ok && w.now.Sub(at) > 3*time.Second && !w.actors[x.ID].absent {
			assert.Assert(w.t, !x.Takes(), "%s takes work %v after it left", x.ID, w.now.Sub(at))
		}
	}
	for id := range w.actors {
		assert.Assert(w.t, w.is(id) != Gone || dismissed[id], "%s is gone by silence alone", id)
	}
}

// checkShare looks, at each freeze, that at most half are frozen.
func (w *world) checkShare(c ChangeCmd[ident.Server]) {
	if c.To != Frozen {
		return
	}
	all, frozen := 0, 0
	for _, x := range w.m.Members() {
		if x.Is == Live || x.Is == Frozen {
			all++
		}
		if x.Is == Frozen {
			frozen++
		}
	}
	assert.Assert(w.t, 2*frozen <= all, "%d of %d frozen", frozen, all)
}
