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

// chart.MustParse has held each chart complete by the time this runs. What is
// left is that the code and the files name the same triggers.
func TestCodeFiresExactlyTheDrawnTriggers(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	fired := map[string][]string{}
	direct := regexp.MustCompile(`fire\((\w+)Chart, &[\w.]+, "(\w+)"\)`)
	given := regexp.MustCompile(`\.(?:step|drop)\("(\w+)"`)
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
