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

// maxSubmissionRows is how many submissions of a key are printed in its history.
const maxSubmissionRows = 3

func printReport(w io.Writer, e *evidence, results []checkResult) error {
	spec := &e.spec
	fmt.Fprintf(w, "== %s: %d %s, %d %s and %d %s servers in %d data centres, %d entry VMs\n\n", spec.name,
		spec.lookups.servers, spec.lookups.name, spec.submissions.servers, spec.submissions.name, spec.uploads.servers, spec.uploads.name, len(spec.centres), e.vmCount)
	printEvents(w, e)
	if err := printAnswers(w, e); err != nil {
		return err
	}
	printFigures(w, e)
	if err := printHistory(w, e); err != nil {
		return err
	}
	return printResults(w, results)
}

func printEvents(w io.Writer, e *evidence) {
	fmt.Fprintf(w, "lost: %s; leaving:", e.lostServer)
	for _, name := range slices.Sorted(mapKeys(e.drainedAt)) {
		fmt.Fprintf(w, " %s", name)
	}
	slowest := time.Duration(0)
	for _, at := range e.ruleEdit.inForceAt {
		slowest = max(slowest, at.Sub(e.ruleEdit.writtenAt))
	}
	fmt.Fprintf(w, "; entry VM %d shut down in %v; rules revision %d accepted after %v and in force everywhere after %v; store away for %v\n\n",
		e.leftVM+1, e.shutdownEnd.Sub(e.shutdownStart).Round(time.Millisecond), e.ruleEdit.rev,
		e.ruleEdit.acceptedAt.Sub(e.ruleEdit.writtenAt).Round(time.Millisecond), slowest.Round(time.Millisecond),
		e.outageEnd.Sub(e.outageStart).Round(time.Millisecond))
}

// mapKeys returns an iterator over the keys of m.
func mapKeys[K comparable, V any](m map[K]V) func(yield func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// printAnswers prints the outcomes and latencies of the requests by class.
func printAnswers(w io.Writer, e *evidence) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "callers received\tsent\tanswered\tnot run\tknown before\tunknown\tp50\tp99\tmax\t")
	for _, c := range []class{classLookup, classSubmission, classUpload, classHurried} {
		var sent, ok, notRun, repeat, unknown int
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
				notRun++
			case a.status == kinds.Repeated.Answer().Status:
				repeat++
			default:
				unknown++
			}
		}
		slices.Sort(took)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", c, sent, ok, notRun, repeat, unknown, percentile(took, 50), percentile(took, 99), percentile(took, 100))
	}
	fmt.Fprintln(t)
	return t.Flush()
}

// percentile returns a percentile of sorted durations, and 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Round(100 * time.Microsecond)
}

// printFigures prints the three figures by which the users measure the router:
// unavailable time, imbalance and churn.
func printFigures(w io.Writer, e *evidence) {
	gaps := unavailableTimes(e)
	fmt.Fprintf(w, "unavailable time of a key: p50 %v, p99 %v, longest %v (%d keys asked for)\n", percentile(gaps, 50), percentile(gaps, 99), percentile(gaps, 100), len(gaps))
	fmt.Fprintf(w, "imbalance (most over mean): %.2f of the load in the last quarter, %.2f of the slices\n", loadImbalance(e), sliceImbalance(e))
	moved := len(e.moves)
	fmt.Fprintf(w, "churn: %d of %d slices moved (%.1f%%); the two servers that went held %.1f%%\n\n",
		moved, sliceCount(e), 100*float64(moved)/float64(sliceCount(e)), 200/float64(e.spec.lookups.servers))
}

func sliceCount(e *evidence) int { return int(e.finalTable.Slices()) }

// unavailableTimes returns, for each key, the longest time from the start of a lookup
// until the next success of any lookup of the key. The times are sorted.
func unavailableTimes(e *evidence) []time.Duration {
	byKey := map[ident.Key][]*attempt{}
	for i := range e.attempts {
		if a := &e.attempts[i]; a.class == classLookup {
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

func sliceImbalance(e *evidence) float64 {
	counts := map[ident.Server]int{}
	for x := range e.finalTable.Slices() {
		counts[e.finalTable.OwnerOf(ident.Slice(x))]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(counts)) / float64(max(sliceCount(e), 1))
}

// loadImbalance returns the imbalance of the requests that the owners of slices ran in
// the last quarter of the run: the most of any server divided by the mean.
func loadImbalance(e *evidence) float64 {
	end := lastServed(e)
	first := end
	for _, s := range e.served {
		if s.At.Before(first) {
			first = s.At
		}
	}
	counts := map[ident.Server]int{}
	for x := range e.finalTable.Slices() {
		counts[e.finalTable.OwnerOf(ident.Slice(x))] = 0
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

// printHistory prints an excerpt of one key's history as the report shows it: its moves,
// the rows directly before and after them, the first lookup and some submissions.
func printHistory(w io.Writer, e *evidence) error {
	key, all := busiestMovedKey(e)
	fmt.Fprintf(w, "history of %s, read after every entry VM was shut down: %d decisions, among them\n", key, len(all))
	excerpt := &report.Report{Journals: e.report.Journals, Segments: e.report.Segments, Gaps: e.report.Gaps}
	lookups, submissions := 0, 0
	for i, row := range all {
		nextMoves := i+1 < len(all) && all[i+1].Action == record.Place
		show := row.Action == record.Place || nextMoves || i > 0 && all[i-1].Action == record.Place
		switch {
		case row.Service == e.spec.submissions.name:
			submissions++
			show = show || submissions <= maxSubmissionRows
		case row.Action == record.Route:
			lookups++
			show = show || lookups == 1
		}
		if show {
			excerpt.Rows = append(excerpt.Rows, row)
		}
	}
	return excerpt.WriteTable(w)
}

// busiestMovedKey returns the key with the most decisions among the keys that moved, and
// its rows in the report.
func busiestMovedKey(e *evidence) (ident.Key, []report.Row) {
	moved := map[ident.Slice]bool{}
	for _, m := range e.moves {
		moved[m.Slice] = true
	}
	n, most := map[ident.Key]int{}, ident.Key("")
	sliceOf := func(k ident.Key) ident.Slice { return ident.SliceOf(k, e.finalTable.Slices()) }
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
		if row.Key == most || row.Action == record.Place && row.Service == e.spec.lookups.name && row.Slice == sliceOf(most) {
			rows = append(rows, row)
		}
	}
	return most, rows
}

func printResults(w io.Writer, all []checkResult) error {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WHAT MUST ALWAYS HOLD\tCHECKS\t")
	for _, r := range all {
		status := "held"
		switch {
		case len(r.failures) > 0:
			status = fmt.Sprintf("BROKEN %d times: %s", len(r.failures), r.failures[0])
		case r.checks == 0:
			status = "NOT CHECKED"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", r.promise, r.checks, status)
	}
	fmt.Fprintln(t)
	return t.Flush()
}
