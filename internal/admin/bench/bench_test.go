package bench

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func sample(ctx context.Context, _ Options) (Section, error) {
	return Section{
		Title: "Sample", Note: "Made up.",
		Figures: []Figure{
			{Name: "latency", Value: 2, Unit: "ms", Better: Lower, Target: "< 3 ms"},
			{Name: "goodput", Value: 100, Unit: "req/s", Better: Higher},
			{Name: "size", Value: 7, Unit: "VMs"},
		},
		Tables: []Table{{Title: "Rows", Head: []string{"a", "b"}, Rows: [][]string{{"1", "2"}}}},
		Plots:  []Plot{{Name: "curve", Title: "Curve", X: "n", Y: "ms", LogX: true, Lines: []Line{{"one", []Point{{1, 1}, {10, 2}}}}}},
	}, ctx.Err()
}

func TestReportPlotsAndRawResultsAreWritten(t *testing.T) {
	dir := t.TempDir()
	failing := Experiment{"failing", func(context.Context, Options) (Section, error) { return Section{}, errors.New("no luck") }}
	r := Run(t.Context(), []Experiment{{"sample", sample}, failing}, Options{Quick: true, Log: io.Discard})
	assert.NilError(t, Write(dir, r))
	text, err := os.ReadFile(filepath.Join(dir, ReportFile))
	assert.NilError(t, err)
	for _, want := range []string{"| latency | 2 ms | < 3 ms |", "| 1 | 2 |", "![Curve](curve.svg)", "failing: no luck", "rough"} {
		assert.Assert(t, strings.Contains(string(text), want), "%s\n%s", want, text)
	}
	svg, err := os.ReadFile(filepath.Join(dir, "curve.svg"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "<svg"))
	back, err := Read(filepath.Join(dir, ResultsFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, back, r)
}

func TestCompareNamesOnlyWhatGotWorse(t *testing.T) {
	result := func(latency, goodput, size float64) Result {
		return Result{Sections: []Section{{Name: "s", Figures: []Figure{
			{Name: "latency", Value: latency, Unit: "ms", Better: Lower},
			{Name: "goodput", Value: goodput, Unit: "req/s", Better: Higher},
			{Name: "size", Value: size, Unit: "VMs"},
		}}}}
	}
	worse, n := Compare(result(2, 100, 1), result(1, 110, 9), 0.05)
	assert.Equal(t, len(worse), 0)
	assert.Equal(t, n, 2)
	worse, _ = Compare(result(2, 100, 1), result(2.1, 50, 1), 0.1)
	assert.Equal(t, len(worse), 1)
	assert.Equal(t, worse[0].Name, "goodput")
	worse, _ = Compare(result(0, 100, 1), result(1, 100, 1), 0.1)
	assert.Equal(t, len(worse), 1)
}
