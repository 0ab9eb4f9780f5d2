package bench

import (
	"context"
	"fmt"
	"strings"

	lab "hawthornfield.org/hawthornfield/internal/load/bench"
)

// loadSeed is that of every quoted run.
const loadSeed = 20261202

// Load plays every load pattern under the router's policies and under a naive
// one, on both users' services, and shows what callers received.
func Load(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "What callers receive under load",
		Note: "Discrete events under the fake clock, seeded arrivals, the daemon's own decision modules; " +
			"beside it the naive policy (round robin, unbounded queue, immediate retries) under the same seed.",
	}
	services := lab.Services()
	if o.Quick {
		services = services[:1]
	}
	var scenes []lab.Scenario
	for _, svc := range services {
		scenes = append(scenes, lab.Scenarios(svc)...)
	}
	rows, err := lab.RunAll(scenes, loadSeed)
	if err != nil {
		return s, err
	}
	s.loadFigures(rows)
	var text strings.Builder
	if err := lab.Table(&text, rows); err != nil {
		return s, err
	}
	s.Tables = append(s.Tables, parseTable(text.String()))
	s.Plots = append(s.Plots, loadPlot(rows))
	return s, ctx.Err()
}

// loadFigures picks what is compared between versions: goodput and the waits of
// those who are not the trouble, by scene.
func (s *Section) loadFigures(rows []lab.Row) {
	for _, r := range rows {
		if r.Policy != lab.Policy(0).String() || r.Group != lab.Other.String() {
			continue
		}
		name := fmt.Sprintf("%s, %s, window %d: ", r.Service, r.Scenario, r.Window)
		s.Figures = append(s.Figures,
			Figure{Name: name + "in time", Value: float64(r.InTime) / float64(max(r.Asked, 1)), Unit: "of all asked", Better: Higher},
			Figure{Name: name + "p99", Value: millis(r.P99), Unit: "ms", Better: Lower},
		)
		if strings.HasPrefix(r.Scenario, "overload") && r.Window == 0 {
			s.Figures = append(s.Figures,
				Figure{Name: name + "goodput", Value: r.Goodput, Unit: "of capacity", Better: Higher, Target: ">= 0.95"},
				Figure{Name: name + "refused within (p99)", Value: millis(r.RefuseP99), Unit: "ms", Better: Lower, Target: "< 10 ms"},
				Figure{Name: name + "extra attempts", Value: r.Extra, Unit: "of the first ones", Better: Lower, Target: "<= 0.1"},
			)
		}
	}
}

// loadPlot draws the share that was answered in time, scene by scene.
func loadPlot(rows []lab.Row) Plot {
	p := Plot{Name: "load", Title: "Answered in time (scenes in the order of the table)", X: "scene", Y: "share of all asked"}
	for _, policy := range []string{lab.Policy(0).String(), lab.Policy(1).String()} {
		line := Line{Name: policy}
		for _, r := range rows {
			if r.Policy == policy && r.Group == lab.Other.String() && r.Window == 0 {
				line.Points = append(line.Points, Point{float64(len(line.Points) + 1), float64(r.InTime) / float64(max(r.Asked, 1))})
			}
		}
		p.Lines = append(p.Lines, line)
	}
	return p
}

// parseTable reads a Markdown table back, so that all tables look alike.
func parseTable(text string) (t Table) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		switch i {
		case 0:
			t.Head = cells
		case 1:
		default:
			t.Rows = append(t.Rows, cells)
		}
	}
	return t
}
