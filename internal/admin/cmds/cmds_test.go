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

// desk is an operator's desk: a platform, a directory, a command line.
type desk struct {
	t    *testing.T
	api  *objapi.API
	at   string
	dir  string
	out  bytes.Buffer
	errs bytes.Buffer
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, api: objapi.New(), dir: t.TempDir()}
	srv := httptest.NewServer(d.api.Handler())
	t.Cleanup(srv.Close)
	d.at = strings.TrimPrefix(srv.URL, "http://")
	t.Setenv("HAWTHORN_OBJECTS", d.at)
	t.Setenv("USER", "clerk")
	return d
}

// run runs one command line and returns its exit code.
func (d *desk) run(line string, args ...string) int {
	d.t.Helper()
	d.out.Reset()
	d.errs.Reset()
	return Main(context.Background(), append(strings.Fields(line), args...), &d.out, &d.errs)
}

func (d *desk) must(line string, args ...string) string {
	d.t.Helper()
	assert.Equal(d.t, d.run(line, args...), ExitOK, "%s: %s", line, d.errs.String())
	return d.out.String()
}

func (d *desk) file(name, text string) string {
	path := filepath.Join(d.dir, name)
	assert.NilError(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (d *desk) store() *objcli.Client { return objcli.New(netip.MustParseAddrPort(d.at)) }

const (
	lookups = "[[rule]]\nname = \"lookups\"\nwhen = { method = [\"GET\"], path = \"/scales/{scale}\" }\nthen = { service = \"lookup\", key = \"path:scale\" }\n"
	rest    = "[[rule]]\nname = \"rest\"\nthen = { service = \"upload\" }\n"
	vm      = "vm = \"vm-1\"\ncentre = \"north\"\n[platform]\nobjects = \"127.0.0.1:9\"\n[[service]]\nname = \"lookup\"\ndivided = true\n[[service]]\nname = \"upload\"\n"
)

func TestHelpAndUsage(t *testing.T) {
	d := newDesk(t)
	assert.Assert(t, strings.Contains(d.must("--help"), "Exit codes"))
	for _, cmd := range []string{"check", "rules", "rules list", "rules put", "rules move", "rules retire", "rules history", "report", "owners"} {
		assert.Assert(t, strings.Contains(d.must(cmd, "--help"), "Usage"), cmd)
	}
	for _, line := range []string{"", "nonsense", "rules put", "rules move --wait 0s lookups --seen 1", "report --since yesterday", "owners extra", "rules put --wait 0s --seen 0 --first --last x"} {
		assert.Assert(t, d.run(line) != ExitOK, line)
		assert.Assert(t, d.errs.Len() > 0, line)
	}
	assert.Equal(t, d.run("report --since yesterday"), ExitUsage)
	t.Setenv("HAWTHORN_OBJECTS", "")
	assert.Equal(t, d.run("report"), ExitUsage)
}

func TestCheckNamesLinesAndHiddenRules(t *testing.T) {
	d := newDesk(t)
	settings := d.file("vm.toml", vm)
	assert.Assert(t, strings.Contains(d.must("check", settings), "settings of vm-1 in north are fine: 2 services"))
	assert.Equal(t, d.run("check", d.file("bad.toml", vm+"[lease]\nttl = \"1ms\"\nspeed = 3\n")), ExitInvalid)
	assert.Assert(t, strings.Contains(d.errs.String(), "bad.toml: line 12: lease.speed: unknown setting"), d.errs.String())

	assert.Assert(t, strings.Contains(d.must("check", d.file("rules.toml", lookups+rest)), "2 rules are fine"))
	assert.Equal(t, d.run("check", d.file("hidden.toml", rest+lookups)), ExitInvalid)
	assert.Assert(t, strings.Contains(d.errs.String(), "rule lookups: can never match: the earlier rule rest"), d.errs.String())
	assert.Equal(t, d.run("check -c "+settings, d.file("other.toml", strings.Replace(rest, "upload", "elsewhere", 1))), ExitInvalid)
	assert.Equal(t, d.run("check", filepath.Join(d.dir, "missing")), ExitFault)
	assert.Equal(t, d.run("check", d.file("broken.toml", "[[rule]]\nname = ")), ExitInvalid)
	withRules := strings.Replace(vm, "[platform]", "[rules]\ntext = \"\"\"\n"+rest+lookups+"\"\"\"\n[platform]", 1)
	assert.Equal(t, d.run("check", d.file("inline.toml", withRules)), ExitInvalid)
}

// Two operators change the rules at once. The second one is told which revision
// they looked at and which is in force by now, and loses nothing.
func TestRulesAreEditedInOrderAndRacesAreNamed(t *testing.T) {
	d := newDesk(t)
	assert.Assert(t, strings.Contains(d.must("rules list"), "no rules yet"))
	path := d.file("rules.toml", lookups+rest)
	assert.Assert(t, strings.Contains(d.must("rules put --wait 0s --seen 0 --note first", path), "written as revision 1"))
	extra := d.file("extra.toml", "[[rule]]\nname = \"special\"\nwhen = { path = \"/closed\" }\nthen = { deny = true }\n"+
		"[[rule]]\nname = \"audit\"\nwhen = { path = \"/audit\" }\nthen = { deny = true }\n")
	d.must("rules put --wait 0s --seen 1 --first", extra)
	assert.Equal(t, d.run("rules retire --wait 0s --seen 1 lookups"), ExitConflict)
	assert.Assert(t, strings.Contains(d.errs.String(), "you looked at revision 1, but revision 2 by clerk is in force"), d.errs.String())
	list := d.must("rules list")
	assert.Assert(t, strings.Contains(list, "revision 2 by clerk"))
	order := []int{strings.Index(list, "special"), strings.Index(list, "audit"), strings.Index(list, "lookups"), strings.Index(list, "rest")}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1] >= 0 && order[i-1] < order[i], list)
	}
	d.must("rules move --wait 0s --seen 2 --before rest special")
	d.must("rules retire --wait 0s --seen 3 audit")
	assert.Equal(t, d.run("rules retire --wait 0s --seen 4 audit"), ExitFault)
	assert.Equal(t, d.run("rules move --wait 0s --seen 4 --first rest"), ExitInvalid) // it would hide all others
	history := d.must("rules history")
	assert.Equal(t, strings.Count(history, "clerk"), 4, history)
	assert.Assert(t, strings.Contains(d.must("rules list --rev 1"), "revision 1"))
	again := d.file("again.toml", d.must("rules list --toml"))
	d.must("rules put --wait 0s --all --seen 4", again)
}

// The store takes an edit while most entry VMs are cut off from it. An operator
// who was told "accepted" would take a route for closed that still serves; so
// the edit is written, says that it is not accepted yet, and exits with a code
// of its own. Once more than half are known to hold it, it says how many.
func TestAnEditIsAcceptedOnceMostVMsHoldIt(t *testing.T) {
	d := newDesk(t)
	path := d.file("rules.toml", lookups+rest)
	assert.Equal(t, d.run("rules put --wait 1ms --seen 0", path), ExitPending)
	assert.Assert(t, strings.Contains(d.errs.String(), "written as revision 1 and not accepted yet"), d.errs.String())
	assert.Assert(t, strings.Contains(d.must("rules list"), "not accepted yet"))

	raw, err := quorum.Record{FormatVersion: quorum.FormatVersion, Rev: 2, Confirmed: 6, Live: 10}.Encode()
	assert.NilError(t, err)
	_, err = d.store().Put(t.Context(), quorum.Object, raw, 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(d.must("rules put --seen 1", path), "accepted as revision 2: 6 of 10"))
	assert.Assert(t, strings.Contains(d.must("rules list"), "accepted: 6 of 10"))
}

func TestReportAndOwnersReadTheStore(t *testing.T) {
	d := newDesk(t)
	d.must("rules put --wait 0s --seen 0 --by ana", d.file("rules.toml", lookups+rest))
	store := d.store()
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

	out := d.must("report --key scale-7")
	assert.Assert(t, strings.Contains(out, "r-1") && strings.Contains(out, "ana") && strings.Contains(out, "lookup-2 > lookup-1"), out)
	var r report.Report
	assert.NilError(t, json.Unmarshal([]byte(d.must("report --json --caller hauler")), &r))
	assert.Equal(t, len(r.Rows), 1)
	assert.Assert(t, strings.Contains(d.must("report --by caller"), "hauler  1"))
	assert.Assert(t, strings.Contains(d.must("report --until 2h"), "0 decisions"))

	owners := d.must("owners")
	assert.Assert(t, strings.Contains(owners, "8 slices, imbalance 1.50, 1 moves"), owners)
	assert.Assert(t, strings.Contains(d.must("owners --key scale-7"), "scale-7 is owned by lookup-"))
	var all []holding
	assert.NilError(t, json.Unmarshal([]byte(d.must("owners --json --service lookup")), &all))
	assert.Equal(t, all[0].Servers[0].Slices, 6)
	assert.Assert(t, strings.Contains(d.must("owners --service none"), "no service"))
}

// The platform is away. Every command says so within its time, by its own exit
// code, and an edit says that nothing was changed.
func TestPlatformDownHasItsOwnExitCode(t *testing.T) {
	d := newDesk(t)
	d.api.Outage(true)
	for _, line := range []string{"rules list", "rules history", "report", "owners"} {
		assert.Equal(t, d.run(line), ExitDown, line)
		assert.Assert(t, strings.Contains(d.errs.String(), "did not answer"), d.errs.String())
	}
	assert.Equal(t, d.run("rules retire --wait 0s --seen 1 lookups"), ExitDown)
}
