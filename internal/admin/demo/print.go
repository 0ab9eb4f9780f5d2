package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// historyRows is how many submissions of a key are printed.
const historyRows = 3

func printAll(w io.Writer, e *evidence, verdicts []verdict) error {
	u := &e.user
	fmt.Fprintf(w, "== %s: %d %s, %d %s and %d %s servers in %d data centres, %d entry VMs\n\n", u.name,
		u.keyed.servers, u.keyed.name, u.once.servers, u.once.name, u.upload.servers, u.upload.name, len(u.centres), e.vms)
	printEvents(w, e)
	if err := printReceived(w, e); err != nil {
		return err
	}
	printFigures(w, e)
	if err := printHistory(w, e); err != nil {
		return err
	}
	return printVerdicts(w, verdicts)
}

func printEvents(w io.Writer, e *evidence) {
	fmt.Fprintf(w, "lost: %s; leaving:", e.lost)
	for _, name := range slices.Sorted(mapKeys(e.drained)) {
		fmt.Fprintf(w, " %s", name)
	}
	slowest := time.Duration(0)
	for _, at := range e.edit.inForce {
		slowest = max(slowest, at.Sub(e.edit.written))
	}
	fmt.Fprintf(w, "; entry VM %d shut down in %v; rules revision %d accepted after %v and in force everywhere after %v; store away for %v\n\n",
		e.left+1, e.goneAt.Sub(e.leftAt).Round(time.Millisecond), e.edit.rev,
		e.edit.accepted.Sub(e.edit.written).Round(time.Millisecond), slowest.Round(time.Millisecond),
		e.backAt.Sub(e.downAt).Round(time.Millisecond))
}

func mapKeys[K comparable, V any](m map[K]V) func(yield func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// printReceived is what callers received, by class.
func printReceived(w io.Writer, e *evidence) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "callers received\tsent\tanswered\tnot run\tknown before\tunknown\tp50\tp99\tmax\t")
	for _, c := range []class{lookup, submit, uploads, hurried} {
		var sent, ok, no, repeat, unknown int
		var took []time.Duration
		for i := range e.attempts {
			a := &e.attempts[i]
			if a.class != c {
				continue
			}
			sent++
			switch {
			case a.ok():
				ok++
				took = append(took, a.took)
			case a.ran == kinds.RanNo:
				no++
			case a.status == kinds.Repeated.Answer().Status:
				repeat++
			default:
				unknown++
			}
		}
		slices.Sort(took)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", c, sent, ok, no, repeat, unknown, at(took, 50), at(took, 99), at(took, 100))
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func at(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Round(100 * time.Microsecond)
}

// printFigures shows the three figures that the users measure by.
func printFigures(w io.Writer, e *evidence) {
	gaps := unavailable(e)
	fmt.Fprintf(w, "unavailable time of a key: p50 %v, p99 %v, longest %v (%d keys asked for)\n", at(gaps, 50), at(gaps, 99), at(gaps, 100), len(gaps))
	fmt.Fprintf(w, "imbalance (most over mean): %.2f of the load in the last quarter, %.2f of the slices\n", loadImbalance(e), imbalance(e))
	moved := len(e.moves)
	fmt.Fprintf(w, "churn: %d of %d slices moved (%.1f%%); the two servers that went held %.1f%%\n\n",
		moved, slicesOf(e), 100*float64(moved)/float64(slicesOf(e)), 200/float64(e.user.keyed.servers))
}

func slicesOf(e *evidence) int { return int(e.table.Slices()) }

// unavailable is for each key the longest time from a caller's question until
// anybody who asked for it had an answer.
func unavailable(e *evidence) []time.Duration {
	byKey := map[ident.Key][]*attempt{}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.class == lookup {
			byKey[a.key] = append(byKey[a.key], a)
		}
	}
	var gaps []time.Duration
	for _, list := range byKey {
		gaps = append(gaps, longestGap(list))
	}
	slices.Sort(gaps)
	return gaps
}

func longestGap(list []*attempt) (longest time.Duration) {
	end := func(a *attempt) time.Time { return a.start.Add(a.took) }
	slices.SortFunc(list, func(a, b *attempt) int { return end(a).Compare(end(b)) })
	for _, a := range list {
		i := slices.IndexFunc(list, func(b *attempt) bool { return b.ok() && !end(b).Before(a.start) })
		if i >= 0 {
			longest = max(longest, end(list[i]).Sub(a.start))
		}
	}
	return longest
}

func imbalance(e *evidence) float64 {
	counts := map[ident.Server]int{}
	for x := range e.table.Slices() {
		counts[e.table.OwnerOf(ident.Slice(x))]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(counts)) / float64(max(slicesOf(e), 1))
}

// loadImbalance compares what the servers that own keys ran in the last quarter
// of the run.
func loadImbalance(e *evidence) float64 {
	end := lastServed(e)
	first := end
	for _, s := range e.served {
		if s.At.Before(first) {
			first = s.At
		}
	}
	counts := map[ident.Server]int{}
	for x := range e.table.Slices() {
		counts[e.table.OwnerOf(ident.Slice(x))] = 0
	}
	total, most := 0, 0
	for _, s := range e.served {
		if _, owns := counts[s.Server]; !owns || s.At.Before(end.Add(-end.Sub(first)/4)) {
			continue
		}
		counts[s.Server]++
		total++
		most = max(most, counts[s.Server])
	}
	return float64(most) * float64(len(counts)) / float64(max(total, 1))
}

// printHistory shows one key's history as an auditor gets it: its moves, and
// the lookups and submissions around them.
func printHistory(w io.Writer, e *evidence) error {
	key, all := busiestMoved(e)
	fmt.Fprintf(w, "history of %s, read after every entry VM was shut down: %d decisions, among them\n", key, len(all))
	short := &report.Report{Journals: e.report.Journals, Segments: e.report.Segments, Gaps: e.report.Gaps}
	lookups, submissions := 0, 0
	for i, row := range all {
		nextMoves := i+1 < len(all) && all[i+1].Action == record.Place
		show := row.Action == record.Place || nextMoves || i > 0 && all[i-1].Action == record.Place
		switch {
		case row.Service == e.user.once.name:
			submissions++
			show = show || submissions <= historyRows
		case row.Action == record.Route:
			lookups++
			show = show || lookups == 1
		}
		if show {
			short.Rows = append(short.Rows, row)
		}
	}
	return short.WriteTable(w)
}

// busiestMoved finds the key with the most decisions among those that moved.
func busiestMoved(e *evidence) (ident.Key, []report.Row) {
	moved := map[ident.Slice]bool{}
	for _, m := range e.moves {
		moved[m.Slice] = true
	}
	n, most := map[ident.Key]int{}, ident.Key("")
	sliceOf := func(k ident.Key) ident.Slice { return ident.SliceOf(k, e.table.Slices()) }
	for i := range e.report.Rows {
		k := e.report.Rows[i].Key
		if k == "" || !moved[sliceOf(k)] {
			continue
		}
		n[k]++
		if n[k] > n[most] || n[k] == n[most] && k < most {
			most = k
		}
	}
	var rows []report.Row
	for _, row := range e.report.Rows {
		if row.Key == most || row.Action == record.Place && row.Service == e.user.keyed.name && row.Slice == sliceOf(most) {
			rows = append(rows, row)
		}
	}
	return most, rows
}

func printVerdicts(w io.Writer, all []verdict) error {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WHAT MUST ALWAYS HOLD\tCHECKS\t")
	for _, v := range all {
		word := "held"
		switch {
		case len(v.broken) > 0:
			word = fmt.Sprintf("BROKEN %d times: %s", len(v.broken), v.broken[0])
		case v.checks == 0:
			word = "NOT CHECKED"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", v.promise, v.checks, word)
	}
	fmt.Fprintln(t)
	return t.Flush()
}
