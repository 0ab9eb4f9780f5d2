package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const minimalConfig = `vm = "vm-1"
centre = "north"

[platform]
objects = "127.0.0.1:9000"

[[service]]
name = "lookup"
divided = true

[[service.server]]
name = "lookup-1"
data = "127.0.0.1:7001"

[[service]]
name = "upload"

[[service.server]]
name = "upload-1"
data = "127.0.0.1:7002"
`

func TestParseFillsDefaults(t *testing.T) {
	c, err := Parse([]byte(minimalConfig))
	assert.NilError(t, err)
	assert.Equal(t, c.Lease.TTL.Duration, 700*time.Millisecond)
	assert.Equal(t, c.Platform.VMs, c.Platform.Objects)
	assert.Equal(t, c.Services[0].Slices, uint32(DefaultSlices))
	assert.Equal(t, c.Services[1].Slices, uint32(0))
	assert.Equal(t, c.Services[0].Servers[0].Control, c.Services[0].Servers[0].Data)
	assert.Equal(t, c.Services[0].Servers[0].Centre, c.Centre)
	assert.Assert(t, !c.Services[0].FenceChecks)
	assert.DeepEqual(t, c.Fill().Journal, c.Journal)
}

// An operator misspells a setting, gives an address that cannot be dialled, or
// sets an impossible limit. The daemon must not start with settings other than
// the intended ones: Parse fails and reports the line.
func TestParseReportsLineOfFault(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		line     int
		text     string
	}{
		"unknown key":      {`centre = "north"`, `center = "north"`, 2, "unknown setting"},
		"bad address":      {`objects = "127.0.0.1:9000"`, `objects = "platform:9000"`, 5, "unable to parse IP"},
		"port missing":     {`objects = "127.0.0.1:9000"`, `objects = "127.0.0.1:0"`, 5, "address with a port"},
		"no name":          {`vm = "vm-1"`, `vm = ""`, 1, "must be set"},
		"bad duration":     {`[platform]`, "lease.ttl = \"soon\"\n[platform]", 4, "duration"},
		"impossible renew": {`[platform]`, "lease.renew = \"1s\"\n[platform]", 4, "half of lease.ttl"},
		"impossible limit": {`[platform]`, "[limit]\nheader = 9999999\n[platform]", 5, "at most 1048576"},
		"too many slices":  {"divided = true", "divided = true\nslices = 70000", 10, "at most 65536"},
		"slices undivided": {`name = "upload"`, "name = \"upload\"\nslices = 16", 17, "divided"},
		"server twice":     {`name = "upload-1"`, `name = "lookup-1"`, 19, "another server"},
		"address twice":    {`127.0.0.1:7002`, `127.0.0.1:7001`, 20, "another server"},
		"slots over conns": {`data = "127.0.0.1:7002"`, "data = \"127.0.0.1:7002\"\nslots = 4\nconns = 2", 22, "at least slots"},
		"half a key pair":  {`[platform]`, "[certs]\ncert = \"x.pem\"\n[platform]", 4, "together"},
		"not TOML":         {`[platform]`, "[platform", 4, ""},
	} {
		t.Run(name, func(t *testing.T) {
			src := strings.Replace(minimalConfig, tc.old, tc.new, 1)
			assert.Assert(t, src != minimalConfig)
			_, err := Parse([]byte(src))
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			var faults Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.Equal(t, faults[0].Line, tc.line, "%v", faults)
			assert.Assert(t, strings.Contains(faults[0].String(), tc.text), "%v", faults)
		})
	}
}

func TestLoadErrorKinds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.toml")
	_, err := Load(path)
	assert.Equal(t, kinds.Of(err), kinds.NotFound)
	assert.NilError(t, os.WriteFile(path, []byte("vm = 1"), 0o600))
	_, err = Load(path)
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	assert.NilError(t, os.WriteFile(path, []byte(minimalConfig), 0o600))
	_, err = Load(path)
	assert.NilError(t, err)
}

// FuzzParse feeds arbitrary input to Parse, which must return settings that pass
// the checks or an error, and never panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalConfig))
	f.Add([]byte("vm = \"\\u0000\"\n[[service]]\n[[service.server]]\n"))
	f.Add([]byte("[lease]\nttl = \"-1h\"\ndrift = nan"))
	f.Add([]byte("service = [{name = 'a', server = [{data = '[::1]:1'}]}]"))
	f.Fuzz(func(t *testing.T, src []byte) {
		c, err := Parse(src)
		if err != nil {
			return
		}
		assert.Equal(t, len(append(checkRanges(c), c.check()...)), 0)
	})
}
