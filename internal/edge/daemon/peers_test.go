package daemon

import (
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

// An operator replaces the files of keys and certificates one after the other. In
// between they do not match; the old ones must stay in use until all are replaced, and
// no restart is needed.
func TestKeysAreReloadedFromTheirFiles(t *testing.T) {
	dir := t.TempDir()
	c := config.Certs{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	issue := func() certs.PEM {
		ca, err := certs.NewAuthority(time.Hour)
		assert.NilError(t, err)
		pem, err := ca.Issue("vm-1", netip.MustParseAddr("127.0.0.1"))
		assert.NilError(t, err)
		return pem
	}
	write := func(path string, b []byte) { assert.NilError(t, os.WriteFile(path, b, 0o600)) }
	first := issue()
	write(c.Cert, first.Cert)
	write(c.Key, first.Key)
	write(c.CA, first.CA)
	var store certs.Store
	got, err := readPEM(c)
	assert.NilError(t, err)
	assert.NilError(t, store.Load(*got))
	p := &peers{log: slog.New(slog.DiscardHandler)}
	last := *got
	second := issue()
	write(c.Cert, second.Cert)
	last, err = p.reloadOnce(c, &store, last)
	assert.Assert(t, err != nil, "half of a new set was taken")
	assert.Equal(t, store.Generation(), uint64(1))
	write(c.Key, second.Key)
	write(c.CA, second.CA)
	last, err = p.reloadOnce(c, &store, last)
	assert.NilError(t, err)
	assert.Equal(t, store.Generation(), uint64(2))
	_, err = p.reloadOnce(c, &store, last)
	assert.NilError(t, err)
	assert.Equal(t, store.Generation(), uint64(2), "unchanged files were loaded again")
}
