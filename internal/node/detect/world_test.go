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
				w.tell(HeartbeatMsg[ident.Server]{ID: id})
			}
			if x, _ := w.m.Member(id); x.Accepting() && !x.Avoid {
				if well {
					w.tell(CallsMsg[ident.Server]{ID: id, Succeeded: 1})
				} else {
					w.tell(CallsMsg[ident.Server]{ID: id, Failed: 1})
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
			w.tell(ViewMsg[ident.Server]{From: "vm2", Frozen: bad})
			w.tell(ViewMsg[ident.Server]{From: "vm3", Frozen: bad})
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

func (w *world) hold(dismissed map[ident.Server]bool, left map[ident.Server]time.Time) {
	for _, x := range w.m.Members() {
		at, ok := left[x.ID]
		if ok && w.now.Sub(at) > 3*time.Second && !w.actors[x.ID].absent {
			assert.Assert(w.t, !x.Accepting(), "%s takes work %v after it left", x.ID, w.now.Sub(at))
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
