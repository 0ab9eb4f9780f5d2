package bench

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// The size of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// drawPlot writes p as an SVG file.
func drawPlot(path string, p Plot) error {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = p.Title, p.X, p.Y
	pl.Add(plotter.NewGrid())
	pl.Legend.Top = true
	if p.LogX {
		pl.X.Scale, pl.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, l := range p.Lines {
		xys := make(plotter.XYs, len(l.Points))
		for n, pt := range l.Points {
			xys[n] = plotter.XY{X: pt.X, Y: pt.Y}
		}
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return kinds.Wrap(kinds.Internal, err, "plot "+p.Name)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		pl.Add(line, points)
		pl.Legend.Add(l.Name, line, points)
	}
	return kinds.Wrap(kinds.Internal, pl.Save(plotWidth, plotHeight, path), "plot "+p.Name)
}

func goVersion() string { return runtime.Version() }

// loadAverage returns the system's load average of the last minute, and 0 if it is unknown.
func loadAverage() (busy float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	busy, _ = strconv.ParseFloat(first, 64)
	return busy
}

// machine returns the processor's model and the number of processors, or the architecture
// if they are unknown.
func machine() string {
	name := runtime.GOARCH
	f, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return name
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if k, v, ok := strings.Cut(s.Text(), ":"); ok && strings.TrimSpace(k) == "model name" {
			name = strings.TrimSpace(v)
			break
		}
	}
	return fmt.Sprintf("%s x %d", name, runtime.NumCPU())
}
