package bench

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/owner/place"
	"hawthornfield.org/hawthornfield/internal/owner/sketch"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Slopes measures memory and processor time of each part of the router at four sizes.
// docs/CAPACITY.md extrapolates the needs in two years from them.
func Slopes(ctx context.Context, _ Options) (Section, error) {
	s := Section{
		Title: "Slopes: what a role costs as it grows",
		Note: "Each part alone at four sizes. Memory is the live heap and stacks after a collection, less that before; " +
			"time is by testing.Benchmark on one processor.",
	}
	for _, measure := range []func(context.Context, *Section) error{
		viewSlope, rulesSlope, planSlope, gateSlope, callerSlope, membershipSlope, sketchSlope, lessorSlope, watcherSlope,
	} {
		if err := measure(ctx, &s); err != nil {
			return s, err
		}
	}
	return s, ctx.Err()
}

// slope is one cost at several sizes, to which a line is fitted by least squares.
type slope struct {
	name, per, unit string
	xs, ys          []float64
}

func (p *slope) add(x, y float64) {
	p.xs = append(p.xs, x)
	p.ys = append(p.ys, y)
}

// fit returns the fitted line: the cost of each additional unit and the constant base.
func (p *slope) fit() (each, base float64) {
	n := float64(len(p.xs))
	var sx, sy, sxx, sxy float64
	for i, x := range p.xs {
		sx, sy, sxx, sxy = sx+x, sy+p.ys[i], sxx+x*x, sxy+x*p.ys[i]
	}
	each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return each, (sy - each*sx) / n
}

func (s *Section) addSlope(p slope) {
	if len(s.Tables) == 0 {
		s.Tables = []Table{{Head: []string{"cost", "unit", "sizes", "measured", "one more", "rest"}}}
	}
	each, base := p.fit()
	t := &s.Tables[0]
	t.Rows = append(t.Rows, []string{p.name, p.unit, formatList(p.xs) + " " + p.per, formatList(p.ys), round(each), round(base)})
	s.Figures = append(s.Figures, Figure{Name: p.name + ", each " + p.per, Value: each, Unit: p.unit, Better: Lower})
}

func formatList(values []float64) string {
	var out string
	for i, v := range values {
		if i > 0 {
			out += ", "
		}
		out += round(v)
	}
	return out
}

// measureHeap returns the result of build and the bytes of heap and stack that it retains.
func measureHeap[T any](build func() (T, error)) (T, float64, error) {
	before := liveMemory()
	v, err := build()
	after := liveMemory()
	runtime.KeepAlive(v)
	return v, after - before, err
}

// liveMemory returns the bytes of heap and stack in use after garbage collection. It
// collects three times: pools and finalizers release their objects only after two
// collections, and the third one frees what they released.
func liveMemory() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// nsPerOp runs a benchmark and returns the nanoseconds per operation.
func nsPerOp(f func(b *testing.B)) float64 {
	r := testing.Benchmark(f)
	return float64(r.T.Nanoseconds()) / float64(max(r.N, 1))
}

func serverNames(n int) []ident.Server {
	names := make([]ident.Server, n)
	for i := range names {
		names[i] = ident.Server(fmt.Sprintf("lookup-%03d", i))
	}
	return names
}

// fullTable returns a table whose slices are evenly assigned to the servers.
func fullTable(sliceCount, servers int) (table.Table, error) {
	names := serverNames(servers)
	t, err := table.New("lookup", uint32(sliceCount), names...)
	if err != nil {
		return t, err
	}
	moves := make([]table.Move, sliceCount)
	for i := range moves {
		moves[i] = table.Move{Slice: ident.Slice(i), To: names[i%servers]}
	}
	return t.WithAssigned(moves...)
}

// viewSlope measures the size of a service's ownership in the memory of a VM, in the
// store, and of the difference that VMs exchange after one move.
func viewSlope(_ context.Context, s *Section) error {
	memory := slope{name: "ownership in memory (table and view)", per: "slices", unit: "bytes"}
	stored := slope{name: "table object in the store", per: "slices", unit: "bytes"}
	moved := slope{name: "difference of one move", per: "slices", unit: "bytes"}
	for _, sliceCount := range []int{4096, 16384, 32768, 65536} {
		type ownership struct {
			table.Table
			*table.View
		}
		v, bytes, err := measureHeap(func() (ownership, error) {
			t, err := fullTable(sliceCount, costServers)
			return ownership{t, table.NewView(t)}, err
		})
		if err != nil {
			return err
		}
		raw, err := v.Encode()
		if err != nil {
			return err
		}
		next, err := v.WithMoves(v.Rows[0].Name, v.Rows[0].MinEpoch, table.Move{Slice: 0, To: v.Rows[1].Name})
		if err != nil {
			return err
		}
		delta, err := table.Diff(v.Table, next).Encode()
		if err != nil {
			return err
		}
		memory.add(float64(sliceCount), bytes)
		stored.add(float64(sliceCount), float64(len(raw)))
		moved.add(float64(sliceCount), float64(len(delta)))
	}
	s.addSlope(memory)
	s.addSlope(stored)
	s.addSlope(moved)
	return nil
}

// rulesSlope measures the memory of compiled rules.
func rulesSlope(_ context.Context, s *Section) error {
	memory := slope{name: "compiled rules", per: "rules", unit: "bytes"}
	for _, n := range []int{50, 200, 1000, 4000} {
		set, bytes, err := measureHeap(func() (any, error) {
			set, _, err := manyRules(n)
			return set, err
		})
		if err != nil {
			return err
		}
		runtime.KeepAlive(set)
		memory.add(float64(n), bytes)
	}
	s.addSlope(memory)
	return nil
}

// planSlope measures the time of one plan after the load has shifted between servers.
func planSlope(_ context.Context, s *Section) error {
	cost := slope{name: "one plan (500 servers)", per: "slices", unit: "ms"}
	for _, sliceCount := range []int{8192, 16384, 32768, 65536} {
		in := planInput(sliceCount, costServers)
		cost.add(float64(sliceCount), nsPerOp(func(b *testing.B) {
			for b.Loop() {
				place.Plan(in)
			}
		})/1e6)
	}
	s.addSlope(cost)
	return nil
}

// planInput returns the input of a plan for evenly assigned slices with uneven loads.
func planInput(sliceCount, servers int) place.Input {
	names := serverNames(servers)
	in := place.Input{
		Owners: make([]ident.Server, sliceCount), Loads: make([]float64, sliceCount),
		Band: place.BandFor(place.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}, sliceCount),
	}
	for _, name := range names {
		in.Servers = append(in.Servers, place.Server{ID: name, Accepting: true})
	}
	for i := range in.Owners {
		in.Owners[i] = names[i%servers]
		in.Loads[i] = 1 + float64(i%7)*float64(i%servers)/float64(servers)
	}
	return in
}

// gateSlope measures the gate's memory and the time of one admission by the number of
// servers.
func gateSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "gate", per: "servers", unit: "bytes"}
	cost := slope{name: "enter and done", per: "servers", unit: "ns"}
	for _, n := range []int{10, 50, 200, 500} {
		g, bytes, err := measureHeap(func() (*gate.Gate, error) { return fullGate(n), nil })
		if err != nil {
			return err
		}
		memory.add(float64(n), bytes)
		job := gate.Job{Caller: "hauler", Deadline: time.Now().Add(time.Hour)}
		cost.add(float64(n), nsPerOp(func(b *testing.B) {
			for b.Loop() {
				permit, err := g.Enter(ctx, job)
				if err != nil {
					b.Fatal(err)
				}
				permit.Done(gate.Outcome{})
			}
		}))
		if err := g.Close(); err != nil {
			return err
		}
	}
	s.addSlope(memory)
	s.addSlope(cost)
	return nil
}

// fullGate returns a gate with n servers.
func fullGate(n int) *gate.Gate {
	g := gate.New(gate.Config{Service: "lookup"})
	infos := make([]gate.ServerInfo, 0, n)
	for _, name := range serverNames(n) {
		infos = append(infos, gate.ServerInfo{Name: name, Slots: 4, Conns: 100})
	}
	g.SetServers(infos)
	return g
}

// callerSlope measures the gate's memory by the number of callers that it has seen. It
// must not grow without bound.
func callerSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "gate after requests of many callers", per: "callers", unit: "bytes"}
	for _, n := range []int{1000, 10_000, 100_000, 1_000_000} {
		g, bytes, err := measureHeap(func() (*gate.Gate, error) { return gateAfterCallers(ctx, n) })
		if err != nil {
			return err
		}
		memory.add(float64(n), bytes)
		if err := g.Close(); err != nil {
			return err
		}
	}
	s.addSlope(memory)
	return nil
}

// gateAfterCallers returns a gate that has processed one request of each caller.
func gateAfterCallers(ctx context.Context, callers int) (*gate.Gate, error) {
	g := fullGate(16)
	deadline := time.Now().Add(time.Hour)
	for i := range callers {
		permit, err := g.Enter(ctx, gate.Job{Caller: ident.Caller(fmt.Sprint("caller-", i)), Deadline: deadline})
		if err != nil {
			return g, err
		}
		permit.Done(gate.Outcome{})
	}
	return g, nil
}

// membershipSlope measures the processor time of package detect, which decides which
// members are live and ticks ten times a second, by the number of members.
func membershipSlope(_ context.Context, s *Section) error {
	cost := slope{name: "membership, processor time a second", per: "members", unit: "µs"}
	for _, n := range []int{50, 200, 500, 1000} {
		m := detect.New[ident.Server](detect.Config{})
		rows := make([]detect.Listed[ident.Server], 0, n)
		for _, name := range serverNames(n) {
			rows = append(rows, detect.Listed[ident.Server]{ID: name, Group: "lookup", State: vmlist.Live})
		}
		now := time.Unix(0, 0)
		m.Update(now, detect.ListMsg[ident.Server]{Rows: rows})
		cost.add(float64(n), nsPerOp(func(b *testing.B) {
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					tickMembership(m, now)
				}
			}
		})/1e3)
	}
	s.addSlope(cost)
	return nil
}

// tickMembership sends a tick at the given time and answers all resulting probes.
func tickMembership(m *detect.Model[ident.Server], now time.Time) {
	_, cmds := m.Update(now, detect.TickMsg{})
	for _, cmd := range cmds {
		if probe, ok := cmd.(detect.ProbeCmd[ident.Server]); ok {
			m.Update(now, detect.ProbeMsg[ident.Server]{ID: probe.ID, Health: server.Health{Ready: true}})
		}
	}
}

// sketchSlope measures the memory of the sketch that finds hot keys, and the time to count
// one request, by the sketch's number of counters.
func sketchSlope(_ context.Context, s *Section) error {
	memory := slope{name: "hot-key sketch", per: "counters", unit: "bytes"}
	addCost := slope{name: "counting one request", per: "counters", unit: "ns"}
	keys := make([]ident.Key, 1<<16)
	for i := range keys {
		keys[i] = ident.Key(fmt.Sprint("scale-", i))
	}
	now := time.Unix(0, 0)
	for _, n := range []int{128, 256, 512, 1024} {
		sk, bytes, err := measureHeap(func() (*sketch.Sketch[ident.Key], error) {
			sk := sketch.New[ident.Key](n, time.Minute)
			for k := range slices.Values(keys) {
				sk.Add(now, k, 1)
			}
			return sk, nil
		})
		if err != nil {
			return err
		}
		memory.add(float64(n), bytes)
		i := 0
		addCost.add(float64(n), nsPerOp(func(b *testing.B) {
			for b.Loop() {
				i++
				sk.Add(now, keys[i%len(keys)], 1)
			}
		}))
	}
	s.addSlope(memory)
	s.addSlope(addCost)
	return nil
}
