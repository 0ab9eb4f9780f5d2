package rebal

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/sketch"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

const nslices = 256

// desk carries moves out at once, as the seats would in time, and counts them.
type desk struct {
	svc   *state.Service
	list  []vmlist.VM
	moves int
}

func (d *desk) Move(_ ident.Service, from ident.Server, moves []table.Move) {
	tab, err := d.svc.View().Table().WithMoves(from, 0, moves...)
	if err != nil {
		panic(err)
	}
	d.moves += len(moves)
	d.svc.SetView(table.NewView(tab))
}

// Pair deals the seats to the movers of the desk's list.
func (d *desk) Pair(svc ident.Service, srv ident.Server) leases.Pair {
	lead, deputy := leases.Assign(svc, srv, "", d.list)
	return leases.Pair{Leader: lead, Deputy: deputy}
}

// post joins movers.
type post map[ident.VM]*Rebalancer

type mailFrom struct {
	post
	from ident.VM
}

func (m mailFrom) Send(to ident.VM, body []byte) {
	if other := m.post[to]; other != nil {
		defer func() { _ = other.Handle(m.from, body) }()
	}
}

func launch(vms ...ident.VM) (post, []*desk) {
	p := post{}
	var desks []*desk
	var list []vmlist.VM
	for _, vm := range vms {
		list = append(list, vmlist.VM{ID: vm, State: vmlist.Live})
	}
	for _, vm := range vms {
		st := state.New([]config.Service{{
			Name: "lookup", Divided: true, Slices: nslices,
			Weight:  config.Weight{Unavailable: 1, Churn: 1, Imbalance: 1},
			Servers: []config.Server{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}, {Name: "c", Slots: 4}, {Name: "d", Slots: 4}},
		}})
		svc, _ := st.Service("lookup")
		tab, err := leases.FirstTable(svc)
		if err != nil {
			panic(err)
		}
		svc.SetView(table.NewView(tab))
		m := New(vm, st, slog.New(slog.DiscardHandler))
		m.SetVMs(list)
		d := &desk{svc: svc, list: list}
		p[vm] = m
		desks = append(desks, d)
		m.Deps = Deps{Lessors: d, Peers: mailFrom{p, vm}, Accepting: func(ident.Server) bool { return true }}
	}
	return p, desks
}

func take(m *Rebalancer, key string) {
	k := ident.Key(key)
	x := ident.SliceOf(k, nslices)
	m.Append(record.Decision{Action: record.Route, At: time.Now(), Service: "lookup", Key: k, Slice: x, Server: "a"})
}

// imbalance is the highest load of a server over the mean.
func imbalance(svc *state.Service, loads map[string]float64) float64 {
	by := map[ident.Server]float64{}
	total := 0.0
	for key, w := range loads {
		o, _ := svc.Owner(ident.Key(key))
		by[o.Server] += w
		total += w
	}
	worst := 0.0
	for _, w := range by {
		worst = max(worst, w)
	}
	return worst * 4 / total
}

func TestLoadIsSpreadOverTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, desks := launch("vm-1")
		m, svc := p["vm-1"], desks[0].svc
		loads := map[string]float64{}
		for i := range 400 {
			loads[fmt.Sprintf("k%d", i)] = 5
		}
		loads["busy"] = 700
		before := imbalance(svc, loads)
		for range 200 {
			for key, n := range loads {
				for range int(n) / 5 {
					take(m, key)
				}
			}
			time.Sleep(planEvery)
			m.plan(t.Context())
		}
		after := imbalance(svc, loads)
		t.Logf("imbalance %.2f before, %.2f after %d moves", before, after, desks[0].moves)
		assert.Assert(t, before > 1.5)
		assert.Assert(t, after < 1.3)
		moved := desks[0].moves
		time.Sleep(settled)
		m.plan(t.Context())
		assert.Equal(t, desks[0].moves, moved, "moves went on in balance")
	})
}

// Few requests say nothing about load. A plan made from them would move keys
// from server to server all night.
func TestAQuietServiceMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, desks := launch("vm-1")
		for i, taken := 0, 0; taken < enough/2; i++ {
			key := fmt.Sprintf("k%d", i%50)
			if o, _ := desks[0].svc.Owner(ident.Key(key)); o.Server == "a" {
				take(p["vm-1"], key)
				taken++
			}
		}
		time.Sleep(planEvery)
		p["vm-1"].plan(t.Context())
		assert.Equal(t, desks[0].moves, 0)
	})
}

func TestOneVMPlansFromWhatAllCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, desks := launch("vm-1", "vm-2", "vm-3")
		planner := p["vm-1"].planner("lookup")
		for vm, m := range p {
			assert.Equal(t, m.planner("lookup"), planner)
			for i := range 2000 {
				take(m, fmt.Sprintf("%s-%d", vm, i%40))
			}
		}
		for vm, m := range p {
			if vm != planner {
				m.tell(t.Context())
			}
		}
		_, _, total := p[planner].books["lookup"].joined(time.Now())
		assert.Assert(t, math.Abs(total-6000) < 1, "%v", total)
		time.Sleep(planEvery)
		byVM := map[ident.VM]*desk{"vm-1": desks[0], "vm-2": desks[1], "vm-3": desks[2]}
		for vm, m := range p {
			if vm != planner {
				m.plan(t.Context())
				assert.Equal(t, byVM[vm].moves, 0, "%s planned as well", vm)
			}
		}
		p[planner].plan(t.Context())
		assert.Assert(t, byVM[planner].moves > 0)
		time.Sleep(2 * fresh)
		_, _, total = p[planner].books["lookup"].joined(time.Now())
		assert.Assert(t, total < 2000, "counts of silent VMs were kept: %v", total)
	})
}

// A peer with a fault reports numbers that are no loads. One such report must
// not turn a service over.
func TestAReportThatMakesNoSenseIsRefused(t *testing.T) {
	p, _ := launch("vm-1")
	for name, l := range map[string]letter{
		"no number":     {Svc: "lookup", Load: &report{Total: math.NaN()}},
		"negative":      {Svc: "lookup", Load: &report{Top: []slice{{1, -1}}}},
		"no such slice": {Svc: "lookup", Load: &report{Top: []slice{{nslices, 1}}}},
		"endless key":   {Svc: "lookup", Load: &report{Hot: sketch.Export[ident.Key]{List: []sketch.Count[ident.Key]{{Key: "x", Weight: math.Inf(1)}}}}},
		"too much":      {Svc: "lookup", Load: &report{Top: make([]slice, topSlices+1)}},
		"nothing":       {Svc: "lookup"},
	} {
		b, err := wire.Encode(l)
		assert.NilError(t, err)
		assert.Equal(t, kinds.Of(p["vm-1"].Handle("vm-2", b)), kinds.Malformed, name)
	}
	assert.Equal(t, kinds.Of(p["vm-1"].Handle("vm-2", []byte{0xff})), kinds.Malformed)
	assert.Equal(t, len(p["vm-1"].books["lookup"].parts), 0)
}

// FuzzHandle feeds the decoder of letters anything at all: a report that is
// taken can be planned with, and nothing crashes.
func FuzzHandle(f *testing.F) {
	for _, l := range []letter{
		{Svc: "lookup", Load: &report{Total: 5, Top: []slice{{1, 5}}}},
		{Svc: "lookup", Load: &report{Top: []slice{{nslices, 1}}}},
		{Svc: "none", From: "a"},
	} {
		b, err := wire.Encode(l)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, _ := launch("vm-1")
		m := p["vm-1"]
		m.Lessors = nobody{}
		if m.Handle("vm-2", b) != nil {
			return
		}
		load, _, total := m.books["lookup"].joined(time.Now())
		assert.Assert(t, good(total))
		for _, w := range load {
			assert.Assert(t, !math.IsNaN(w))
		}
	})
}

// nobody holds no seat.
type nobody struct{}

func (nobody) Move(ident.Service, ident.Server, []table.Move) {}

func (nobody) Pair(ident.Service, ident.Server) leases.Pair { return leases.Pair{} }
