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

const testSlices = 256

// fakeLessors carries out moves at once, as lessors would in time, and counts them.
type fakeLessors struct {
	svc   *state.Service
	list  []vmlist.VM
	moves int
}

func (f *fakeLessors) Move(_ ident.Service, from ident.Server, moves []table.Move) {
	tab, err := f.svc.View().Table().WithMoves(from, 0, moves...)
	if err != nil {
		panic(err)
	}
	f.moves += len(moves)
	f.svc.SetView(table.NewView(tab))
}

// Pair assigns lessors to the VMs of the list.
func (f *fakeLessors) Pair(svc ident.Service, srv ident.Server) leases.Pair {
	preferred, deputy := leases.Assign(svc, srv, "", f.list)
	return leases.Pair{Preferred: preferred, Deputy: deputy}
}

// network connects rebalancers.
type network map[ident.VM]*Rebalancer

type networkLink struct {
	network
	from ident.VM
}

func (l networkLink) Send(to ident.VM, body []byte) {
	if other := l.network[to]; other != nil {
		defer func() { _ = other.Handle(l.from, body) }()
	}
}

func newRebalancers(vms ...ident.VM) (network, []*fakeLessors) {
	net := network{}
	var fakes []*fakeLessors
	var list []vmlist.VM
	for _, vm := range vms {
		list = append(list, vmlist.VM{ID: vm, State: vmlist.Live})
	}
	for _, vm := range vms {
		st := state.New([]config.Service{{
			Name: "lookup", Divided: true, Slices: testSlices,
			Weight:  config.Weight{Unavailable: 1, Churn: 1, Imbalance: 1},
			Servers: []config.Server{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}, {Name: "c", Slots: 4}, {Name: "d", Slots: 4}},
		}})
		svc, _ := st.Service("lookup")
		tab, err := leases.FirstTable(svc)
		if err != nil {
			panic(err)
		}
		svc.SetView(table.NewView(tab))
		reb := New(vm, st, slog.New(slog.DiscardHandler))
		reb.SetVMs(list)
		fake := &fakeLessors{svc: svc, list: list}
		net[vm] = reb
		fakes = append(fakes, fake)
		reb.Deps = Deps{Lessors: fake, Peers: networkLink{net, vm}, Accepting: func(ident.Server) bool { return true }}
	}
	return net, fakes
}

func countRequest(reb *Rebalancer, key string) {
	k := ident.Key(key)
	x := ident.SliceOf(k, testSlices)
	reb.Append(record.Decision{Action: record.Route, At: time.Now(), Service: "lookup", Key: k, Slice: x, Server: "a"})
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
		net, fakes := newRebalancers("vm-1")
		reb, svc := net["vm-1"], fakes[0].svc
		loads := map[string]float64{}
		for i := range 400 {
			loads[fmt.Sprintf("k%d", i)] = 5
		}
		loads["busy"] = 700
		before := imbalance(svc, loads)
		for range 200 {
			for key, n := range loads {
				for range int(n) / 5 {
					countRequest(reb, key)
				}
			}
			time.Sleep(planPeriod)
			reb.plan(t.Context())
		}
		after := imbalance(svc, loads)
		t.Logf("imbalance %.2f before, %.2f after %d moves", before, after, fakes[0].moves)
		assert.Assert(t, before > 1.5)
		assert.Assert(t, after < 1.3)
		moved := fakes[0].moves
		time.Sleep(moveTimeout)
		reb.plan(t.Context())
		assert.Equal(t, fakes[0].moves, moved, "moves continued although the load was balanced")
	})
}

// Few requests say nothing about load. A plan made from them would move keys from
// server to server all night.
func TestFewRequestsCauseNoMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, fakes := newRebalancers("vm-1")
		for i, taken := 0, 0; taken < minWeight/2; i++ {
			key := fmt.Sprintf("k%d", i%50)
			if o, _ := fakes[0].svc.Owner(ident.Key(key)); o.Server == "a" {
				countRequest(net["vm-1"], key)
				taken++
			}
		}
		time.Sleep(planPeriod)
		net["vm-1"].plan(t.Context())
		assert.Equal(t, fakes[0].moves, 0)
	})
}

func TestOneVMPlansFromTheCountsOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, fakes := newRebalancers("vm-1", "vm-2", "vm-3")
		planner := net["vm-1"].planner("lookup")
		for vm, reb := range net {
			assert.Equal(t, reb.planner("lookup"), planner)
			for i := range 2000 {
				countRequest(reb, fmt.Sprintf("%s-%d", vm, i%40))
			}
		}
		for vm, reb := range net {
			if vm != planner {
				reb.sendReports(t.Context())
			}
		}
		_, _, total := net[planner].services["lookup"].merged(time.Now())
		assert.Assert(t, math.Abs(total-6000) < 1, "%v", total)
		time.Sleep(planPeriod)
		byVM := map[ident.VM]*fakeLessors{"vm-1": fakes[0], "vm-2": fakes[1], "vm-3": fakes[2]}
		for vm, reb := range net {
			if vm != planner {
				reb.plan(t.Context())
				assert.Equal(t, byVM[vm].moves, 0, "%s planned as well", vm)
			}
		}
		net[planner].plan(t.Context())
		assert.Assert(t, byVM[planner].moves > 0)
		time.Sleep(2 * reportTTL)
		_, _, total = net[planner].services["lookup"].merged(time.Now())
		assert.Assert(t, total < 2000, "counts of VMs that stopped reporting were kept: %v", total)
	})
}

// A faulty peer reports numbers that cannot be loads. Such a report must not disturb
// the plans for a service.
func TestInvalidReportsAreRefused(t *testing.T) {
	net, _ := newRebalancers("vm-1")
	for name, msg := range map[string]message{
		"no number":     {Svc: "lookup", Load: &report{Total: math.NaN()}},
		"negative":      {Svc: "lookup", Load: &report{Top: []sliceLoad{{1, -1}}}},
		"no such slice": {Svc: "lookup", Load: &report{Top: []sliceLoad{{testSlices, 1}}}},
		"endless key":   {Svc: "lookup", Load: &report{Hot: sketch.Export[ident.Key]{List: []sketch.Count[ident.Key]{{Key: "x", Weight: math.Inf(1)}}}}},
		"too much":      {Svc: "lookup", Load: &report{Top: make([]sliceLoad, maxReportedSlices+1)}},
		"nothing":       {Svc: "lookup"},
	} {
		b, err := wire.Encode(msg)
		assert.NilError(t, err)
		assert.Equal(t, kinds.Of(net["vm-1"].Handle("vm-2", b)), kinds.Malformed, name)
	}
	assert.Equal(t, kinds.Of(net["vm-1"].Handle("vm-2", []byte{0xff})), kinds.Malformed)
	assert.Equal(t, len(net["vm-1"].services["lookup"].reports), 0)
}

// FuzzHandle feeds arbitrary bytes to the decoder of messages: a report that is
// accepted can be planned with, and nothing panics.
func FuzzHandle(f *testing.F) {
	for _, msg := range []message{
		{Svc: "lookup", Load: &report{Total: 5, Top: []sliceLoad{{1, 5}}}},
		{Svc: "lookup", Load: &report{Top: []sliceLoad{{testSlices, 1}}}},
		{Svc: "none", From: "a"},
	} {
		b, err := wire.Encode(msg)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		net, _ := newRebalancers("vm-1")
		reb := net["vm-1"]
		reb.Lessors = noLessors{}
		if reb.Handle("vm-2", b) != nil {
			return
		}
		weights, _, total := reb.services["lookup"].merged(time.Now())
		assert.Assert(t, validWeight(total))
		for _, w := range weights {
			assert.Assert(t, !math.IsNaN(w))
		}
	})
}

// noLessors is a Lessors on which no VM holds any.
type noLessors struct{}

func (noLessors) Move(ident.Service, ident.Server, []table.Move) {}

func (noLessors) Pair(ident.Service, ident.Server) leases.Pair { return leases.Pair{} }
