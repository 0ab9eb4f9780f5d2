package bench

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const seed = 20261202

// TestTable prints what callers receive in every scene, as in
// docs/design/load.md:
//
//	HAWTHORN_TABLE=1 go test -v -run TestTable ./internal/load/bench
//
// HAWTHORN_TABLE can name one service, and HAWTHORN_SCENE one scene.
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
	rows, err := RunAll(all, seed)
	assert.NilError(t, err)
	assert.NilError(t, Table(os.Stdout, rows))
}

// Every request ends exactly once, whatever happens to it: the harness panics
// at a second ending, and a missing one shows in the sum.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, sc := range Scenarios(Kerala()) {
		sc.Last = min(sc.Last, 13e9)
		for _, p := range []Policy{Ours, Naive} {
			for _, r := range Run(sc, p, seed) {
				assert.Equal(t, r.Asked, r.Served+r.Refused+r.Unknown, "%s %s", sc.Name, r.Policy)
			}
		}
	}
}

// The same seed gives the same figures, so that a change of a figure is a
// change of the code.
func TestSameSeedSameRows(t *testing.T) {
	sc := Scenarios(Kerala())[2]
	var first, second strings.Builder
	assert.NilError(t, Table(&first, Run(sc, Ours, seed)))
	assert.NilError(t, Table(&second, Run(sc, Ours, seed)))
	assert.Equal(t, first.String(), second.String())
	var other strings.Builder
	assert.NilError(t, Table(&other, Run(sc, Ours, seed+1)))
	assert.Assert(t, first.String() != other.String())
}
