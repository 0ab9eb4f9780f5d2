package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const twoVMLogs = `host-1 {"time":"2026-05-16T01:00:01Z","level":"INFO","msg":"rules in force","rev":3}
not a line
host-1 {"time":"2026-05-16T01:00:02Z","level":"INFO","msg":"rules in force","rev":9}
host-2 {"time":"2026-05-16T01:00:02.5Z","level":"WARN","msg":"store lost","kind":"servers/"}
host-2 {"time":"2026-05-16T01:00:04Z","level":"INFO","msg":"decision","id":"a1","vm":"host-2","kind":"moving","code":503,"took":410000000}
host-1 {"time":"2026-05-16T01:00:03Z","level":"INFO","msg":"decision","id":"a2","vm":"host-1","code":200}
host-2 {"time":"2026-05-16T01:00:05Z","level":"INFO","msg":"store regained","kind":"servers/"}
`

// Guards against an explanation that shows what the deciding VM learned only later, or
// what other VMs knew.
func TestExplainShowsTheStateOfTheDecidingVM(t *testing.T) {
	path := filepath.Join(t.TempDir(), "all.log")
	assert.NilError(t, os.WriteFile(path, []byte(twoVMLogs), 0o600))
	var out, errs bytes.Buffer
	assert.Equal(t, Main(t.Context(), []string{"explain", "a1", path}, &out, &errs), ExitOK, errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.Contains(lines[0], "store lost"))
	assert.Assert(t, strings.Contains(lines[1], "took=410ms"))
	assert.Assert(t, strings.Contains(lines[1], "kind=moving"))
}

func TestExplainReportsAnUnknownID(t *testing.T) {
	path := filepath.Join(t.TempDir(), "all.log")
	assert.NilError(t, os.WriteFile(path, []byte(twoVMLogs), 0o600))
	var out, errs bytes.Buffer
	assert.Assert(t, Main(t.Context(), []string{"explain", "zz", path}, &out, &errs) != ExitOK)
	assert.Assert(t, strings.Contains(errs.String(), "no line speaks of zz"))
	assert.Assert(t, Main(t.Context(), []string{"explain", "zz", path + "x"}, &out, &errs) != ExitOK)
}

// Guards against an explanation of a quarantined request that leaves out the crashes
// which led to the quarantine.
func TestExplainShowsTheCrashesBehindAQuarantine(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01Z","msg":"decision","vm":"a","id":"r1","kind":"unknown","server":"s1","print":"p"}
{"time":"2026-01-01T00:00:02Z","msg":"another server broke off under a request","vm":"b","id":"r2","server":"s2","print":"p"}
{"time":"2026-01-01T00:00:03Z","msg":"request quarantined","vm":"a","print":"p"}
{"time":"2026-01-01T00:00:04Z","msg":"decision","vm":"a","id":"r4","kind":"none","print":"other"}
{"time":"2026-01-01T00:00:05Z","msg":"decision","vm":"a","id":"r5","kind":"harmful","print":"p"}
{"time":"2026-01-01T00:00:06Z","msg":"decision","vm":"a","id":"r3","kind":"harmful","print":"p"}
{"time":"2026-01-01T00:00:07Z","msg":"request out of quarantine","vm":"a","print":"p"}
`
	var got []string
	for _, e := range relatedEntries(readLog(strings.NewReader(log)), "r3") {
		got = append(got, e.msg+" "+e.id)
	}
	assert.DeepEqual(t, got, []string{"decision r1", "another server broke off under a request r2", "request quarantined ", "decision r3"})
}
