package outage

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestTable prints the fault table of the design note:
//
//	HAWTHORN_TABLE=100 go test -v -run TestTable ./internal/owner/outage
//
// HAWTHORN_FAULT narrows it to faults with that in their name.
func TestTable(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("HAWTHORN_TABLE"))
	if err != nil {
		t.Skip("a measurement: set HAWTHORN_TABLE to the number of runs")
	}
	var rows []Row
	for _, f := range Faults {
		if !strings.Contains(f.Name, os.Getenv("HAWTHORN_FAULT")) {
			continue
		}
		for _, m := range Modes {
			rows = append(rows, Measure(f, 1, runs, m))
		}
	}
	t.Log("\n" + Markdown(rows))
	for _, r := range rows {
		if r.Violations > 0 {
			t.Errorf("%s: %d runs violated a safety property", r.Fault, r.Violations)
		}
	}
}

// TestCost prints the cost table of the design note:
//
//	HAWTHORN_COST=10,50,200 go test -v -run TestCost ./internal/owner/outage
func TestCost(t *testing.T) {
	var rows []CostRow
	for _, f := range strings.Split(os.Getenv("HAWTHORN_COST"), ",") {
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Skip("a measurement: set HAWTHORN_COST to fleet sizes")
		}
		rows = append(rows, Cost(1, n))
		t.Log("\n" + CostMarkdown(rows))
	}
}
