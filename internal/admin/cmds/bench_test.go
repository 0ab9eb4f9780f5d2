package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBenchCompareSaysWhatGotWorse(t *testing.T) {
	cli := newTestCLI(t)
	old := cli.writeFile("old.json", `{"sections":[{"name":"s","figures":[{"name":"p99","value":2,"unit":"ms","better":"lower"}]}]}`)
	worse := cli.writeFile("new.json", `{"sections":[{"name":"s","figures":[{"name":"p99","value":4,"unit":"ms","better":"lower"}]}]}`)
	assert.Assert(t, strings.Contains(cli.mustRun("bench compare", old, old), "0 of 1 figures"))
	assert.Equal(t, cli.run("bench compare", old, worse), ExitCheckFailed)
	assert.Assert(t, strings.Contains(cli.out.String(), "s, p99: 2 to 4 ms (50% worse)"), cli.out.String())
	assert.Equal(t, cli.run("bench compare", old, filepath.Join(cli.dir, "missing")), ExitFault)
	assert.Assert(t, strings.Contains(cli.mustRun("bench --list"), "journal"))
	assert.Equal(t, cli.run("bench --only nonsense"), ExitUsage)
}

func TestBenchWritesItsReport(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	cli := newTestCLI(t)
	out := filepath.Join(cli.dir, "out")
	cli.mustRun("bench --quick --only peers -o", out)
	for _, name := range []string{"report.md", "results.json", "peers.svg", "spread.svg"} {
		_, err := os.Stat(filepath.Join(out, name))
		assert.NilError(t, err)
	}
}
