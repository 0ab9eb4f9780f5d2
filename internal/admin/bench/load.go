package bench

import (
	"context"
	"fmt"
	"strings"

	loadbench "hawthornfield.org/hawthornfield/internal/load/bench"
)

// loadSeed is the seed of all simulations. It is fixed, so that the figures quoted in the
// documentation can be reproduced.
const loadSeed = 20261202

// Load simulates every load pattern on both users' services, under the router's policies
// and under a naive one, and shows what callers received.
func Load(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "What callers receive under load",
		Note: "Discrete events under the fake clock, seeded arrivals, the daemon's own decision modules; " +
			"beside it the naive policy (round robin, unbounded queue, immediate retries) under the same seed.",
	}
	services := loadbench.Services()
	if o.Quick {
		services = services[:1]
	}
	var scenes []loadbench.Scenario
	for _, svc := range services {
		scenes = append(scenes, loadbench.Scenarios(svc)...)
	}
	rows, err := loadbench.RunAll(scenes, loadSeed)
	if err != nil {
		return s, err
	}
	s.addLoadFigures(rows)
	var text strings.Builder
	if err := loadbench.Table(&text, rows); err != nil {
		return s, err
	}
	s.Tables = append(s.Tables, parseTable(text.String()))
	s.Plots = append(s.Plots, loadPlot(rows))
	return s, ctx.Err()
}

// addLoadFigures adds the figures that are compared between versions: goodput and
// latencies of the callers that do not cause the overload, for each scene under the
// router's policies.
func (s *Section) addLoadFigures(rows []loadbench.Row) {
	for _, r := range rows {
		if r.Policy != loadbench.Policy(0).String() || r.Group != loadbench.Other.String() {
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

// loadPlot plots the share of requests that were answered in time, for each scene and
// policy.
func loadPlot(rows []loadbench.Row) Plot {
	p := Plot{Name: "load", Title: "Answered in time (scenes in the order of the table)", X: "scene", Y: "share of all asked"}
	for _, policy := range []string{loadbench.Policy(0).String(), loadbench.Policy(1).String()} {
		line := Line{Name: policy}
		for _, r := range rows {
			if r.Policy == policy && r.Group == loadbench.Other.String() && r.Window == 0 {
				line.Points = append(line.Points, Point{float64(len(line.Points) + 1), float64(r.InTime) / float64(max(r.Asked, 1))})
			}
		}
		p.Lines = append(p.Lines, line)
	}
	return p
}

// parseTable parses a Markdown table, so that all tables of the report are formatted in
// the same way.
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
