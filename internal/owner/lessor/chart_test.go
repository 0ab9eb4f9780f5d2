package lessor

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

// Checks that the code and the chart files name the same triggers.
// chart.MustParse has checked by now that each chart is complete.
func TestCodeFiresExactlyTheDrawnTriggers(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	fired := map[string][]string{}
	direct := regexp.MustCompile(`fire\((\w+)Chart, &[\w.]+, "(\w+)"\)`)
	given := regexp.MustCompile(`\.(?:stepDown|endAuthority)\("(\w+)"`)
	for _, f := range files {
		src, err := os.ReadFile(f)
		assert.NilError(t, err)
		for _, m := range direct.FindAllStringSubmatch(string(src), -1) {
			fired[m[1]] = append(fired[m[1]], m[2])
		}
		for _, m := range given.FindAllStringSubmatch(string(src), -1) {
			fired["authority"] = append(fired["authority"], m[1])
		}
	}
	all := []*chart.Chart{authorityChart, leaseChart, moveChart, drainChart, deputyChart, standChart}
	for _, c := range all {
		var drawn []string
		for _, m := range c.Transitions {
			drawn = append(drawn, string(m.On))
		}
		slices.Sort(drawn)
		slices.Sort(fired[c.Name])
		assert.DeepEqual(t, slices.Compact(fired[c.Name]), slices.Compact(drawn))
	}
}
