// Package bench runs the measurements behind every figure that the pages quote,
// writes them as one Markdown report with SVG plots, and keeps the raw results
// as JSON beside it, so that two versions can be compared.
//
// An experiment is a function that returns a [Section]. Its figures say which
// way is better; that is all that [Compare] needs to know.
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

// Better says which way a figure improves.
type Better string

// The ways. A figure without one is shown and never compared.
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
	Target string  `json:"target,omitempty"` // what it should be, in words
}

// Table is shown as it is.
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
	Name  string `json:"name"` // of the file, without its ending
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	LogX  bool   `json:"logx,omitempty"`
	Lines []Line `json:"lines"`
}

// Section is what one experiment found.
type Section struct {
	Name    string   `json:"name"`
	Title   string   `json:"title"`
	Note    string   `json:"note"` // how it was measured
	Figures []Figure `json:"figures,omitempty"`
	Tables  []Table  `json:"tables,omitempty"`
	Plots   []Plot   `json:"plots,omitempty"`
}

// Result is one run of the command.
type Result struct {
	At       time.Time     `json:"at"`
	Took     time.Duration `json:"took"`
	Go       string        `json:"go"`
	Machine  string        `json:"machine"`
	Busy     float64       `json:"busy"` // load average at the start: other work makes figures worse
	Quick    bool          `json:"quick"`
	Sections []Section     `json:"sections"`
	Failed   []string      `json:"failed,omitempty"` // experiments that did not run, and why
}

// Options tell an experiment how long it may take.
type Options struct {
	Quick bool      // a few seconds in place of minutes; figures are rougher
	Log   io.Writer // progress
}

// Experiment measures one thing.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, o Options) (Section, error)
}

// Run runs experiments one after another: two at once would measure each other.
// One that fails is noted, and the others still run.
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

// The files that Write makes.
const (
	ReportFile = "report.md"
	RawFile    = "results.json"
)

// Write puts the report, its plots and the raw results into a directory.
func Write(dir string, r Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	if err := os.WriteFile(filepath.Join(dir, RawFile), raw, 0o644); err != nil {
		return kinds.Wrap(kinds.Internal, err, "results")
	}
	for _, s := range r.Sections {
		for _, p := range s.Plots {
			if err := draw(filepath.Join(dir, p.Name+".svg"), p); err != nil {
				return err
			}
		}
	}
	return kinds.Wrap(kinds.Internal, os.WriteFile(filepath.Join(dir, ReportFile), []byte(Markdown(r)), 0o644), "results")
}

// Read reads raw results back.
func Read(path string) (Result, error) {
	var r Result
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, kinds.Wrap(kinds.NotFound, err, "results")
	}
	return r, kinds.Wrap(kinds.Malformed, json.Unmarshal(raw, &r), path)
}

// Markdown renders the report.
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

func round(v float64) string {
	switch {
	case v != 0 && v < 10 && v > -10:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.0f", v)
	}
}

// Change is a figure that two results have both.
type Change struct {
	Section, Name, Unit string
	Old, New            float64
	Worse               float64 // share by which it got worse; negative when better
}

// Compare returns the figures that got worse by more than a tolerance (0.1 is a
// tenth), the worst first, and how many were compared. Figures that only one
// result has are left out.
func Compare(before, after Result, tolerance float64) (worse []Change, compared int) {
	old := map[string]Figure{}
	for _, s := range before.Sections {
		for _, f := range s.Figures {
			old[s.Name+"/"+f.Name] = f
		}
	}
	for _, s := range after.Sections {
		for _, f := range s.Figures {
			was, ok := old[s.Name+"/"+f.Name]
			if !ok || f.Better == "" || was.Unit != f.Unit {
				continue
			}
			compared++
			c := Change{s.Name, f.Name, f.Unit, was.Value, f.Value, worseBy(was.Value, f.Value, f.Better)}
			if c.Worse > tolerance {
				worse = append(worse, c)
			}
		}
	}
	slices.SortFunc(worse, func(a, b Change) int { return cmp.Compare(b.Worse, a.Worse) })
	return worse, compared
}

// worseBy compares by the larger of the two, so that a figure that was zero has
// a share as well.
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
