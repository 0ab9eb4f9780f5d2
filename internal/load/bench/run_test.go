package bench

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testSeed = 20261202

// TestTable prints the table of results that docs/design/load.md shows:
//
//	HAWTHORN_TABLE=1 go test -v -run TestTable ./internal/load/bench
//
// HAWTHORN_TABLE can name a service to restrict the table to, and HAWTHORN_SCENE a scenario.
func TestTable(t *testing.T) {
	if os.Getenv("HAWTHORN_TABLE") == "" {
		t.Skip("set HAWTHORN_TABLE=1 to print the table")
	}
	var all []Scenario
	for _, s := range Services() {
		if only := os.Getenv("HAWTHORN_TABLE"); only != "1" && only != s.Name {
			continue
		}
		for _, sc := range Scenarios(s) {
			if only := os.Getenv("HAWTHORN_SCENE"); only == "" || strings.Contains(only, sc.Name) {
				all = append(all, sc)
			}
		}
	}
	rows, err := RunAll(all, testSeed)
	assert.NilError(t, err)
	assert.NilError(t, Table(os.Stdout, rows))
}

// A policy could lose a request or end it twice. The simulation panics at a second end,
// and a missing one shows in the sum of the outcomes.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, sc := range Scenarios(Kerala()) {
		sc.End = min(sc.End, 13e9)
		for _, p := range []Policy{Ours, Naive} {
			for _, r := range Run(sc, p, testSeed) {
				assert.Equal(t, r.Asked, r.Served+r.Refused+r.Unknown, "%s %s", sc.Name, r.Policy)
			}
		}
	}
}

// The same seed must give the same figures, so that a changed figure always comes from
// a change of the code.
func TestSameSeedSameRows(t *testing.T) {
	sc := Scenarios(Kerala())[2]
	var first, second strings.Builder
	assert.NilError(t, Table(&first, Run(sc, Ours, testSeed)))
	assert.NilError(t, Table(&second, Run(sc, Ours, testSeed)))
	assert.Equal(t, first.String(), second.String())
	var other strings.Builder
	assert.NilError(t, Table(&other, Run(sc, Ours, testSeed+1)))
	assert.Assert(t, first.String() != other.String())
}
