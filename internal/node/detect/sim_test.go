package detect

import (
	"strconv"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

var t0 = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

const step = 100 * time.Millisecond

// fakeServer is the actual condition of a backend server.
type fakeServer struct {
	listed     vmlist.State
	absent     bool
	frozen     bool // nothing answers
	onlyHealth bool // only the health endpoint answers while frozen, and reports ready
	drain      bool // reports draining
	cut        bool // this VM's link to it is broken
	onlyCalls  bool // only callers get answers
	notReady   bool // not ready yet
}

// sim runs the model of one VM against fake servers on a simulated clock.
type sim struct {
	t          assert.TestingT
	now        time.Time
	m          *Model[ident.Server]
	servers    map[ident.Server]*fakeServer
	lag        time.Duration // of the list
	heartbeats bool
	peers      func(id ident.Server) bool // whether other VMs report a server as frozen
	changes    []ChangeCmd[ident.Server]
	lists      []listAt
}

type listAt struct {
	at   time.Time
	rows []Listed[ident.Server]
}

func newSim(t assert.TestingT, n int) *sim {
	w := &sim{t: t, now: t0, m: New[ident.Server](Config{}), servers: map[ident.Server]*fakeServer{}, heartbeats: true}
	for i := range n {
		w.servers[name(i)] = &fakeServer{listed: vmlist.Live}
	}
	w.run(5 * time.Second)
	for i := range n {
		assert.Equal(t, w.state(name(i)), Live)
	}
	w.changes = nil
	return w
}

func name(i int) ident.Server { return ident.Server("s" + strconv.Itoa(i)) }

func (w *sim) state(id ident.Server) chart.State {
	x, _ := w.m.Member(id)
	return x.Is
}

func (w *sim) update(msg loop.Msg) {
	_, cmds := w.m.Update(w.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case ChangeCmd[ident.Server]:
			w.changes = append(w.changes, c)
			w.checkShare(c)
		case ProbeCmd[ident.Server]:
			a := w.servers[c.ID]
			if a == nil || a.cut || a.onlyCalls || a.frozen && !a.onlyHealth {
				w.update(ProbeMsg[ident.Server]{ID: c.ID, Failed: true})
				continue
			}
			w.update(ProbeMsg[ident.Server]{ID: c.ID, Health: server.Health{Ready: !a.notReady, Drain: a.drain}})
		}
	}
}

func (w *sim) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.list()
		for id, a := range w.servers {
			answering := !a.frozen && !a.cut
			if answering && w.heartbeats && !a.onlyCalls {
				w.update(HeartbeatMsg[ident.Server]{ID: id})
			}
			if x, _ := w.m.Member(id); x.Accepting() && !x.Avoid {
				if answering {
					w.update(CallsMsg[ident.Server]{ID: id, Succeeded: 1})
				} else {
					w.update(CallsMsg[ident.Server]{ID: id, Failed: 1})
				}
			}
		}
		if w.peers != nil {
			var bad []ident.Server
			for id := range w.servers {
				if w.peers(id) {
					bad = append(bad, id)
				}
			}
			w.update(ViewMsg[ident.Server]{From: "vm2", Frozen: bad})
			w.update(ViewMsg[ident.Server]{From: "vm3", Frozen: bad})
		}
		w.update(TickMsg{})
	}
}

// list delivers the platform's list as it was lag ago.
func (w *sim) list() {
	var rows []Listed[ident.Server]
	for id, a := range w.servers {
		if !a.absent {
			rows = append(rows, Listed[ident.Server]{ID: id, Group: "lookup", State: a.listed})
		}
	}
	w.lists = append(w.lists, listAt{at: w.now, rows: rows})
	for len(w.lists) > 1 && !w.lists[1].at.After(w.now.Add(-w.lag)) {
		w.lists = w.lists[1:]
	}
	if !w.lists[0].at.After(w.now.Add(-w.lag)) {
		w.update(ListMsg[ident.Server]{Rows: w.lists[0].rows})
	}
}

// until runs until a member has a state, and returns how long that took.
func (w *sim) until(id ident.Server, s chart.State, timeout time.Duration) time.Duration {
	start := w.now
	for w.state(id) != s && w.now.Sub(start) <= timeout {
		w.run(step)
	}
	assert.Equal(w.t, w.state(id), s)
	return w.now.Sub(start)
}

// checkInvariants checks that no server that left still gets work after 3 s, and
// that none is gone by silence alone.
func (w *sim) checkInvariants(listedGone map[ident.Server]bool, left map[ident.Server]time.Time) {
	for _, x := range w.m.Members() {
		at, ok := left[x.ID]
		if ok && w.now.Sub(at) > 3*time.Second && !w.servers[x.ID].absent {
			assert.Assert(w.t, !x.Accepting(), "%s takes work %v after it left", x.ID, w.now.Sub(at))
		}
	}
	for id := range w.servers {
		assert.Assert(w.t, w.state(id) != Gone || listedGone[id], "%s is gone by silence alone", id)
	}
}

// checkShare checks at each freeze that at most half of the members are frozen.
func (w *sim) checkShare(c ChangeCmd[ident.Server]) {
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
