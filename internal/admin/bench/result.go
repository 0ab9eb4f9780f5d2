// Package bench implements the command "hawthorn bench". It runs the experiments that
// produce the figures quoted in the documentation. The results are written as a Markdown
// report with SVG plots, and as JSON, so that two versions can be compared.
//
// Each [Experiment] returns a [Section] of figures, tables and plots. A [Figure] says in
// which direction it improves, which is all that [Compare] needs.
package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Better is the direction in which a figure improves.
type Better string

// The directions. A figure without one is shown but not compared.
const (
	Lower  Better = "lower"
	Higher Better = "higher"
)

// Figure is one measured number.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Better Better  `json:"better,omitempty"`
	Target string  `json:"target,omitempty"` // what the value should be, as text
}

// Table is a table of the report. It is not compared.
type Table struct {
	Title string     `json:"title"`
	Head  []string   `json:"head"`
	Rows  [][]string `json:"rows"`
}

// Point is one point of a line.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is one line of a plot.
type Line struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Plot is drawn as one SVG file.
type Plot struct {
	Name  string `json:"name"` // of the file, without its extension
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	LogX  bool   `json:"logx,omitempty"`
	Lines []Line `json:"lines"`
}

// Section is the result of one experiment.
type Section struct {
	Name    string   `json:"name"`
	Title   string   `json:"title"`
	Note    string   `json:"note"` // how it was measured
	Figures []Figure `json:"figures,omitempty"`
	Tables  []Table  `json:"tables,omitempty"`
	Plots   []Plot   `json:"plots,omitempty"`
}

// Result is the result of one run of the command.
type Result struct {
	At       time.Time     `json:"at"`
	Took     time.Duration `json:"took"`
	Go       string        `json:"go"`
	Machine  string        `json:"machine"`
	Busy     float64       `json:"busy"` // load average at the start: other processes make figures worse
	Quick    bool          `json:"quick"`
	Sections []Section     `json:"sections"`
	Failed   []string      `json:"failed,omitempty"` // names of failed experiments, each with its error
}

// Options configure a run.
type Options struct {
	Quick bool      // take a few seconds instead of minutes, with rougher figures
	Log   io.Writer // receives the progress
}

// Experiment is one named measurement.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, o Options) (Section, error)
}

// Run runs the experiments one after another, because concurrent ones would influence
// each other's figures. If one fails, the error is recorded and the others still run.
func Run(ctx context.Context, all []Experiment, o Options) Result {
	r := Result{At: time.Now().UTC().Truncate(time.Second), Go: goVersion(), Machine: machine(), Busy: loadAverage(), Quick: o.Quick}
	start := time.Now()
	for _, e := range all {
		fmt.Fprintf(o.Log, "%s ...\n", e.Name)
		s, err := e.Run(ctx, o)
		if err != nil {
			r.Failed = append(r.Failed, e.Name+": "+err.Error())
			continue
		}
		s.Name = cmp.Or(s.Name, e.Name)
		r.Sections = append(r.Sections, s)
	}
	r.Took = time.Since(start).Round(time.Millisecond)
	return r
}

// The files that Write creates beside the plots.
const (
	ReportFile  = "report.md"
	ResultsFile = "results.json"
)

// Write writes the report, its plots and the raw results to a directory.
func Write(dir string, r Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	if err := os.WriteFile(filepath.Join(dir, ResultsFile), raw, 0o644); err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	for _, s := range r.Sections {
		for _, p := range s.Plots {
			if err := drawPlot(filepath.Join(dir, p.Name+".svg"), p); err != nil {
				return err
			}
		}
	}
	return kinds.Wrap(kinds.Internal, os.WriteFile(filepath.Join(dir, ReportFile), []byte(Markdown(r)), 0o644), "results")
}

// Read reads a file of raw results.
func Read(path string) (Result, error) {
	var r Result
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, kinds.Wrap(kinds.NotFound, err, "results")
	}
	return r, kinds.Wrap(kinds.Malformed, json.Unmarshal(raw, &r), path)
}

// Markdown returns the report as Markdown.
func Markdown(r Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurements\n\n%s, %s, %s, load average %.1f at the start, took %v", r.At.Format(time.DateTime), r.Go, r.Machine, r.Busy, r.Took)
	if r.Quick {
		b.WriteString(", quick run: figures are rough")
	}
	b.WriteString(".\n")
	for _, s := range r.Sections {
		writeSection(&b, s)
	}
	if len(r.Failed) > 0 {
		b.WriteString("\n## Not measured\n\n")
		for _, f := range r.Failed {
			fmt.Fprintf(&b, "- %s\n", f)
		}
	}
	return b.String()
}

func writeSection(b *strings.Builder, s Section) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n", s.Title, s.Note)
	if len(s.Figures) > 0 {
		t := Table{Head: []string{"figure", "measured", "target"}}
		for _, f := range s.Figures {
			t.Rows = append(t.Rows, []string{f.Name, round(f.Value) + " " + f.Unit, f.Target})
		}
		writeTable(b, t)
	}
	for _, t := range s.Tables {
		writeTable(b, t)
	}
	for _, p := range s.Plots {
		fmt.Fprintf(b, "\n![%s](%s.svg)\n", p.Title, p.Name)
	}
}

func writeTable(b *strings.Builder, t Table) {
	if t.Title != "" {
		fmt.Fprintf(b, "\n%s\n", t.Title)
	}
	fmt.Fprintf(b, "\n| %s |\n|%s\n", strings.Join(t.Head, " | "), strings.Repeat("---|", len(t.Head)))
	for _, row := range t.Rows {
		fmt.Fprintf(b, "| %s |\n", strings.Join(row, " | "))
	}
}

// round formats v with three significant digits below 10, and as an integer otherwise.
func round(v float64) string {
	switch {
	case v != 0 && v < 10 && v > -10:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.0f", v)
	}
}

// Change is the difference of a figure between two results.
type Change struct {
	Section, Name, Unit string
	Old, New            float64
	Worse               float64 // share by which it got worse, see Compare; negative when better
}

// Compare returns the figures that got worse by more than tolerance, the worst first, and
// the number of figures that were compared. The share by which a figure got worse is its
// change divided by the larger of its two values; a tolerance of 0.1 is a tenth. Figures
// that only one of the results has are skipped.
func Compare(before, after Result, tolerance float64) (worse []Change, compared int) {
	old := map[string]Figure{}
	for _, s := range before.Sections {
		for _, f := range s.Figures {
			old[s.Name+"/"+f.Name] = f
		}
	}
	for _, s := range after.Sections {
		for _, f := range s.Figures {
			prev, ok := old[s.Name+"/"+f.Name]
			if !ok || f.Better == "" || prev.Unit != f.Unit {
				continue
			}
			compared++
			c := Change{s.Name, f.Name, f.Unit, prev.Value, f.Value, worseBy(prev.Value, f.Value, f.Better)}
			if c.Worse > tolerance {
				worse = append(worse, c)
			}
		}
	}
	slices.SortFunc(worse, func(a, b Change) int { return cmp.Compare(b.Worse, a.Worse) })
	return worse, compared
}

// worseBy returns the share by which a figure got worse. It divides by the larger of the
// two values, so that the share is also defined for a figure that was zero.
func worseBy(before, after float64, better Better) float64 {
	diff := after - before
	if better == Higher {
		diff = -diff
	}
	scale := max(abs(before), abs(after))
	if scale == 0 {
		return 0
	}
	return diff / scale
}

func abs(v float64) float64 { return max(v, -v) }
