package cmds

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

func TestCertsMakesCertificatesThatPeersAccept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	var out, errs bytes.Buffer
	code := Main(t.Context(), []string{"certs", dir, "vm-1=127.0.0.1", "vm-2=127.0.0.1"}, &out, &errs)
	assert.Equal(t, code, ExitOK, errs.String())
	read := func(name string) []byte {
		b, err := os.ReadFile(filepath.Join(dir, name))
		assert.NilError(t, err)
		return b
	}
	for _, vm := range []string{"vm-1", "vm-2"} {
		var s certs.Store
		assert.NilError(t, s.Load(certs.PEM{Cert: read(vm + ".cert"), Key: read(vm + ".key"), CA: read("ca.cert")}))
		_, err := s.Client("vm-9", netip.MustParseAddr("127.0.0.1"))
		assert.NilError(t, err)
	}
	info, err := os.Stat(filepath.Join(dir, "vm-1.key"))
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(keyMode))
}

// Guards against partial output and against files outside of the folder when an argument
// is invalid, such as a name with ".." or a missing address.
func TestCertsWritesNothingWhenAnArgumentIsWrong(t *testing.T) {
	for _, bad := range []string{"vm-2", "vm-2=", "=127.0.0.1", "../vm=127.0.0.1", "..=127.0.0.1"} {
		t.Run(bad, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "out")
			var out, errs bytes.Buffer
			assert.Equal(t, Main(t.Context(), []string{"certs", dir, "vm-1=127.0.0.1", bad}, &out, &errs), ExitUsage)
			_, err := os.Stat(dir)
			assert.Assert(t, os.IsNotExist(err))
		})
	}
}
