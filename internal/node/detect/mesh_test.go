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

// mesh is several entry VMs that share the probes of servers. The platform's list
// shows every server as live throughout.
type mesh struct {
	now      time.Time
	vms      map[ident.VM]*Model[ident.Server]
	order    []ident.VM
	health   map[ident.Server]server.Health
	frozen   map[ident.Server]bool
	lost     map[ident.VM]bool // stopped, sends nothing
	liar     ident.VM          // reports every server as healthy
	probes   int
	dropView func() bool // reports whether to lose the next view
}

func newMesh(t *testing.T, vms, servers int, seed uint64) *mesh {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w := &mesh{
		now: t0, vms: map[ident.VM]*Model[ident.Server]{}, health: map[ident.Server]server.Health{},
		frozen: map[ident.Server]bool{}, lost: map[ident.VM]bool{}, dropView: func() bool { return false },
	}
	var rows []Listed[ident.Server]
	for i := range servers {
		w.health[name(i)] = server.Health{Ready: true}
		rows = append(rows, Listed[ident.Server]{ID: name(i), Group: "lookup", State: vmlist.Live})
	}
	var probers []Prober
	for i := range vms {
		vm := ident.VM(fmt.Sprintf("vm%d", i))
		w.order = append(w.order, vm)
		probers = append(probers, Prober{VM: vm, Centre: ident.Centre(fmt.Sprint("c", i%3))})
	}
	for _, vm := range w.order {
		w.vms[vm] = New[ident.Server](Config{})
	}
	for _, vm := range w.order {
		w.now = w.now.Add(time.Duration(rnd.IntN(150)) * time.Millisecond) // each VM probes at a different phase
		w.update(vm, ListMsg[ident.Server]{Rows: rows})
		w.update(vm, ProbersMsg{Self: vm, VMs: probers})
		w.update(vm, TickMsg{})
	}
	w.run(10 * time.Second)
	for _, vm := range w.order {
		for i := range servers {
			assert.Assert(t, w.accepts(vm, name(i)), "%s at %s", name(i), vm)
		}
	}
	return w
}

func (w *mesh) accepts(vm ident.VM, id ident.Server) bool {
	x, _ := w.vms[vm].Member(id)
	return x.Accepting()
}

func (w *mesh) update(vm ident.VM, msg loop.Msg) {
	if w.lost[vm] {
		return
	}
	_, cmds := w.vms[vm].Update(w.now, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case ProbeCmd[ident.Server]:
			w.probes++
			w.update(vm, ProbeMsg[ident.Server]{ID: c.ID, Failed: w.frozen[c.ID], Health: w.health[c.ID]})
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
		if to != from && !w.dropView() {
			w.update(to, ViewMsg[ident.Server]{From: from, Frozen: c.Frozen, Suspect: c.Suspect})
		}
	}
}

func (w *mesh) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, vm := range w.order {
			w.update(vm, TickMsg{})
		}
	}
}

// probers returns the probers of a server and checks that every VM computes the
// same.
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

// If ten VMs probed every server every second, each server would get ten calls a
// second for the same answer. Three probers in three data centres are enough.
func TestAHealthyServerIsProbedByThreeVMs(t *testing.T) {
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

// measureLeave lets one server report draining while something is wrong with one
// of its probers, and returns how long the slowest VM still gave it work.
func measureLeave(t *testing.T, vms int, seed uint64, fault func(w *mesh, probers []ident.VM)) time.Duration {
	w := newMesh(t, vms, 12, seed)
	rnd := rand.New(rand.NewPCG(seed, 2))
	w.run(time.Duration(rnd.IntN(20)) * step)
	id := name(rnd.IntN(12))
	probers := slices.Clone(w.probers(t, id))
	rnd.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	fault(w, probers)
	w.health[id] = server.Health{Ready: true, Drain: true}
	start := w.now
	for slices.ContainsFunc(w.order, func(vm ident.VM) bool { return !w.lost[vm] && w.accepts(vm, id) }) {
		w.run(step)
		assert.Assert(t, w.now.Sub(start) <= 3*time.Second, "seed %d: a leaving server still takes work", seed)
	}
	return w.now.Sub(start)
}

// A server reports draining, and most VMs do not probe it themselves. If they
// relied on one prober, a lost or lying prober or lost packets would keep new work
// going to a server that is about to stop.
func TestALeavingServerIsNoticedThroughOthersWithin3s(t *testing.T) {
	for name, fault := range map[string]func(*mesh, []ident.VM){
		"nothing wrong":      func(*mesh, []ident.VM) {},
		"prober lost":        func(w *mesh, p []ident.VM) { w.lost[p[0]] = true },
		"prober lies":        func(w *mesh, p []ident.VM) { w.liar = p[0] },
		"one lost, one lies": func(w *mesh, p []ident.VM) { w.lost[p[0]], w.liar = true, p[1] },
		"two lost, one lies": func(w *mesh, p []ident.VM) { w.lost[p[0]], w.lost[p[1]], w.liar = true, true, p[2] },
		"half the views lost": func(w *mesh, _ []ident.VM) {
			rnd := rand.New(rand.NewPCG(7, 7))
			w.dropView = func() bool { return rnd.IntN(2) == 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(40) {
				worst = max(worst, measureLeave(t, 8, seed, fault))
			}
			t.Logf("worst of 40: %v", worst)
		})
	}
}

// All probers of a server are lost at once, for example with a data centre, and
// the server drains. The other VMs must probe it themselves as soon as the last
// views expire, even if only one VM is left.
func TestWithoutProbersEveryVMProbes(t *testing.T) {
	for seed := range uint64(20) {
		measureLeave(t, 4, seed, func(w *mesh, probers []ident.VM) {
			for _, vm := range probers {
				w.lost[vm] = true
			}
		})
	}
}

// A VM's own requests to a server fail while the probers find it healthy: its link
// is broken, or the server only answers its health endpoint. If the VM waited for
// others to suspect the server, it would go on losing requests.
func TestFailingCallersMakeAVMProbeItself(t *testing.T) {
	w := newMesh(t, 8, 4, 3)
	var other ident.VM
	for _, vm := range w.order {
		if !slices.Contains(w.probers(t, name(0)), vm) {
			other = vm
		}
	}
	before := w.vms[other].members[name(0)].probedAt
	w.run(5 * time.Second)
	assert.Equal(t, w.vms[other].members[name(0)].probedAt, before, "it was to rely on others")
	w.update(other, CallsMsg[ident.Server]{ID: name(0), Failed: 1})
	w.run(step)
	assert.Assert(t, w.vms[other].members[name(0)].probedAt.After(before))
}

// All VMs must learn of a frozen server, also those that do not probe it. A lying
// prober must not keep it in use.
func TestAFrozenServerIsNoticedThroughOthers(t *testing.T) {
	w := newMesh(t, 8, 6, 4)
	w.liar = w.probers(t, name(2))[0]
	w.frozen[name(2)] = true
	w.run(4 * time.Second)
	for _, vm := range w.order {
		assert.Assert(t, !w.accepts(vm, name(2)), "%s", vm)
	}
	w.frozen[name(2)] = false
	w.run(8 * time.Second) // three answers to end the freeze, three more to be live
	for _, vm := range w.order {
		assert.Assert(t, w.accepts(vm, name(2)), "%s", vm)
	}
}

// A VM renews a server's lease several times a second, and each answer carries
// the server's health, so probes would be redundant. When the renewals end, probes
// must start, or a server that freezes then would stay in use.
func TestAHealthReportInAnAnswerReplacesAProbe(t *testing.T) {
	m, now := New[ident.Server](Config{}), t0
	m.Update(now, ListMsg[ident.Server]{Rows: []Listed[ident.Server]{{ID: "s1", Group: "lookup", State: vmlist.Live}}})
	probes := func(d time.Duration, health *server.Health) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if health != nil {
				m.Update(now, HealthMsg[ident.Server]{ID: "s1", Health: *health})
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
