package bench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Sizes of the decisions that are timed.
const (
	costRules   = 200
	costSlices  = 65536
	costServers = 500
)

// Costs times the decisions that every request pays for.
func Costs(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "What a decision costs",
		Note:  "Each decision alone on one processor, by testing.Benchmark.",
	}
	set, req, err := costSet(costRules)
	if err != nil {
		return s, err
	}
	view, err := costView()
	if err != nil {
		return s, err
	}
	key := ident.Key("scale-7")
	s.add("match 200 rules and read the key", "", func(b *testing.B) { matchLoop(b, set, req) })
	s.add("find the owner among 64k slices", "", func(b *testing.B) {
		for b.Loop() {
			view.Owner(key)
		}
	})
	s.add("routing decision: both together", "< 1000 ns, 0 allocations", func(b *testing.B) {
		for b.Loop() {
			rule, _ := set.Match(req)
			k, _ := match.KeyOf(rule, req)
			view.Owner(k)
		}
	})
	s.add("admission: enter and done", "< 500 ns, 0 allocations", costAdmission)
	s.add("record a decision", "0 allocations", costRecord)
	if err := s.matchCurve(o); err != nil {
		return s, err
	}
	return s, ctx.Err()
}

// add times one decision and notes time and allocations.
func (s *Section) add(name, target string, f func(b *testing.B)) {
	r := testing.Benchmark(f)
	s.Figures = append(s.Figures,
		Figure{Name: name, Value: float64(r.T.Nanoseconds()) / float64(max(r.N, 1)), Unit: "ns", Better: Lower, Target: target},
		Figure{Name: name + ", allocations", Value: float64(r.AllocsPerOp()), Unit: "a call", Better: Lower},
	)
}

func costSet(n int) (*match.Set, *match.Request, error) {
	rules := make([]match.Rule, n)
	for i := range rules {
		id := strconv.Itoa(i)
		rules[i] = match.Rule{
			Name: "r" + id, Then: match.Then{Service: "lookup", Key: "path:key"},
			When: match.When{Method: []string{"GET"}, Path: "/area" + strconv.Itoa(i/5) + "/{key}/part" + id},
		}
	}
	set, err := match.Compile(rules)
	last := strconv.Itoa(n - 1)
	return set, &match.Request{Method: "GET", Path: "/area" + strconv.Itoa((n-1)/5) + "/scale-7/part" + last, Caller: "hauler"}, err
}

func matchLoop(b *testing.B, set *match.Set, req *match.Request) {
	for b.Loop() {
		rule, ok := set.Match(req)
		if !ok {
			b.Fatal("no rule")
		}
		if _, err := match.KeyOf(rule, req); err != nil {
			b.Fatal(err)
		}
	}
}

func costView() (*table.View, error) {
	names := make([]ident.Server, costServers)
	for i := range names {
		names[i] = ident.Server(fmt.Sprintf("lookup-%03d", i))
	}
	t, err := table.New("lookup", costSlices, names...)
	if err != nil {
		return nil, err
	}
	moves := make([]table.Move, costSlices)
	for i := range moves {
		moves[i] = table.Move{Slice: ident.Slice(i), To: names[i%costServers]}
	}
	t, err = t.WithAssigned(moves...)
	return table.NewView(t), err
}

func costAdmission(b *testing.B) {
	g := gate.New(gate.Config{Service: "lookup"})
	defer g.Close()
	var all []gate.ServerInfo
	for i := range 16 {
		all = append(all, gate.ServerInfo{Name: ident.Server(fmt.Sprint("lookup-", i)), Slots: 4, Conns: 100})
	}
	g.SetServers(all)
	by := time.Now().Add(time.Hour)
	ctx := context.Background()
	for b.Loop() {
		pass, err := g.Enter(ctx, gate.Job{Caller: "hauler", Deadline: by})
		if err != nil {
			b.Fatal(err)
		}
		pass.Done(gate.Outcome{})
	}
}

func costRecord(b *testing.B) {
	w := record.New("vm-1", slog.New(slog.NewJSONHandler(io.Discard, nil)), record.WithRing(1<<16))
	defer w.Close()
	d := record.Decision{At: time.Now(), Action: record.Route, ID: "r-1", Key: "scale-7", Rule: "lookups", Rev: 12, Server: "lookup-3", Caller: "hauler"}
	for b.Loop() {
		w.Record(d)
	}
}

// matchCurve shows how matching grows with the list.
func (s *Section) matchCurve(o Options) error {
	sizes := []int{10, 50, 200, 1000}
	if o.Quick {
		sizes = []int{10, 200}
	}
	line := Line{Name: "match and read the key"}
	for _, n := range sizes {
		set, req, err := costSet(n)
		if err != nil {
			return err
		}
		r := testing.Benchmark(func(b *testing.B) { matchLoop(b, set, req) })
		line.Points = append(line.Points, Point{float64(n), float64(r.T.Nanoseconds()) / float64(max(r.N, 1))})
	}
	s.Plots = append(s.Plots, Plot{Name: "match", Title: "Matching against the number of rules", X: "rules", Y: "ns", LogX: true, Lines: []Line{line}})
	return nil
}

// Journal works out the journal's writes at the fleet's sizes from its own
// model: how often one VM and all VMs write, and how much a crash loses.
func Journal(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "Journal: writes by the number of VMs",
		Note: "The journal's model driven for two simulated minutes at 500 decisions a second and VM; the store answers at once. " +
			"The last columns are the decisions a second at which one VM's journal begins to drop, found by doubling. The second " +
			"table is the same for 2,500 requests a second and VM under 20 rules, one request in 50 a submission and one in 1,000 " +
			"of the others failed, by what the rules keep.",
	}
	t := Table{Head: []string{"VMs", "writes/s, one VM", "writes/s, all", "bytes/s, one VM", "bytes a decision", "longest wait for a write", "kept up with, decisions/s and VM"}}
	one, all := Line{Name: "one VM"}, Line{Name: "all VMs"}
	for _, vms := range []int{1, 10, 50, 200, 520} {
		p, err := ledger.Simulate(vms, journalRate, journalSpan, journalEntry())
		if err != nil {
			return s, err
		}
		most, err := journalMost(ctx, vms, o)
		if err != nil {
			return s, err
		}
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(vms), fmt.Sprintf("%.2f", p.Writes), fmt.Sprintf("%.1f", p.Writes*float64(vms)), fmt.Sprintf("%.0f", p.Bytes),
			fmt.Sprintf("%.0f", p.Bytes/journalRate), p.Longest.Round(10 * time.Millisecond).String(), fmt.Sprint(most),
		})
		one.Points = append(one.Points, Point{float64(vms), p.Writes})
		all.Points = append(all.Points, Point{float64(vms), p.Writes * float64(vms)})
		s.Figures = append(s.Figures, Figure{Name: fmt.Sprintf("writes of %d VMs", vms), Value: p.Writes * float64(vms), Unit: "a second", Better: Lower, Target: "about 100"})
	}
	kept, err := journalKept(ctx, o)
	if err != nil {
		return s, err
	}
	s.Tables = []Table{t, kept}
	s.Plots = []Plot{{Name: "journal", Title: "Journal writes", X: "VMs", Y: "writes/s", LogX: true, Lines: []Line{one, all}}}
	return s, ctx.Err()
}

const (
	journalRate = 500
	journalSpan = 2 * time.Minute
)

// journalEntry makes decisions as the request path does: few names of rules and
// servers, many callers and keys.
func journalEntry() func(now time.Time) record.Decision {
	n := 0
	return func(now time.Time) record.Decision {
		n++
		return record.Decision{
			At: now, Action: record.Route, ID: ident.Request(fmt.Sprintf("vm-3-%x-%d", now.UnixMicro(), n)), VM: "vm-3",
			Caller: ident.Caller(fmt.Sprint("hauler-", n*7919%5000)), Service: "lookup", Key: ident.Key(fmt.Sprint("scale-", n*104729%100_000)),
			Rule: "lookups", Rev: 12, Server: ident.Server(fmt.Sprint("lookup-", n%16)), Epoch: 4,
			Ran: kinds.RanYes, Status: 200, Took: time.Duration(n*7919%9_000_000) * time.Nanosecond, Attempts: 1,
		}
	}
}

// journalMost doubles the rate until the journal drops entries.
func journalMost(ctx context.Context, vms int, o Options) (int, error) {
	span := journalSpan
	if o.Quick {
		span /= 4
	}
	most := 0
	for rate := 125; rate <= 16_000 && ctx.Err() == nil; rate *= 2 {
		p, err := ledger.Simulate(vms, rate, span, journalEntry())
		if err != nil {
			return 0, err
		}
		if p.Lost > 0 {
			break
		}
		most = rate
	}
	return most, nil
}

// What a VM of the two-year size routes a second, and what of it is what.
const (
	keptRate    = 2500
	keptRules   = 20
	submitsOne  = 50
	failsOne    = 1000
	keptSpan    = time.Minute
	keptSampled = 100
)

// journalKept works out what the rules' choice costs at the two-year rate.
func journalKept(ctx context.Context, o Options) (Table, error) {
	t := Table{Head: []string{"rules keep", "VMs", "bytes/s, one VM", "writes/s, all", "decisions dropped, one VM, of 150,000"}}
	span := keptSpan
	if o.Quick {
		span /= 6
	}
	for _, word := range []retain.Policy{retain.All, retain.Submissions, retain.Sample(keptSampled), retain.None} {
		for _, vms := range []int{10, 50, 200, 520} {
			p, err := ledger.Simulate(vms, keptRate, span, keptEntry(word))
			if err != nil || ctx.Err() != nil {
				return t, cmp.Or(err, ctx.Err())
			}
			t.Rows = append(t.Rows, []string{
				string(word), fmt.Sprint(vms), fmt.Sprintf("%.0f", p.Bytes), fmt.Sprintf("%.1f", p.Writes*float64(vms)), fmt.Sprint(p.Lost),
			})
		}
	}
	return t, nil
}

// keptEntry is journalEntry under rules that keep what word says.
func keptEntry(word retain.Policy) func(now time.Time) record.Decision {
	next, n := journalEntry(), 0
	return func(now time.Time) record.Decision {
		n++
		d := next(now)
		c := retain.Case{Key: d.Key, Safe: n%submitsOne != 0, Succeeded: n%failsOne != 1}
		if !c.Succeeded {
			d.Ran, d.Status, d.Reason = kinds.RanNo, 503, "overload: the queue is full"
		}
		d.Rule = fmt.Sprint("lookups-", n*7919%keptRules)
		d.Keep, d.Skip = word, !word.Retains(c)
		return d
	}
}
