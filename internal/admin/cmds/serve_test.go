package cmds

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/host"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// Starts an entry VM from a settings file, sends a request through it and shuts it down.
// The exit code must be 0 and the report must contain the request.
func TestServeRoutesAndRecordsARequest(t *testing.T) {
	cli := newTestCLI(t)
	o := origin.New(origin.Config{Service: "upload", Server: "upload-1", Slots: 4, Queue: 4, Conns: 100})
	addr, err := o.Start()
	assert.NilError(t, err)
	defer o.Close()
	settings := cli.writeFile("vm.toml", "vm = \"vm-1\"\ncentre = \"north\"\n[platform]\nobjects = \""+cli.addr+"\"\n"+
		"[limit]\ndrain = \"1s\"\n"+
		"[rules]\ntext = '''\n"+catchAllRule+"'''\n[[service]]\nname = \"upload\"\n[[service.server]]\nname = \"upload-1\"\ndata = \""+addr.String()+"\"\n")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	var g group.Group
	code, errs := -1, bytes.Buffer{}
	g.Go(func(context.Context) error {
		code = Main(ctx, []string{"serve", "-c", settings}, w, &errs)
		return w.Close()
	})
	lines := bufio.NewScanner(r)
	callers := ""
	for callers == "" && lines.Scan() {
		var line struct{ Msg, Callers string }
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &line))
		callers = line.Callers
	}
	assert.Assert(t, callers != "", errs.String())
	g.Go(func(context.Context) error {
		_, err := io.Copy(io.Discard, r)
		return err
	})
	sendRequest := func() int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+callers+"/anything", nil)
		assert.NilError(t, err)
		req.Header.Set("Hawthorn-Id", "asked")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for sendRequest() != http.StatusOK { // until the first rules are in force
	}
	cancel()
	assert.NilError(t, g.Wait())
	assert.Equal(t, code, ExitOK, errs.String())
	assert.Assert(t, strings.Contains(cli.mustRun("report --id asked"), "upload-1"))
}

func TestServeOpensNothingWithWrongSettings(t *testing.T) {
	cli := newTestCLI(t)
	assert.Equal(t, cli.run("serve"), ExitUsage)
	assert.Equal(t, cli.run("serve -c", cli.writeFile("vm.toml", "vm = \"x\"\nspeed = 1\n")), ExitInvalid)
	assert.Assert(t, strings.Contains(cli.errs.String(), "line 2: speed: unknown setting"), cli.errs.String())
	hidden := strings.Replace(settingsTOML, "[platform]", "[rules]\ntext = '''\n"+catchAllRule+lookupRule+"'''\n[platform]", 1)
	assert.Equal(t, cli.run("serve -c", cli.writeFile("vm.toml", hidden)), ExitInvalid)
	assert.Assert(t, strings.Contains(cli.errs.String(), "can never match"), cli.errs.String())
}

// Guards against a misspelt way of full servers, or one that settings from a file cannot have, that is taken as another.
func TestServeRefusesAWrongWayOfFullServers(t *testing.T) {
	cli := newTestCLI(t)
	settings := cli.writeFile("vm.toml", settingsTOML)
	assert.Equal(t, cli.run("serve --full-servers=loud -c", settings), ExitUsage)
	assert.Assert(t, strings.Contains(cli.errs.String(), "auto, silent or answer"), cli.errs.String())
	assert.Equal(t, cli.run("serve --full-servers=silent -c", settings), ExitUsage)
	assert.Assert(t, strings.Contains(cli.errs.String(), "--full-servers=silent"), cli.errs.String())
}

// Guards against parts that are on without being asked for, which changes how earlier deployments are served.
func TestNewPartsAreOffUnlessAskedFor(t *testing.T) {
	settings := host.Config{Link: 1, Memory: 1}
	off, err := (&serveCmd{Full: fleet.Answer.String()}).withFlags(settings)
	assert.NilError(t, err)
	assert.Assert(t, off.FullServers == fleet.Answer && off.Link == 0 && off.Memory == 0)
	on, err := (&serveCmd{Full: fleet.Silent.String(), Budget: true}).withFlags(settings)
	assert.NilError(t, err)
	assert.Assert(t, on.FullServers == fleet.Silent && on.Link == 1 && on.Memory == 1)
}
