package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// GroupBy is the field that rows are grouped by.
type GroupBy string

// Fields to group by.
const (
	ByKey     GroupBy = "key"
	ByCaller  GroupBy = "caller"
	ByServer  GroupBy = "server"
	ByService GroupBy = "service"
	ByRule    GroupBy = "rule"
	ByHour    GroupBy = "hour"
)

// Count is one row of a grouped report. Requests and moves, which are decisions with the
// action [record.Place], are not counted together.
type Count struct {
	Name    string        `json:"name"`
	All     int           `json:"all"`
	Ran     int           `json:"ran"`
	NotRun  int           `json:"not"` // refused as not run
	Unknown int           `json:"unknown"`
	P50     time.Duration `json:"p50"` // latency of the requests that ran
	P99     time.Duration `json:"p99"`
}

// Counts groups the requests of the report, the largest group first, or in order of time
// when grouped by hour. A report that holds only moves counts those.
func (r *Report) Counts(by GroupBy) []Count {
	isMove := func(row Row) bool { return row.Action == record.Place }
	onlyMoves := !slices.ContainsFunc(r.Rows, func(row Row) bool { return !isMove(row) })
	groups := map[string]*Count{}
	took := map[string][]time.Duration{}
	for i := range r.Rows {
		row := &r.Rows[i]
		if isMove(*row) && !onlyMoves {
			continue
		}
		name := by.name(row)
		c := groups[name]
		if c == nil {
			c = &Count{Name: name}
			groups[name] = c
		}
		c.All++
		if isMove(*row) {
			continue
		}
		switch row.Ran {
		case kinds.RanYes:
			c.Ran++
			took[name] = append(took[name], row.Took)
		case kinds.RanNo:
			c.NotRun++
		default:
			c.Unknown++
		}
	}
	all := make([]Count, 0, len(groups))
	for name, c := range groups {
		c.P50, c.P99 = quantile(took[name], 50), quantile(took[name], 99)
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Count) int {
		if by == ByHour {
			return strings.Compare(a.Name, b.Name)
		}
		return cmp.Or(cmp.Compare(b.All, a.All), strings.Compare(a.Name, b.Name))
	})
	return all
}

// name returns the group of a row.
func (by GroupBy) name(row *Row) string {
	switch by {
	case ByCaller:
		return string(row.Caller)
	case ByServer:
		return string(row.Server)
	case ByService:
		return string(row.Service)
	case ByRule:
		return row.Rule
	case ByHour:
		return row.At.UTC().Format("2006-01-02 15h")
	default:
		return string(row.Key)
	}
}

// quantile returns the given percentile, or zero without values.
func quantile(all []time.Duration, percent int) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, len(all)*percent/100)]
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes one line for each decision, followed by the summary.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tWHAT\tID\tKEY\tCALLER\tSERVER\tEPOCH\tRULE\tREV\tBY\tRAN\tCODE\tWHY")
	for i := range r.Rows {
		d := &r.Rows[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			d.At.UTC().Format("2006-01-02 15:04:05.000"), d.Action, orDash(string(d.ID)), orDash(subject(d)), orDash(string(d.Caller)),
			orDash(serverOrMove(d)), numberOrDash(uint64(d.Epoch)), orDash(d.Rule), numberOrDash(uint64(d.Rev)), orDash(d.Author), orDash(string(d.Ran)),
			numberOrDash(uint64(max(d.Status, 0))), orDash(d.Reason))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeSummary(w)
}

// WriteCounts writes one line for each group, followed by the summary.
func (r *Report) WriteCounts(w io.Writer, by GroupBy) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tALL\tRAN\tNOT RUN\tUNKNOWN\tP50\tP99\n", strings.ToUpper(string(by)))
	for _, c := range r.Counts(by) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", orDash(c.Name), c.All, c.Ran, c.NotRun, c.Unknown,
			c.P50.Round(10*time.Microsecond), c.P99.Round(10*time.Microsecond))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeSummary(w)
}

// writeSummary writes the totals, and the decisions that the report does not contain.
func (r *Report) writeSummary(w io.Writer) error {
	_, err := fmt.Fprintf(w, "\n%d decisions, from %d segments of %d journals\n", len(r.Rows), r.Segments, r.Journals)
	if r.Truncated {
		fmt.Fprintf(w, "truncated at %d decisions: query a shorter time span\n", MaxRows)
	}
	for _, x := range r.Skips {
		fmt.Fprintf(w, "not kept: %d decisions of rule %s (revision %d, keep = %q), %s to %s\n", x.Count, x.Rule, x.Rev, string(x.Keep),
			x.From.UTC().Format(time.DateTime), x.To.UTC().Format(time.DateTime))
	}
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "missing: %d in %s, %s to %s: %s\n", g.Count, g.Path,
			g.From.UTC().Format(time.DateTime), g.To.UTC().Format(time.DateTime), g.Reason)
	}
	return err
}

func subject(d *Row) string {
	if d.Key == "" && d.Action == record.Place {
		return fmt.Sprintf("%s slice %d", d.Service, d.Slice)
	}
	return string(d.Key)
}

func serverOrMove(d *Row) string {
	if d.PrevOwner != "" {
		return string(d.PrevOwner) + " > " + string(d.Server)
	}
	return string(d.Server)
}

func orDash(s string) string { return cmp.Or(s, "-") }

func numberOrDash(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
