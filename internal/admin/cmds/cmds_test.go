package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

// testCLI runs command lines against a fake platform, with a directory for files.
type testCLI struct {
	t    *testing.T
	api  *objapi.API
	addr string
	dir  string
	out  bytes.Buffer
	errs bytes.Buffer
}

func newTestCLI(t *testing.T) *testCLI {
	cli := &testCLI{t: t, api: objapi.New(), dir: t.TempDir()}
	srv := httptest.NewServer(cli.api.Handler())
	t.Cleanup(srv.Close)
	cli.addr = strings.TrimPrefix(srv.URL, "http://")
	t.Setenv("HAWTHORN_OBJECTS", cli.addr)
	t.Setenv("USER", "clerk")
	return cli
}

// run runs one command line and returns its exit code. The output is in out and errs.
func (cli *testCLI) run(line string, args ...string) int {
	cli.t.Helper()
	cli.out.Reset()
	cli.errs.Reset()
	return Main(context.Background(), append(strings.Fields(line), args...), &cli.out, &cli.errs)
}

func (cli *testCLI) mustRun(line string, args ...string) string {
	cli.t.Helper()
	assert.Equal(cli.t, cli.run(line, args...), ExitOK, "%s: %s", line, cli.errs.String())
	return cli.out.String()
}

func (cli *testCLI) writeFile(name, text string) string {
	path := filepath.Join(cli.dir, name)
	assert.NilError(cli.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (cli *testCLI) store() *objcli.Client { return objcli.New(netip.MustParseAddrPort(cli.addr)) }

const (
	lookupRule   = "[[rule]]\nname = \"lookups\"\nwhen = { method = [\"GET\"], path = \"/scales/{scale}\" }\nthen = { service = \"lookup\", key = \"path:scale\" }\n"
	catchAllRule = "[[rule]]\nname = \"rest\"\nthen = { service = \"upload\" }\n"
	settingsTOML = "vm = \"vm-1\"\ncentre = \"north\"\n[platform]\nobjects = \"127.0.0.1:9\"\n[[service]]\nname = \"lookup\"\ndivided = true\n[[service]]\nname = \"upload\"\n"
)

func TestHelpAndUsage(t *testing.T) {
	cli := newTestCLI(t)
	assert.Assert(t, strings.Contains(cli.mustRun("--help"), "Exit codes"))
	for _, cmd := range []string{"check", "rules", "rules list", "rules put", "rules move", "rules retire", "rules history", "report", "owners"} {
		assert.Assert(t, strings.Contains(cli.mustRun(cmd, "--help"), "Usage"), cmd)
	}
	for _, line := range []string{"", "nonsense", "rules put", "rules move --wait 0s lookups --seen 1", "report --since yesterday", "owners extra", "rules put --wait 0s --seen 0 --first --last x"} {
		assert.Assert(t, cli.run(line) != ExitOK, line)
		assert.Assert(t, cli.errs.Len() > 0, line)
	}
	assert.Equal(t, cli.run("report --since yesterday"), ExitUsage)
	t.Setenv("HAWTHORN_OBJECTS", "")
	assert.Equal(t, cli.run("report"), ExitUsage)
}

func TestCheckNamesLinesAndHiddenRules(t *testing.T) {
	cli := newTestCLI(t)
	settings := cli.writeFile("vm.toml", settingsTOML)
	assert.Assert(t, strings.Contains(cli.mustRun("check", settings), "settings of vm-1 in north are fine: 2 services"))
	assert.Equal(t, cli.run("check", cli.writeFile("bad.toml", settingsTOML+"[lease]\nttl = \"1ms\"\nspeed = 3\n")), ExitInvalid)
	assert.Assert(t, strings.Contains(cli.errs.String(), "bad.toml: line 12: lease.speed: unknown setting"), cli.errs.String())

	assert.Assert(t, strings.Contains(cli.mustRun("check", cli.writeFile("rules.toml", lookupRule+catchAllRule)), "2 rules are fine"))
	assert.Equal(t, cli.run("check", cli.writeFile("hidden.toml", catchAllRule+lookupRule)), ExitInvalid)
	assert.Assert(t, strings.Contains(cli.errs.String(), "rule lookups: can never match: the earlier rule rest"), cli.errs.String())
	assert.Equal(t, cli.run("check -c "+settings, cli.writeFile("other.toml", strings.Replace(catchAllRule, "upload", "elsewhere", 1))), ExitInvalid)
	assert.Equal(t, cli.run("check", filepath.Join(cli.dir, "missing")), ExitFault)
	assert.Equal(t, cli.run("check", cli.writeFile("broken.toml", "[[rule]]\nname = ")), ExitInvalid)
	withRules := strings.Replace(settingsTOML, "[platform]", "[rules]\ntext = \"\"\"\n"+catchAllRule+lookupRule+"\"\"\"\n[platform]", 1)
	assert.Equal(t, cli.run("check", cli.writeFile("inline.toml", withRules)), ExitInvalid)
}

// Guards against lost updates when two operators change the rules at once. The second
// edit must fail and name the revision it was based on and the one in force.
func TestRuleEditsKeepOrderAndReportConflicts(t *testing.T) {
	cli := newTestCLI(t)
	assert.Assert(t, strings.Contains(cli.mustRun("rules list"), "no rules yet"))
	path := cli.writeFile("rules.toml", lookupRule+catchAllRule)
	assert.Assert(t, strings.Contains(cli.mustRun("rules put --wait 0s --seen 0 --note first", path), "written as revision 1"))
	extra := cli.writeFile("extra.toml", "[[rule]]\nname = \"special\"\nwhen = { path = \"/closed\" }\nthen = { deny = true }\n"+
		"[[rule]]\nname = \"audit\"\nwhen = { path = \"/audit\" }\nthen = { deny = true }\n")
	cli.mustRun("rules put --wait 0s --seen 1 --first", extra)
	assert.Equal(t, cli.run("rules retire --wait 0s --seen 1 lookups"), ExitConflict)
	assert.Assert(t, strings.Contains(cli.errs.String(), "you looked at revision 1, but revision 2 by clerk is in force"), cli.errs.String())
	list := cli.mustRun("rules list")
	assert.Assert(t, strings.Contains(list, "revision 2 by clerk"))
	order := []int{strings.Index(list, "special"), strings.Index(list, "audit"), strings.Index(list, "lookups"), strings.Index(list, "rest")}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1] >= 0 && order[i-1] < order[i], list)
	}
	cli.mustRun("rules move --wait 0s --seen 2 --before rest special")
	cli.mustRun("rules retire --wait 0s --seen 3 audit")
	assert.Equal(t, cli.run("rules retire --wait 0s --seen 4 audit"), ExitFault)
	assert.Equal(t, cli.run("rules move --wait 0s --seen 4 --first rest"), ExitInvalid) // it would hide all others
	history := cli.mustRun("rules history")
	assert.Equal(t, strings.Count(history, "clerk"), 4, history)
	assert.Assert(t, strings.Contains(cli.mustRun("rules list --rev 1"), "revision 1"))
	again := cli.writeFile("again.toml", cli.mustRun("rules list --toml"))
	cli.mustRun("rules put --wait 0s --all --seen 4", again)
}

// Guards against edits reported as accepted while most entry VMs cannot reach the store:
// the operator would believe that a route is closed while it still serves. Such an edit
// must exit with ExitPending, and be accepted once more than half of the VMs hold it.
func TestAnEditIsAcceptedOnceMostVMsHoldIt(t *testing.T) {
	cli := newTestCLI(t)
	path := cli.writeFile("rules.toml", lookupRule+catchAllRule)
	assert.Equal(t, cli.run("rules put --wait 1ms --seen 0", path), ExitPending)
	assert.Assert(t, strings.Contains(cli.errs.String(), "written as revision 1 and not accepted yet"), cli.errs.String())
	assert.Assert(t, strings.Contains(cli.mustRun("rules list"), "not accepted yet"))

	raw, err := quorum.Record{FormatVersion: quorum.FormatVersion, Rev: 2, Confirmed: 6, Live: 10}.Encode()
	assert.NilError(t, err)
	_, err = cli.store().Put(t.Context(), quorum.Object, raw, 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(cli.mustRun("rules put --seen 1", path), "accepted as revision 2: 6 of 10"))
	assert.Assert(t, strings.Contains(cli.mustRun("rules list"), "accepted: 6 of 10"))
}

func TestReportAndOwnersReadTheStore(t *testing.T) {
	cli := newTestCLI(t)
	cli.mustRun("rules put --wait 0s --seen 0 --by ana", cli.writeFile("rules.toml", lookupRule+catchAllRule))
	store := cli.store()
	tab, err := table.New("lookup", 8, "lookup-1", "lookup-2")
	assert.NilError(t, err)
	for s := range ident.Slice(8) {
		tab, err = tab.WithAssigned(table.Move{Slice: s, To: ident.Server("lookup-" + string('1'+rune(s/6)))})
		assert.NilError(t, err)
	}
	value, err := tab.Encode()
	assert.NilError(t, err)
	_, err = store.Put(t.Context(), tablePrefix+"lookup", value, 0)
	assert.NilError(t, err)
	j := ledger.Open(store, ledger.LogPath("vm-9"))
	j.Append(record.Decision{At: time.Now(), Action: record.Route, ID: "r-1", Key: "scale-7", Caller: "hauler", Server: "lookup-1", Rule: "lookups", Rev: 1, Ran: kinds.RanYes, Status: 200})
	j.Append(record.Decision{At: time.Now(), Action: record.Place, Service: "lookup", Slice: ident.SliceOf("scale-7", 8), PrevOwner: "lookup-2", Server: "lookup-1", Rev: 3})
	assert.NilError(t, j.Close())

	out := cli.mustRun("report --key scale-7")
	assert.Assert(t, strings.Contains(out, "r-1") && strings.Contains(out, "ana") && strings.Contains(out, "lookup-2 > lookup-1"), out)
	var r report.Report
	assert.NilError(t, json.Unmarshal([]byte(cli.mustRun("report --json --caller hauler")), &r))
	assert.Equal(t, len(r.Rows), 1)
	assert.Assert(t, strings.Contains(cli.mustRun("report --by caller"), "hauler  1"))
	assert.Assert(t, strings.Contains(cli.mustRun("report --until 2h"), "0 decisions"))

	owners := cli.mustRun("owners")
	assert.Assert(t, strings.Contains(owners, "8 slices, imbalance 1.50, 1 moves"), owners)
	assert.Assert(t, strings.Contains(cli.mustRun("owners --key scale-7"), "scale-7 is owned by lookup-"))
	var all []serviceOwners
	assert.NilError(t, json.Unmarshal([]byte(cli.mustRun("owners --json --service lookup")), &all))
	assert.Equal(t, all[0].Servers[0].Slices, 6)
	assert.Assert(t, strings.Contains(cli.mustRun("owners --service none"), "no service"))
}

// During an outage of the platform, every command must exit with ExitUnavailable.
func TestPlatformDownHasItsOwnExitCode(t *testing.T) {
	cli := newTestCLI(t)
	cli.api.Outage(true)
	for _, line := range []string{"rules list", "rules history", "report", "owners"} {
		assert.Equal(t, cli.run(line), ExitUnavailable, line)
		assert.Assert(t, strings.Contains(cli.errs.String(), "did not answer"), cli.errs.String())
	}
	assert.Equal(t, cli.run("rules retire --wait 0s --seen 1 lookups"), ExitUnavailable)
}
