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

// Slopes measures what each role's state and work cost at four sizes, from which
// docs/CAPACITY.md works out the size of two years from now.
func Slopes(ctx context.Context, _ Options) (Section, error) {
	s := Section{
		Title: "Slopes: what a role costs as it grows",
		Note: "Each part alone at four sizes. Memory is the live heap and stacks after a collection, less that before; " +
			"time is by testing.Benchmark on one processor.",
	}
	for _, measure := range []func(context.Context, *Section) error{
		viewSlope, rulesSlope, planSlope, gateSlope, callerSlope, rosterSlope, sketchSlope, seatSlope, watchSlope,
	} {
		if err := measure(ctx, &s); err != nil {
			return s, err
		}
	}
	return s, ctx.Err()
}

// slope is one cost at several sizes, with the least-squares line through it.
type slope struct {
	name, per, unit string
	xs, ys          []float64
}

func (p *slope) at(x, y float64) {
	p.xs = append(p.xs, x)
	p.ys = append(p.ys, y)
}

// fit returns the line through the points: the cost of one more, and the rest.
func (p *slope) fit() (each, base float64) {
	n := float64(len(p.xs))
	var sx, sy, sxx, sxy float64
	for i, x := range p.xs {
		sx, sy, sxx, sxy = sx+x, sy+p.ys[i], sxx+x*x, sxy+x*p.ys[i]
	}
	each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return each, (sy - each*sx) / n
}

func (s *Section) slope(p slope) {
	if len(s.Tables) == 0 {
		s.Tables = []Table{{Head: []string{"cost", "unit", "sizes", "measured", "one more", "rest"}}}
	}
	each, base := p.fit()
	t := &s.Tables[0]
	t.Rows = append(t.Rows, []string{p.name, p.unit, list(p.xs) + " " + p.per, list(p.ys), round(each), round(base)})
	s.Figures = append(s.Figures, Figure{Name: p.name + ", each " + p.per, Value: each, Unit: p.unit, Better: Lower})
}

func list(values []float64) string {
	var out string
	for i, v := range values {
		if i > 0 {
			out += ", "
		}
		out += round(v)
	}
	return out
}

// heap returns the live heap and stacks that build leaves behind, and its result.
func heap[T any](build func() (T, error)) (T, float64, error) {
	before := live()
	v, err := build()
	after := live()
	runtime.KeepAlive(v)
	return v, after - before, err
}

// live collects until pools and finalizers have let go of what they kept, which
// takes two collections, and one more for what those ran.
func live() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func nanos(f func(b *testing.B)) float64 {
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

func fullTable(parts, servers int) (table.Table, error) {
	names := serverNames(servers)
	t, err := table.New("lookup", uint32(parts), names...)
	if err != nil {
		return t, err
	}
	moves := make([]table.Move, parts)
	for i := range moves {
		moves[i] = table.Move{Slice: ident.Slice(i), To: names[i%servers]}
	}
	return t.WithAssigned(moves...)
}

// viewSlope: what every VM holds of a service's ownership, what the store holds,
// and what one move costs in the exchange.
func viewSlope(_ context.Context, s *Section) error {
	memory := slope{name: "ownership in memory (table and view)", per: "slices", unit: "bytes"}
	stored := slope{name: "table object in the store", per: "slices", unit: "bytes"}
	moved := slope{name: "difference of one move", per: "slices", unit: "bytes"}
	for _, parts := range []int{4096, 16384, 32768, 65536} {
		type kept struct {
			table.Table
			*table.View
		}
		v, bytes, err := heap(func() (kept, error) {
			t, err := fullTable(parts, costServers)
			return kept{t, table.NewView(t)}, err
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
		memory.at(float64(parts), bytes)
		stored.at(float64(parts), float64(len(raw)))
		moved.at(float64(parts), float64(len(delta)))
	}
	s.slope(memory)
	s.slope(stored)
	s.slope(moved)
	return nil
}

func rulesSlope(_ context.Context, s *Section) error {
	memory := slope{name: "compiled rules", per: "rules", unit: "bytes"}
	for _, n := range []int{50, 200, 1000, 4000} {
		set, bytes, err := heap(func() (any, error) {
			set, _, err := costSet(n)
			return set, err
		})
		if err != nil {
			return err
		}
		runtime.KeepAlive(set)
		memory.at(float64(n), bytes)
	}
	s.slope(memory)
	return nil
}

// planSlope: one plan after the load drifted, at growing services.
func planSlope(_ context.Context, s *Section) error {
	cost := slope{name: "one plan (500 servers)", per: "slices", unit: "ms"}
	for _, parts := range []int{8192, 16384, 32768, 65536} {
		in := planInput(parts, costServers)
		cost.at(float64(parts), nanos(func(b *testing.B) {
			for b.Loop() {
				place.Plan(in)
			}
		})/1e6)
	}
	s.slope(cost)
	return nil
}

func planInput(parts, servers int) place.Input {
	names := serverNames(servers)
	in := place.Input{
		Owners: make([]ident.Server, parts), Loads: make([]float64, parts),
		Band: place.BandFor(place.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}, parts),
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

// gateSlope: the admission point's memory and the cost of a decision as servers
// are added.
func gateSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "gate", per: "servers", unit: "bytes"}
	cost := slope{name: "enter and done", per: "servers", unit: "ns"}
	for _, n := range []int{10, 50, 200, 500} {
		g, bytes, err := heap(func() (*gate.Gate, error) { return fullGate(n), nil })
		if err != nil {
			return err
		}
		memory.at(float64(n), bytes)
		job := gate.Job{Caller: "hauler", Deadline: time.Now().Add(time.Hour)}
		cost.at(float64(n), nanos(func(b *testing.B) {
			for b.Loop() {
				pass, err := g.Enter(ctx, job)
				if err != nil {
					b.Fatal(err)
				}
				pass.Done(gate.Outcome{})
			}
		}))
		if err := g.Close(); err != nil {
			return err
		}
	}
	s.slope(memory)
	s.slope(cost)
	return nil
}

func fullGate(n int) *gate.Gate {
	g := gate.New(gate.Config{Service: "lookup"})
	infos := make([]gate.ServerInfo, 0, n)
	for _, name := range serverNames(n) {
		infos = append(infos, gate.ServerInfo{Name: name, Slots: 4, Conns: 100})
	}
	g.SetServers(infos)
	return g
}

// callerSlope: what the gate remembers of callers, which must not grow without
// bound.
func callerSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "gate after requests of many callers", per: "callers", unit: "bytes"}
	for _, n := range []int{1000, 10_000, 100_000, 1_000_000} {
		g, bytes, err := heap(func() (*gate.Gate, error) { return askedBy(ctx, n) })
		if err != nil {
			return err
		}
		memory.at(float64(n), bytes)
		if err := g.Close(); err != nil {
			return err
		}
	}
	s.slope(memory)
	return nil
}

func askedBy(ctx context.Context, callers int) (*gate.Gate, error) {
	g := fullGate(16)
	by := time.Now().Add(time.Hour)
	for i := range callers {
		pass, err := g.Enter(ctx, gate.Job{Caller: ident.Caller(fmt.Sprint("caller-", i)), Deadline: by})
		if err != nil {
			return g, err
		}
		pass.Done(gate.Outcome{})
	}
	return g, nil
}

// rosterSlope: one tick of membership over growing fleets, ten times a second.
func rosterSlope(_ context.Context, s *Section) error {
	cost := slope{name: "membership, processor time a second", per: "members", unit: "µs"}
	for _, n := range []int{50, 200, 500, 1000} {
		m := detect.New[ident.Server](detect.Config{})
		rows := make([]detect.Listed[ident.Server], 0, n)
		for _, name := range serverNames(n) {
			rows = append(rows, detect.Listed[ident.Server]{ID: name, Group: "lookup", State: vmlist.Live})
		}
		now := time.Unix(0, 0)
		m.Update(now, detect.ListMsg[ident.Server]{Rows: rows})
		cost.at(float64(n), nanos(func(b *testing.B) {
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					tick(m, now)
				}
			}
		})/1e3)
	}
	s.slope(cost)
	return nil
}

// tick lets time pass and answers every probe that it makes due.
func tick(m *detect.Model[ident.Server], now time.Time) {
	_, cmds := m.Update(now, detect.TickMsg{})
	for _, cmd := range cmds {
		if probe, ok := cmd.(detect.ProbeCmd[ident.Server]); ok {
			m.Update(now, detect.ProbeMsg[ident.Server]{ID: probe.ID, Health: server.Health{Ready: true}})
		}
	}
}

// sketchSlope: what finding hot keys costs, by the size of the sketch.
func sketchSlope(_ context.Context, s *Section) error {
	memory := slope{name: "hot-key sketch", per: "counters", unit: "bytes"}
	add := slope{name: "counting one request", per: "counters", unit: "ns"}
	keys := make([]ident.Key, 1<<16)
	for i := range keys {
		keys[i] = ident.Key(fmt.Sprint("scale-", i))
	}
	now := time.Unix(0, 0)
	for _, n := range []int{128, 256, 512, 1024} {
		sk, bytes, err := heap(func() (*sketch.Sketch[ident.Key], error) {
			sk := sketch.New[ident.Key](n, time.Minute)
			for k := range slices.Values(keys) {
				sk.Add(now, k, 1)
			}
			return sk, nil
		})
		if err != nil {
			return err
		}
		memory.at(float64(n), bytes)
		i := 0
		add.at(float64(n), nanos(func(b *testing.B) {
			for b.Loop() {
				i++
				sk.Add(now, keys[i%len(keys)], 1)
			}
		}))
	}
	s.slope(memory)
	s.slope(add)
	return nil
}
