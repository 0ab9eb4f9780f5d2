package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBenchCompareSaysWhatGotWorse(t *testing.T) {
	d := newDesk(t)
	old := d.file("old.json", `{"sections":[{"name":"s","figures":[{"name":"p99","value":2,"unit":"ms","better":"lower"}]}]}`)
	worse := d.file("new.json", `{"sections":[{"name":"s","figures":[{"name":"p99","value":4,"unit":"ms","better":"lower"}]}]}`)
	assert.Assert(t, strings.Contains(d.must("bench compare", old, old), "0 of 1 figures"))
	assert.Equal(t, d.run("bench compare", old, worse), ExitBroken)
	assert.Assert(t, strings.Contains(d.out.String(), "s, p99: 2 to 4 ms (50% worse)"), d.out.String())
	assert.Equal(t, d.run("bench compare", old, filepath.Join(d.dir, "missing")), ExitFault)
	assert.Assert(t, strings.Contains(d.must("bench --list"), "journal"))
	assert.Equal(t, d.run("bench --only nonsense"), ExitUsage)
}

func TestBenchWritesItsReport(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	d := newDesk(t)
	out := filepath.Join(d.dir, "out")
	d.must("bench --quick --only peers -o", out)
	for _, name := range []string{"report.md", "results.json", "peers.svg", "spread.svg"} {
		_, err := os.Stat(filepath.Join(out, name))
		assert.NilError(t, err)
	}
}
