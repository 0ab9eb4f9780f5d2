package detect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// mesh is several entry VMs that share the probes of servers. The platform's
// list shows every server as live throughout.
type mesh struct {
	now    time.Time
	vms    map[ident.VM]*Model[ident.Server]
	order  []ident.VM
	health map[ident.Server]server.Health
	frozen map[ident.Server]bool
	lost   map[ident.VM]bool // stands still, sends nothing
	liar   ident.VM          // finds everything well
	probes int
	lose   func() bool // a view on its way
}

func newMesh(t *testing.T, vms, servers int, seed uint64) *mesh {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w := &mesh{
		now: t0, vms: map[ident.VM]*Model[ident.Server]{}, health: map[ident.Server]server.Health{},
		frozen: map[ident.Server]bool{}, lost: map[ident.VM]bool{}, lose: func() bool { return false },
	}
	var rows []Listed[ident.Server]
	for i := range servers {
		w.health[name(i)] = server.Health{Ready: true}
		rows = append(rows, Listed[ident.Server]{ID: name(i), Group: "lookup", State: vmlist.Live})
	}
	var shard []Prober
	for i := range vms {
		vm := ident.VM(fmt.Sprintf("vm%d", i))
		w.order = append(w.order, vm)
		shard = append(shard, Prober{VM: vm, Centre: ident.Centre(fmt.Sprint("c", i%3))})
	}
	for _, vm := range w.order {
		w.vms[vm] = New[ident.Server](Config{})
	}
	for _, vm := range w.order {
		w.now = w.now.Add(time.Duration(rnd.IntN(150)) * time.Millisecond) // its own phase of probing
		w.tell(vm, ListMsg[ident.Server]{Rows: rows})
		w.tell(vm, ProbersMsg{Self: vm, VMs: shard})
		w.tell(vm, TickMsg{})
	}
	w.run(10 * time.Second)
	for _, vm := range w.order {
		for i := range servers {
			assert.Assert(t, w.takes(vm, name(i)), "%s at %s", name(i), vm)
		}
	}
	return w
}

func (w *mesh) takes(vm ident.VM, id ident.Server) bool {
	x, _ := w.vms[vm].Member(id)
	return x.Accepting()
}

func (w *mesh) tell(vm ident.VM, msg loop.Msg) {
	if w.lost[vm] {
		return
	}
	_, cmds := w.vms[vm].Update(w.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case ProbeCmd[ident.Server]:
			w.probes++
			w.tell(vm, ProbeMsg[ident.Server]{ID: c.ID, Failed: w.frozen[c.ID], Health: w.health[c.ID]})
		case ViewCmd[ident.Server]:
			w.views(vm, c)
		}
	}
}

func (w *mesh) views(from ident.VM, c ViewCmd[ident.Server]) {
	if from == w.liar {
		c = ViewCmd[ident.Server]{}
	}
	for _, to := range w.order {
		if to != from && !w.lose() {
			w.tell(to, ViewMsg[ident.Server]{From: from, Frozen: c.Frozen, Odd: c.Suspect})
		}
	}
}

func (w *mesh) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, vm := range w.order {
			w.tell(vm, TickMsg{})
		}
	}
}

// probers of a server, as every VM works them out.
func (w *mesh) probers(t *testing.T, id ident.Server) []ident.VM {
	var all []ident.VM
	for i, vm := range w.order {
		m := w.vms[vm]
		p := m.probersOf(m.members[id])
		if i > 0 {
			assert.DeepEqual(t, p, all)
		}
		all = p
	}
	return all
}

// Ten VMs that probe every server every second cost each server ten calls a
// second for the same answer. Three are enough, from three data centres.
func TestAServerAtRestIsProbedByThreeVMs(t *testing.T) {
	w := newMesh(t, 10, 34, 1)
	w.probes = 0
	w.run(20 * time.Second)
	a := float64(w.probes) / 20 / 34
	t.Logf("%.2f probes a second and server", a)
	assert.Assert(t, a <= 3.01, "%v", a)
	for i := range 34 {
		p := w.probers(t, name(i))
		assert.Equal(t, len(p), 3)
		centres := map[byte]bool{}
		for _, vm := range p {
			centres[(vm[2]-'0')%3] = true
		}
		assert.Equal(t, len(centres), 3)
	}
}

// leaveTest lets one server say that it drains, while something is wrong with
// one of its probers, and returns how long the slowest VM went on giving it
// work.
func leaveTest(t *testing.T, vms int, seed uint64, wrong func(w *mesh, probers []ident.VM)) time.Duration {
	w := newMesh(t, vms, 12, seed)
	rnd := rand.New(rand.NewPCG(seed, 2))
	w.run(time.Duration(rnd.IntN(20)) * step)
	id := name(rnd.IntN(12))
	probers := slices.Clone(w.probers(t, id))
	rnd.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	wrong(w, probers)
	w.health[id] = server.Health{Ready: true, Drain: true}
	start := w.now
	for slices.ContainsFunc(w.order, func(vm ident.VM) bool { return !w.lost[vm] && w.takes(vm, id) }) {
		w.run(step)
		assert.Assert(t, w.now.Sub(start) <= 3*time.Second, "seed %d: a leaving server still takes work", seed)
	}
	return w.now.Sub(start)
}

// A server says that it drains, and most VMs do not ask it themselves. If they
// relied on one prober, that one being lost, or lying, or its packets being lost
// would keep new work coming to a server that is about to go.
func TestALeavingServerIsNoticedThroughOthersWithin3s(t *testing.T) {
	for name, wrong := range map[string]func(*mesh, []ident.VM){
		"nothing wrong":      func(*mesh, []ident.VM) {},
		"prober lost":        func(w *mesh, p []ident.VM) { w.lost[p[0]] = true },
		"prober lies":        func(w *mesh, p []ident.VM) { w.liar = p[0] },
		"one lost, one lies": func(w *mesh, p []ident.VM) { w.lost[p[0]], w.liar = true, p[1] },
		"two lost, one lies": func(w *mesh, p []ident.VM) { w.lost[p[0]], w.lost[p[1]], w.liar = true, true, p[2] },
		"half the views lost": func(w *mesh, _ []ident.VM) {
			rnd := rand.New(rand.NewPCG(7, 7))
			w.lose = func() bool { return rnd.IntN(2) == 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(40) {
				worst = max(worst, leaveTest(t, 8, seed, wrong))
			}
			t.Logf("worst of 40: %v", worst)
		})
	}
}

// All probers of a server are lost at once, with a data centre for example, and
// the server drains. Nobody is left to tell: the others must ask themselves as
// soon as the news has grown old, also one that is left alone.
func TestWithoutProbersEveryVMAsksItself(t *testing.T) {
	for seed := range uint64(20) {
		leaveTest(t, 4, seed, func(w *mesh, probers []ident.VM) {
			for _, vm := range probers {
				w.lost[vm] = true
			}
		})
	}
}

// A VM's own requests to a server fail while the probers find it well: its link
// is broken, or the server answers its health endpoint and nothing else. Waiting
// for others to find it odd, the VM would go on losing requests.
func TestFailingCallersMakeAVMProbeItself(t *testing.T) {
	w := newMesh(t, 8, 4, 3)
	var other ident.VM
	for _, vm := range w.order {
		if !slices.Contains(w.probers(t, name(0)), vm) {
			other = vm
		}
	}
	before := w.vms[other].members[name(0)].probed
	w.run(5 * time.Second)
	assert.Equal(t, w.vms[other].members[name(0)].probed, before, "it was to rely on others")
	w.tell(other, CallsMsg[ident.Server]{ID: name(0), Failed: 1})
	w.run(step)
	assert.Assert(t, w.vms[other].members[name(0)].probed.After(before))
}

// A frozen server must be found by VMs that do not probe it: a prober's silence
// about it would otherwise keep it in use.
func TestAFrozenServerIsNoticedThroughOthers(t *testing.T) {
	w := newMesh(t, 8, 6, 4)
	w.liar = w.probers(t, name(2))[0]
	w.frozen[name(2)] = true
	w.run(4 * time.Second)
	for _, vm := range w.order {
		assert.Assert(t, !w.takes(vm, name(2)), "%s", vm)
	}
	w.frozen[name(2)] = false
	w.run(8 * time.Second) // three answers to be back, three more to be live
	for _, vm := range w.order {
		assert.Assert(t, w.takes(vm, name(2)), "%s", vm)
	}
}

// A holder renews a server's lease several times a second, and each answer has
// the server's own word. Probes beside that would tell it nothing; without any
// once the renewals end, a server that freezes then would stay in use.
func TestAWordInAnAnswerStandsForAProbe(t *testing.T) {
	m, now := New[ident.Server](Config{}), t0
	m.Update(now, ListMsg[ident.Server]{Rows: []Listed[ident.Server]{{ID: "s1", Group: "lookup", State: vmlist.Live}}})
	probes := func(d time.Duration, word *server.Health) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if word != nil {
				m.Update(now, HealthMsg[ident.Server]{ID: "s1", Health: *word})
			}
			_, cmds := m.Update(now, TickMsg{})
			for _, c := range cmds {
				if _, ok := c.(ProbeCmd[ident.Server]); ok {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, probes(10*time.Second, &server.Health{Ready: true}), 0)
	is, _ := m.Member("s1")
	assert.Equal(t, is.Is, Live)
	assert.Equal(t, probes(5*time.Second, nil), 5)

	m, now = New[ident.Server](Config{}), t0
	m.Update(now, ListMsg[ident.Server]{Rows: []Listed[ident.Server]{
		{ID: "s1", Group: "lookup", State: vmlist.Live}, {ID: "s2", Group: "lookup", State: vmlist.Live},
	}})
	probes(time.Second, &server.Health{Ready: true})
	probes(time.Second, &server.Health{Ready: true, Drain: true})
	is, _ = m.Member("s1")
	assert.Equal(t, is.Is, Draining)
}
