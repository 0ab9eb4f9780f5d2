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

// Sizes of the rules and of the table that the timed decisions use.
const (
	costRules   = 200
	costSlices  = 65536
	costServers = 500
)

// Costs measures the time and the allocations of the decisions that the router makes for
// each request.
func Costs(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "What a decision costs",
		Note:  "Each decision alone on one processor, by testing.Benchmark.",
	}
	set, req, err := manyRules(costRules)
	if err != nil {
		return s, err
	}
	view, err := largeView()
	if err != nil {
		return s, err
	}
	key := ident.Key("scale-7")
	s.addBenchmark("match 200 rules and read the key", "", func(b *testing.B) { benchMatch(b, set, req) })
	s.addBenchmark("find the owner among 64k slices", "", func(b *testing.B) {
		for b.Loop() {
			view.Owner(key)
		}
	})
	s.addBenchmark("routing decision: both together", "< 1000 ns, 0 allocations", func(b *testing.B) {
		for b.Loop() {
			rule, _ := set.Match(req)
			k, _ := match.KeyOf(rule, req)
			view.Owner(k)
		}
	})
	s.addBenchmark("admission: enter and done", "< 500 ns, 0 allocations", benchAdmission)
	s.addBenchmark("record a decision", "0 allocations", benchRecord)
	if err := s.addMatchCurve(o); err != nil {
		return s, err
	}
	return s, ctx.Err()
}

// addBenchmark runs one benchmark and adds its time and allocations to the figures.
func (s *Section) addBenchmark(name, target string, f func(b *testing.B)) {
	r := testing.Benchmark(f)
	s.Figures = append(s.Figures,
		Figure{Name: name, Value: float64(r.T.Nanoseconds()) / float64(max(r.N, 1)), Unit: "ns", Better: Lower, Target: target},
		Figure{Name: name + ", allocations", Value: float64(r.AllocsPerOp()), Unit: "a call", Better: Lower},
	)
}

// manyRules returns n compiled rules and a request that only the last one matches.
func manyRules(n int) (*match.Set, *match.Request, error) {
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

func benchMatch(b *testing.B, set *match.Set, req *match.Request) {
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

// largeView returns a view of costSlices slices over costServers servers.
func largeView() (*table.View, error) {
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

func benchAdmission(b *testing.B) {
	g := gate.New(gate.Config{Service: "lookup"})
	defer g.Close()
	var all []gate.ServerInfo
	for i := range 16 {
		all = append(all, gate.ServerInfo{Name: ident.Server(fmt.Sprint("lookup-", i)), Slots: 4, Conns: 100})
	}
	g.SetServers(all)
	deadline := time.Now().Add(time.Hour)
	ctx := context.Background()
	for b.Loop() {
		permit, err := g.Enter(ctx, gate.Job{Caller: "hauler", Deadline: deadline})
		if err != nil {
			b.Fatal(err)
		}
		permit.Done(gate.Outcome{})
	}
}

func benchRecord(b *testing.B) {
	w := record.New("vm-1", slog.New(slog.NewJSONHandler(io.Discard, nil)), record.WithRing(1<<16))
	defer w.Close()
	d := record.Decision{At: time.Now(), Action: record.Route, ID: "r-1", Key: "scale-7", Rule: "lookups", Rev: 12, Server: "lookup-3", Caller: "hauler"}
	for b.Loop() {
		w.Record(d)
	}
}

// addMatchCurve plots the time of matching against the number of rules.
func (s *Section) addMatchCurve(o Options) error {
	sizes := []int{10, 50, 200, 1000}
	if o.Quick {
		sizes = []int{10, 200}
	}
	line := Line{Name: "match and read the key"}
	for _, n := range sizes {
		set, req, err := manyRules(n)
		if err != nil {
			return err
		}
		r := testing.Benchmark(func(b *testing.B) { benchMatch(b, set, req) })
		line.Points = append(line.Points, Point{float64(n), float64(r.T.Nanoseconds()) / float64(max(r.N, 1))})
	}
	s.Plots = append(s.Plots, Plot{Name: "match", Title: "Matching against the number of rules", X: "rules", Y: "ns", LogX: true, Lines: []Line{line}})
	return nil
}

// Journal simulates the journal's writes to the store at several sizes of the fleet: how
// often one VM and all VMs write, how long an entry waits for its write and so could be
// lost in a crash, and at which rate a VM begins to drop entries.
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
		result, err := ledger.Simulate(vms, journalRate, journalTime, decisionSource())
		if err != nil {
			return s, err
		}
		maxRate, err := maxJournalRate(ctx, vms, o)
		if err != nil {
			return s, err
		}
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(vms), fmt.Sprintf("%.2f", result.Writes), fmt.Sprintf("%.1f", result.Writes*float64(vms)), fmt.Sprintf("%.0f", result.Bytes),
			fmt.Sprintf("%.0f", result.Bytes/journalRate), result.Longest.Round(10 * time.Millisecond).String(), fmt.Sprint(maxRate),
		})
		one.Points = append(one.Points, Point{float64(vms), result.Writes})
		all.Points = append(all.Points, Point{float64(vms), result.Writes * float64(vms)})
		s.Figures = append(s.Figures, Figure{Name: fmt.Sprintf("writes of %d VMs", vms), Value: result.Writes * float64(vms), Unit: "a second", Better: Lower, Target: "about 100"})
	}
	kept, err := journalByPolicy(ctx, o)
	if err != nil {
		return s, err
	}
	s.Tables = []Table{t, kept}
	s.Plots = []Plot{{Name: "journal", Title: "Journal writes", X: "VMs", Y: "writes/s", LogX: true, Lines: []Line{one, all}}}
	return s, ctx.Err()
}

// The load of each simulation of the journal.
const (
	journalRate = 500 // decisions per second and VM
	journalTime = 2 * time.Minute
)

// decisionSource returns a function that makes decisions like those of the request path:
// they name few rules and servers, but many callers and keys.
func decisionSource() func(now time.Time) record.Decision {
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

// maxJournalRate returns the highest rate, in decisions per second and VM, at which the
// journal drops no entries. It doubles the rate from 125 until entries are dropped.
func maxJournalRate(ctx context.Context, vms int, o Options) (int, error) {
	span := journalTime
	if o.Quick {
		span /= 4
	}
	maxRate := 0
	for rate := 125; rate <= 16_000 && ctx.Err() == nil; rate *= 2 {
		result, err := ledger.Simulate(vms, rate, span, decisionSource())
		if err != nil {
			return 0, err
		}
		if result.Lost > 0 {
			break
		}
		maxRate = rate
	}
	return maxRate, nil
}

// The load of a VM that is expected in two years.
const (
	twoYearRate     = 2500 // requests per second and VM
	twoYearRules    = 20
	submissionOneIn = 50   // one request in 50 is a submission
	failureOneIn    = 1000 // one request in 1000 fails
	twoYearTime     = time.Minute
	sampleOneIn     = 100 // the sampling policy keeps one decision in 100
)

// journalByPolicy simulates the journal at the two-year load under each retention policy
// that rules can choose.
func journalByPolicy(ctx context.Context, o Options) (Table, error) {
	t := Table{Head: []string{"rules keep", "VMs", "bytes/s, one VM", "writes/s, all", "decisions dropped, one VM, of 150,000"}}
	span := twoYearTime
	if o.Quick {
		span /= 6
	}
	for _, policy := range []retain.Policy{retain.All, retain.Submissions, retain.Sample(sampleOneIn), retain.None} {
		for _, vms := range []int{10, 50, 200, 520} {
			result, err := ledger.Simulate(vms, twoYearRate, span, policyDecisionSource(policy))
			if err != nil || ctx.Err() != nil {
				return t, cmp.Or(err, ctx.Err())
			}
			t.Rows = append(t.Rows, []string{
				string(policy), fmt.Sprint(vms), fmt.Sprintf("%.0f", result.Bytes), fmt.Sprintf("%.1f", result.Writes*float64(vms)), fmt.Sprint(result.Lost),
			})
		}
	}
	return t, nil
}

// policyDecisionSource returns a function that makes decisions at the two-year mix, under
// rules with the given retention policy.
func policyDecisionSource(policy retain.Policy) func(now time.Time) record.Decision {
	next, n := decisionSource(), 0
	return func(now time.Time) record.Decision {
		n++
		d := next(now)
		c := retain.Case{Key: d.Key, Safe: n%submissionOneIn != 0, Succeeded: n%failureOneIn != 1}
		if !c.Succeeded {
			d.Ran, d.Status, d.Reason = kinds.RanNo, 503, "overload: the queue is full"
		}
		d.Rule = fmt.Sprint("lookups-", n*7919%twoYearRules)
		d.Keep, d.Skip = policy, !policy.Retains(c)
		return d
	}
}
